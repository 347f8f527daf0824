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
	o.RequestKey = key
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
	l := r.home.Open()
	defer l.Close()
	t.Run("let a request run once", func(t *testing.T) {
		is := is.New(t)
		first := query(t, l, keyed("k1"), insert)
		is.Equal(first.text, "INSERT 0 1;")
		is.Equal(first.status, byte('I'))
		again := query(t, l, keyed("k1"), insert)
		is.Equal(again.text, "INSERT 0 1;")
		is.True(again.position.AtLeast(first.position))
		is.Equal(query(t, l, write("a"), "SELECT count(*) FROM batches").text, "T 1 SELECT 1;")
	})
	t.Run("replay the answer to an extended batch", func(t *testing.T) {
		begin(t, l, keyed("k1"))
		send(t, l, &peer.Batch{Messages: messages(&pgproto3.Parse{Query: insert}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}), Last: true})
		is.New(t).Equal(receive(t, l).text, "1 2 n INSERT 0 1;")
	})
	t.Run("are not spent by a failed request", func(t *testing.T) {
		is := is.New(t)
		failed := query(t, l, keyed("k2"), insert)
		is.Equal(failed.text, "error 23505;")
		is.Equal(failed.status, byte('I'))
		is.Equal(query(t, l, keyed("k2"), "INSERT INTO batches VALUES (2, 'two')").text, "INSERT 0 1;")
	})
	t.Run("are not spent by preparing", func(t *testing.T) {
		begin(t, l, keyed("k3"))
		send(t, l, &peer.Batch{Messages: messages(&pgproto3.Parse{Query: insert}, &pgproto3.Sync{}), Last: true})
		is.New(t).Equal(receive(t, l).text, "1 ")
		is.New(t).Equal(query(t, l, keyed("k3"), "INSERT INTO batches VALUES (3, 'three')").text, "INSERT 0 1;")
	})
	t.Run("claimed as cancelled keep the late request from running", func(t *testing.T) {
		is := is.New(t)
		is.Equal(query(t, l, claiming("k4"), insert).refused, result.RequestCancelled)
		is.Equal(query(t, l, keyed("k4"), "INSERT INTO batches VALUES (4, 'four')").refused, result.RequestCancelled)
		is.Equal(query(t, l, claiming("k4"), insert).refused, result.RequestCancelled)
	})
	t.Run("claimed after the request give its outcome", func(t *testing.T) {
		is.New(t).Equal(query(t, l, claiming("k1"), insert).text, "INSERT 0 1;")
	})
	t.Run("cover a transaction", func(t *testing.T) {
		is := is.New(t)
		for i, want := range []result.Code{0, result.RequestDone} {
			o := keyed("k5")
			o.Begins = true
			begun := query(t, l, o, "BEGIN")
			is.Equal(begun.refused, want)
			if i == 0 {
				is.Equal(query(t, l, nil, "INSERT INTO batches VALUES (5, 'five')").text, "INSERT 0 1;")
				is.Equal(query(t, l, nil, "COMMIT").status, byte('I'))
			}
		}
	})
	t.Run("claimed in the middle of the transaction win", func(t *testing.T) {
		is := is.New(t)
		o := keyed("k6")
		o.Begins = true
		is.Equal(query(t, l, o, "BEGIN").status, byte('T'))
		l.Close() // The caller vanishes, the transaction is rolled back.
		other := r.home.Open()
		defer other.Close()
		is.Equal(query(t, other, claiming("k6"), "BEGIN").refused, result.RequestCancelled)
	})
}
