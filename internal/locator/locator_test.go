package locator_test

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/internal/locator"
)

const document = `id = "a"
text = """
hidden = 1
"""

[peers]
seeds = [
  "b",
]
[peers.tls]
key = "k"

[[groups]]
[[groups.instances]]
[[groups.instances]]
slots = 3
`

func TestLine(t *testing.T) {
	lines := locator.New(document)
	for path, want := range map[string]int{
		"id":                           1,
		"hidden":                       0,
		"peers.seeds[0]":               7,
		"peers.tls.key":                11,
		"peers.tls.authorities":        10,
		"groups[0].instances[1].slots": 16,
		"groups[0].instances[0].slots": 14,
		"operator.token":               0,
	} {
		t.Run(path, func(t *testing.T) {
			is.New(t).Equal(lines.Line(path), want)
		})
	}
}
