// Package tunneler carries connections to instances through another daemon.
//
// # Why
//
// One daemon's broken path to an instance is no reason to do without the instance
// while other daemons reach it. A daemon that is cut off opens its connections
// through one of those: bytes are passed on as they are, so whoever opened the
// connection keeps its session, its position and its authority.
//
// # Usage
//
//	http.Handle(tunneler.Path, tunneler.New(dialer.Default, isInstance))
//	...
//	conn, err := tunneler.Dial(ctx, dialer.Default, "10.1.0.8:8782", "10.128.0.9:8080")
package tunneler

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"tarragonshed.example/tarragonshed/dialer"
)

// Path is where a daemon serves tunnels.
const Path = "/tunnel"

const (
	upgrade = "tarragonshed-tunnel"
	// connectTimeout bounds the opening of the far end.
	connectTimeout = time.Second
)

// Handler serves tunnels to the addresses that Allowed accepts.
type Handler struct {
	dial    dialer.Func
	allowed func(address string) bool
}

// New returns a Handler that opens the far ends by dial.
func New(dial dialer.Func, allowed func(address string) bool) *Handler {
	return &Handler{dial: dial, allowed: allowed}
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.URL.Query().Get("address")
	if r.Header.Get("Upgrade") != upgrade || !h.allowed(address) {
		http.Error(w, "no tunnel leads there", http.StatusForbidden)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), connectTimeout)
	defer stop()
	far, err := h.dial(ctx, "tcp", address)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer far.Close()
	near, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer near.Close()
	if _, err := fmt.Fprintf(near, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", upgrade); err != nil {
		return
	}
	splice(near, buffered.Reader, far)
}

// splice passes bytes on both ways until one end closes.
func splice(near net.Conn, fromNear io.Reader, far net.Conn) {
	var ends sync.WaitGroup
	pass := func(to net.Conn, from io.Reader) {
		_, _ = io.Copy(to, from) // Either end may be gone: then so is the tunnel.
		_ = near.Close()
		_ = far.Close()
	}
	ends.Go(func() { pass(far, fromNear) })
	ends.Go(func() { pass(near, far) })
	ends.Wait()
}

// conn is the near end of a tunnel.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements [net.Conn].
func (c conn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// Dial opens a connection to the address through the daemon that others reach at
// peer.
func Dial(ctx context.Context, dial dialer.Func, peer, address string) (net.Conn, error) {
	c, err := dial(ctx, "tcp", peer)
	if err != nil {
		return nil, fmt.Errorf("tunneler: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	opened, err := open(c, peer, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("tunneler: through %s to %s: %w", peer, address, err)
	}
	return opened, nil
}

func open(c net.Conn, peer, address string) (net.Conn, error) {
	query := url.Values{"address": {address}}.Encode()
	_, err := fmt.Fprintf(c, "GET %s?%s HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", Path, query, peer, upgrade)
	if err != nil {
		return nil, err
	}
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return conn{Conn: c, reader: reader}, nil
}
