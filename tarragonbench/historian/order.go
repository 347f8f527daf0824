package historian

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// registerModel models a register. Its state is the register's value.
var registerModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		o := input.(Operation)
		if o.Kind == WriteRegister {
			return true, o.Value
		}
		return state.(int64) == output.(Operation).Value, state
	},
}

// bucketModel models a bucket. Its state is a bit set of items. A bucket has BucketSize
// items from BucketSize * key on, and one more if a pair was inserted last.
var bucketModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		o := input.(Operation)
		if o.Kind != ReadBucket {
			return true, state.(uint64) | bitSet(o.Key, o.items())
		}
		return state.(uint64) == bitSet(o.Key, output.(Operation).Seen), state
	},
}

// bitSet returns the set of items of a bucket as bits.
func bitSet(key int64, items []int64) uint64 {
	var set uint64
	for _, item := range items {
		set |= 1 << uint64(item-key*BucketSize)
	}
	return set
}

// linearizable reports whether the operations on one key are linearizable, and whether
// this was decided within the timeout.
func linearizable(operations []Operation, timeout time.Duration) (ok, decided bool) {
	seen := map[int64]bool{}
	for _, o := range operations {
		if o.Kind == ReadRegister && o.Outcome == Done {
			seen[o.Value] = true
		}
		for _, item := range o.Seen {
			seen[item] = true
		}
	}
	model := bucketModel
	var history []porcupine.Operation
	for _, o := range operations {
		if o.Kind == WriteRegister || o.Kind == ReadRegister {
			model = registerModel
		}
		end := o.Return
		switch {
		case o.Outcome == Done:
		case o.writes() && observed(o, seen):
			end = math.MaxInt64 // It took effect at an unknown time after its call.
		default:
			continue // A write that no read saw constrains nothing.
		}
		history = append(history, porcupine.Operation{ClientId: o.Caller, Input: o, Output: o, Call: o.Call, Return: end})
	}
	result := porcupine.CheckOperationsTimeout(model, history, timeout)
	return result == porcupine.Ok, result != porcupine.Unknown
}

// observed reports whether a read returned a value or item that o writes.
func observed(o Operation, seen map[int64]bool) bool {
	if o.Kind == WriteRegister {
		return seen[o.Value]
	}
	for _, item := range o.items() {
		if seen[item] {
			return true
		}
	}
	return false
}
