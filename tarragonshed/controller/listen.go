package controller

import (
	"context"

	"github.com/gravitational/trace"
	"tarragonshed.example/instance"
	"tarragonshed.example/tarragonshed/dialer"
)

// Listen opens a connection to the instance at the host:port address and calls
// receive with its present report and with each later one that it pushes. It
// returns when the connection breaks or ctx ends; the error is never nil.
func Listen(ctx context.Context, dial dialer.Func, address string, receive func(instance.Report), options ...Option) error {
	var malformed error
	deliver := func(payload string) {
		report, err := parse([]byte(payload))
		if err != nil {
			malformed = err
			return
		}
		receive(report)
	}
	options = append(options, func(s *settings) { s.notify = deliver })
	conn, err := Dial(ctx, dial, address, options...)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.pg.Exec(ctx, "LISTEN "+Channel).ReadAll(); err != nil {
		return trace.Wrap(err, "controller: listen on %s", address)
	}
	report, err := conn.Status(ctx)
	if err != nil {
		return err
	}
	receive(report)
	for malformed == nil {
		if err := conn.pg.WaitForNotification(ctx); err != nil {
			return trace.Wrap(err, "controller: wait for a report of %s", address)
		}
	}
	return malformed
}
