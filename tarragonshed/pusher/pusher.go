// Package pusher has manifests accepted by the platform and reads what it accepted.
// It carries out the effects of [adopter.Push] with the platform's client.
//
// # Usage
//
//	p := pusher.New(client, rec)
//	record, err := p.Push(ctx, adopter.Request{ID: "push-7", Base: 6, Document: document})
//	switch result.CodeOf(err) {
//	case result.PushConflict: // Somebody else's version 7 was accepted.
//	case result.PushUnconfirmed: // Push again with the same id to learn the outcome.
//	}
package pusher

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"tarragonshed.example/adopter"
	"tarragonshed.example/recorder"
	"tarragonshed.example/result"
	"tarragonshed.example/tarragonshed/platformer"
	"tarragonshed.example/unit"
)

// DefaultTimeout is the time that a push has when its context has no earlier
// deadline.
const DefaultTimeout = 15 * time.Second

// Bounds of the delay before an attempt is repeated.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Pusher has manifests accepted. It is safe for concurrent use.
type Pusher struct {
	platform *platformer.Platformer
	recorder *recorder.Recorder
}

// New returns a Pusher that uses the platform's client.
func New(platform *platformer.Platformer, rec *recorder.Recorder) *Pusher {
	return &Pusher{platform: platform, recorder: rec}
}

// Push has a manifest accepted. Errors carry [result.ManifestInvalid],
// [result.PushConflict], [result.PushReused], [result.StoreUnavailable] when it is
// not accepted, and [result.PushUnconfirmed] when that is not known.
func (p *Pusher) Push(ctx context.Context, request adopter.Request) (adopter.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	machine, effect := adopter.NewPush(request, time.Now().UnixNano())
	backoff := firstBackoff
	for {
		if repeated(effect) {
			backoff = wait(ctx, backoff)
		}
		var event adopter.PushEvent
		switch e := effect.(type) {
		case adopter.Done:
			return p.done(e)
		case adopter.ReadRows:
			event = p.look(ctx, request.ID)
		case adopter.Store:
			event = p.store(ctx, e, request.Document)
		case adopter.Commit:
			event = p.commit(ctx, e)
		}
		_, uncertain := event.(adopter.Uncertain)
		effect = machine.Step(event)
		if _, done := effect.(adopter.Done); !done && ctx.Err() != nil {
			if uncertain {
				effect = lastLook(machine, p.look(context.WithoutCancel(ctx), request.ID))
				continue
			}
			effect = machine.Step(adopter.Expired{})
		}
	}
}

// lastLook takes one look after the deadline, because a commit was uncertain.
func lastLook(machine *adopter.Push, looked adopter.PushEvent) adopter.PushEffect {
	if done, ok := machine.Step(looked).(adopter.Done); ok {
		return done
	}
	return machine.Step(adopter.Expired{})
}

func (p *Pusher) done(e adopter.Done) (adopter.Record, error) {
	if e.Err == nil {
		p.recorder.Record(recorder.Event{Kind: recorder.ManifestPushed, Detail: "version " + versionText(e.Record) + " by push " + string(e.Record.PushID)})
	}
	return e.Record, e.Err
}

func repeated(effect adopter.PushEffect) bool {
	switch e := effect.(type) {
	case adopter.ReadRows:
		return e.Backoff
	case adopter.Store:
		return e.Backoff
	}
	return false
}

func wait(ctx context.Context, backoff time.Duration) time.Duration {
	select {
	case <-time.After(backoff/2 + rand.N(backoff)):
	case <-ctx.Done():
	}
	return min(backoff*2, maxBackoff)
}

func (p *Pusher) look(ctx context.Context, id adopter.PushID) adopter.PushEvent {
	current, rowVersion, err := p.record(ctx, adopter.CurrentKey)
	if err != nil {
		return adopter.ReadFailed{}
	}
	accepted, _, err := p.record(ctx, adopter.PushKey(id))
	if err != nil {
		return adopter.ReadFailed{}
	}
	return adopter.RowsRead{Current: current, RowVersion: rowVersion, Accepted: accepted}
}

// record reads a row. An absent row is the zero record.
func (p *Pusher) record(ctx context.Context, key string) (adopter.Record, uint64, error) {
	row, err := p.platform.Get(ctx, adopter.Table, key)
	if errors.Is(err, platformer.ErrNotFound) {
		return adopter.Record{}, 0, nil
	}
	if err != nil {
		return adopter.Record{}, 0, trace.Wrap(err)
	}
	record, err := adopter.DecodeRecord(row.Value)
	return record, row.Version, trace.Wrap(err)
}

func (p *Pusher) store(ctx context.Context, e adopter.Store, document []byte) adopter.PushEvent {
	if p.platform.PutObject(ctx, adopter.ObjectName(e.Digest), document) != nil {
		return adopter.StoreFailed{}
	}
	return adopter.Stored{}
}

func (p *Pusher) commit(ctx context.Context, e adopter.Commit) adopter.PushEvent {
	conditions := []platformer.Condition{
		{Table: adopter.Table, Key: adopter.CurrentKey, Version: e.RowVersion},
		{Table: adopter.Table, Key: adopter.PushKey(e.Record.PushID)},
	}
	value := e.Record.Encode()
	writes := []platformer.Write{
		{Table: adopter.Table, Key: adopter.CurrentKey, Value: value},
		{Table: adopter.Table, Key: adopter.HistoryKey(e.Record.Version), Value: value},
		{Table: adopter.Table, Key: adopter.PushKey(e.Record.PushID), Value: value},
	}
	_, err := p.platform.Commit(ctx, conditions, writes)
	switch {
	case err == nil:
		return adopter.Committed{}
	case errors.Is(err, platformer.ErrConflict):
		return adopter.Conflicted{}
	case errors.Is(err, platformer.ErrUncertain):
		return adopter.Uncertain{}
	}
	return adopter.Unsent{}
}

// Current returns the accepted record. It is zero when none is accepted yet.
func (p *Pusher) Current(ctx context.Context) (adopter.Record, error) {
	record, _, err := p.record(ctx, adopter.CurrentKey)
	return record, unavailable(err)
}

// Version returns the record of an accepted version. An unknown one has
// [result.NoManifest].
func (p *Pusher) Version(ctx context.Context, version unit.ManifestVersion) (adopter.Record, error) {
	record, _, err := p.record(ctx, adopter.HistoryKey(version))
	if err == nil && record.Version == 0 {
		return record, result.New(result.NoManifest, "version %d was not accepted", version)
	}
	return record, unavailable(err)
}

// History returns the latest accepted records, at most as many as limit, latest first.
func (p *Pusher) History(ctx context.Context, limit int) ([]adopter.Record, error) {
	current, err := p.Current(ctx)
	if err != nil {
		return nil, err
	}
	after := adopter.HistoryPrefix
	if current.Version > unit.ManifestVersion(limit) {
		after = adopter.HistoryKey(current.Version - unit.ManifestVersion(limit))
	}
	rows, err := p.platform.Scan(ctx, adopter.Table, adopter.HistoryPrefix, after)
	if err != nil {
		return nil, unavailable(err)
	}
	records := make([]adopter.Record, 0, len(rows))
	for _, row := range slices.Backward(rows) {
		record, err := adopter.DecodeRecord(row.Value)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		records = append(records, record)
	}
	return records, nil
}

// Document returns the document of a record.
func (p *Pusher) Document(ctx context.Context, record adopter.Record) ([]byte, error) {
	document, err := p.platform.Object(ctx, adopter.ObjectName(record.Digest))
	return document, unavailable(err)
}

func unavailable(err error) error {
	if errors.Is(err, platformer.ErrUnavailable) {
		return result.New(result.StoreUnavailable, "%v", err)
	}
	return trace.Wrap(err)
}

func versionText(record adopter.Record) string {
	return strconv.FormatUint(uint64(record.Version), 10)
}
