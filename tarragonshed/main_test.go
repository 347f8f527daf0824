package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tarragonshed.example/tarragonshed/settings"
)

// TestLogLines guards against a value with a line end, such as an error that quotes a caller's
// text, that makes several log lines or one that looks like another entry.
func TestLogLines(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		t.Run(format, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			forged := "x\r\nlevel=error msg=forged"
			newLogger(&out, settings.Log{Level: "info", Format: format}).Info("refused", "request", forged, "cause", errors.New(forged), "list", []string{forged})
			is.Equal(strings.Count(out.String(), "\n"), 1)
			is.True(!strings.Contains(out.String(), "\r"))
		})
	}
}
