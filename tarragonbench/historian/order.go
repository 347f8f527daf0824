package historian

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// registerModel is a register: its state is its value.
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

// bucketModel is a bucket: its state is a set of items as bits. A bucket has
// items from BucketSize * key on, and one more if a pair was the last.
var bucketModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		o := input.(Operation)
		if o.Kind != ReadBucket {
			return true, state.(uint64) | bits(o.Key, o.items())
		}
		return state.(uint64) == bits(o.Key, output.(Operation).Seen), state
	},
}

func bits(key int64, items []int64) uint64 {
	var set uint64
	for _, item := range items {
		set |= 1 << uint64(item-key*BucketSize)
	}
	return set
}

// linearizable reports whether the operations on one key have an order that
// explains them, or that this was not decided in time.
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
			end = math.MaxInt64 // It took effect at some time after its call.
		default:
			continue // A write that nobody saw explains nothing.
		}
		history = append(history, porcupine.Operation{ClientId: o.Caller, Input: o, Output: o, Call: o.Call, Return: end})
	}
	result := porcupine.CheckOperationsTimeout(model, history, timeout)
	return result == porcupine.Ok, result != porcupine.Unknown
}

// observed reports whether a read saw what o writes.
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
