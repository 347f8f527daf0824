// Package spreader measures how long an accepted manifest takes to be in force on all
// daemons, and what control costs a daemon, with daemons as processes of their own.
//
// # Method
//
// The platform and the targets run in this process, the daemons as processes of the
// given program, in three failure domains that each reach the platform by an address of
// its own. Each push changes the manifest's first caller. The time of a push is from the
// answer that it is accepted to the latest "in force since" of all daemons; all processes
// share the machine's clock. With a cut, the third failure domain is cut off from the
// platform at the moment of acceptance, and connected again when all daemons have the
// version.
//
// # Usage
//
//	result, err := spreader.Run(ctx, spreader.Plan{Program: "./tarragonshed", Daemons: 12, Pushes: 20})
package spreader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"tarragonshed.example/adopter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/tarragonshed/platformer"
	"tarragonshed.example/tarragonshed/pusher"
	"tarragonshed.example/unit"
)

// domains is the number of failure domains.
const domains = 3

// limit bounds the time that a version may take to be in force everywhere.
const limit = 60 * time.Second

// pause is the longest time between two pushes.
const pause = time.Second

// Plan is one measurement.
type Plan struct {
	// Program is the path of the daemon's program.
	Program string
	Daemons int
	// Groups is the number of groups of three instances.
	Groups int
	// Pushes is the number of versions that are pushed.
	Pushes int
	// Cut cuts a failure domain off from the platform at acceptance.
	Cut bool
	// Rest is the time over which the costs at rest are taken.
	Rest time.Duration
}

// Result is what was measured.
type Result struct {
	Daemons int  `json:"daemons"`
	Groups  int  `json:"groups"`
	Pushes  int  `json:"pushes"`
	Cut     bool `json:"cut"`
	// P50, P99 and Max are of the times from acceptance to in force everywhere, in
	// seconds.
	P50 float64 `json:"p50-seconds"`
	P99 float64 `json:"p99-seconds"`
	Max float64 `json:"max-seconds"`
	// Cost is the mean over all daemons at rest.
	Cost Cost `json:"cost"`
	// PlatformCalls is the number of calls a second of all daemons at rest.
	PlatformCalls float64 `json:"platform-calls-per-second"`
	// FalseSuspicions counts suspicions of daemons, all of which were live.
	FalseSuspicions int `json:"false-suspicions"`
}

// Cost is what a daemon uses at rest.
type Cost struct {
	// CPU is the share of one core.
	CPU float64 `json:"cpu-share"`
	// Memory is the resident size in MiB.
	Memory float64 `json:"memory-mib"`
	// GossipSent and GossipReceived are the bytes a second of the daemon's own calls,
	// with HTTP. The calls that it answers cost as much on average.
	GossipSent     float64 `json:"gossip-bytes-sent-per-second"`
	GossipReceived float64 `json:"gossip-bytes-received-per-second"`
	// GossipCalls is in calls a second.
	GossipCalls float64 `json:"gossip-calls-per-second"`
}

// Run makes one measurement.
func Run(ctx context.Context, plan Plan) (Result, error) {
	folder, err := os.MkdirTemp("", "spreader")
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	defer os.RemoveAll(folder)
	d, err := deploy(ctx, plan, folder)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	defer d.close()
	result := Result{Daemons: plan.Daemons, Groups: plan.Groups, Pushes: plan.Pushes, Cut: plan.Cut}
	client, err := platformer.New(d.platformURL(0))
	if err != nil {
		return result, trace.Wrap(err)
	}
	defer client.Close()
	push := pusher.New(client, nil)
	if _, err := d.push(ctx, push, 1); err != nil {
		return result, trace.Wrap(err)
	}
	if err := d.measureRest(ctx, plan, &result); err != nil {
		return result, trace.Wrap(err)
	}
	var times []time.Duration
	rng := rand.New(rand.NewPCG(1, uint64(plan.Daemons)))
	for n := range plan.Pushes {
		time.Sleep(time.Duration(rng.Int64N(int64(pause)))) // Out of step with the relays' reads.
		took, err := d.push(ctx, push, unit.ManifestVersion(n+2))
		if err != nil {
			return result, trace.Wrap(err)
		}
		times = append(times, took)
	}
	result.setTimes(times)
	return result, nil
}

func (r *Result) setTimes(times []time.Duration) {
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	at := func(share float64) float64 { return times[int(share*float64(len(times)-1)+0.5)].Seconds() }
	r.P50, r.P99, r.Max = at(0.5), at(0.99), at(1)
}

// push has a version accepted and returns the time until all daemons have it in force.
func (d *deployment) push(ctx context.Context, push *pusher.Pusher, version unit.ManifestVersion) (time.Duration, error) {
	d.manifest.Callers[0].Name = unit.CallerName(fmt.Sprintf("caller-%d", version))
	document, err := manifest.Encode(&d.manifest)
	if err != nil {
		return 0, err
	}
	request := adopter.Request{ID: adopter.PushID(fmt.Sprintf("spread-%d", version)), Base: version - 1, Document: document}
	if _, err := push.Push(ctx, request); err != nil {
		return 0, err
	}
	accepted := time.Now()
	d.cut.Store(d.plan.Cut && version > 1)
	defer d.cut.Store(false)
	latest, err := d.awaitVersion(ctx, uint64(version))
	return max(0, latest.Sub(accepted)), err
}

// awaitVersion waits until all daemons have the version in force and returns when the
// last one had.
func (d *deployment) awaitVersion(ctx context.Context, version uint64) (time.Time, error) {
	var latest time.Time
	for _, p := range d.daemons {
		end := time.Now().Add(limit)
		for {
			status, err := p.status(ctx)
			if err == nil && status.Manifest.Version >= version {
				if since := time.Unix(0, status.ManifestSince); since.After(latest) {
					latest = since
				}
				break
			}
			if time.Now().After(end) {
				return latest, trace.LimitExceeded("spreader: version %d is not in force on %s: %v", version, p.id, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return latest, nil
}
