// Package table defines the entities of the fleet as rows of typed tables.
//
// Tables belong to the control thread of their process; they are not safe for
// concurrent use.
package table

// Table stores rows densely, indexed by a typed key. The iteration order
// depends only on the sequence of calls, so that a run with a fixed seed is
// reproducible.
type Table[K comparable, V any] struct {
	index map[K]int
	keys  []K
	rows  []V
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.keys) }

// Get returns the row of a key, or nil. The pointer is valid until the next Put
// of a new key or Delete.
func (t *Table[K, V]) Get(k K) *V {
	i, ok := t.index[k]
	if !ok {
		return nil
	}
	return &t.rows[i]
}

// Put stores a row and returns a pointer to it.
func (t *Table[K, V]) Put(k K, v V) *V {
	if i, ok := t.index[k]; ok {
		t.rows[i] = v
		return &t.rows[i]
	}
	if t.index == nil {
		t.index = make(map[K]int)
	}
	t.index[k] = len(t.keys)
	t.keys = append(t.keys, k)
	t.rows = append(t.rows, v)
	return &t.rows[len(t.rows)-1]
}

// Delete removes a row; the last row takes its place.
func (t *Table[K, V]) Delete(k K) {
	i, ok := t.index[k]
	if !ok {
		return
	}
	last := len(t.keys) - 1
	t.keys[i], t.rows[i] = t.keys[last], t.rows[last]
	t.index[t.keys[i]] = i
	delete(t.index, k)
	var zeroKey K
	var zeroRow V
	t.keys[last], t.rows[last] = zeroKey, zeroRow
	t.keys, t.rows = t.keys[:last], t.rows[:last]
}

// At returns the key and row at an index from 0 to Len()-1.
func (t *Table[K, V]) At(i int) (K, *V) { return t.keys[i], &t.rows[i] }

// Each calls fn for each row. fn may change the row but must not call Put or
// Delete.
func (t *Table[K, V]) Each(fn func(K, *V)) {
	for i := range t.keys {
		fn(t.keys[i], &t.rows[i])
	}
}

// DeleteIf removes the rows for which fn returns true.
func (t *Table[K, V]) DeleteIf(fn func(K, *V) bool) {
	for i := 0; i < len(t.keys); {
		if fn(t.keys[i], &t.rows[i]) {
			t.Delete(t.keys[i])
			continue
		}
		i++
	}
}

// FilterOrAll returns the rows for which good is true, or all rows if there are
// none.
func FilterOrAll[V any](rows []*V, good func(*V) bool) []*V {
	var kept []*V
	for _, r := range rows {
		if good(r) {
			kept = append(kept, r)
		}
	}
	if len(kept) == 0 {
		return rows
	}
	return kept
}
