// Package pacer bounds HTTP calls by their progress: a call may take as long as its response
// keeps arriving, whatever its size, and is cancelled once nothing has arrived for some time. A
// limit for the whole call would have to know how large the response is and how much the link
// carries beside it.
//
// # Usage
//
//	client := &http.Client{Transport: pacer.Transport(http.DefaultTransport)}
//	ctx, call := pacer.Begin(ctx, 400*time.Millisecond)
//	defer call.End()
//	response, err := client.Do(request.WithContext(ctx))
//	...
//	logger.Info("response received", "bytes", call.Received(), "took", call.Took())
package pacer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// ErrStalled is the cause with which a call is cancelled whose response does not arrive. It is a
// [context.DeadlineExceeded].
var ErrStalled = fmt.Errorf("pacer: the response stalled: %w", context.DeadlineExceeded)

// Call is the progress of one call. It is safe for concurrent use.
type Call struct {
	began    time.Time
	first    time.Duration
	patience time.Duration
	stalled  *time.Timer // Cancels the call.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	limit    time.Duration      // How long the whole call may take, or zero.
	release  context.CancelFunc // Releases the timer of the limit, if there is one.
	received atomic.Int64
	// progressed is the duration from the beginning of the call to its last progress.
	progressed atomic.Int64
}

// callKey is the key of the [Call] in a context.
type callKey struct{}

// Option configures a Call under construction.
type Option func(*Call)

// WithFirst sets how long the response may take to begin, if that is not the patience.
func WithFirst(d time.Duration) Option { return func(c *Call) { c.first = d } }

// WithLimit sets the time that the whole call may take.
func WithLimit(d time.Duration) Option { return func(c *Call) { c.limit = d } }

// Begin returns a context for one call whose client uses [Transport], and its progress. The context
// is cancelled with [ErrStalled] when no part of the response has arrived for the time of the
// patience. The caller must call End when it has read the response.
func Begin(ctx context.Context, patience time.Duration, options ...Option) (context.Context, *Call) {
	c := &Call{began: time.Now(), first: patience, patience: patience}
	for _, option := range options {
		option(c)
	}
	ctx, c.cancel = context.WithCancelCause(ctx)
	if c.limit > 0 {
		ctx, c.release = context.WithTimeout(ctx, c.limit)
	}
	c.ctx = ctx
	c.stalled = time.AfterFunc(c.first, func() { c.cancel(ErrStalled) })
	return context.WithValue(ctx, callKey{}, c), c
}

// End releases the resources of the call.
func (c *Call) End() {
	c.stalled.Stop()
	c.cancel(nil)
	if c.release != nil {
		c.release()
	}
}

// Received returns how many bytes of the response's body have been read.
func (c *Call) Received() int64 { return c.received.Load() }

// Arriving reports whether bytes of the response have arrived, the last ones less than d ago.
func (c *Call) Arriving(d time.Duration) bool {
	return c.Received() > 0 && c.Took()-time.Duration(c.progressed.Load()) < d
}

// Took returns the time since the call began.
func (c *Call) Took() time.Duration { return time.Since(c.began) }

// Record records that n bytes of the response to the call of the context have arrived. [Transport]
// calls it for HTTP.
func Record(ctx context.Context, n int) {
	if c, ok := ctx.Value(callKey{}).(*Call); ok {
		c.progress(n)
	}
}

// Err returns [ErrStalled] in place of err if the call was cancelled because of it.
func (c *Call) Err(err error) error {
	if err != nil && errors.Is(context.Cause(c.ctx), ErrStalled) {
		return ErrStalled
	}
	return err
}

// progress records that some bytes have arrived.
func (c *Call) progress(n int) {
	c.received.Add(int64(n))
	c.progressed.Store(int64(c.Took()))
	c.stalled.Reset(c.patience)
}

// transport records the progress of calls.
type transport struct{ http.RoundTripper }

// Transport returns a transport that records the progress of the calls of [Begin] over base.
func Transport(base http.RoundTripper) http.RoundTripper { return transport{base} }

// RoundTrip implements [http.RoundTripper].
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err == nil {
		Record(request.Context(), 0)
		response.Body = &body{ReadCloser: response.Body, ctx: request.Context()}
	}
	return response, err
}

// body is the body of a response whose progress is recorded.
type body struct {
	io.ReadCloser
	ctx context.Context
}

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		Record(b.ctx, n)
	}
	return n, err
}
