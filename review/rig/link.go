package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is a network path of one daemon to a service. While it is cut, it does to connections
// what a silent partition does: what either end sends stays on its way. It is delivered when
// the partition ends, also if the sender has closed the connection meanwhile, but it is lost if
// the sender has reset it ("Bytes that are held up by a partition are lost if their sender
// resets the connection or loses power", DEPLOY.md). Connections opened during the cut get
// nowhere, and nothing that is sent on them is ever delivered.
type link struct {
	addr, target string
	record       *record
	name         string

	mu      sync.Mutex
	isCut   bool
	changed chan struct{}
}

func newLink(name, target string, r *record) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{name: name, addr: l.Addr().String(), target: target, record: r, changed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c.(*net.TCPConn))
		}
	}()
	return k, nil
}

// cut cuts the link or heals it.
func (k *link) cut(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isCut = on
	close(k.changed)
	k.changed = make(chan struct{})
	k.record.log("link %s: cut %v", k.name, on)
}

func (k *link) current() (bool, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isCut, k.changed
}

func (k *link) serve(near *net.TCPConn) {
	defer near.Close()
	if cut, _ := k.current(); cut {
		io.Copy(io.Discard, near) // The connection was never opened.
		return
	}
	c, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		return
	}
	far := c.(*net.TCPConn)
	defer far.Close()
	var ends sync.WaitGroup
	ends.Go(func() { k.carry(far, near, "sent") })
	ends.Go(func() { k.carry(near, far, "answered") })
	ends.Wait()
}

// carry carries bytes in one direction, in order.
func (k *link) carry(to, from *net.TCPConn, what string) {
	type piece struct {
		bytes []byte
		err   error
	}
	pieces := make(chan piece, 1024)
	go func() {
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{bytes: b[:n]}
			}
			if err != nil {
				pieces <- piece{err: err}
				return
			}
		}
	}()
	var held [][]byte
	deliver := func() {
		for _, b := range held {
			k.record.log("link %s: %d bytes %s during the cut are delivered", k.name, len(b), what)
			to.Write(b)
		}
		held = nil
	}
	ended := false
	for {
		cut, changed := k.current()
		if !cut {
			deliver()
			if ended {
				to.CloseWrite()
				return
			}
		}
		var next <-chan piece = pieces
		if ended {
			next = nil
		}
		select {
		case <-changed:
		case p := <-next:
			cut, _ := k.current()
			switch {
			case p.err == nil && cut:
				held = append(held, p.bytes)
				k.record.log("link %s: %d bytes %s are on their way", k.name, len(p.bytes), what)
			case p.err == nil:
				if _, err := to.Write(p.bytes); err != nil {
					return
				}
			case errors.Is(p.err, syscall.ECONNRESET):
				if len(held) > 0 {
					k.record.log("link %s: the sender has reset the connection, the bytes are lost", k.name)
				}
				to.SetLinger(0)
				return
			default:
				if len(held) > 0 {
					k.record.log("link %s: the sender has closed the connection", k.name)
				}
				ended = true
			}
		}
	}
}
