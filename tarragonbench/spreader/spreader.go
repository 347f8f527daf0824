// Package spreader measures the time from the acceptance of a manifest until it is in
// force on all daemons, and the resources that an idle daemon uses for control traffic.
// Each daemon runs as a process of its own.
//
// # Method
//
// The platform and the targets run in this process. The daemons run as processes of the
// given program, in three failure domains, each of which reaches the platform by an
// address of its own. Each push renames the first caller of the manifest. The time of a
// push starts with the response that it is accepted and ends with the latest "in force
// since" of all daemons; all processes use the machine's clock. With [Plan.Cut], the third
// failure domain is partitioned from the platform at acceptance, and reconnected when the
// version is in force on all daemons.
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

// adoptionTimeout bounds the wait until a version is in force on a daemon, and each call to
// a daemon.
const adoptionTimeout = 60 * time.Second

// maxPushDelay is the upper bound of the random delay before a push.
const maxPushDelay = time.Second

// Plan holds the parameters of a measurement.
type Plan struct {
	// Program is the path of the daemons' executable.
	Program string
	Daemons int
	// Groups is the number of groups of three instances.
	Groups int
	// Pushes is the number of manifest versions that are pushed and timed.
	Pushes int
	// Cut partitions the third failure domain from the platform at the acceptance of
	// each version.
	Cut bool
	// Rest is the time over which the cost of idle daemons is measured. Without it, the
	// cost isn't measured.
	Rest time.Duration
}

// Result holds the figures of a measurement.
type Result struct {
	Daemons int  `json:"daemons"`
	Groups  int  `json:"groups"`
	Pushes  int  `json:"pushes"`
	Cut     bool `json:"cut"`
	// P50, P99 and Max are the 50th and 99th percentile and the maximum of the times from
	// acceptance until the version is in force on all daemons, in seconds.
	P50 float64 `json:"p50-seconds"`
	P99 float64 `json:"p99-seconds"`
	Max float64 `json:"max-seconds"`
	// Cost is the mean over all daemons while they are idle.
	Cost Cost `json:"cost"`
	// PlatformCalls is the number of calls a second that all idle daemons together make
	// to the platform.
	PlatformCalls float64 `json:"platform-calls-per-second"`
	// FalseSuspicions is the number of suspicions recorded while the daemons were idle.
	// All daemons were live.
	FalseSuspicions int `json:"false-suspicions"`
}

// Cost holds the resources that an idle daemon uses.
type Cost struct {
	// CPU is the processor time, as a share of one core.
	CPU float64 `json:"cpu-share"`
	// Memory is the resident size in MiB.
	Memory float64 `json:"memory-mib"`
	// GossipSent and GossipReceived are the bytes a second of the gossip calls that the
	// daemon makes, HTTP included. The calls that it answers add as much on average.
	GossipSent     float64 `json:"gossip-bytes-sent-per-second"`
	GossipReceived float64 `json:"gossip-bytes-received-per-second"`
	// GossipCalls is the number of gossip calls a second that the daemon makes.
	GossipCalls float64 `json:"gossip-calls-per-second"`
}

// Run carries out one measurement. It returns an error if the deployment cannot start, a
// push fails, or a version is not in force on all daemons in time.
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
	if err := d.measureIdle(ctx, plan, &result); err != nil {
		return result, trace.Wrap(err)
	}
	var times []time.Duration
	rng := rand.New(rand.NewPCG(1, uint64(plan.Daemons)))
	for n := range plan.Pushes {
		time.Sleep(time.Duration(rng.Int64N(int64(maxPushDelay)))) // Avoids synchronization with the relays' periodic reads.
		elapsed, err := d.push(ctx, push, unit.ManifestVersion(n+2))
		if err != nil {
			return result, trace.Wrap(err)
		}
		times = append(times, elapsed)
	}
	result.setTimes(times)
	return result, nil
}

// setTimes sets the percentiles and the maximum of the times.
func (r *Result) setTimes(times []time.Duration) {
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	quantile := func(share float64) float64 { return times[int(share*float64(len(times)-1)+0.5)].Seconds() }
	r.P50, r.P99, r.Max = quantile(0.5), quantile(0.99), quantile(1)
}

// push pushes a version and returns the time from its acceptance until it is in force on
// all daemons.
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
	d.partitioned.Store(d.plan.Cut && version > 1)
	defer d.partitioned.Store(false)
	latest, err := d.awaitVersion(ctx, uint64(version))
	return max(0, latest.Sub(accepted)), err
}

// awaitVersion waits until the version is in force on all daemons. It returns the latest
// time at which it came into force on one of them.
func (d *deployment) awaitVersion(ctx context.Context, version uint64) (time.Time, error) {
	var latest time.Time
	for _, p := range d.daemons {
		deadline := time.Now().Add(adoptionTimeout)
		for {
			status, err := p.status(ctx)
			if err == nil && status.Manifest.Version >= version {
				if since := time.Unix(0, status.ManifestSince); since.After(latest) {
					latest = since
				}
				break
			}
			if time.Now().After(deadline) {
				return latest, trace.LimitExceeded("spreader: timeout before version %d is in force on daemon %s: %v", version, p.id, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return latest, nil
}
