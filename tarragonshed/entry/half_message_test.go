package entry

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"tarragonshed.example/result"
)

// TestHalfMessageIsRefused guards against sessions that hold half a message for ever.
func TestHalfMessageIsRefused(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for name, half := range map[string][]byte{
		"a type":           {'Q'},
		"a header":         {'Q', 0, 1, 0, 0},
		"a part of a body": append([]byte{'Q', 0, 1, 0, 0}, make([]byte, 5000)...),
		"after a message":  append([]byte{'S', 0, 0, 0, 4}, 'Q', 0, 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t, WithLimits(Limits{StatementTimeout: timeout}))
			conn, err := b.connect("").PgConn().Hijack()
			is.NoErr(err)
			is.NoErr(conn.Conn.SetDeadline(time.Now().Add(testTimeout)))
			_, err = conn.Conn.Write(half)
			is.NoErr(err)
			for {
				message, err := conn.Frontend.Receive()
				is.NoErr(err)
				if refused, ok := message.(*pgproto3.ErrorResponse); ok {
					is.Equal(refused.Message[:6], result.ProtocolViolation.String())
					return
				}
			}
		})
	}
}
