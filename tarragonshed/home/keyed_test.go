package home_test

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"tarragonshed.example/result"
	"tarragonshed.example/wire/peer"
)

func keyed(key string) *peer.Open {
	o := write("a")
	o.RequestKey = []byte(key)
	return o
}

func claiming(key string) *peer.Open {
	o := keyed(key)
	o.ClaimKey = true
	return o
}

func TestRequestKeys(t *testing.T) {
	const insert = "INSERT INTO batches VALUES (1, 'one')"
	r := newRig(t)
	r.table(t)
	s := r.home.Open()
	defer s.Close()
	t.Run("make a request run once", func(t *testing.T) {
		is := is.New(t)
		first := query(t, s, keyed("k1"), insert)
		is.Equal(first.text, "INSERT 0 1;")
		is.Equal(first.status, byte('I'))
		again := query(t, s, keyed("k1"), insert)
		is.Equal(again.text, "INSERT 0 1;")
		is.True(again.position.AtLeast(first.position))
		is.Equal(query(t, s, write("a"), "SELECT count(*) FROM batches").text, "T 1 SELECT 1;")
	})
	t.Run("replay the answer to an extended batch", func(t *testing.T) {
		begin(t, s, keyed("k1"))
		send(t, s, &peer.Batch{Messages: messages(&pgproto3.Parse{Query: insert}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}), Last: true})
		is.New(t).Equal(receive(t, s).text, "1 2 n INSERT 0 1;")
	})
	t.Run("are not used up by a failed request", func(t *testing.T) {
		is := is.New(t)
		failed := query(t, s, keyed("k2"), insert)
		is.Equal(failed.text, "error 23505;")
		is.Equal(failed.status, byte('I'))
		is.Equal(query(t, s, keyed("k2"), "INSERT INTO batches VALUES (2, 'two')").text, "INSERT 0 1;")
	})
	t.Run("are not used up by preparing", func(t *testing.T) {
		begin(t, s, keyed("k3"))
		send(t, s, &peer.Batch{Messages: messages(&pgproto3.Parse{Query: insert}, &pgproto3.Sync{}), Last: true})
		is.New(t).Equal(receive(t, s).text, "1 ")
		is.New(t).Equal(query(t, s, keyed("k3"), "INSERT INTO batches VALUES (3, 'three')").text, "INSERT 0 1;")
	})
	t.Run("claimed as cancelled prevent a late request from running", func(t *testing.T) {
		is := is.New(t)
		is.Equal(query(t, s, claiming("k4"), insert).refused, result.RequestCancelled)
		is.Equal(query(t, s, keyed("k4"), "INSERT INTO batches VALUES (4, 'four')").refused, result.RequestCancelled)
		is.Equal(query(t, s, claiming("k4"), insert).refused, result.RequestCancelled)
	})
	t.Run("claimed after the request return its outcome", func(t *testing.T) {
		is.New(t).Equal(query(t, s, claiming("k1"), insert).text, "INSERT 0 1;")
	})
	t.Run("cover a transaction", func(t *testing.T) {
		is := is.New(t)
		for i, want := range []result.Code{0, result.RequestDone} {
			o := keyed("k5")
			o.Begins = true
			begun := query(t, s, o, "BEGIN")
			is.Equal(begun.refused, want)
			if i == 0 {
				is.Equal(query(t, s, nil, "INSERT INTO batches VALUES (5, 'five')").text, "INSERT 0 1;")
				is.Equal(query(t, s, nil, "COMMIT").status, byte('I'))
			}
		}
	})
	t.Run("can be claimed after the transaction is lost", func(t *testing.T) {
		is := is.New(t)
		o := keyed("k6")
		o.Begins = true
		is.Equal(query(t, s, o, "BEGIN").status, byte('T'))
		s.Close() // The caller disconnects, and the transaction is rolled back.
		other := r.home.Open()
		defer other.Close()
		is.Equal(query(t, other, claiming("k6"), "BEGIN").refused, result.RequestCancelled)
	})
}
