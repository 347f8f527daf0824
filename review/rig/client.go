package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e000000000000+lastID.Add(1)) }

// client is one session of a caller.
type client struct {
	name   string
	daemon *daemon
	net    net.Conn
	reader *bufio.Reader
	state  byte
}

// answer is the answer to one query.
type answer struct {
	rows         []string
	digest, code string
	complete     bool // Whether READY has arrived.
	err          error
	sent, ended  time.Time
	id           string
}

func (a answer) String() string {
	switch {
	case !a.complete:
		return fmt.Sprintf("no complete answer: %v", a.err)
	case a.code != "":
		return "ERROR " + a.code
	}
	return "COMPLETE " + a.digest
}

// connect opens a session at the daemon.
func connect(name string, d *daemon, database string) (*client, error) {
	n, err := net.DialTimeout("tcp", d.front, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, daemon: d, net: n, reader: bufio.NewReader(n), state: 'I'}
	n.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(n, "STARTUP %s %s\r\n", database, name)
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		n.Close()
		return nil, fmt.Errorf("no session: %q %v", strings.TrimSpace(line), err)
	}
	n.SetDeadline(time.Time{})
	return c, nil
}

// query sends one query and waits for its answer.
func (c *client) query(text string) answer { return c.queryAs(newID(), text) }

func (c *client) queryAs(id, text string) answer {
	a := answer{id: id}
	c.net.SetDeadline(time.Now().Add(8 * time.Second))
	_, err := c.net.Write([]byte("QUERY " + id + " " + text + "\r\n"))
	a.sent = time.Now()
	for err == nil && !a.complete {
		var line string
		if line, err = c.reader.ReadString('\n'); err != nil {
			break
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.digest = rest
		case "ERROR":
			a.code = rest
		case "READY":
			a.complete = true
			if rest != "" {
				c.state = rest[0]
			}
		}
	}
	a.err, a.ended = err, time.Now()
	return a
}

func (c *client) close() { c.net.Close() }
