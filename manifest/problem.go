package manifest

import (
	"fmt"
	"slices"
	"strings"

	"tarragonshed.example/internal/locator"
	"tarragonshed.example/result"
)

// maxProblems bounds the number of problems that one check reports.
const maxProblems = 500

// Problem is one fault of a manifest document.
type Problem struct {
	Code result.Code `json:"code"`
	// Line is the line of the document, from 1. Zero stands for the whole document.
	Line int `json:"line"`
	// Path names the key, as in "groups[0].instances[2].slots".
	Path   string `json:"path"`
	Detail string `json:"detail"`
	// Warning tells that the manifest can be accepted nevertheless.
	Warning bool `json:"warning"`
}

// String formats p as one line.
func (p Problem) String() string {
	kind := "error"
	if p.Warning {
		kind = "warning"
	}
	return fmt.Sprintf("line %d: %v %s: %s: %s", p.Line, p.Code, kind, p.Path, p.Detail)
}

// Problems are all faults of a manifest document, ordered by line.
type Problems []Problem

// HasErrors reports whether a problem other than a warning is among them.
func (p Problems) HasErrors() bool {
	return slices.ContainsFunc(p, func(one Problem) bool { return !one.Warning })
}

// Err returns an error with [result.ManifestInvalid] that names all problems, or nil
// when there are only warnings.
func (p Problems) Err() error {
	if !p.HasErrors() {
		return nil
	}
	lines := make([]string, 0, len(p))
	for _, one := range p {
		lines = append(lines, one.String())
	}
	return result.New(result.ManifestInvalid, "%s", strings.Join(lines, "; "))
}

// collector gathers problems.
type collector struct {
	lines    locator.Lines
	problems Problems
	dropped  int
}

func (c *collector) add(code result.Code, path, format string, args ...any) {
	if len(c.problems) >= maxProblems {
		c.dropped++
		return
	}
	c.problems = append(c.problems, Problem{
		Code: code, Line: c.lines.Line(path), Path: path, Detail: fmt.Sprintf(format, args...),
		Warning: code == result.ManifestSpread,
	})
}

// sorted returns the problems ordered by line.
func (c *collector) sorted() Problems {
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	if c.dropped > 0 {
		c.problems = append(c.problems, Problem{
			Code: result.ManifestInvalid, Detail: fmt.Sprintf("%d more problems are not listed", c.dropped),
		})
	}
	return c.problems
}
