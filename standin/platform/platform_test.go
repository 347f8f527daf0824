package platform_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/member"
	"tarragonshed.example/standin/platform"
	"tarragonshed.example/tarragonshed/platformer"
)

func startPlatform(t *testing.T, options ...platformer.Option) (*platform.Platform, *platformer.Platformer) {
	t.Helper()
	p := platform.New()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	client, err := platformer.New(server.URL, append([]platformer.Option{platformer.WithRate(1000, 1000)}, options...)...)
	is.New(t).NoErr(err)
	t.Cleanup(client.Close)
	return p, client
}

func put(key, value string) []platformer.Write {
	return []platformer.Write{{Table: "t", Key: key, Value: []byte(value)}}
}

func absent(key string) []platformer.Condition {
	return []platformer.Condition{{Table: "t", Key: key}}
}

func assertRow(t *testing.T, client *platformer.Platformer, key, value string) {
	t.Helper()
	is := is.New(t)
	row, err := client.Get(context.Background(), "t", key)
	is.NoErr(err)
	is.Equal(string(row.Value), value)
}

func assertIs(t *testing.T, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Fatalf("error is %v, want %v", err, target)
	}
}

func TestTables(t *testing.T) {
	ctx := context.Background()
	t.Run("a transaction whose condition fails writes nothing", func(t *testing.T) {
		is := is.New(t)
		_, client := startPlatform(t)
		_, err := client.Commit(ctx, absent("a"), put("a", "1"))
		is.NoErr(err)
		_, err = client.Commit(ctx, absent("a"), append(put("a", "2"), put("b", "2")...))
		assertIs(t, err, platformer.ErrConflict)
		assertRow(t, client, "a", "1")
		_, err = client.Get(ctx, "t", "b")
		assertIs(t, err, platformer.ErrNotFound)
	})
	t.Run("a scan returns the prefix in order", func(t *testing.T) {
		is := is.New(t)
		_, client := startPlatform(t)
		for _, key := range []string{"p/2", "q/1", "p/1"} {
			_, err := client.Commit(ctx, nil, put(key, key))
			is.NoErr(err)
		}
		rows, err := client.Scan(ctx, "t", "p/", "")
		is.NoErr(err)
		is.Equal(len(rows), 2)
		is.Equal(rows[0].Key, "p/1")
	})
	t.Run("a deleted row is absent", func(t *testing.T) {
		is := is.New(t)
		_, client := startPlatform(t)
		_, err := client.Commit(ctx, nil, put("a", "1"))
		is.NoErr(err)
		_, err = client.Commit(ctx, nil, []platformer.Write{{Table: "t", Key: "a", Delete: true}})
		is.NoErr(err)
		_, err = client.Commit(ctx, absent("a"), put("a", "2"))
		is.NoErr(err)
	})
}

func TestObjects(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, client := startPlatform(t)
	_, err := client.Object(ctx, "o")
	assertIs(t, err, platformer.ErrNotFound)
	is.NoErr(client.PutObject(ctx, "o", []byte{0, 1, 255}))
	content, err := client.Object(ctx, "o")
	is.NoErr(err)
	is.Equal(content, []byte{0, 1, 255})
}

func TestFaults(t *testing.T) {
	ctx := context.Background()
	t.Run("a lost answer leaves the write in effect", func(t *testing.T) {
		p, client := startPlatform(t)
		p.LoseAnswers(1, 1)
		_, err := client.Commit(ctx, nil, put("a", "1"))
		assertIs(t, err, platformer.ErrUncertain)
		assertRow(t, client, "a", "1")
	})
	t.Run("a slow write takes effect after the client's timeout", func(t *testing.T) {
		is := is.New(t)
		p, client := startPlatform(t, platformer.WithTimeout(50*time.Millisecond))
		p.Slow(300 * time.Millisecond)
		_, err := client.Commit(ctx, nil, put("a", "1"))
		assertIs(t, err, platformer.ErrUncertain)
		p.Slow(0)
		is.True(eventually(func() bool {
			_, err := client.Get(ctx, "t", "a")
			return err == nil
		}))
	})
	t.Run("calls fail as unavailable while the platform is down", func(t *testing.T) {
		is := is.New(t)
		p, client := startPlatform(t)
		p.Down(true)
		_, err := client.Get(ctx, "t", "a")
		assertIs(t, err, platformer.ErrUnavailable)
		is.True(!client.Reachable())
		p.Down(false)
		_, err = client.Get(ctx, "t", "a")
		assertIs(t, err, platformer.ErrNotFound)
		is.True(client.Reachable())
	})
	t.Run("retries during an outage add at most a tenth to the calls", func(t *testing.T) {
		is := is.New(t)
		p, client := startPlatform(t)
		p.Down(true)
		const calls = 200
		for range calls {
			_, err := client.Get(ctx, "t", "a")
			assertIs(t, err, platformer.ErrUnavailable)
		}
		sent := p.Calls()["GET /tables/t/row"]
		is.True(sent >= calls)
		is.True(sent <= calls*11/10) // Retries stay within the budget.
	})
	t.Run("the rate of calls is bounded", func(t *testing.T) {
		p, client := startPlatform(t, platformer.WithRate(0.001, 3), platformer.WithTimeout(200*time.Millisecond))
		for range 5 {
			_, _ = client.Get(ctx, "t", "a")
		}
		is.New(t).Equal(p.Calls()["GET /tables/t/row"], uint64(3))
	})
}

func TestFleet(t *testing.T) {
	ctx := context.Background()
	vm := member.Daemon{ID: "d1", Incarnation: 3, Domain: "x", State: member.Live, PeerAddress: "127.0.0.1:1", OperatorAddress: "o", CallerAddress: "c"}
	t.Run("the list shows additions, leaving marks and removals", func(t *testing.T) {
		is := is.New(t)
		p, client := startPlatform(t)
		p.SetVM(vm)
		vms, _, err := client.VMs(ctx)
		is.NoErr(err)
		is.Equal(vms, []member.Daemon{vm})
		p.MarkLeaving("d1")
		vms, _, err = client.VMs(ctx)
		is.NoErr(err)
		is.Equal(vms[0].State, member.Leaving)
		p.RemoveVM("d1")
		vms, _, err = client.VMs(ctx)
		is.NoErr(err)
		is.Equal(len(vms), 0)
	})
	t.Run("a lagging list shows the earlier state", func(t *testing.T) {
		is := is.New(t)
		p, client := startPlatform(t)
		p.SetVM(vm)
		p.ListLag(time.Hour)
		p.MarkLeaving("d1")
		vms, _, err := client.VMs(ctx)
		is.NoErr(err)
		is.Equal(vms[0].State, member.Live)
		p.ListLag(0)
		vms, _, err = client.VMs(ctx)
		is.NoErr(err)
		is.Equal(vms[0].State, member.Leaving)
	})
}

func eventually(condition func() bool) bool {
	for range 1000 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
