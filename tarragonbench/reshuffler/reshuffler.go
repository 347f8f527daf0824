// Package reshuffler compares methods of placing instances on daemons. It measures the
// share of instances that move when a daemon joins or leaves, and the skew of the load.
//
// # Methods
//
// [Rendezvous] is rendezvous hashing, as package placer does it: an instance is placed on
// the daemon with the highest hash of (daemon, instance).
//
// [BucketTable] is the table of Section III of Ma et al., "A Comprehensive Study on Load
// Balancers for VNF chains Horizontal Scaling". L buckets are divided equally among the
// daemons and shuffled by a pseudo-random generator with a shared seed. An instance is
// placed on the daemon in bucket hash(instance) mod L. The table is rebuilt after each
// change of the set of daemons.
//
// [PatchedTable] is that table, changed in as few buckets as possible: a joining daemon
// takes its share of buckets from all others, and the buckets of a leaving daemon are
// distributed over the remaining ones. The resulting table depends on the order of the
// changes, so the daemons would have to agree on that order.
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

// Way is a method of placing instances on daemons.
type Way string

// The placement methods, described in the package comment.
const (
	Rendezvous   Way = "rendezvous"
	BucketTable  Way = "bucket-table"
	PatchedTable Way = "patched-table"
)

// Ways lists all placement methods.
var Ways = []Way{Rendezvous, BucketTable, PatchedTable}

// bucketsPerDaemon makes a table much larger than the number of daemons, so that the
// daemons hold nearly equal shares of it.
const bucketsPerDaemon = 100

// tableSeed seeds the shuffle of the buckets. All daemons use the same seed and so
// compute the same table.
const tableSeed = 1

// failureDomain holds all daemons and instances, so that placement across failure
// domains has no effect.
const failureDomain = "domain"

// Result holds the means over all trials of one placement method.
type Result struct {
	Way       Way `json:"way"`
	Daemons   int `json:"daemons"`
	Instances int `json:"instances"`
	// JoinMoves and LeaveMoves are the shares of instances that move to another daemon
	// when one daemon joins or leaves, from 0 to 1.
	JoinMoves  float64 `json:"join-moves"`
	LeaveMoves float64 `json:"leave-moves"`
	// IdealJoin and IdealLeave are the smallest possible shares: the joining or leaving
	// daemon's equal share of all instances.
	IdealJoin  float64 `json:"ideal-join"`
	IdealLeave float64 `json:"ideal-leave"`
	// Skew is the number of instances on the most loaded daemon, divided by the mean.
	Skew float64 `json:"skew"`
}

// placement returns the ID of the daemon on which an instance is placed.
type placement func(instance string) string

// Compare measures a placement method in a number of trials. The trials differ in the
// names of the daemons and instances, and thus in their hashes.
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
		remaining := slices.Delete(slices.Clone(ids), trial%daemons, trial%daemons+1)
		before, afterJoin, afterLeave := way.place(ids, joined, remaining)
		r.JoinMoves += movedShare(before, afterJoin, keys) / float64(trials)
		r.LeaveMoves += movedShare(before, afterLeave, keys) / float64(trials)
		r.Skew += skew(before, keys, daemons) / float64(trials)
	}
	return r
}

// place returns the placements on the daemons ids, on those after one has joined, and on
// those that remain after one has left.
func (w Way) place(ids, joined, remaining []string) (before, afterJoin, afterLeave placement) {
	switch w {
	case Rendezvous:
		return rendezvous(ids), rendezvous(joined), rendezvous(remaining)
	case BucketTable:
		size := bucketsPerDaemon * len(ids)
		return newTable(ids, size).owner, newTable(joined, size).owner, newTable(remaining, size).owner
	}
	t := newTable(ids, bucketsPerDaemon*len(ids))
	return t.owner, t.join(joined[len(joined)-1], len(ids)).owner, t.leave(remaining).owner
}

func rendezvous(ids []string) placement {
	view := member.View{}
	for _, id := range ids {
		view.Daemons = append(view.Daemons, member.Daemon{ID: unit.DaemonID(id), Domain: failureDomain, State: member.Live})
	}
	return func(instance string) string {
		homes := placer.Homes(view, manifest.Instance{Name: unit.InstanceName(instance), Domain: failureDomain}, 1)
		return string(homes[0].ID)
	}
}

// table holds the daemon ID of each bucket.
type table []string

// newTable divides the buckets equally among the daemons and shuffles them with the
// shared seed.
func newTable(ids []string, size int) table {
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

// join assigns every (n+1)th bucket, in a shuffled order, to the daemon id that joins n
// others.
func (t table) join(id string, n int) table {
	next := slices.Clone(t)
	order := rand.New(rand.NewPCG(tableSeed, tableSeed)).Perm(len(t))
	for i := 0; i < len(order); i += n + 1 {
		next[order[i]] = id
	}
	return next
}

// leave distributes the buckets of the daemon that has left over the remaining daemons,
// in turn.
func (t table) leave(remaining []string) table {
	next := slices.Clone(t)
	reassigned := 0
	for i, owner := range next {
		if !slices.Contains(remaining, owner) {
			next[i] = remaining[reassigned%len(remaining)]
			reassigned++
		}
	}
	return next
}

// movedShare returns the share of keys whose daemon differs between two placements.
func movedShare(before, after placement, keys []string) float64 {
	moved := 0
	for _, key := range keys {
		if before(key) != after(key) {
			moved++
		}
	}
	return float64(moved) / float64(len(keys))
}

// skew returns the largest number of keys on a daemon, divided by the mean.
func skew(p placement, keys []string, daemons int) float64 {
	loads := make(map[string]int)
	maxLoad := 0
	for _, key := range keys {
		id := p(key)
		loads[id]++
		maxLoad = max(maxLoad, loads[id])
	}
	return float64(maxLoad) * float64(daemons) / float64(len(keys))
}
