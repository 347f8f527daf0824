package client

import (
	"context"
	"strconv"
	"sync"

	"tarragonshed.example/wire/operator/gen/daemon"
)

// Reply is what one daemon of a deployment answered.
type Reply[A any] struct {
	ID     string
	Domain string
	State  string
	Answer A
	Err    error
}

// CallAll asks all daemons that the first one knows and that are not dead, at once. It
// returns an error only when the first one can't be asked for the others.
func CallAll[A any](ctx context.Context, c *Client, first string, ask func(context.Context, *Daemon) (A, error)) ([]Reply[A], error) {
	status, err := c.Daemon(first).Status(ctx)
	if err != nil {
		return nil, err
	}
	var asked []*daemon.Daemon
	for _, d := range status.Daemons {
		if d.State != "dead" {
			asked = append(asked, d)
		}
	}
	replies := make([]Reply[A], len(asked))
	var wg sync.WaitGroup
	for i, d := range asked {
		wg.Go(func() {
			answer, err := ask(ctx, c.Daemon(d.OperatorAddress))
			replies[i] = Reply[A]{ID: d.ID, Domain: d.Domain, State: d.State, Answer: answer, Err: err}
		})
	}
	wg.Wait()
	return replies, nil
}

// PartialError returns a Failure with [ExitPartial] when some daemons did not answer.
func PartialError[A any](replies []Reply[A]) error {
	missing := 0
	for _, r := range replies {
		if r.Err != nil {
			missing++
		}
	}
	if missing == 0 {
		return nil
	}
	return &Failure{Exit: ExitPartial, Detail: plural(missing) + " did not answer"}
}

func plural(n int) string {
	if n == 1 {
		return "1 daemon"
	}
	return strconv.Itoa(n) + " daemons"
}
