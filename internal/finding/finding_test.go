package finding

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a change of the line format that editors and scripts parse.
func TestErrorPrintsOneLinePerFinding(t *testing.T) {
	l := List{
		{File: "a.yaml", Line: 3, Column: 5, Path: "customers[0].id", Message: "is missing"},
		{File: "a.yaml", Line: 1, Column: 1, Message: "is empty"},
	}
	l.Sort()
	require.EqualError(t, l, "a.yaml:1:1: is empty\na.yaml:3:5: customers[0].id: is missing")
}

// Guards against a non-nil error for an empty list.
func TestEmptyListIsNoError(t *testing.T) {
	var l List
	require.NoError(t, l.Err())
	l.Add(Finding{Message: "x"})
	require.Error(t, l.Err())
}

// Guards against a list of unbounded length.
func TestListIsBounded(t *testing.T) {
	var l List
	for range MaxFindings + 10 {
		l.Add(Finding{Message: "x"})
	}
	require.Len(t, l, MaxFindings)
	require.Contains(t, l.Error(), "only the first 1000 findings are reported")
}

// Guards against a sort order that depends on the order in which findings were added.
func TestSortIgnoresInputOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := List(rapid.SliceOf(rapid.Custom(func(rt *rapid.T) Finding {
			return Finding{
				File:    rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "file"),
				Line:    rapid.IntRange(1, 3).Draw(rt, "line"),
				Column:  rapid.IntRange(1, 3).Draw(rt, "column"),
				Message: rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "message"),
			}
		})).Draw(rt, "findings"))
		other := List(rapid.Permutation(l).Draw(rt, "order"))
		l, other = append(List{}, l...), append(List{}, other...)
		l.Sort()
		other.Sort()
		require.Equal(rt, l, other)
	})
}
