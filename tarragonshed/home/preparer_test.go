package home

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/wire/peer"
)

// TestPreparerKeepsNoTexts guards against texts of prepared statements that stay in memory when their
// sessions have ended (review/10, found in the home of the PostgreSQL engine, too).
func TestPreparerKeepsNoTexts(t *testing.T) {
	const textBytes = 256 << 10
	is := is.New(t)
	p := newPreparer()
	before := heapBytes()
	for n := range maxPrepared {
		p.add(fmt.Sprint(n), []byte(strings.Repeat(fmt.Sprint(n%10), textBytes)), nil)
	}
	is.True(heapBytes() < before+maxPrepared*textBytes/8)
	is.True(p.has(&peer.Statement{Name: "7", Query: []byte(strings.Repeat("7", textBytes))}))
	is.True(!p.has(&peer.Statement{Name: "7", Query: []byte(strings.Repeat("8", textBytes))}))
}

// heapBytes returns the bytes on the heap that are in use.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
