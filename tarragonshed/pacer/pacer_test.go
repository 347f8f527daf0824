package pacer_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/tarragonshed/pacer"
)

const (
	first    = 3 * time.Second
	patience = time.Second
	limit    = 10 * time.Second
)

// response is a response of some bytes, each of which arrives after a pause.
type response struct {
	ctx   context.Context
	bytes int
	pause time.Duration
}

// Read implements io.Reader.
func (r *response) Read(p []byte) (int, error) {
	if r.bytes == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(r.pause):
		r.bytes--
		return copy(p, "x"), nil
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
}

// Close implements io.Closer.
func (*response) Close() error { return nil }

// server responds after some time.
type server struct {
	after time.Duration
	response
}

// RoundTrip implements http.RoundTripper.
func (s server) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-time.After(s.after):
		s.ctx = r.Context()
		return &http.Response{StatusCode: http.StatusOK, Body: &s.response, Request: r}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// call makes one call to the server and returns its error.
func call(t *testing.T, s server) (*pacer.Call, error) {
	t.Helper()
	ctx, c := pacer.Begin(t.Context(), patience, pacer.WithFirst(first), pacer.WithLimit(limit))
	defer c.End()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://server/", nil)
	is.New(t).NoErr(err)
	r, err := pacer.Transport(s).RoundTrip(request)
	if err != nil {
		return c, c.Err(err)
	}
	_, err = io.ReadAll(r.Body)
	return c, c.Err(err)
}

func TestCall(t *testing.T) {
	for name, c := range map[string]struct {
		server server
		want   error
		bytes  int64
	}{
		"slow but steady":       {server{0, response{bytes: 9, pause: patience - 1}}, nil, 9},
		"late":                  {server{first - 1, response{bytes: 1}}, nil, 1},
		"too late":              {server{after: first + 1}, pacer.ErrStalled, 0},
		"stalled on the way":    {server{0, response{bytes: 9, pause: patience + 1}}, pacer.ErrStalled, 0},
		"steady over the limit": {server{0, response{bytes: 30, pause: patience / 2}}, context.DeadlineExceeded, 19},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				made, err := call(t, c.server)
				is.True(errors.Is(err, c.want))
				is.True(made.Received() >= c.bytes)
			})
		})
	}
}
