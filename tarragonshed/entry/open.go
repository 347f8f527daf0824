package entry

import (
	"fmt"
	"time"

	"tarragonshed.example/router"
	"tarragonshed.example/tarragonshed/translator"
	"tarragonshed.example/wire/peer"
)

// openRequest returns the request that opens a transaction of the planned kind
// on the instance.
func (r *run) openRequest(use router.Use) *peer.Open {
	r.requests++
	open := &peer.Open{
		Group:               string(r.database),
		Instance:            string(use.Instance),
		Class:               peer.Class_CLASS_WRITE,
		Priority:            peer.Priority_PRIORITY_WRITE,
		TimeoutMicroseconds: microseconds(time.Until(r.deadline)),
		Caller:              string(r.caller),
		RequestId:           fmt.Sprintf("%d-%d", r.id, r.requests),
		Settings:            translator.ToSettings(r.options.settings),
		RequestKey:          []byte(r.plan.key),
		Begins:              r.plan.begins,
		ClaimKey:            r.claiming,
	}
	if !r.plan.read {
		return open
	}
	floor := r.tracker.Position()
	open.Priority = peer.Priority_PRIORITY_PRIMARY_READ
	open.RequestKey = nil
	open.Floor = &peer.Position{Term: uint64(floor.Term), Index: uint64(floor.Index)}
	if use.Primary {
		// The primary may return data that is not on a majority yet. Since the
		// class is that of a write, the home withholds the response until it is.
		return open
	}
	open.Class = peer.Class_CLASS_READ
	open.FloorWaitMicroseconds = microseconds(min(use.Wait, time.Until(r.deadline)))
	if r.plan.staleness > 0 {
		open.Priority = peer.Priority_PRIORITY_STALE_READ
		open.MaxStalenessMicroseconds = microseconds(r.plan.staleness)
	}
	return open
}

func microseconds(d time.Duration) uint64 {
	return uint64(max(d, 0) / time.Microsecond)
}
