package platform_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonshed.example/adopter"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/platformer"
	"tarragonshed.example/tarragonshed/pusher"
	"tarragonshed.example/unit"
)

func document(n int) []byte {
	return fmt.Appendf(nil, "[[domains]]\nname = \"d%d\"\nregion = \"r\"\n", n)
}

func assertCode(t *testing.T, err error, code result.Code) {
	t.Helper()
	if result.CodeOf(err) != code {
		t.Fatalf("error is %v, want code %v", err, code)
	}
}

func assertCurrent(t *testing.T, p *pusher.Pusher, version unit.ManifestVersion) {
	t.Helper()
	is := is.New(t)
	record, err := p.Current(context.Background())
	is.NoErr(err)
	is.Equal(record.Version, version)
}

func TestPush(t *testing.T) {
	ctx := context.Background()
	t.Run("of two concurrent pushes one is accepted", func(t *testing.T) {
		_, client := startPlatform(t)
		p := pusher.New(client, nil)
		var wg sync.WaitGroup
		var errs [2]error
		for i := range errs {
			wg.Go(func() {
				_, errs[i] = p.Push(ctx, adopter.Request{ID: adopter.PushID(fmt.Sprint("p", i)), Document: document(i)})
			})
		}
		wg.Wait()
		is.New(t).True((errs[0] == nil) != (errs[1] == nil))
		for _, err := range errs {
			if err != nil {
				assertCode(t, err, result.PushConflict)
			}
		}
		assertCurrent(t, p, 1)
	})
	t.Run("a push whose answers are lost is accepted once, even when repeated", func(t *testing.T) {
		is := is.New(t)
		platform, client := startPlatform(t)
		p := pusher.New(client, nil)
		platform.LoseAnswers(0.5, 3)
		for n := range 6 {
			request := adopter.Request{ID: adopter.PushID(fmt.Sprint("p", n)), Base: unit.ManifestVersion(n), Document: document(n)}
			for range 2 {
				record, err := p.Push(ctx, request)
				is.NoErr(err)
				is.Equal(record.Version, unit.ManifestVersion(n+1))
			}
		}
		records, err := p.History(ctx, 4)
		is.NoErr(err)
		is.Equal(len(records), 4)
		is.Equal(int(records[3].Version), 3)
		content, err := p.Document(ctx, records[0])
		is.NoErr(err)
		is.Equal(string(content), string(document(5)))
	})
	t.Run("a store that is down accepts nothing", func(t *testing.T) {
		platform, client := startPlatform(t)
		p := pusher.New(client, nil)
		platform.Down(true)
		bounded, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_, err := p.Push(bounded, adopter.Request{ID: "a", Document: document(1)})
		assertCode(t, err, result.StoreUnavailable)
		platform.Down(false)
		assertCurrent(t, p, 0)
	})
	t.Run("the result of a push to a slow store agrees with the stored state", func(t *testing.T) {
		is := is.New(t)
		platform, client := startPlatform(t, platformer.WithTimeout(50*time.Millisecond))
		p := pusher.New(client, nil)
		request := adopter.Request{ID: "a", Document: document(1)}
		bounded, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		platform.Slow(80 * time.Millisecond)
		_, err := p.Push(bounded, request)
		assertCode(t, err, result.StoreUnavailable) // Reads fail too, so nothing was committed.
		platform.Slow(0)
		assertCurrent(t, p, 0)
		_, err = p.Push(ctx, request)
		is.NoErr(err)
		assertCurrent(t, p, 1)
	})
}
