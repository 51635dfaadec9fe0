package table

import "container/list"

// Set is a set that iterates in insertion order, with constant-time Add and
// Remove. Systems use it as a work list of the rows that need attention. A Set
// may be part of a row: a copy of the row shares the members.
type Set[K comparable] struct {
	nodes map[K]*list.Element
	order *list.List
}

// Len returns the number of members.
func (s *Set[K]) Len() int { return len(s.nodes) }

// Has reports whether k is a member.
func (s *Set[K]) Has(k K) bool {
	_, ok := s.nodes[k]
	return ok
}

// Add inserts k at the end; it does nothing if k is a member.
func (s *Set[K]) Add(k K) {
	if s.Has(k) {
		return
	}
	if s.nodes == nil {
		s.nodes = make(map[K]*list.Element)
		s.order = list.New()
	}
	s.nodes[k] = s.order.PushBack(k)
}

// Remove deletes k.
func (s *Set[K]) Remove(k K) {
	e, ok := s.nodes[k]
	if !ok {
		return
	}
	s.order.Remove(e)
	delete(s.nodes, k)
}

// Keys returns a copy of the members in insertion order, so that the caller may
// change the set while it iterates.
func (s *Set[K]) Keys() []K {
	keys := make([]K, 0, len(s.nodes))
	if len(s.nodes) == 0 {
		return keys
	}
	for e := s.order.Front(); e != nil; e = e.Next() {
		keys = append(keys, e.Value.(K))
	}
	return keys
}
