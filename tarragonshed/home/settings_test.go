package home_test

import (
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// TestRefusedSettings checks that no statement runs on a connection that has refused the settings of
// its session, neither at once nor when the connection is used again.
func TestRefusedSettings(t *testing.T) {
	for _, code := range []string{"22023", "53400"} {
		t.Run(code, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			refusals := 0
			applied := make(map[int]string) // The last settings of each connection.
			var ran []string
			f := newFake(t, func(b *pgproto3.Backend, n int, message pgproto3.FrontendMessage) {
				q, ok := message.(*pgproto3.Query)
				if !ok {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if !strings.Contains(q.String, "SET ") {
					ran = append(ran, applied[n])
					row(b, q.String)
					return
				}
				if refusals < 3 && strings.Contains(q.String, "second") {
					refusals++
					b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "injected by the test"})
				} else {
					applied[n] = q.String
					b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
				}
				b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			})
			h := newFakeHome(t, f)
			s := h.Open()
			defer s.Close()
			for _, office := range []string{"first", "second", "second", "second", "second", "first"} {
				o := write("a")
				o.Settings = map[string][]byte{"office": []byte(office)}
				mu.Lock()
				before := len(ran)
				mu.Unlock()
				refused := query(t, s, o, "mine").refused != 0
				mu.Lock()
				is.Equal(refused, len(ran) == before)
				if !refused {
					is.True(strings.Contains(ran[before], office))
				}
				mu.Unlock()
			}
			is.Equal(refusals, 3)
			is.Equal(len(ran), 3)
		})
	}
}
