package fleetconfig

import (
	"fmt"
	"strings"
)

const (
	// diffContext is the number of unchanged lines around a change.
	diffContext = 3
	// maxDiffCells bounds the table of the comparison, which has one cell for
	// each pair of lines between the first and the last change.
	maxDiffCells = 4_000_000
)

// Diff returns the changes from old to new as a unified diff, or an empty
// string if the texts are equal. Changes that span too many lines are shown as
// one replacement.
func Diff(old, new string) string {
	if old == new {
		return ""
	}
	edits := compare(splitLines(old), splitLines(new))
	var b strings.Builder
	b.WriteString("--- old\n+++ new\n")
	for _, h := range hunks(edits) {
		h.write(&b)
	}
	return b.String()
}

// edit is one line of a comparison: ' ' for a line of both texts, '-' for one
// of the old text, '+' for one of the new text.
type edit struct {
	sign byte
	line string
}

// splitLines keeps the line ends, so that a missing last one is a difference.
func splitLines(text string) []string {
	lines := strings.SplitAfter(text, "\n")
	if lines[len(lines)-1] == "" {
		lines = lines[:len(lines)-1]
	}
	return lines
}

func compare(old, new []string) []edit {
	head := commonPrefix(old, new)
	tail := commonSuffix(old[head:], new[head:])
	edits := appendEdits(nil, ' ', old[:head])
	edits = append(edits, compareMiddle(old[head:len(old)-tail], new[head:len(new)-tail])...)
	return appendEdits(edits, ' ', old[len(old)-tail:])
}

func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

func appendEdits(edits []edit, sign byte, lines []string) []edit {
	for _, line := range lines {
		edits = append(edits, edit{sign, line})
	}
	return edits
}

// compareMiddle finds a longest common subsequence by dynamic programming.
func compareMiddle(old, new []string) []edit {
	if len(old)*len(new) > maxDiffCells {
		return appendEdits(appendEdits(nil, '-', old), '+', new)
	}
	common := commonLengths(old, new)
	var edits []edit
	i, j := 0, 0
	for i < len(old) && j < len(new) {
		switch {
		case old[i] == new[j]:
			edits = append(edits, edit{' ', old[i]})
			i, j = i+1, j+1
		case common[i+1][j] >= common[i][j+1]:
			edits = append(edits, edit{'-', old[i]})
			i++
		default:
			edits = append(edits, edit{'+', new[j]})
			j++
		}
	}
	return appendEdits(appendEdits(edits, '-', old[i:]), '+', new[j:])
}

// commonLengths returns for each pair of positions the length of the longest
// common subsequence of the lines behind them.
func commonLengths(old, new []string) [][]int32 {
	rows := make([][]int32, len(old)+1)
	for i := range rows {
		rows[i] = make([]int32, len(new)+1)
	}
	for i := len(old) - 1; i >= 0; i-- {
		for j := len(new) - 1; j >= 0; j-- {
			if old[i] == new[j] {
				rows[i][j] = rows[i+1][j+1] + 1
				continue
			}
			rows[i][j] = max(rows[i+1][j], rows[i][j+1])
		}
	}
	return rows
}

// hunk is a run of edits with the number of lines before it in each text.
type hunk struct {
	oldBefore, newBefore int
	edits                []edit
}

// hunks groups the changes whose context lines touch.
func hunks(edits []edit) []hunk {
	var found []hunk
	oldBefore, newBefore, done := 0, 0, 0
	for i := 0; i < len(edits); i++ {
		if edits[i].sign == ' ' {
			continue
		}
		start, end := max(done, i-diffContext), hunkEnd(edits, i)
		skippedOld, skippedNew := countLines(edits[done:start])
		oldBefore, newBefore = oldBefore+skippedOld, newBefore+skippedNew
		found = append(found, hunk{oldBefore, newBefore, edits[start:end]})
		old, new := countLines(edits[start:end])
		oldBefore, newBefore, done = oldBefore+old, newBefore+new, end
		i = end - 1
	}
	return found
}

// hunkEnd returns the end of the hunk with a change at i.
func hunkEnd(edits []edit, i int) int {
	last := i
	for j := i; j < len(edits) && j <= last+2*diffContext+1; j++ {
		if edits[j].sign != ' ' {
			last = j
		}
	}
	return min(len(edits), last+diffContext+1)
}

func countLines(edits []edit) (old, new int) {
	for _, e := range edits {
		if e.sign != '+' {
			old++
		}
		if e.sign != '-' {
			new++
		}
	}
	return old, new
}

func (h hunk) write(b *strings.Builder) {
	old, new := countLines(h.edits)
	fmt.Fprintf(b, "@@ -%s +%s @@\n", lineRange(h.oldBefore, old), lineRange(h.newBefore, new))
	for _, e := range h.edits {
		b.WriteByte(e.sign)
		b.WriteString(e.line)
		if !strings.HasSuffix(e.line, "\n") {
			b.WriteString("\n\\ No newline at end of file\n")
		}
	}
}

// lineRange prints the first line and the count. An empty range names the line
// before it, as in other tools.
func lineRange(before, count int) string {
	if count == 0 {
		return fmt.Sprintf("%d,0", before)
	}
	return fmt.Sprintf("%d,%d", before+1, count)
}
