// Package tunneler forwards connections to instances through another daemon.
//
// # Why
//
// A daemon that is partitioned from an instance can still use the instance while
// other daemons reach it: it opens its connections through one of them. Bytes are
// forwarded unchanged, so the daemon that opened the connection keeps its session,
// its position and its authority.
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

// Path is the HTTP path at which a daemon serves tunnels.
const Path = "/tunnel"

const (
	upgradeProtocol = "tarragonshed-tunnel"
	// connectTimeout is the timeout for connecting to the instance.
	connectTimeout = time.Second
)

// Handler serves tunnels to allowed addresses.
type Handler struct {
	dial    dialer.Func
	allowed func(address string) bool
}

// New returns a Handler that connects to instances with dial. It refuses addresses for
// which allowed returns false.
func New(dial dialer.Func, allowed func(address string) bool) *Handler {
	return &Handler{dial: dial, allowed: allowed}
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.URL.Query().Get("address")
	if r.Header.Get("Upgrade") != upgradeProtocol || !h.allowed(address) {
		http.Error(w, "tunnel to this address refused", http.StatusForbidden)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), connectTimeout)
	defer stop()
	upstream, err := h.dial(ctx, "tcp", address)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer upstream.Close()
	downstream, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer downstream.Close()
	if _, err := fmt.Fprintf(downstream, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", upgradeProtocol); err != nil {
		return
	}
	splice(downstream, buffered.Reader, upstream)
}

// splice forwards bytes in both directions until either connection closes.
func splice(downstream net.Conn, fromDownstream io.Reader, upstream net.Conn) {
	var copies sync.WaitGroup
	forward := func(to net.Conn, from io.Reader) {
		_, _ = io.Copy(to, from) // An error on either connection ends the tunnel.
		_ = downstream.Close()
		_ = upstream.Close()
	}
	copies.Go(func() { forward(upstream, fromDownstream) })
	copies.Go(func() { forward(downstream, upstream) })
	copies.Wait()
}

// bufferedConn is a connection through a tunnel. The reader may hold bytes that followed
// the response to the upgrade request.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements [net.Conn].
func (c bufferedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// Dial opens a connection to address through the daemon whose peer address is peer.
func Dial(ctx context.Context, dial dialer.Func, peer, address string) (net.Conn, error) {
	c, err := dial(ctx, "tcp", peer)
	if err != nil {
		return nil, fmt.Errorf("tunneler: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	opened, err := requestUpgrade(c, peer, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("tunneler: through %s to %s: %w", peer, address, err)
	}
	return opened, nil
}

func requestUpgrade(c net.Conn, peer, address string) (net.Conn, error) {
	query := url.Values{"address": {address}}.Encode()
	_, err := fmt.Fprintf(c, "GET %s?%s HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", Path, query, peer, upgradeProtocol)
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
	return bufferedConn{Conn: c, reader: reader}, nil
}
