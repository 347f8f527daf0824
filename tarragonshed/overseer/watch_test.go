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
	o.adopt(newTable(0, rows), now, 1)
	return o
}

// TestStalledTimeoutRestartsPerClaim guards against takeovers in quick succession: when one
// daemon had taken over a change, the next one did so at once, because the timeout had not
// restarted.
func TestStalledTimeoutRestartsPerClaim(t *testing.T) {
	is := is.New(t)
	o := listed("a", 0)
	defer o.Close()
	row := authorizer.Leadership{Group: "g", State: authorizer.Changing, Fence: 1, Changer: "b"}
	first := o.track(row, "g", stalled)
	first.since = first.since.Add(-time.Hour)
	is.Equal(o.track(row, "g", stalled), first)
	row.Fence, row.Changer = 2, "c"
	is.True(time.Since(o.track(row, "g", stalled).since) < time.Minute)
	is.Equal(o.track(row, "g", noFault), nil)
}

// TestRecentlyListedDaemonsRankLast checks that a recently listed daemon claims last,
// because its change would have to wait for the full extension.
func TestRecentlyListedDaemonsRankLast(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	recent := authorizer.Member{Daemon: "a", Incarnation: 1, Listed: now - time.Second}
	established := authorizer.Member{Daemon: "b", Incarnation: 1}
	f := &fault{reason: unreachable, corroborated: true}
	o := listed("a", now, recent, established)
	defer o.Close()
	is.Equal(o.delay(f, authorizer.Duty{}), (1+recentlyListedRanks)*rankDelay)
	alone := listed("a", now, recent) // At the first start all daemons are recently listed.
	defer alone.Close()
	is.Equal(alone.delay(f, authorizer.Duty{}), time.Duration(0))
}

func TestUndecodableRows(t *testing.T) {
	is := is.New(t)
	good := encode(groupKey("g"), authorizer.Leadership{Group: "g", State: authorizer.Leading, Primary: "i"})
	rows := newTable(0, []Row{
		{Key: good.Key, Value: good.Value, Version: 3},
		{Key: groupKey("h"), Value: []byte("{"), Version: 4},
		{Key: groupKey("x"), Value: good.Value, Version: 5}, // The value is of another group.
		{Key: "stranger", Version: 6},
	})
	view, bad := decode(rows, time.Second)
	is.Equal(len(view.Leaderships), 3)
	is.Equal(view.Leaderships["g"].Primary, unit.InstanceName("i"))
	for _, name := range []unit.GroupName{"h", "x"} { // They name no primary, and can be replaced.
		is.Equal(view.Leaderships[name], authorizer.Leadership{Group: name, State: authorizer.Changing})
	}
	is.Equal(rows.expect(groupKey("h")).Version, uint64(4))
	is.Equal(bad, []string{groupKey("h"), groupKey("x"), "stranger"})
}

// TestSuccessors checks that each daemon selects the next one on the list, skipping those
// that were removed.
func TestSuccessors(t *testing.T) {
	is := is.New(t)
	removedMember := authorizer.Member{Daemon: "b", Removed: time.Second}
	o := listed("a", time.Minute, authorizer.Member{Daemon: "a"}, removedMember, authorizer.Member{Daemon: "c"})
	defer o.Close()
	next, removed, _ := o.successors()
	is.Equal(next.Daemon, unit.DaemonID("c"))
	is.Equal(removed, []authorizer.Member{removedMember})
	last := listed("c", time.Minute, authorizer.Member{Daemon: "a"}, removedMember, authorizer.Member{Daemon: "c"})
	defer last.Close()
	next, removed, _ = last.successors()
	is.Equal(next.Daemon, unit.DaemonID("a"))
	is.Equal(len(removed), 0)
}

// TestExtensionBeforeLeaseExpires guards against an extension that is requested too late: a
// daemon that relies on a reader detected an outage of the store 1.3 s late, and its
// authority had expired before it requested the others to vouch. An old confirmation first
// leads to a read of the store: otherwise 98 daemons whose readers were restarted sent
// requests to each other all the time.
func TestExtensionBeforeLeaseExpires(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	o := served(t, "a", store)
	is.True(!o.expiring()) // There has been no confirmation.
	is.NoErr(o.read())
	clock := o.now().Add(maxRelayHold) // The maximum in normal operation.
	o.now = func() unit.Instant { return clock }
	is.True(!o.expiring())
	clock = clock.Add(extendConfirmationAge)
	is.True(o.expiring())
	o.extend()
	for o.expiring() { // The store confirms the rows.
		time.Sleep(time.Millisecond)
	}
	is.True(o.extensionRequestedAt.IsZero())
	clock = clock.Add(extendConfirmationAge + time.Millisecond)
	o.recordStoreFailure(ErrNotCommitted)
	o.extend()
	clock = clock.Add(Lease - extendConfirmationAge)
	is.True(o.Active()) // The list has no other daemon that would have to vouch.
}

// TestUnresponsiveDaemonsAreNotRanked checks that, when a failure domain is unreachable,
// the remaining daemons do not wait for its daemons one after the other.
func TestUnresponsiveDaemonsAreNotRanked(t *testing.T) {
	is := is.New(t)
	members := []authorizer.Member{{Daemon: "a"}, {Daemon: "b"}, {Daemon: "c"}, {Daemon: "d"}}
	o := listed("d", time.Hour, members...)
	defer o.Close()
	f := &fault{reason: unreachable, corroborated: true}
	is.Equal(o.delay(f, authorizer.Duty{Holder: "b"}), 3*rankDelay)
	f.unresponsive = map[unit.DaemonID]bool{"a": true, "b": true}
	is.Equal(o.delay(f, authorizer.Duty{Holder: "b"}), rankDelay)
}

// TestReadBackoffGrows guards against an overload of the store: when 98 daemons started at
// the same time, the store refused most reads, and each was retried after 60 ms.
func TestReadBackoffGrows(t *testing.T) {
	is := is.New(t)
	o := New(Self{Daemon: "a"}, nil, nil, func() unit.Instant { return 1 })
	defer o.Close()
	for range 10 {
		o.recordStoreFailure(ErrNotCommitted)
	}
	is.True(o.recordStoreFailure(ErrNotCommitted) >= readBackoff.Limit/2)
	o.recordStoreSuccess()
	is.True(o.recordStoreFailure(ErrNotCommitted) <= readBackoff.First*3/2)
}

// TestNextPeerPrefersOwnDomain checks that rows are relayed within a failure domain if
// possible, and that daemons of other domains are contacted as well.
func TestNextPeerPrefersOwnDomain(t *testing.T) {
	is := is.New(t)
	o := listed("a", time.Minute,
		authorizer.Member{Daemon: "a", Domain: "d"}, authorizer.Member{Daemon: "b", Domain: "d", Address: "near"},
		authorizer.Member{Daemon: "c", Domain: "e", Address: "far"})
	o.self.Domain = "d"
	defer o.Close()
	queried := make(map[string]int)
	for range 40 {
		address, ok := o.nextPeer()
		is.True(ok)
		queried[address]++
	}
	is.Equal(queried, map[string]int{"near": 30, "far": 10})
}

// TestReadersPerRegion checks that one daemon of each region reads the store, whatever its
// failure domain is.
func TestReadersPerRegion(t *testing.T) {
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
		o.adopt(newTable(0, rows), time.Minute, 1)
		reader, other := o.reader()
		if !other {
			reading++
			continue
		}
		is.True(m.Daemon != "c" && reader.Domain != "f") // The reader is of the same region.
	}
	is.Equal(reading, 2)
}

// TestQueryIsRepeated checks when other daemons are queried again. They detect an
// unreachable primary at different times.
func TestQueryIsRepeated(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	unreachableFault := &fault{reason: unreachable}
	is.True(unreachableFault.beginQuery(now))
	is.True(!unreachableFault.beginQuery(now.Add(time.Minute))) // The first query is still in flight.
	unreachableFault.querying = false
	is.True(!unreachableFault.beginQuery(now.Add(witnessInterval / 2)))
	is.True(unreachableFault.beginQuery(now.Add(witnessInterval)))
	unreachableFault.querying, unreachableFault.corroborated = false, true // No daemon reaches the primary.
	is.True(!unreachableFault.beginQuery(now.Add(time.Minute)))
	// A daemon that starts has the row of a group before it has the manifest.
	absentFault := &fault{reason: absent, since: now}
	is.True(!absentFault.beginQuery(now.Add(time.Second)))
	is.True(absentFault.beginQuery(now.Add(absentTimeout)))
	leavingFault := &fault{reason: leaving}
	is.True(leavingFault.beginQuery(now))
	is.True(!leavingFault.beginQuery(now.Add(time.Minute)))
	is.True(!(&fault{reason: noRow}).beginQuery(now))
}

// TestUnresponsiveSinceLastQuery checks that a daemon counts as unresponsive until it
// responds to a later query.
func TestUnresponsiveSinceLastQuery(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	first, second := served(t, "a", store), served(t, "b", store)
	is.NoErr(second.read())
	is.NoErr(first.read())
	f := &fault{reason: unreachable, unresponsive: map[unit.DaemonID]bool{"b": true, "long-gone": true}}
	first.queryWitnesses("g", "i", f)
	is.Equal(f.unresponsive, map[unit.DaemonID]bool{"b": false, "long-gone": true})
	is.True(f.corroborated) // b has no manifest with the instance.
}

// TestWitnessesAreLimited checks that a daemon on a long list queries those that rank
// before it, and only some of the others.
func TestWitnessesAreLimited(t *testing.T) {
	is := is.New(t)
	var members []authorizer.Member
	for n := range 200 {
		members = append(members, authorizer.Member{Daemon: unit.DaemonID(fmt.Sprintf("d%03d", n))})
	}
	o := listed("d010", time.Hour, members...)
	defer o.Close()
	queried := make(map[unit.DaemonID]bool)
	for _, m := range o.selectWitnesses(&fault{reason: unreachable}) {
		queried[m.Daemon] = true
	}
	is.Equal(len(queried), maxWitnesses)
	for _, m := range members[:10] {
		is.True(queried[m.Daemon]) // It ranks before d010.
	}
}

// TestFailedReaderIsNotRetriedAtOnce checks that no request is sent to a reader that has
// just failed. Otherwise each confirmation would be delayed by the timeout of that request.
func TestFailedReaderIsNotRetriedAtOnce(t *testing.T) {
	is := is.New(t)
	store := &memoryStore{}
	o := served(t, "b", store)
	var queried atomic.Int32
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	other := false
	for n := 0; !other; n++ { // Until one of them is the reader instead of b.
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
			queried.Add(1)
			_ = c.Close()
		}
	}()
	for range 3 {
		is.Equal(o.confirmOnce(), confirmInterval)
	}
	_ = l.Close()
	is.True(queried.Load() <= 2) // One request, which the HTTP client may retry.
}

// TestStalledChangeInMinority guards against takeovers that restart the wait for a
// revocation. With two of four daemons unreachable, the change of one daemon had to wait
// until their authority expired. The responses that showed this arrived only after another
// daemon had taken over the change, and the wait started again.
func TestStalledChangeInMinority(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	stalledFault := &fault{reason: stalled, since: now}
	is.True(stalledFault.beginQuery(now.Add(stalledTimeout - peerTimeout - watchInterval))) // Leaves time for all responses.
	stalledFault.isolated = true
	is.True(stalledFault.timeout() > Majority)
}
