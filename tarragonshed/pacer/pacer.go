// Package pacer measures how much of the response to an HTTP call has arrived.
//
// # Usage
//
//	client := &http.Client{Transport: pacer.Transport(http.DefaultTransport)}
//	ctx, call := pacer.Begin(ctx)
//	response, err := client.Do(request.WithContext(ctx))
//	...
//	logger.Info("response received", "bytes", call.Received(), "took", call.Took())
package pacer

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Call is the progress of one call. It is safe for concurrent use.
type Call struct {
	began    time.Time
	received atomic.Int64
}

// callKey is the key of the [Call] in a context.
type callKey struct{}

// Begin returns a context for one call whose client uses [Transport], and its progress.
func Begin(ctx context.Context) (context.Context, *Call) {
	c := &Call{began: time.Now()}
	return context.WithValue(ctx, callKey{}, c), c
}

// Received returns how many bytes of the response's body have been read.
func (c *Call) Received() int64 { return c.received.Load() }

// Took returns the time since the call began.
func (c *Call) Took() time.Duration { return time.Since(c.began) }

// transport records the progress of calls.
type transport struct{ http.RoundTripper }

// Transport returns a transport that records the progress of the calls of [Begin] over base.
func Transport(base http.RoundTripper) http.RoundTripper { return transport{base} }

// RoundTrip implements [http.RoundTripper].
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if c, ok := request.Context().Value(callKey{}).(*Call); ok && err == nil {
		response.Body = &body{ReadCloser: response.Body, call: c}
	}
	return response, err
}

// body is the body of a response whose progress is recorded.
type body struct {
	io.ReadCloser
	call *Call
}

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.call.received.Add(int64(n))
	return n, err
}
