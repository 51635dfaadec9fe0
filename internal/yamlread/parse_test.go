package yamlread

import (
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against nesting that checkTokens does not detect: the parser recurses
// once per level, and a stack overflow ends the process.
func TestAcceptedTextIsWithinMaxDepth(t *testing.T) {
	pieces := []string{"a:", "- ", "b: 1", "[", "]", "{", "}", ",", "\n", "\n ", "\n  ", "\n    ", "\n      ", "'k': ", "\"l\":", "# c", "1", " "}
	rapid.Check(t, func(rt *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 80).Draw(rt, "pieces"), "")
		_, root := Parse("f", text)
		require.LessOrEqual(rt, treeDepth(root.node), MaxDepth)
	})
}

// Guards against a depth limit that is off by some levels, which would reject
// ordinary configurations or accept deeper ones.
func TestDepthIsCountedExactly(t *testing.T) {
	for depth := 1; depth <= 2*MaxDepth; depth++ {
		for name, text := range map[string]string{
			"flow":           strings.Repeat("[", depth) + strings.Repeat("]", depth),
			"mappings":       indentedLines(depth, func(int) string { return "a:" }),
			"sequences":      strings.Repeat("- ", depth) + "a",
			"same column":    alternatingCollections(depth, 0),
			"indented lists": alternatingCollections(depth, 2),
		} {
			doc, root := Parse("f", text)
			if depth > MaxDepth {
				require.Contains(t, doc.Findings().Error(), "is nested deeper than", "%s %d", name, depth)
				continue
			}
			require.NoError(t, doc.Findings().Err(), "%s %d:\n%s", name, depth, text)
			require.Equal(t, depth, treeDepth(root.node), "%s:\n%s", name, text)
		}
	}
}

// indentedLines returns one line per level, each indented by one more space.
func indentedLines(depth int, entry func(int) string) string {
	var b strings.Builder
	for i := range depth {
		b.WriteString(strings.Repeat(" ", i) + entry(i) + "\n")
	}
	return b.String()
}

// alternatingCollections nests lists in mappings and mappings in lists; indent is
// the indentation of a list relative to its key.
func alternatingCollections(depth, indent int) string {
	var b strings.Builder
	column := 0
	for i := range depth {
		if i%2 == 0 {
			b.WriteString("a:\n")
			continue
		}
		column += indent
		b.WriteString(strings.Repeat(" ", column) + "- ")
		column += 2
	}
	return b.String()
}

// treeDepth returns the depth of nested collections in a syntax tree.
func treeDepth(n ast.Node) int {
	maxDepth := 0
	switch n := n.(type) {
	case ast.MapNode:
		for it := n.MapRange(); it.Next(); {
			maxDepth = max(maxDepth, treeDepth(it.Value()))
		}
		return 1 + maxDepth
	case *ast.SequenceNode:
		for _, entry := range n.Values {
			maxDepth = max(maxDepth, treeDepth(entry))
		}
		return 1 + maxDepth
	}
	return 0
}

// Guards against an invalid value that is returned instead of the fallback.
func TestInvalidValueReturnsTheFallback(t *testing.T) {
	for _, text := range []string{"v: [1]", "v: {a: 1}", "v:", "v: x y", "v: 1e99", "v: .inf", "v: -1"} {
		doc, root := Parse("f", text)
		v := root.Object().Optional("v")
		require.EqualValues(t, 7, v.Int(1, 9, 7), text)
		require.Equal(t, 0.5, v.Float(0, 1, 0.5), text)
		require.True(t, v.Bool(true), text)
		require.Equal(t, time.Second, v.Duration(0, time.Minute, time.Second), text)
		require.Equal(t, "a", v.Choice([]string{"a", "b"}, "a"), text)
		require.Len(t, doc.Findings(), 5, doc.Findings().Error())
	}
}

// Guards against a missing required field without a finding, and against two
// findings for a value of the wrong kind.
func TestMissingAndUnknownFieldsAreReported(t *testing.T) {
	doc, root := Parse("f", "a: 1\nb: 5\nc: 3")
	o := root.Object()
	o.Required("a")
	o.Required("d")
	o.Optional("b").Object().Required("x")
	o.Close()
	require.EqualError(t, doc.Findings(), "f:1:1: d is missing\nf:2:4: b: must be a mapping, not the number 5\nf:3:1: c: is not a known field")
}
