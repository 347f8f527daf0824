package overseer

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
)

// overwrite writes a value over a row, as another program may do, together with the epoch.
func (s *memoryStore) overwrite(t *testing.T, key, value string) {
	t.Helper()
	_, err := s.Commit(t.Context(), Transaction{Puts: []Put{{Key: key, Value: []byte(value)}, epochPut()}})
	is.New(t).NoErr(err)
}

// TestGroupRecoversFromOddRow guards against a group without a primary for ever: a row that could
// not be read counted as missing, and the new one was refused because the row existed.
func TestGroupRecoversFromOddRow(t *testing.T) {
	is := is.New(t)
	g := newStrainedGroup(10)
	o, store := overseen(t, g)
	store.overwrite(t, groupKey("g"), `{"group":7}`)
	is.NoErr(o.read())
	group := g.Manifest().Groups[0]
	row, exists := o.auth.View().Leaderships["g"]
	o.beginChange(group, row, &fault{reason: o.diagnose(group, row, exists), row: row})
	for running := true; running; time.Sleep(time.Millisecond) {
		o.mu.Lock()
		running = o.changes["g"]
		o.mu.Unlock()
	}
	is.NoErr(o.read())
	is.Equal(o.rowOf("g").Primary, unit.InstanceName("a"))
	is.Equal(o.rowOf("g").Term, unit.Term(1))
	is.Equal(g.promoted, nil)
}

// TestFenceAfterOddDutyRow guards against fencing tokens that go back: the duty's row could not be
// read, and the next holder began with 1 again.
func TestFenceAfterOddDutyRow(t *testing.T) {
	for _, odd := range []string{`{"fence":"x","holder":"d"}`, `{`, `{"holder":"d","fence":18446744073709551615}`, strings.Repeat("[", 10_001)} {
		is := is.New(t)
		claimed := encode(groupKey("g"), authorizer.Leadership{Group: "g", State: authorizer.Leading, Primary: "i", Fence: 7})
		view, bad := decode(newTable(1, []Row{
			{Key: claimed.Key, Value: claimed.Value, Version: 3},
			{Key: dutyKey, Value: []byte(odd), Version: 4},
		}), time.Second)
		is.Equal(bad, []string{dutyKey})
		is.Equal(view.Duty, authorizer.Duty{Fence: 7})
		is.Equal(view.Duty.Next("d", 1, 1).Fence, unit.Fence(8))
	}
}

// TestOddMemberIsWaitedFor guards against a daemon that still has authority but that no change
// waits for, because its row can't be read.
func TestOddMemberIsWaitedFor(t *testing.T) {
	is := is.New(t)
	view, bad := decode(newTable(1, []Row{{Key: memberKey("d"), Value: []byte(`{"daemon":"d","removed":-1}`), Version: 3}}), time.Second)
	is.Equal(bad, []string{memberKey("d")})
	is.Equal(view.Listed(), []authorizer.Member{{Daemon: "d"}})
}

// FuzzDecode checks that no row makes the others unreadable, and that what follows from a row can be
// used: numbers have a successor, and names are those of the key.
func FuzzDecode(f *testing.F) {
	f.Add(groupKey("g"), []byte(`{"group":"g","state":"leading","primary":"i","life":1,"term":2,"fence":3}`))
	f.Add(groupKey("g"), []byte(`{"group":"g","state":"leading","term":18446744073709551615}`))
	f.Add(memberKey("d"), []byte(`{"daemon":"d","incarnation":1,"address":":99999","listed":1e30}`))
	f.Add(dutyKey, []byte(`{"fence":1e400}`))
	f.Add(eraKey(1), []byte(`{"unlisted-until":null}`))
	f.Add(groupKey("g"), []byte(strings.Repeat("[", 10_001)))
	f.Add("group.", []byte("null"))
	good := encode(groupKey("good"), authorizer.Leadership{Group: "good", State: authorizer.Leading, Primary: "i", Fence: 7})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		is := is.New(t)
		if key == good.Key {
			return
		}
		view, _ := decode(newTable(1, []Row{{Key: key, Value: value, Version: 4}, {Key: good.Key, Value: good.Value, Version: 3}}), time.Second)
		is.Equal(view.Leaderships["good"].Primary, unit.InstanceName("i"))
		is.True(view.Duty.Next("d", 1, 1).Fence > 7)
		for name, l := range view.Leaderships {
			is.Equal(l.Group, name)
			is.True(l.Term+1 > l.Term && l.Fence+1 > l.Fence)
			is.True(l.State == authorizer.Changing || l.State == authorizer.Leading && l.Primary != "")
		}
		for name, m := range view.Members {
			is.Equal(m.Daemon, name)
			is.True(m.Listed >= 0 && m.Removed >= 0)
		}
	})
}
