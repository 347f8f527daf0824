package splitter_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/splitter"
)

// document returns a document of many similar lines.
func document(lines int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var body []byte
	for n := range lines {
		body = fmt.Appendf(body, `{"Name":"r-%x","Host":"h-%d","TimeoutMs":800,"ServiceName":"ledger"},`, random.Uint64(), n)
	}
	return body
}

// fetch adds the missing parts of the document to a, and returns how many bytes they have.
func fetch(t *testing.T, a *splitter.Assembler, body []byte) int {
	t.Helper()
	is := is.New(t)
	parts := splitter.Split(body)
	received := 0
	for _, d := range a.Missing(splitter.Digests(parts)) {
		at := slices.IndexFunc(parts, func(p splitter.Part) bool { return p.Digest == d })
		is.NoErr(a.Add(d, parts[at].Body))
		received += len(parts[at].Body)
	}
	joined, complete := a.Join(splitter.Digests(parts))
	is.True(complete)
	is.True(bytes.Equal(joined, body))
	return received
}

func TestSplit(t *testing.T) {
	t.Run("parts are the whole document", func(t *testing.T) {
		for _, size := range []int{0, 1, 1 << 10, 5000, 1 << 20} {
			is := is.New(t)
			body := bytes.Repeat([]byte{'x'}, size)
			var joined []byte
			for _, p := range splitter.Split(body) {
				joined = append(joined, p.Body...)
			}
			is.True(bytes.Equal(joined, body))
		}
	})
	t.Run("a changed line is a small part of the document", func(t *testing.T) {
		is := is.New(t)
		const largestChange = 3 * 16 << 10
		before := document(4000)
		for _, at := range []int{0, len(before) / 2, len(before)} {
			var a splitter.Assembler
			a.SetBase(before)
			after := slices.Concat(before[:at], []byte("{one line more}"), before[at:])
			received := fetch(t, &a, after)
			is.True(received > 0 && received <= largestChange)
		}
	})
}

func TestAssembler(t *testing.T) {
	t.Run("without a base receives the whole document", func(t *testing.T) {
		body := document(1000)
		is.New(t).Equal(fetch(t, &splitter.Assembler{}, body), len(body))
	})
	t.Run("keeps what it has received", func(t *testing.T) {
		is := is.New(t)
		parts := splitter.Split(document(1000))
		var a splitter.Assembler
		first := parts[0]
		is.NoErr(a.Add(first.Digest, first.Body))
		missing := a.Missing(splitter.Digests(parts))
		is.Equal(len(missing), len(parts)-1)
		is.True(!slices.Contains(missing, first.Digest))
		_, complete := a.Join(splitter.Digests(parts))
		is.True(!complete)
	})
	t.Run("forgets parts that are no longer wanted", func(t *testing.T) {
		is := is.New(t)
		parts := splitter.Split(document(1000))
		var a splitter.Assembler
		is.NoErr(a.Add(parts[0].Digest, parts[0].Body))
		a.Missing(splitter.Digests(parts[1:]))
		_, complete := a.Join(splitter.Digests(parts[:1]))
		is.True(!complete)
	})
	t.Run("rejects a part with another digest", func(t *testing.T) {
		is := is.New(t)
		parts := splitter.Split(document(1000))
		var a splitter.Assembler
		is.Equal(a.Add(parts[0].Digest, parts[1].Body), splitter.ErrDigest)
		is.Equal(len(a.Missing(splitter.Digests(parts))), len(parts))
	})
}
