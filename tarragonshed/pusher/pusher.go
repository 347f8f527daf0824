// Package pusher pushes manifests to the platform's store and reads the accepted ones
// from it. It executes the effects of [adopter.Push] with the platform's client.
//
// # Usage
//
//	p := pusher.New(client, rec)
//	record, err := p.Push(ctx, adopter.Request{ID: "push-7", Base: 6, Document: document})
//	switch result.CodeOf(err) {
//	case result.PushConflict: // Another push of version 7 was accepted.
//	case result.PushUnconfirmed: // The outcome is unknown; retry with the same id.
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

// DefaultTimeout bounds the duration of a push. An earlier deadline of the context takes
// precedence.
const DefaultTimeout = 15 * time.Second

// Bounds of the exponential backoff between attempts, before jitter.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Pusher pushes manifests and reads accepted ones. It is safe for concurrent use.
type Pusher struct {
	platform *platformer.Platformer
	recorder *recorder.Recorder
}

// New returns a Pusher that uses the platform's client.
func New(platform *platformer.Platformer, rec *recorder.Recorder) *Pusher {
	return &Pusher{platform: platform, recorder: rec}
}

// Push pushes a manifest and returns its accepted record. If the manifest was not
// accepted, the error has the code [result.ManifestInvalid], [result.PushConflict],
// [result.PushReused] or [result.StoreUnavailable]. If the outcome is unknown, it has
// [result.PushUnconfirmed].
func (p *Pusher) Push(ctx context.Context, request adopter.Request) (adopter.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	machine, effect := adopter.NewPush(request, time.Now().UnixNano())
	backoff := firstBackoff
	for {
		if needsBackoff(effect) {
			backoff = waitBackoff(ctx, backoff)
		}
		var event adopter.PushEvent
		switch e := effect.(type) {
		case adopter.Done:
			return p.finish(e)
		case adopter.ReadRows:
			event = p.readRows(ctx, request.ID)
		case adopter.Store:
			event = p.store(ctx, e, request.Document)
		case adopter.Commit:
			event = p.commit(ctx, e)
		}
		_, uncertain := event.(adopter.Uncertain)
		effect = machine.Step(event)
		if _, done := effect.(adopter.Done); !done && ctx.Err() != nil {
			if uncertain {
				effect = finalRead(machine, p.readRows(context.WithoutCancel(ctx), request.ID))
				continue
			}
			effect = machine.Step(adopter.Expired{})
		}
	}
}

// finalRead handles the rows that are read once after the deadline because the outcome
// of a commit was unknown. They may still show the outcome.
func finalRead(machine *adopter.Push, read adopter.PushEvent) adopter.PushEffect {
	if done, ok := machine.Step(read).(adopter.Done); ok {
		return done
	}
	return machine.Step(adopter.Expired{})
}

func (p *Pusher) finish(e adopter.Done) (adopter.Record, error) {
	if e.Err == nil {
		p.recorder.Record(recorder.Event{Kind: recorder.ManifestPushed, Detail: "version " + formatVersion(e.Record) + " by push " + string(e.Record.PushID)})
	}
	return e.Record, e.Err
}

// needsBackoff reports whether the effect repeats an attempt that failed.
func needsBackoff(effect adopter.PushEffect) bool {
	switch e := effect.(type) {
	case adopter.ReadRows:
		return e.Backoff
	case adopter.Store:
		return e.Backoff
	}
	return false
}

// waitBackoff waits between 0.5 and 1.5 times the backoff, or until ctx ends, and returns
// the backoff for the next attempt.
func waitBackoff(ctx context.Context, backoff time.Duration) time.Duration {
	select {
	case <-time.After(backoff/2 + rand.N(backoff)):
	case <-ctx.Done():
	}
	return min(backoff*2, maxBackoff)
}

// readRows reads the current row before the row of the push id, the order that
// [adopter.ReadRows] requires.
func (p *Pusher) readRows(ctx context.Context, id adopter.PushID) adopter.PushEvent {
	current, rowVersion, err := p.readRecord(ctx, adopter.CurrentKey)
	if err != nil {
		return adopter.ReadFailed{}
	}
	accepted, _, err := p.readRecord(ctx, adopter.PushKey(id))
	if err != nil {
		return adopter.ReadFailed{}
	}
	return adopter.RowsRead{Current: current, RowVersion: rowVersion, Accepted: accepted}
}

// readRecord reads a row and returns its record and row version, both zero if the row
// is absent.
func (p *Pusher) readRecord(ctx context.Context, key string) (adopter.Record, uint64, error) {
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

// Current returns the record of the latest accepted manifest, or the zero value if none
// is accepted yet.
func (p *Pusher) Current(ctx context.Context) (adopter.Record, error) {
	record, _, err := p.readRecord(ctx, adopter.CurrentKey)
	return record, storeError(err)
}

// Version returns the record of an accepted version. For any other version the error has
// the code [result.NoManifest].
func (p *Pusher) Version(ctx context.Context, version unit.ManifestVersion) (adopter.Record, error) {
	record, _, err := p.readRecord(ctx, adopter.HistoryKey(version))
	if err == nil && record.Version == 0 {
		return record, result.New(result.NoManifest, "version %d was not accepted", version)
	}
	return record, storeError(err)
}

// History returns up to limit of the latest accepted records, newest first.
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
		return nil, storeError(err)
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

// Document returns the manifest document that the record refers to.
func (p *Pusher) Document(ctx context.Context, record adopter.Record) ([]byte, error) {
	document, err := p.platform.Object(ctx, adopter.ObjectName(record.Digest))
	return document, storeError(err)
}

// storeError gives the code [result.StoreUnavailable] to an error of an unavailable store.
func storeError(err error) error {
	if errors.Is(err, platformer.ErrUnavailable) {
		return result.New(result.StoreUnavailable, "%v", err)
	}
	return trace.Wrap(err)
}

func formatVersion(record adopter.Record) string {
	return strconv.FormatUint(uint64(record.Version), 10)
}
