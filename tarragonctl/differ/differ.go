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

// Lines returns the lines of both texts: those of before only after "-", those of after
// only after "+", and unchanged ones near them after a space. It is empty for equal
// texts.
func Lines(before, after string) []string {
	return around(script(strings.Split(before, "\n"), strings.Split(after, "\n")))
}

// context is the number of unchanged lines that are kept near changes.
const context = 3

// maxCells bounds the table of the comparison. Larger texts are compared as a whole
// between their common beginning and end.
const maxCells = 16 << 20

// script returns the lines with their marks.
func script(a, b []string) []string {
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
		head = append(mark(mark(head, "-", a), "+", b), tail...)
		return head
	}
	return append(append(head, compare(a, b)...), tail...)
}

func mark(lines []string, sign string, added []string) []string {
	for _, line := range added {
		lines = append(lines, sign+line)
	}
	return lines
}

// compare finds a longest common subsequence.
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
	return mark(mark(lines, "-", a[i:]), "+", b[j:])
}

// around keeps the changed lines and those near them.
func around(lines []string) []string {
	keep := make([]bool, len(lines))
	for i, line := range lines {
		if line[0] == ' ' {
			continue
		}
		for j := max(0, i-context); j <= min(len(lines)-1, i+context); j++ {
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
