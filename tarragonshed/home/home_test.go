package home_test

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"tarragonshed.example/result"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

func TestWritesAndReads(t *testing.T) {
	r := newRig(t)
	r.table(t)
	s := r.home.Open()
	defer s.Close()
	t.Run("a write returns its position", func(t *testing.T) {
		is := is.New(t)
		a := query(t, s, write("a"), "INSERT INTO batches VALUES (1, 'one')")
		is.Equal(a.text, "INSERT 0 1;")
		is.Equal(a.status, byte('I'))
		is.Equal(a.position.Term, unit.Term(1))
		b := query(t, s, withFloorWait(read("b", a.position)), "SELECT note FROM batches")
		is.Equal(b.text, "T one SELECT 1;")
		is.True(b.position.AtLeast(a.position))
	})
	t.Run("a write on a replica is refused", func(t *testing.T) {
		is := is.New(t)
		a := query(t, s, write("b"), "INSERT INTO batches VALUES (2, 'two')")
		is.Equal(a.refused, result.NotPrimary)
	})
	t.Run("a read below its floor is refused", func(t *testing.T) {
		is := is.New(t)
		a := query(t, s, read("b", unit.Position{Term: 1, Index: 1000}), "SELECT 1")
		is.Equal(a.refused, result.InstanceBehind)
		is.True(!a.answered)
	})
	t.Run("a read on the primary is refused", func(t *testing.T) {
		is := is.New(t)
		a := query(t, s, read("a", unit.Position{}), "SELECT 1")
		is.Equal(a.refused, result.InstanceBehind)
	})
	t.Run("reads run in read-only mode", func(t *testing.T) {
		is := is.New(t)
		is.Equal(query(t, s, read("b", unit.Position{}), "SHOW default_transaction_read_only").text, "T on SHOW;")
		o := read("b", unit.Position{})
		o.Settings = map[string][]byte{"application_name": []byte("x")}
		is.Equal(query(t, s, o, "SHOW default_transaction_read_only").text, "T on SHOW;")
	})
	t.Run("a transaction keeps its connection", func(t *testing.T) {
		is := is.New(t)
		is.Equal(query(t, s, write("a"), "BEGIN").status, byte('T'))
		is.Equal(query(t, s, nil, "INSERT INTO batches VALUES (3, 'three')").status, byte('T'))
		other := r.home.Open()
		defer other.Close()
		is.Equal(query(t, other, write("a"), "SELECT count(*) FROM batches").text, "T 1 SELECT 1;")
		is.Equal(query(t, s, nil, "COMMIT").status, byte('I'))
		is.Equal(query(t, other, write("a"), "SELECT count(*) FROM batches").text, "T 2 SELECT 1;")
	})
	t.Run("an error is forwarded and the connection stays usable", func(t *testing.T) {
		is := is.New(t)
		is.Equal(query(t, s, write("a"), "SELECT nothing FROM nowhere").text[:6], "error ")
		is.Equal(query(t, s, write("a"), "SELECT 7").text, "T 7 SELECT 1;")
	})
	t.Run("settings apply to one session only", func(t *testing.T) {
		is := is.New(t)
		o := write("a")
		o.Settings = map[string][]byte{"application_name": []byte("it's")}
		is.Equal(query(t, s, o, "SHOW application_name").text, "T it's SHOW;")
		is.Equal(query(t, s, write("a"), "SHOW application_name").text, "T tarragonshed SHOW;")
	})
}

func withFloorWait(o *peer.Open) *peer.Open {
	o.FloorWaitMicroseconds = 5e6
	return o
}

func execute(name string) []byte {
	return messages(&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}, &pgproto3.Sync{})
}

func TestPreparedStatements(t *testing.T) {
	r := newRig(t)
	one := &peer.Statement{Name: "s", Query: []byte("SELECT 1")}
	two := &peer.Statement{Name: "s", Query: []byte("SELECT 2")}
	broken := &peer.Statement{Name: "x", Query: []byte("SELECT nothing FROM nowhere")}
	s := r.home.Open()
	defer s.Close()
	run := func(t *testing.T, b *peer.Batch) string {
		t.Helper()
		begin(t, s, write("a"))
		b.Last = true
		send(t, s, b)
		return receive(t, s).text
	}
	for _, c := range []struct {
		name  string
		batch *peer.Batch
		want  string
	}{
		{"is injected", &peer.Batch{Messages: execute("s"), Statements: []*peer.Statement{one}}, "2 1 SELECT 1;"},
		{"is reused", &peer.Batch{Messages: execute("s"), Statements: []*peer.Statement{one}}, "2 1 SELECT 1;"},
		{"is replaced by another of the same name", &peer.Batch{Messages: execute("s"), Statements: []*peer.Statement{two}}, "2 2 SELECT 1;"},
		{"is replaced by the caller's Parse", &peer.Batch{Messages: append(messages(&pgproto3.Parse{Name: "s", Query: "SELECT 3"}), execute("s")...)}, "1 2 3 SELECT 1;"},
		{"that fails gives only its error", &peer.Batch{Messages: execute("x"), Statements: []*peer.Statement{broken}}, "error 42601;"},
		{"is prepared again after a failure", &peer.Batch{Messages: execute("x"), Statements: []*peer.Statement{{Name: "x", Query: []byte("SELECT 4")}}}, "2 4 SELECT 1;"},
		{"is skipped after an error", &peer.Batch{Messages: append(messages(
			&pgproto3.Parse{Name: "", Query: "SELECT nothing FROM nowhere"}, &pgproto3.Parse{Name: "s", Query: "SELECT 5"}), execute("s")...)}, "error 42601;"},
		{"is injected after it was skipped", &peer.Batch{Messages: execute("s"), Statements: []*peer.Statement{{Name: "s", Query: []byte("SELECT 5")}}}, "2 5 SELECT 1;"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(run(t, c.batch), c.want)
		})
	}
}

func TestManyPreparedStatements(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	s := r.home.Open()
	defer s.Close()
	for i := range 600 {
		begin(t, s, write("a"))
		name := string(rune('a'+i%26)) + strings.Repeat("x", i/26)
		send(t, s, &peer.Batch{Messages: execute(name), Statements: []*peer.Statement{{Name: name, Query: []byte("SELECT 1")}}, Last: true})
		is.Equal(receive(t, s).text, "2 1 SELECT 1;")
	}
}

func TestLongAnswersAreStreamed(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.table(t)
	s := r.home.Open()
	defer s.Close()
	is.Equal(query(t, s, write("a"), "INSERT INTO batches WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 2000) SELECT i, '"+strings.Repeat("x", 1000)+"' FROM n").text, "INSERT 0 2000;")
	a := query(t, s, write("a"), "SELECT note FROM batches")
	is.True(a.size > 2_000_000)
	is.True(a.parts > 20)
	is.Equal(a.status, byte('I'))
}
