package differ_test

import (
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/tarragonctl/differ"
)

func TestLines(t *testing.T) {
	t.Run("equal texts give no lines", func(t *testing.T) {
		is.New(t).Equal(len(differ.Lines("a\nb", "a\nb")), 0)
	})
	t.Run("changes are shown with context lines", func(t *testing.T) {
		is := is.New(t)
		before := "1\n2\n3\n4\n5\n6\n7\n8\n9\na\nb\nc"
		after := "1\nx\n3\n4\n5\n6\n7\n8\n9\na\nc"
		is.Equal(differ.Lines(before, after), []string{" 1", "-2", "+x", " 3", " 4", " 5", "...", " 8", " 9", " a", "-b", " c"})
	})
}
