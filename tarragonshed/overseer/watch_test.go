package overseer

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

// listed returns an overseer that has read the rows of the members.
func listed(self unit.DaemonID, now time.Duration, members ...authorizer.Member) *Overseer {
	o := New(Self{Daemon: self, Incarnation: 1}, nil, nil, func() unit.Instant { return 1 })
	var rows []Row
	for n, m := range members {
		put := encode(memberKey(m.Daemon), m)
		rows = append(rows, Row{Key: put.Key, Value: put.Value, Version: uint64(n + 1)})
	}
	o.adopt(newTable(rows), now, 1)
	return o
}

// TestStuckCountsPerClaim is what an incident showed: when one daemon had taken
// over a change, the next one did so at once, because its time had not begun anew.
func TestStuckCountsPerClaim(t *testing.T) {
	is := is.New(t)
	o := listed("a", 0)
	defer o.Close()
	row := authorizer.Leadership{Group: "g", State: authorizer.Changing, Fence: 1, Changer: "b"}
	first := o.track(row, "g", stuck)
	first.since = first.since.Add(-time.Hour)
	is.Equal(o.track(row, "g", stuck), first)
	row.Fence, row.Changer = 2, "c"
	is.True(time.Since(o.track(row, "g", stuck).since) < time.Minute)
	is.Equal(o.track(row, "g", fine), nil)
}

// TestYoungDaemonsStandLast: the change of a daemon that has just come on the list
// would have to wait for the whole extension.
func TestYoungDaemonsStandLast(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	young := authorizer.Member{Daemon: "a", Incarnation: 1, Listed: now - time.Second}
	old := authorizer.Member{Daemon: "b", Incarnation: 1}
	trouble := &trouble{reason: unreachable, shared: true}
	o := listed("a", now, young, old)
	defer o.Close()
	is.Equal(o.delay(trouble, authorizer.Duty{}), (1+youngRanks)*rankDelay)
	alone := listed("a", now, young) // At the first start all are young.
	defer alone.Close()
	is.Equal(alone.delay(trouble, authorizer.Duty{}), time.Duration(0))
}

func TestRowsThatCannotBeRead(t *testing.T) {
	is := is.New(t)
	good := encode(groupKey("g"), authorizer.Leadership{Group: "g", State: authorizer.Leading, Primary: "i"})
	rows := newTable([]Row{
		{Key: good.Key, Value: good.Value, Version: 3},
		{Key: groupKey("h"), Value: []byte("{"), Version: 4},
		{Key: groupKey("x"), Value: good.Value, Version: 5}, // Of another group.
		{Key: "stranger", Version: 6},
	})
	view, bad := decode(rows, time.Second)
	is.Equal(len(view.Leaderships), 1)
	is.Equal(rows.expect(groupKey("h")).Version, uint64(4)) // It can still be replaced.
	is.Equal(bad, []string{groupKey("h"), groupKey("x"), "stranger"})
}

// TestSuccessors: each daemon looks after the next one, also beyond those that are
// off the list.
func TestSuccessors(t *testing.T) {
	is := is.New(t)
	gone := authorizer.Member{Daemon: "b", Removed: time.Second}
	o := listed("a", time.Minute, authorizer.Member{Daemon: "a"}, gone, authorizer.Member{Daemon: "c"})
	defer o.Close()
	next, former, _ := o.successors()
	is.Equal(next.Daemon, unit.DaemonID("c"))
	is.Equal(former, []authorizer.Member{gone})
	last := listed("c", time.Minute, authorizer.Member{Daemon: "a"}, gone, authorizer.Member{Daemon: "c"})
	defer last.Close()
	next, former, _ = last.successors()
	is.Equal(next.Daemon, unit.DaemonID("a"))
	is.Equal(len(former), 0)
}

// TestExtensionBeforeTheLeaseEnds is what a day showed on which the store went away: a
// daemon that a reader confirms heard of it 1.3 s later, and when it asked the others
// its authority had ended. That the confirmation is old makes it read the store first: 98
// daemons whose readers were restarted asked each other all the time.
func TestExtensionBeforeTheLeaseEnds(t *testing.T) {
	is := is.New(t)
	store := &memory{}
	o := served(t, "a", store)
	is.True(!o.expiring()) // Nothing was ever confirmed.
	is.NoErr(o.read())
	clock := o.now().Add(relayPatience) // The oldest in good order.
	o.now = func() unit.Instant { return clock }
	is.True(!o.expiring())
	clock = clock.Add(extendAge)
	is.True(o.expiring())
	o.extend()
	for o.expiring() { // The store confirms.
		time.Sleep(time.Millisecond)
	}
	is.True(o.asked.IsZero())
	clock = clock.Add(extendAge + time.Millisecond)
	o.lost(ErrNotCommitted)
	o.extend()
	clock = clock.Add(Lease - extendAge)
	is.True(o.Active()) // There is nobody else to ask.
}

// TestSilentDaemonsDoNotGoFirst: when a failure domain is cut off, those that are left
// don't wait for its daemons one after the other.
func TestSilentDaemonsDoNotGoFirst(t *testing.T) {
	is := is.New(t)
	members := []authorizer.Member{{Daemon: "a"}, {Daemon: "b"}, {Daemon: "c"}, {Daemon: "d"}}
	o := listed("d", time.Hour, members...)
	defer o.Close()
	trouble := &trouble{reason: unreachable, shared: true}
	is.Equal(o.delay(trouble, authorizer.Duty{Holder: "b"}), 3*rankDelay)
	trouble.silent = map[unit.DaemonID]bool{"a": true, "b": true}
	is.Equal(o.delay(trouble, authorizer.Duty{Holder: "b"}), rankDelay)
}

// TestPauseGrows is what 98 daemons showed that started together: the store refused
// most reads, and each was made again after 60 ms.
func TestPauseGrows(t *testing.T) {
	is := is.New(t)
	o := New(Self{Daemon: "a"}, nil, nil, func() unit.Instant { return 1 })
	defer o.Close()
	for range 10 {
		o.lost(ErrNotCommitted)
	}
	is.True(o.lost(ErrNotCommitted) >= retryPause.Limit/2)
	o.regained()
	is.True(o.lost(ErrNotCommitted) <= retryPause.First*3/2)
}

// TestPeersOfTheOwnDomain: rows are passed on within a failure domain if possible,
// and other domains are asked as well.
func TestPeersOfTheOwnDomain(t *testing.T) {
	is := is.New(t)
	o := listed("a", time.Minute,
		authorizer.Member{Daemon: "a", Domain: "d"}, authorizer.Member{Daemon: "b", Domain: "d", Address: "near"},
		authorizer.Member{Daemon: "c", Domain: "e", Address: "far"})
	o.self.Domain = "d"
	defer o.Close()
	asked := make(map[string]int)
	for range 40 {
		address, ok := o.nextPeer()
		is.True(ok)
		asked[address]++
	}
	is.Equal(asked, map[string]int{"near": 30, "far": 10})
}

// TestReadersOfARegion: one daemon of each region reads the store, whatever its failure
// domain is.
func TestReadersOfARegion(t *testing.T) {
	is := is.New(t)
	members := []authorizer.Member{{Daemon: "a", Domain: "d"}, {Daemon: "b", Domain: "e"}, {Daemon: "c", Domain: "f"}}
	domains := []manifest.Domain{{Name: "d", Region: "west"}, {Name: "e", Region: "west"}, {Name: "f", Region: "east"}}
	reading := 0
	for _, m := range members {
		o := New(Self{Daemon: m.Daemon, Domain: m.Domain}, nil, nil, func() unit.Instant { return 1 }, WithDomains(domains))
		defer o.Close()
		var rows []Row
		for _, other := range members {
			put := encode(memberKey(other.Daemon), other)
			rows = append(rows, Row{Key: put.Key, Value: put.Value, Version: 1})
		}
		o.adopt(newTable(rows), time.Minute, 1)
		reader, other := o.reader()
		if !other {
			reading++
			continue
		}
		is.True(m.Daemon != "c" && reader.Domain != "f") // Of the same region.
	}
	is.Equal(reading, 2)
}

// TestOthersAreAskedAgain: daemons find out one after the other that a primary is silent.
func TestOthersAreAskedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	silent := &trouble{reason: unreachable}
	is.True(silent.asksAgain(now))
	is.True(!silent.asksAgain(now.Add(time.Minute))) // They have not all answered.
	silent.asking = false
	is.True(!silent.asksAgain(now.Add(witnessInterval / 2)))
	is.True(silent.asksAgain(now.Add(witnessInterval)))
	silent.asking, silent.shared = false, true // Nobody reaches it.
	is.True(!silent.asksAgain(now.Add(time.Minute)))
	// When a daemon starts, it knows who leads before it knows the instances.
	lost := &trouble{reason: gone, since: now}
	is.True(!lost.asksAgain(now.Add(time.Second)))
	is.True(lost.asksAgain(now.Add(gonePatience)))
	left := &trouble{reason: leaving}
	is.True(left.asksAgain(now))
	is.True(!left.asksAgain(now.Add(time.Minute)))
	is.True(!(&trouble{reason: missing}).asksAgain(now))
}

// TestSilentSinceLastAsked: what one question has shown stays until the daemon answers.
func TestSilentSinceLastAsked(t *testing.T) {
	is := is.New(t)
	store := &memory{}
	first, second := served(t, "a", store), served(t, "b", store)
	is.NoErr(second.read())
	is.NoErr(first.read())
	trouble := &trouble{reason: unreachable, silent: map[unit.DaemonID]bool{"b": true, "long-gone": true}}
	first.witness("g", "i", trouble)
	is.Equal(trouble.silent, map[unit.DaemonID]bool{"b": false, "long-gone": true})
	is.True(trouble.shared) // b does not know the instance.
}

// TestFewWitnesses: on a long list a daemon asks those that go before it, and not all
// others.
func TestFewWitnesses(t *testing.T) {
	is := is.New(t)
	var members []authorizer.Member
	for n := range 200 {
		members = append(members, authorizer.Member{Daemon: unit.DaemonID(fmt.Sprintf("d%03d", n))})
	}
	o := listed("d010", time.Hour, members...)
	defer o.Close()
	asked := make(map[unit.DaemonID]bool)
	for _, m := range o.witnesses(&trouble{reason: unreachable}) {
		asked[m.Daemon] = true
	}
	is.Equal(len(asked), maxWitnesses)
	for _, m := range members[:10] {
		is.True(asked[m.Daemon]) // It goes before.
	}
}

// TestDoubtedReader: a reader that does not answer is not asked again at once, or each
// confirmation would come as late as its answer is waited for.
func TestDoubtedReader(t *testing.T) {
	is := is.New(t)
	store := &memory{}
	o := served(t, "b", store)
	var asked atomic.Int32
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	other := false
	for n := 0; !other; n++ { // Until one comes before b.
		dead := authorizer.Member{Daemon: unit.DaemonID(fmt.Sprint("dead-", n)), Address: l.Addr().String()}
		_, err = store.Commit(t.Context(), Transaction{Puts: []Put{encode(memberKey(dead.Daemon), dead), epochPut()}})
		is.NoErr(err)
		is.NoErr(o.read())
		_, other = o.reader()
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			asked.Add(1)
			_ = c.Close()
		}
	}()
	for range 3 {
		is.Equal(o.confirmation(), confirmInterval)
	}
	_ = l.Close()
	is.True(asked.Load() <= 2) // One question, which the client may send again.
}

// TestStuckOnTheSmallerSide is what a day showed with two of four daemons cut off or without
// power: the answers that told so came when the change of the other daemon, which had to wait
// for their authority to end, was taken over already, and the wait began anew.
func TestStuckOnTheSmallerSide(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	seen := &trouble{reason: stuck, since: now}
	is.True(seen.asksAgain(now.Add(stuckPatience - peerTimeout - watchInterval))) // All have answered in time.
	seen.isolated = true
	is.True(seen.patience() > Majority)
}
