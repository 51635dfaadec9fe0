package fleetconfig

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a diff format that other tools cannot parse.
func TestDiffIsUnified(t *testing.T) {
	old := "a\nb\nc\nd\ne\nf\ng\nh\n"
	new := "a\nb\nc\nd\nE\nf\ng\nh\ni"
	want := `--- old
+++ new
@@ -2,7 +2,8 @@
 b
 c
 d
-e
+E
 f
 g
 h
+i
\ No newline at end of file
`
	require.Equal(t, want, Diff(old, new))
	require.Empty(t, Diff(old, old))
	require.Equal(t, "--- old\n+++ new\n@@ -0,0 +1,1 @@\n+a\n", Diff("", "a\n"))
}

// Guards against a diff that loses, repeats or misplaces a line.
func TestApplyingDiffToOldGivesNew(t *testing.T) {
	texts := rapid.Custom(func(rt *rapid.T) string {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", ""}), 0, 40).Draw(rt, "lines")
		return strings.Join(lines, "\n")
	})
	rapid.Check(t, func(rt *rapid.T) {
		old, new := texts.Draw(rt, "old"), texts.Draw(rt, "new")
		require.Equal(rt, new, applyDiff(rt, old, Diff(old, new)))
	})
}

// Guards against unbounded memory use for two large texts without common lines.
func TestDiffOfLargeTextsIsBounded(t *testing.T) {
	var old, new strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&old, "old %d\n", i)
		fmt.Fprintf(&new, "new %d\n", i)
	}
	diff := Diff(old.String(), new.String())
	require.Equal(t, new.String(), applyDiff(t, old.String(), diff))
}

// applyDiff applies a unified diff.
func applyDiff(t require.TestingT, old, diff string) string {
	if diff == "" {
		return old
	}
	lines := splitLines(old)
	var out []string
	consumed := 0
	diff = strings.ReplaceAll(diff, "\n\\ No newline at end of file\n", "\x00")
	for _, line := range strings.SplitAfter(strings.ReplaceAll(diff, "\x00", "\x00\n"), "\n")[2:] {
		if strings.HasPrefix(line, "@@") {
			var start, count, newStart, newCount int
			_, err := fmt.Sscanf(line, "@@ -%d,%d +%d,%d @@", &start, &count, &newStart, &newCount)
			require.NoError(t, err)
			if count > 0 {
				start--
			}
			out = append(out, lines[consumed:start]...)
			consumed = start
			if newCount > 0 {
				newStart--
			}
			require.Len(t, out, newStart)
			continue
		}
		if line == "" {
			continue
		}
		text := strings.ReplaceAll(line[1:], "\x00\n", "")
		if line[0] != '+' {
			require.Equal(t, lines[consumed], text)
			consumed++
		}
		if line[0] != '-' {
			out = append(out, text)
		}
	}
	return strings.Join(append(out, lines[consumed:]...), "")
}
