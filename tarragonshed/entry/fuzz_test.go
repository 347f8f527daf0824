package entry

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"tarragonshed.example/tarragonshed/admitter"
	"tarragonshed.example/tarragonshed/entry/framer"
)

// FuzzBatch collects arbitrary messages. The messages for the home must be
// complete, and planning must not panic.
func FuzzBatch(f *testing.F) {
	seed, _ := (&pgproto3.Parse{Name: "p", Query: "SELECT $1", ParameterOIDs: []uint32{25}}).Encode(nil)
	seed = append(seed, executeMessages()...)
	f.Add(seed)
	query, _ := (&pgproto3.Query{String: "BEGIN; SET a = 'b'; RESET a; COMMIT"}).Encode(nil)
	f.Add(query)
	describe, _ := (&pgproto3.Describe{ObjectType: 'S', Name: "p"}).Encode(seed)
	f.Add(append(describe, 'C', 0, 0, 0, 6, 'S', 0))
	limits := Limits{MaxBatch: 1 << 16, Memory: 1 << 16}.withDefaults()
	a := admitter.New(limits.budgetLimits())
	f.Cleanup(a.Close)
	conn, _ := net.Pipe()
	f.Fuzz(func(t *testing.T, data []byte) {
		e := &Entry{limits: limits}
		budget, refusal := a.Open(conn, &connection{entry: e, conn: conn})
		if refusal != nil {
			t.Fatal(refusal)
		}
		defer func() {
			budget.Close()
			if a.Used() != 0 || a.Sessions() != 0 {
				t.Fatalf("%d bytes and %d sessions are left", a.Used(), a.Sessions())
			}
		}()
		s := &session{entry: e, status: statusIdle, budget: budget}
		s.options.stalenessSet = true
		b := newBatch(s)
		framer.Walk(data, func(kind byte, body []byte) bool {
			return b.add(kind, body) == nil && !b.ended
		})
		if b.fault == nil && !framer.Walk(b.messages, func(byte, []byte) bool { return true }) {
			t.Fatalf("the messages for the home are incomplete: %q", b.messages)
		}
		s.plan(b)
	})
}
