package home_test

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"tarragonshed.example/instance"
	"tarragonshed.example/member"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/home"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

func TestUnconfirmedWrites(t *testing.T) {
	const insert = "INSERT INTO batches VALUES (1, 'one')"
	// strand makes a write on a that c has not received, and b not either unless
	// the group has further members, which can't be reached.
	strand := func(t *testing.T, timeout time.Duration, members ...unit.InstanceName) (*rig, link) {
		r := newRig(t)
		p := r.table(t)
		for _, i := range []unit.InstanceName{"b", "c"} {
			eventually(t, func() bool {
				report, _ := r.home.Last(i)
				return report.Last.AtLeast(p)
			})
		}
		if len(members) == 0 {
			r.b.SetReceiveLag(time.Hour)
		}
		r.c.SetReceiveLag(time.Hour)
		r.holder.AdoptManifest(r.manifest(2, members...))
		l := r.home.Open()
		t.Cleanup(l.Close)
		o := write("a")
		o.TimeoutMicroseconds = uint64(timeout.Microseconds())
		begin(t, l, o)
		send(t, l, simple(insert))
		eventually(t, func() bool {
			next := unit.Position{Term: p.Term, Index: p.Index + 1}
			return r.a.Report().Last.AtLeast(next) && (len(members) == 0 || r.b.Report().Last.AtLeast(next))
		})
		return r, l
	}
	t.Run("end as unconfirmed at the deadline", func(t *testing.T) {
		_, l := strand(t, 300*time.Millisecond)
		is.New(t).Equal(receive(t, l).refused, result.Unconfirmed)
	})
	t.Run("end as unconfirmed when the new primary lacks them", func(t *testing.T) {
		r, l := strand(t, patience)
		is.New(t).NoErr(r.a.Close())
		r.b.SetReceiveLag(0)
		r.c.SetReceiveLag(0)
		r.promote(t, 2, r.b, r.c)
		a := receive(t, l)
		is.New(t).Equal(a.refused, result.Unconfirmed)
	})
	t.Run("are acknowledged when the new primary has them", func(t *testing.T) {
		is := is.New(t)
		r, l := strand(t, patience, "x", "y") // With two more, b alone makes no majority.
		is.NoErr(r.a.Close())
		r.c.SetReceiveLag(0)
		r.promote(t, 2, r.b, r.c)
		is.NoErr(r.a.Restart())
		report, err := r.control(t, r.a).Follow(t.Context(), 2, "b", r.b.Address())
		is.NoErr(err)
		is.Equal(report.Term, unit.Term(2))
		a := receive(t, l)
		is.Equal(a.text, "INSERT 0 1;")
		is.Equal(a.position.Term, unit.Term(2)) // The later record's.
		is.Equal(query(t, l, write("b"), "SELECT note FROM batches").text, "T one SELECT 1;")
	})
}

func TestReadsOfUnconfirmedRecordsAreWithheld(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.table(t)
	r.b.SetReceiveLag(time.Hour)
	r.c.SetReceiveLag(time.Hour)
	w := r.home.Open()
	defer w.Close()
	begin(t, w, write("a"))
	send(t, w, simple("INSERT INTO batches VALUES (1, 'one')"))
	before := r.a.Report().Last
	eventually(t, func() bool { return before.Before(r.a.Report().Last) || before.Index > 2 })
	l := r.home.Open()
	defer l.Close()
	o := write("a")
	o.TimeoutMicroseconds = 200_000
	a := query(t, l, o, "SELECT note FROM batches")
	is.Equal(a.refused, result.NoMajority)
	is.True(!a.answered)
}

func TestLostPrimary(t *testing.T) {
	t.Run("before a statement is unreachable", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		is.NoErr(r.a.Close())
		l := r.home.Open()
		defer l.Close()
		eventually(t, func() bool { _, ok := r.home.Last("a"); return !ok })
		is.Equal(query(t, l, write("a"), "SELECT 1").refused, result.InstanceUnreachable)
	})
	t.Run("during a statement is unknown", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		l := r.home.Open()
		defer l.Close()
		begin(t, l, write("a"))
		send(t, l, simple("SELECT pg_sleep(30)"))
		time.AfterFunc(50*time.Millisecond, func() { _ = r.a.Close() })
		is.Equal(receive(t, l).refused, result.ConnectionLost)
	})
	t.Run("between statements ends the transaction", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		l := r.home.Open()
		defer l.Close()
		is.Equal(query(t, l, write("a"), "BEGIN").status, byte('T'))
		is.NoErr(r.a.Close())
		is.Equal(receive(t, l).refused, result.TransactionEnded)
	})
	t.Run("that returns is used again", func(t *testing.T) {
		r := newRig(t)
		l := r.home.Open()
		defer l.Close()
		is.New(t).NoErr(r.a.Close())
		is.New(t).NoErr(r.a.Restart())
		eventually(t, func() bool { return query(t, l, write("a"), "SELECT 1").text == "T 1 SELECT 1;" })
	})
}

func TestVanishedCallers(t *testing.T) {
	t.Run("in the middle of a transaction are rolled back", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.table(t)
		gone := r.home.Open()
		is.Equal(query(t, gone, write("a"), "BEGIN").status, byte('T'))
		is.Equal(query(t, gone, nil, "INSERT INTO batches VALUES (1, 'one')").text, "INSERT 0 1;")
		gone.Close()
		l := r.home.Open()
		defer l.Close()
		is.Equal(query(t, l, write("a"), "INSERT INTO batches VALUES (1, 'two')").text, "INSERT 0 1;")
	})
	t.Run("during a statement have it cancelled", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		for range 6 { // More than the slots.
			gone := r.home.Open()
			begin(t, gone, write("a"))
			send(t, gone, simple("SELECT pg_sleep(300)"))
			time.AfterFunc(20*time.Millisecond, gone.Close)
		}
		l := r.home.Open()
		defer l.Close()
		eventually(t, func() bool { return query(t, l, write("a"), "SELECT 1").text == "T 1 SELECT 1;" })
		is.True(r.a.Connections() <= 20)
	})
	t.Run("before the end of a batch have it undone", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.table(t)
		gone := r.home.Open()
		begin(t, gone, write("a"))
		send(t, gone, &peer.Batch{Messages: messages(
			&pgproto3.Parse{Query: "INSERT INTO batches VALUES (1, 'one')"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})})
		response, err := gone.Receive()
		is.NoErr(err)
		is.True(response.GetAnswer() != nil)
		gone.Close()
		l := r.home.Open()
		defer l.Close()
		eventually(t, func() bool {
			return query(t, l, write("a"), "INSERT INTO batches VALUES (1, 'two')").text == "INSERT 0 1;"
		})
	})
}

func TestCancel(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	l := r.home.Open()
	defer l.Close()
	begin(t, l, write("a"))
	send(t, l, simple("SELECT pg_sleep(300)"))
	time.AfterFunc(20*time.Millisecond, func() {
		_ = l.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Cancel{Cancel: &peer.Cancel{}}})
	})
	a := receive(t, l)
	if a.refused == 0 {
		is.Equal(a.text, "error 57014;")
	} else {
		is.Equal(a.refused, result.CancelledUnsent)
	}
	is.Equal(query(t, l, write("a"), "SELECT 1").text, "T 1 SELECT 1;")
}

func TestReports(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	p := r.table(t)
	report, err := r.home.Report(withTimeout(t), "a", false)
	is.NoErr(err)
	is.Equal(report.Role, instance.Primary)
	is.True(report.Last.AtLeast(p))
}

func TestShutdownLetsTransactionsEnd(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	l := r.home.Open()
	defer l.Close()
	is.Equal(query(t, l, write("a"), "BEGIN").status, byte('T'))
	ended := make(chan error, 1)
	go func() { ended <- r.home.Shutdown(withTimeout(t)) }()
	other := r.home.Open()
	defer other.Close()
	eventually(t, func() bool { return query(t, other, write("a"), "SELECT 1").refused == result.ShuttingDown })
	is.Equal(len(ended), 0)
	is.Equal(query(t, l, nil, "COMMIT").status, byte('I'))
	is.NoErr(<-ended)
}

func TestLeavingInstances(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	m := r.manifest(2)
	m.Groups[0].Instances[1].Leaving = true
	is.True(r.holder.AdoptManifest(m))
	l := r.home.Open()
	defer l.Close()
	is.Equal(query(t, l, read("b", unit.Position{}), "SELECT 1").refused, result.InstanceLeaving)
}

func TestSilentConnections(t *testing.T) {
	suspicion := []home.Option{home.WithSuspicion(50 * time.Millisecond)}
	t.Run("under a pipelined batch are closed with their idle elders", func(t *testing.T) {
		is := is.New(t)
		r := newRigWith(t, suspicion)
		eventually(t, r.warm) // One that is opened later is not silent.
		r.a.BlackholeConnections()
		l := r.home.Open()
		defer l.Close()
		begin(t, l, write("a"))
		one := messages(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{})
		send(t, l, &peer.Batch{Messages: append(append(one, one...), messages(&pgproto3.Sync{})...), Last: true})
		is.Equal(receive(t, l).refused, result.ConnectionLost)
		for range 6 { // None of the silent ones is left.
			is.Equal(query(t, l, write("a"), "SELECT 1").text, "T 1 SELECT 1;")
		}
	})
	t.Run("are ended by the instance and fill its limit no more", func(t *testing.T) {
		is := is.New(t)
		r := newRigWith(t, suspicion)
		l := r.home.Open()
		defer l.Close()
		for range 8 { // Times five connections at least: the limit is 20.
			eventually(t, r.warm)
			r.a.BlackholeConnections()
			is.Equal(query(t, l, write("a"), "SELECT 1").refused, result.ConnectionLost)
			eventually(t, func() bool { return query(t, l, write("a"), "SELECT 1").text == "T 1 SELECT 1;" })
		}
	})
	t.Run("are told from statements that run long", func(t *testing.T) {
		is := is.New(t)
		r := newRigWith(t, suspicion)
		l := r.home.Open()
		defer l.Close()
		is.Equal(query(t, l, write("a"), "SELECT pg_sleep(0.5)").refused, result.Code(0))
	})
}

func TestFormerHomesGiveConnectionsBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	l := r.home.Open()
	defer l.Close()
	is.Equal(query(t, l, write("a"), "BEGIN").status, byte('T'))
	// All instances become those of a daemon in their own failure domain.
	r.holder.AdoptView(member.View{Self: "d1", Daemons: []member.Daemon{
		{ID: "d1", Domain: "suva-office", State: member.Live}, {ID: "d2", Domain: "lautoka-shed", State: member.Live},
	}})
	eventually(t, func() bool { return r.b.Connections() == 0 })
	is.Equal(query(t, l, nil, "COMMIT").status, byte('I'))
	eventually(t, func() bool { return r.a.Connections() == 0 })
}

func TestLossWhileSettingsAreAppliedIsNoMalformedOption(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.table(t)
	l := r.home.Open()
	defer l.Close()
	is.Equal(query(t, l, write("a"), "SELECT 1").refused, result.Code(0)) // Connections are open.
	r.a.Pause()
	o := write("a")
	o.Settings = map[string]string{"application_name": "other"}
	begin(t, l, o)
	send(t, l, simple("SELECT 1"))
	time.AfterFunc(50*time.Millisecond, func() { _ = r.a.Close() })
	is.Equal(receive(t, l).refused, result.InstanceUnreachable)
}

// TestForsakenPrimary pauses the primary under a statement: once another one
// leads, its caller is told that the outcome is unknown.
func TestForsakenPrimary(t *testing.T) {
	is := is.New(t)
	r := newRigWith(t, []home.Option{home.WithSuspicion(time.Hour)})
	r.table(t)
	l := r.home.Open()
	defer l.Close()
	is.Equal(query(t, l, write("a"), "SELECT 1").text, "T 1 SELECT 1;")
	r.a.Pause()
	defer r.a.Resume()
	o := write("a")
	o.TimeoutMicroseconds = 60e6
	begin(t, l, o)
	send(t, l, simple("INSERT INTO batches VALUES (1, 'one')"))
	r.promote(t, 2, r.b, r.c)
	is.Equal(receive(t, l).refused, result.ConnectionLost)
}
