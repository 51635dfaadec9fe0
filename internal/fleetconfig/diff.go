package fleetconfig

import (
	"fmt"
	"strings"
)

const (
	// contextLines is the number of unchanged lines around a change.
	contextLines = 3
	// maxLCSCells bounds the memory of a comparison: the table has one cell for
	// each pair of lines between the first and the last change.
	maxLCSCells = 4_000_000
)

// Diff returns the changes from old to new as a unified diff, or an empty
// string if the texts are equal. If the comparison would need more than
// maxLCSCells, all lines between the first and the last change are replaced.
func Diff(old, new string) string {
	if old == new {
		return ""
	}
	edits := diffLines(splitLines(old), splitLines(new))
	var b strings.Builder
	b.WriteString("--- old\n+++ new\n")
	for _, h := range groupHunks(edits) {
		h.write(&b)
	}
	return b.String()
}

// edit is one line of a diff. Its op is ' ' for a line of both texts, '-' for a
// deleted line and '+' for an added one.
type edit struct {
	op   byte
	line string
}

// splitLines keeps the newlines, so that a missing final newline is a difference.
func splitLines(text string) []string {
	lines := strings.SplitAfter(text, "\n")
	if lines[len(lines)-1] == "" {
		lines = lines[:len(lines)-1]
	}
	return lines
}

// diffLines returns the edits from old to new. It compares only the lines
// between the common prefix and the common suffix.
func diffLines(old, new []string) []edit {
	prefixLen := commonPrefix(old, new)
	suffixLen := commonSuffix(old[prefixLen:], new[prefixLen:])
	edits := appendEdits(nil, ' ', old[:prefixLen])
	edits = append(edits, diffByLCS(old[prefixLen:len(old)-suffixLen], new[prefixLen:len(new)-suffixLen])...)
	return appendEdits(edits, ' ', old[len(old)-suffixLen:])
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

func appendEdits(edits []edit, op byte, lines []string) []edit {
	for _, line := range lines {
		edits = append(edits, edit{op, line})
	}
	return edits
}

// diffByLCS returns the edits along a longest common subsequence, found by
// dynamic programming.
func diffByLCS(old, new []string) []edit {
	if len(old)*len(new) > maxLCSCells {
		return appendEdits(appendEdits(nil, '-', old), '+', new)
	}
	lcs := lcsLengths(old, new)
	var edits []edit
	i, j := 0, 0
	for i < len(old) && j < len(new) {
		switch {
		case old[i] == new[j]:
			edits = append(edits, edit{' ', old[i]})
			i, j = i+1, j+1
		case lcs[i+1][j] >= lcs[i][j+1]:
			edits = append(edits, edit{'-', old[i]})
			i++
		default:
			edits = append(edits, edit{'+', new[j]})
			j++
		}
	}
	return appendEdits(appendEdits(edits, '-', old[i:]), '+', new[j:])
}

// lcsLengths returns a table whose entry [i][j] is the length of the longest
// common subsequence of old[i:] and new[j:].
func lcsLengths(old, new []string) [][]int32 {
	lengths := make([][]int32, len(old)+1)
	for i := range lengths {
		lengths[i] = make([]int32, len(new)+1)
	}
	for i := len(old) - 1; i >= 0; i-- {
		for j := len(new) - 1; j >= 0; j-- {
			if old[i] == new[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
				continue
			}
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
		}
	}
	return lengths
}

// hunk is a run of edits with the number of lines that precede it in each text.
type hunk struct {
	oldStart, newStart int
	edits              []edit
}

// groupHunks puts changes into one hunk if their context lines touch or overlap.
func groupHunks(edits []edit) []hunk {
	var hunks []hunk
	oldStart, newStart, next := 0, 0, 0
	for i := 0; i < len(edits); i++ {
		if edits[i].op == ' ' {
			continue
		}
		start, end := max(next, i-contextLines), hunkEnd(edits, i)
		skippedOld, skippedNew := countLines(edits[next:start])
		oldStart, newStart = oldStart+skippedOld, newStart+skippedNew
		hunks = append(hunks, hunk{oldStart, newStart, edits[start:end]})
		oldCount, newCount := countLines(edits[start:end])
		oldStart, newStart, next = oldStart+oldCount, newStart+newCount, end
		i = end - 1
	}
	return hunks
}

// hunkEnd returns the end of the hunk whose first change is at i.
func hunkEnd(edits []edit, i int) int {
	last := i
	for j := i; j < len(edits) && j <= last+2*contextLines+1; j++ {
		if edits[j].op != ' ' {
			last = j
		}
	}
	return min(len(edits), last+contextLines+1)
}

func countLines(edits []edit) (oldCount, newCount int) {
	for _, e := range edits {
		if e.op != '+' {
			oldCount++
		}
		if e.op != '-' {
			newCount++
		}
	}
	return oldCount, newCount
}

func (h hunk) write(b *strings.Builder) {
	oldCount, newCount := countLines(h.edits)
	fmt.Fprintf(b, "@@ -%s +%s @@\n", lineRange(h.oldStart, oldCount), lineRange(h.newStart, newCount))
	for _, e := range h.edits {
		b.WriteByte(e.op)
		b.WriteString(e.line)
		if !strings.HasSuffix(e.line, "\n") {
			b.WriteString("\n\\ No newline at end of file\n")
		}
	}
}

// lineRange formats the range of a hunk header. As in other diff tools, an empty
// range gives the number of the preceding line.
func lineRange(start, count int) string {
	if count == 0 {
		return fmt.Sprintf("%d,0", start)
	}
	return fmt.Sprintf("%d,%d", start+1, count)
}
