package table

// History is a ring of the latest decisions.
type History struct {
	ring []Decision
	next int
}

// Add stores a decision and drops the oldest one beyond limit.
func (h *History) Add(d Decision, limit int) {
	if limit <= 0 {
		return
	}
	if len(h.ring) < limit {
		h.ring = append(h.ring, d)
		return
	}
	h.ring[h.next] = d
	h.next = (h.next + 1) % len(h.ring)
}

// Each calls fn for each decision, oldest first.
func (h *History) Each(fn func(*Decision)) {
	for i := range h.ring {
		fn(&h.ring[(h.next+i)%len(h.ring)])
	}
}
