package client

import (
	"context"
	"strconv"
	"sync"

	"tarragonshed.example/wire/operator/gen/daemon"
)

// Reply is the response of one daemon of a deployment. Domain and State are those on the
// member list of the daemon that was called first. Answer is valid only if Err is nil.
type Reply[A any] struct {
	ID     string
	Domain string
	State  string
	Answer A
	Err    error
}

// CallAll calls f concurrently for each daemon on the member list of the first daemon,
// except those in state dead. first is the host:port of its operator API. CallAll
// returns an error only if the member list cannot be fetched; an error of f is in the
// reply of its daemon.
func CallAll[A any](ctx context.Context, c *Client, first string, f func(context.Context, *Daemon) (A, error)) ([]Reply[A], error) {
	status, err := c.Daemon(first).Status(ctx)
	if err != nil {
		return nil, err
	}
	var called []*daemon.Daemon
	for _, d := range status.Daemons {
		if d.State != "dead" {
			called = append(called, d)
		}
	}
	replies := make([]Reply[A], len(called))
	var wg sync.WaitGroup
	for i, d := range called {
		wg.Go(func() {
			answer, err := f(ctx, c.Daemon(d.OperatorAddress))
			replies[i] = Reply[A]{ID: d.ID, Domain: d.Domain, State: d.State, Answer: answer, Err: err}
		})
	}
	wg.Wait()
	return replies, nil
}

// PartialError returns a [Failure] with [ExitPartial] if at least one reply is an error,
// and nil otherwise.
func PartialError[A any](replies []Reply[A]) error {
	failed := 0
	for _, r := range replies {
		if r.Err != nil {
			failed++
		}
	}
	if failed == 0 {
		return nil
	}
	return &Failure{Exit: ExitPartial, Detail: formatDaemonCount(failed) + " did not answer"}
}

func formatDaemonCount(n int) string {
	if n == 1 {
		return "1 daemon"
	}
	return strconv.Itoa(n) + " daemons"
}
