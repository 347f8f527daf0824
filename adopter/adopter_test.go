package adopter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tarragonshed.example/adopter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/unit"
)

var epoch = time.Unix(1000, 0)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func record(version int) adopter.Record {
	return adopter.Record{Version: unit.ManifestVersion(version), Digest: manifest.Digest(document(version))}
}

func received(version, second int, from adopter.Source) adopter.RecordReceived {
	return adopter.RecordReceived{Now: at(second), Record: record(version), From: from}
}

func fetched(version, second int, from adopter.Source) adopter.Fetched {
	return adopter.Fetched{Now: at(second), Record: record(version), From: from, Document: document(version)}
}

// steps applies the events in order and returns the effects of the last one.
func steps(a *adopter.Adopter, events ...adopter.Event) []adopter.Effect {
	var effects []adopter.Effect
	for _, e := range events {
		effects = a.Step(e)
	}
	return effects
}

func assertInForce(t *testing.T, a *adopter.Adopter, version int) {
	t.Helper()
	if got := a.InForce().Version; got != unit.ManifestVersion(version) {
		t.Fatalf("version %d is in force, want %d", got, version)
	}
}

func TestAdopter(t *testing.T) {
	t.Run("the platform's version is fetched and adopted", func(t *testing.T) {
		is := is.New(t)
		a := adopter.New(epoch)
		effects := steps(a, received(1, 0, adopter.Platform))
		is.Equal(effects, []adopter.Effect{adopter.Fetch{Record: record(1), From: adopter.Platform}})
		steps(a, fetched(1, 0, adopter.Platform))
		assertInForce(t, a, 1)
	})
	t.Run("a new daemon adopts a version reported only by a peer after the platform timeout", func(t *testing.T) {
		a := adopter.New(epoch)
		steps(a, received(4, 0, "stale"), fetched(4, 1, "stale"))
		assertInForce(t, a, 0)
		steps(a, adopter.Tick{Now: at(3)})
		assertInForce(t, a, 4)
	})
	t.Run("a new daemon with a stale peer adopts the platform's version", func(t *testing.T) {
		a := adopter.New(epoch)
		steps(a, received(4, 0, "stale"), fetched(4, 1, "stale"), received(5, 2, adopter.Platform))
		assertInForce(t, a, 0)
		steps(a, fetched(5, 2, adopter.Platform))
		assertInForce(t, a, 5)
	})
	t.Run("a restarted daemon adopts no version below the one that peers remember of it", func(t *testing.T) {
		a := adopter.New(epoch)
		steps(a, adopter.EarlierManifest{Version: 5}, received(4, 0, "stale"), fetched(4, 1, "stale"), adopter.Tick{Now: at(60)})
		assertInForce(t, a, 0)
		steps(a, received(5, 61, "other"), fetched(5, 61, "other"))
		assertInForce(t, a, 5)
	})
	t.Run("a new daemon adopts no version below the platform's while the store fails", func(t *testing.T) {
		a := adopter.New(epoch)
		failed := adopter.FetchFailed{Now: at(1), Record: record(5), From: adopter.Platform}
		steps(a, received(5, 0, adopter.Platform), failed, received(4, 1, "stale"), fetched(4, 1, "stale"), adopter.Tick{Now: at(60)})
		assertInForce(t, a, 0)
		steps(a, received(5, 61, adopter.Platform), fetched(5, 61, adopter.Platform))
		assertInForce(t, a, 5)
	})
	t.Run("a version that cannot be fetched does not block lower ones", func(t *testing.T) {
		a := adopter.New(epoch)
		steps(a, received(1, 0, adopter.Platform), fetched(1, 0, adopter.Platform))
		failed := adopter.FetchFailed{Now: at(1), Record: record(9), From: "bad"}
		steps(a, received(9, 1, "bad"), received(2, 1, adopter.Platform), failed, fetched(2, 1, adopter.Platform))
		assertInForce(t, a, 2)
	})
	t.Run("the platform's version overrides a higher one that peers remember", func(t *testing.T) {
		a := adopter.New(epoch)
		steps(a, adopter.EarlierManifest{Version: 1 << 63}, received(5, 0, adopter.Platform), fetched(5, 0, adopter.Platform))
		assertInForce(t, a, 5)
	})
	t.Run("a late store response and a replayed record have no effect", func(t *testing.T) {
		is := is.New(t)
		a := adopter.New(epoch)
		steps(a, received(1, 0, adopter.Platform), received(2, 1, adopter.Platform), fetched(2, 1, adopter.Platform))
		assertInForce(t, a, 2)
		is.Equal(len(steps(a, fetched(1, 2, adopter.Platform))), 0)
		is.Equal(len(steps(a, received(1, 3, "replayed"))), 0)
		assertInForce(t, a, 2)
	})
	t.Run("a document with another digest is rejected and fetched from another source", func(t *testing.T) {
		is := is.New(t)
		a := adopter.New(epoch)
		bad := fetched(1, 0, "a")
		bad.Document = document(9)
		effects := steps(a, received(1, 0, "a"), received(1, 0, "b"), bad)
		is.Equal(effects[len(effects)-1], adopter.Fetch{Record: record(1), From: "b"})
	})
	t.Run("a fetch that times out is retried at the next source", func(t *testing.T) {
		is := is.New(t)
		a := adopter.New(epoch)
		effects := steps(a, received(1, 0, "a"), received(1, 0, "b"), adopter.Tick{Now: at(5)})
		is.Equal(effects, []adopter.Effect{adopter.Fetch{Record: record(1), From: "b"}})
	})
	t.Run("a record of the version in force with another digest is rejected", func(t *testing.T) {
		is := is.New(t)
		a := adopter.New(epoch)
		steps(a, received(1, 0, adopter.Platform), fetched(1, 0, adopter.Platform))
		forged := received(1, 1, "b")
		forged.Record.Digest = manifest.Digest(document(2))
		_, rejected := steps(a, forged)[0].(adopter.Reject)
		is.True(rejected)
	})
}

// TestVersionNeverDecreases applies random events in random order. The version in force
// must never decrease, and an adopted document must always be that of its version.
func TestVersionNeverDecreases(t *testing.T) {
	sources := []adopter.Source{adopter.Platform, "a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		a := adopter.New(epoch)
		last := unit.ManifestVersion(0)
		for second := range rapid.IntRange(1, 40).Draw(t, "events") {
			version := rapid.IntRange(1, 5).Draw(t, "version")
			from := rapid.SampledFrom(sources).Draw(t, "from")
			var e adopter.Event
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				e = received(version, second, from)
			case 1:
				e = fetched(version, second, from)
			case 2:
				e = adopter.FetchFailed{Now: at(second), Record: record(version), From: from}
			default:
				e = adopter.Tick{Now: at(second)}
			}
			for _, effect := range a.Step(e) {
				adopted, ok := effect.(adopter.Adopt)
				if !ok {
					continue
				}
				if adopted.Record.Version <= last {
					t.Fatalf("version %d was adopted after version %d", adopted.Record.Version, last)
				}
				last = adopted.Record.Version
				if manifest.Digest(adopted.Document) != record(int(last)).Digest {
					t.Fatalf("version %d has another document", last)
				}
			}
		}
	})
}
