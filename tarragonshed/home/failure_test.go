package home_test

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"tarragonshed.example/instance"
	"tarragonshed.example/member"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/home"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

func TestUnconfirmedWrites(t *testing.T) {
	const insert = "INSERT INTO batches VALUES (1, 'one')"
	// strandWrite starts a write on a that c does not receive, and returns when the home has
	// the answer to its COMMIT. b does not receive it either, unless the group has additional
	// members, which are unreachable.
	strandWrite := func(t *testing.T, timeout time.Duration, members ...unit.InstanceName) (*rig, stream) {
		registry := metrics.NewRegistry()
		executed := metrics.GetOrRegisterTimer("home.execution", registry)
		r := newRigWith(t, []home.Option{home.WithMetrics(registry)})
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
		s := r.home.Open()
		t.Cleanup(s.Close)
		o := write("a")
		o.TimeoutMicroseconds = uint64(timeout.Microseconds())
		begin(t, s, o)
		before := executed.Count()
		send(t, s, simple(insert))
		eventually(t, func() bool { return executed.Count() > before })
		eventually(t, func() bool {
			next := unit.Position{Term: p.Term, Index: p.Index + 1}
			return r.a.Report().Last.AtLeast(next) && (len(members) == 0 || r.b.Report().Last.AtLeast(next))
		})
		return r, s
	}
	t.Run("are refused as unconfirmed at the deadline", func(t *testing.T) {
		_, s := strandWrite(t, 300*time.Millisecond)
		is.New(t).Equal(receive(t, s).refused, result.Unconfirmed)
	})
	t.Run("are refused as unconfirmed when the new primary lacks them", func(t *testing.T) {
		r, s := strandWrite(t, waitTimeout)
		is.New(t).NoErr(r.a.Close())
		r.grant(t, 2, r.b, r.c) // From now on they receive nothing of the earlier term.
		r.b.SetReceiveLag(0)
		r.c.SetReceiveLag(0)
		r.promote(t, 2, r.b, r.c)
		a := receive(t, s)
		is.New(t).Equal(a.refused, result.Unconfirmed)
	})
	t.Run("are acknowledged when the new primary has them", func(t *testing.T) {
		is := is.New(t)
		r, s := strandWrite(t, waitTimeout, "x", "y") // With five members, a and b are no majority.
		is.NoErr(r.a.Close())
		r.grant(t, 2, r.b, r.c)
		r.c.SetReceiveLag(0)
		r.promote(t, 2, r.b, r.c)
		is.NoErr(r.a.Restart())
		report, err := r.control(t, r.a).Follow(t.Context(), 2, "b", r.b.Address())
		is.NoErr(err)
		is.Equal(report.Term, unit.Term(2))
		a := receive(t, s)
		is.Equal(a.text, "INSERT 0 1;")
		is.Equal(a.position.Term, unit.Term(2)) // The position of the new primary's later record.
		is.Equal(query(t, s, write("b"), "SELECT note FROM batches").text, "T one SELECT 1;")
	})
}

func TestReadsOfUnconfirmedRecordsAreRefused(t *testing.T) {
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
	s := r.home.Open()
	defer s.Close()
	o := write("a")
	o.TimeoutMicroseconds = 200_000
	a := query(t, s, o, "SELECT note FROM batches")
	is.Equal(a.refused, result.NoMajority)
	is.True(!a.answered)
}

func TestLostPrimary(t *testing.T) {
	t.Run("before a statement gives an unreachable error", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		is.NoErr(r.a.Close())
		s := r.home.Open()
		defer s.Close()
		eventually(t, func() bool { _, ok := r.home.Last("a"); return !ok })
		is.Equal(query(t, s, write("a"), "SELECT 1").refused, result.InstanceUnreachable)
	})
	t.Run("during a statement leaves the outcome unknown", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		s := r.home.Open()
		defer s.Close()
		begin(t, s, write("a"))
		send(t, s, simple("SELECT pg_sleep(30)"))
		time.AfterFunc(50*time.Millisecond, func() { _ = r.a.Close() })
		is.Equal(receive(t, s).refused, result.ConnectionLost)
	})
	t.Run("between statements ends the transaction", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		s := r.home.Open()
		defer s.Close()
		is.Equal(query(t, s, write("a"), "BEGIN").status, byte('T'))
		is.NoErr(r.a.Close())
		is.Equal(receive(t, s).refused, result.TransactionEnded)
	})
	t.Run("is used again after a restart", func(t *testing.T) {
		r := newRig(t)
		s := r.home.Open()
		defer s.Close()
		is.New(t).NoErr(r.a.Close())
		is.New(t).NoErr(r.a.Restart())
		eventually(t, func() bool { return query(t, s, write("a"), "SELECT 1").text == "T 1 SELECT 1;" })
	})
}

func TestDisconnectedCallers(t *testing.T) {
	t.Run("within a transaction have it rolled back", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.table(t)
		disconnected := r.home.Open()
		is.Equal(query(t, disconnected, write("a"), "BEGIN").status, byte('T'))
		is.Equal(query(t, disconnected, nil, "INSERT INTO batches VALUES (1, 'one')").text, "INSERT 0 1;")
		disconnected.Close()
		s := r.home.Open()
		defer s.Close()
		is.Equal(query(t, s, write("a"), "INSERT INTO batches VALUES (1, 'two')").text, "INSERT 0 1;")
	})
	t.Run("during a statement have it cancelled", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		for range 6 { // More than there are slots.
			disconnected := r.home.Open()
			begin(t, disconnected, write("a"))
			send(t, disconnected, simple("SELECT pg_sleep(300)"))
			time.AfterFunc(20*time.Millisecond, disconnected.Close)
		}
		s := r.home.Open()
		defer s.Close()
		eventually(t, func() bool { return query(t, s, write("a"), "SELECT 1").text == "T 1 SELECT 1;" })
		is.True(r.a.Connections() <= 20)
	})
	t.Run("before the end of a batch have it rolled back", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		r.table(t)
		disconnected := r.home.Open()
		begin(t, disconnected, write("a"))
		send(t, disconnected, &peer.Batch{Messages: messages(
			&pgproto3.Parse{Query: "INSERT INTO batches VALUES (1, 'one')"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})})
		response, err := disconnected.Receive()
		is.NoErr(err)
		is.True(response.GetAnswer() != nil)
		disconnected.Close()
		s := r.home.Open()
		defer s.Close()
		eventually(t, func() bool {
			return query(t, s, write("a"), "INSERT INTO batches VALUES (1, 'two')").text == "INSERT 0 1;"
		})
	})
}

func TestCancel(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	s := r.home.Open()
	defer s.Close()
	begin(t, s, write("a"))
	send(t, s, simple("SELECT pg_sleep(300)"))
	time.AfterFunc(20*time.Millisecond, func() {
		_ = s.Send(&peer.CarryRequest{Kind: &peer.CarryRequest_Cancel{Cancel: &peer.Cancel{}}})
	})
	a := receive(t, s)
	if a.refused == 0 {
		is.Equal(a.text, "error 57014;")
	} else {
		is.Equal(a.refused, result.CancelledUnsent)
	}
	is.Equal(query(t, s, write("a"), "SELECT 1").text, "T 1 SELECT 1;")
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

func TestShutdownWaitsForTransactions(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	s := r.home.Open()
	defer s.Close()
	is.Equal(query(t, s, write("a"), "BEGIN").status, byte('T'))
	ended := make(chan error, 1)
	go func() { ended <- r.home.Shutdown(withTimeout(t)) }()
	other := r.home.Open()
	defer other.Close()
	eventually(t, func() bool { return query(t, other, write("a"), "SELECT 1").refused == result.ShuttingDown })
	is.Equal(len(ended), 0)
	is.Equal(query(t, s, nil, "COMMIT").status, byte('I'))
	is.NoErr(<-ended)
}

func TestLeavingInstances(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	m := r.manifest(2)
	m.Groups[0].Instances[1].Leaving = true
	is.True(r.holder.AdoptManifest(m))
	s := r.home.Open()
	defer s.Close()
	is.Equal(query(t, s, read("b", unit.Position{}), "SELECT 1").refused, result.InstanceLeaving)
}

func TestUnresponsiveConnections(t *testing.T) {
	suspicion := []home.Option{home.WithSuspicionTimeout(50 * time.Millisecond)}
	t.Run("during a pipelined batch are closed along with those idle for longer", func(t *testing.T) {
		is := is.New(t)
		r := newRigWith(t, suspicion)
		eventually(t, r.warm) // Connections that are opened later are not affected.
		r.a.BlackholeConnections()
		s := r.home.Open()
		defer s.Close()
		begin(t, s, write("a"))
		one := messages(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{})
		send(t, s, &peer.Batch{Messages: append(append(one, one...), messages(&pgproto3.Sync{})...), Last: true})
		is.Equal(receive(t, s).refused, result.ConnectionLost)
		for range 6 { // No unresponsive connection remains in the pool.
			is.Equal(query(t, s, write("a"), "SELECT 1").text, "T 1 SELECT 1;")
		}
	})
	t.Run("are terminated by the instance and do not use up its limit", func(t *testing.T) {
		is := is.New(t)
		r := newRigWith(t, suspicion)
		s := r.home.Open()
		defer s.Close()
		for range 8 { // At least five connections each time; the limit is 20.
			eventually(t, r.warm)
			r.a.BlackholeConnections()
			is.Equal(query(t, s, write("a"), "SELECT 1").refused, result.ConnectionLost)
			eventually(t, func() bool { return query(t, s, write("a"), "SELECT 1").text == "T 1 SELECT 1;" })
		}
	})
	t.Run("are distinguished from long-running statements", func(t *testing.T) {
		is := is.New(t)
		r := newRigWith(t, suspicion)
		s := r.home.Open()
		defer s.Close()
		is.Equal(query(t, s, write("a"), "SELECT pg_sleep(0.5)").refused, result.Code(0))
	})
}

func TestFormerHomesCloseConnections(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	s := r.home.Open()
	defer s.Close()
	is.Equal(query(t, s, write("a"), "BEGIN").status, byte('T'))
	// A daemon in the instances' failure domain becomes the home of all instances.
	r.holder.AdoptView(member.View{Self: "d1", Daemons: []member.Daemon{
		{ID: "d1", Domain: "suva-office", State: member.Live}, {ID: "d2", Domain: "lautoka-shed", State: member.Live},
	}})
	eventually(t, func() bool { return r.b.Connections() == 0 })
	is.Equal(query(t, s, nil, "COMMIT").status, byte('I'))
	eventually(t, func() bool { return r.a.Connections() == 0 })
}

func TestConnectionLossDuringSettingsIsNotMalformedOption(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.table(t)
	s := r.home.Open()
	defer s.Close()
	is.Equal(query(t, s, write("a"), "SELECT 1").refused, result.Code(0)) // Opens a connection.
	r.a.Pause()
	o := write("a")
	o.Settings = map[string][]byte{"application_name": []byte("other")}
	begin(t, s, o)
	send(t, s, simple("SELECT 1"))
	time.AfterFunc(50*time.Millisecond, func() { _ = r.a.Close() })
	is.Equal(receive(t, s).refused, result.InstanceUnreachable)
}

// TestReplacedPrimary pauses the primary during a statement. Once another instance is
// the primary, the caller must get an error that leaves the outcome unknown instead
// of waiting for its deadline.
func TestReplacedPrimary(t *testing.T) {
	is := is.New(t)
	r := newRigWith(t, []home.Option{home.WithSuspicionTimeout(time.Hour)})
	r.table(t)
	s := r.home.Open()
	defer s.Close()
	is.Equal(query(t, s, write("a"), "SELECT 1").text, "T 1 SELECT 1;")
	r.a.Pause()
	defer r.a.Resume()
	o := write("a")
	o.TimeoutMicroseconds = 60e6
	begin(t, s, o)
	send(t, s, simple("INSERT INTO batches VALUES (1, 'one')"))
	r.promote(t, 2, r.b, r.c)
	is.Equal(receive(t, s).refused, result.ConnectionLost)
}
