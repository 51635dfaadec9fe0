package table

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against rows that are lost or swapped when Delete moves the last row into
// the gap.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var tab Table[int, int]
		want := map[int]int{}
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			k := rapid.IntRange(0, 9).Draw(rt, "key")
			if rapid.Bool().Draw(rt, "delete") {
				tab.Delete(k)
				delete(want, k)
				continue
			}
			v := rapid.Int().Draw(rt, "value")
			tab.Put(k, v)
			want[k] = v
		}
		got := map[int]int{}
		tab.Each(func(k int, v *int) { got[k] = *v })
		require.Equal(rt, want, got)
		for k, v := range want {
			require.Equal(rt, v, *tab.Get(k))
		}
	})
}

// Guards against a work list that changes its order, which would make runs with the
// same seed differ.
func TestSetKeepsInsertionOrder(t *testing.T) {
	var s Set[string]
	for _, k := range []string{"c", "a", "b", "a"} {
		s.Add(k)
	}
	s.Remove("a")
	s.Add("a")
	require.Equal(t, []string{"c", "b", "a"}, s.Keys())
	require.Equal(t, 3, s.Len())
}
