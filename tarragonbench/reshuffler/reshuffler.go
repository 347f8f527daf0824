// Package reshuffler compares ways to place instances on daemons, by the moves that a
// join or a leave causes and by the skew of the load.
//
// # Ways
//
// [Rendezvous] is what placer does: the daemon with the highest hash of (daemon,
// instance). [BucketTable] is the table of Section III of Ma et al., "A Comprehensive Study
// on Load Balancers for VNF chains Horizontal Scaling": L buckets hold the daemons in equal shares,
// shuffled by a pseudo-random generator with a shared seed, and an instance belongs to
// the daemon in bucket hash(instance) mod L; after each change the table is made anew.
// [PatchedTable] is that table with the least change: a joining daemon takes its share
// of buckets from all others, and the buckets of a leaving one are dealt out. It depends
// on the order of the changes, which daemons would have to agree on.
//
// # Usage
//
//	for _, way := range reshuffler.Ways {
//		fmt.Println(reshuffler.Compare(way, 12, 960, 100))
//	}
package reshuffler

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/placer"
	"tarragonshed.example/unit"
)

// Way is a way to place instances.
type Way string

// The ways.
const (
	Rendezvous   Way = "rendezvous"
	BucketTable  Way = "bucket-table"
	PatchedTable Way = "patched-table"
)

// Ways are all ways.
var Ways = []Way{Rendezvous, BucketTable, PatchedTable}

// bucketsPerDaemon makes tables much larger than the number of daemons.
const bucketsPerDaemon = 100

// tableSeed is the seed that all daemons share.
const tableSeed = 1

// domain is the failure domain of all daemons and instances.
const domain = "domain"

// Result is the mean over all trials.
type Result struct {
	Way       Way `json:"way"`
	Daemons   int `json:"daemons"`
	Instances int `json:"instances"`
	// JoinMoves and LeaveMoves are the shares of instances whose daemon changes.
	JoinMoves  float64 `json:"join-moves"`
	LeaveMoves float64 `json:"leave-moves"`
	// Ideal is the least share: what the joining or leaving daemon holds.
	IdealJoin  float64 `json:"ideal-join"`
	IdealLeave float64 `json:"ideal-leave"`
	// Skew is the load of the most loaded daemon over the mean load.
	Skew float64 `json:"skew"`
}

// placement maps an instance to its daemon.
type placement func(instance string) string

// Compare places instances on daemons in trials that differ by the names.
func Compare(way Way, daemons, instances, trials int) Result {
	r := Result{
		Way: way, Daemons: daemons, Instances: instances,
		IdealJoin: 1 / float64(daemons+1), IdealLeave: 1 / float64(daemons),
	}
	for trial := range trials {
		ids := make([]string, daemons)
		for i := range ids {
			ids[i] = fmt.Sprintf("daemon-%d-%d", trial, i)
		}
		keys := make([]string, instances)
		for i := range keys {
			keys[i] = fmt.Sprintf("instance-%d-%d", trial, i)
		}
		joined := append(slices.Clone(ids), fmt.Sprintf("daemon-%d-new", trial))
		left := slices.Delete(slices.Clone(ids), trial%daemons, trial%daemons+1)
		before, after, without := way.place(ids, joined, left)
		r.JoinMoves += moves(before, after, keys) / float64(trials)
		r.LeaveMoves += moves(before, without, keys) / float64(trials)
		r.Skew += skew(before, keys, daemons) / float64(trials)
	}
	return r
}

// place returns the placements on the daemons, on those with one more, and on those
// with one less.
func (w Way) place(ids, joined, left []string) (before, after, without placement) {
	switch w {
	case Rendezvous:
		return rendezvous(ids), rendezvous(joined), rendezvous(left)
	case BucketTable:
		size := bucketsPerDaemon * len(ids)
		return deal(ids, size).owner, deal(joined, size).owner, deal(left, size).owner
	}
	t := deal(ids, bucketsPerDaemon*len(ids))
	return t.owner, t.join(joined[len(joined)-1], len(ids)).owner, t.leave(left).owner
}

func rendezvous(ids []string) placement {
	view := member.View{}
	for _, id := range ids {
		view.Daemons = append(view.Daemons, member.Daemon{ID: unit.DaemonID(id), Domain: domain, State: member.Live})
	}
	return func(instance string) string {
		homes := placer.Homes(view, manifest.Instance{Name: unit.InstanceName(instance), Domain: domain}, 1)
		return string(homes[0].ID)
	}
}

// table holds the daemon of each bucket.
type table []string

func deal(ids []string, size int) table {
	t := make(table, size)
	for i := range t {
		t[i] = ids[i*len(ids)/size]
	}
	rng := rand.New(rand.NewPCG(tableSeed, tableSeed))
	rng.Shuffle(size, func(i, j int) { t[i], t[j] = t[j], t[i] })
	return t
}

func (t table) owner(instance string) string {
	return t[xxhash.Sum64String(instance)%uint64(len(t))]
}

// join gives each (n+1)th bucket, in a shuffled order, to the new daemon.
func (t table) join(id string, n int) table {
	next := slices.Clone(t)
	order := rand.New(rand.NewPCG(tableSeed, tableSeed)).Perm(len(t))
	for i := 0; i < len(order); i += n + 1 {
		next[order[i]] = id
	}
	return next
}

// leave deals the buckets of the daemon that is not among the left ones out to them.
func (t table) leave(left []string) table {
	next := slices.Clone(t)
	dealt := 0
	for i, owner := range next {
		if !slices.Contains(left, owner) {
			next[i] = left[dealt%len(left)]
			dealt++
		}
	}
	return next
}

func moves(before, after placement, keys []string) float64 {
	moved := 0
	for _, key := range keys {
		if before(key) != after(key) {
			moved++
		}
	}
	return float64(moved) / float64(len(keys))
}

func skew(p placement, keys []string, daemons int) float64 {
	loads := make(map[string]int)
	most := 0
	for _, key := range keys {
		id := p(key)
		loads[id]++
		most = max(most, loads[id])
	}
	return float64(most) * float64(daemons) / float64(len(keys))
}
