// Package differ compares two texts line by line.
//
// # Usage
//
//	for _, line := range differ.Lines(before, after) {
//		fmt.Println(line)
//	}
package differ

import (
	"slices"
	"strings"
)

// Lines returns the differences between two texts as lines with a prefix: "-" for lines
// that are only in before, "+" for lines that are only in after, and a space for up to
// three unchanged lines around each change. A line "..." separates changes that are
// further apart. The result is empty for equal texts.
func Lines(before, after string) []string {
	return trimContext(editScript(strings.Split(before, "\n"), strings.Split(after, "\n")))
}

// contextLines is the number of unchanged lines kept on each side of a change.
const contextLines = 3

// maxCells limits the table of the comparison, whose cells take 4 bytes each, to 64 MiB.
// If two texts need a larger one, all lines between their common prefix and suffix are
// shown as replaced.
const maxCells = 16 << 20

// editScript returns all lines of both texts with their prefixes.
func editScript(a, b []string) []string {
	var head, tail []string
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		head = append(head, " "+a[0])
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		tail = append(tail, " "+a[len(a)-1])
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	slices.Reverse(tail)
	if (len(a)+1)*(len(b)+1) > maxCells {
		head = append(appendPrefixed(appendPrefixed(head, "-", a), "+", b), tail...)
		return head
	}
	return append(append(head, compare(a, b)...), tail...)
}

// appendPrefixed appends the lines of added, each with the prefix, to lines.
func appendPrefixed(lines []string, prefix string, added []string) []string {
	for _, line := range added {
		lines = append(lines, prefix+line)
	}
	return lines
}

// compare returns the lines of a and b with their prefixes. Lines of a longest common
// subsequence are unchanged, the others are removed or added.
func compare(a, b []string) []string {
	width := len(b) + 1
	lengths := make([]int32, (len(a)+1)*width)
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i*width+j] = lengths[(i+1)*width+j+1] + 1
			} else {
				lengths[i*width+j] = max(lengths[(i+1)*width+j], lengths[i*width+j+1])
			}
		}
	}
	var lines []string
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			lines = append(lines, " "+a[i])
			i, j = i+1, j+1
		case lengths[(i+1)*width+j] >= lengths[i*width+j+1]:
			lines = append(lines, "-"+a[i])
			i++
		default:
			lines = append(lines, "+"+b[j])
			j++
		}
	}
	return appendPrefixed(appendPrefixed(lines, "-", a[i:]), "+", b[j:])
}

// trimContext returns the changed lines and the context lines around them.
func trimContext(lines []string) []string {
	keep := make([]bool, len(lines))
	for i, line := range lines {
		if line[0] == ' ' {
			continue
		}
		for j := max(0, i-contextLines); j <= min(len(lines)-1, i+contextLines); j++ {
			keep[j] = true
		}
	}
	var kept []string
	for i, line := range lines {
		if keep[i] {
			if i > 0 && !keep[i-1] && len(kept) > 0 {
				kept = append(kept, "...")
			}
			kept = append(kept, line)
		}
	}
	return kept
}
