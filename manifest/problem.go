package manifest

import (
	"fmt"
	"slices"
	"strings"

	"tarragonshed.example/internal/locator"
	"tarragonshed.example/result"
)

// maxProblems bounds the number of problems that are listed for one document.
const maxProblems = 500

// Problem is one error or warning about a manifest document.
type Problem struct {
	Code result.Code `json:"code"`
	// Line is the line in the document, counted from 1. Zero means the whole document.
	Line int `json:"line"`
	// Path is the path of the key, such as "groups[0].instances[2].slots".
	Path   string `json:"path"`
	Detail string `json:"detail"`
	// Warning reports whether the manifest can be accepted despite the problem.
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

// Problems are all problems of a manifest document, ordered by line.
type Problems []Problem

// HasErrors reports whether any problem is not a warning. A manifest with errors cannot be
// accepted.
func (p Problems) HasErrors() bool {
	return slices.ContainsFunc(p, func(problem Problem) bool { return !problem.Warning })
}

// Err returns an error with the code [result.ManifestInvalid] that lists all problems, or
// nil if there are no errors among them.
func (p Problems) Err() error {
	if !p.HasErrors() {
		return nil
	}
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return result.New(result.ManifestInvalid, "%s", strings.Join(lines, "; "))
}

// collector collects the problems of one document.
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
