package table

// DecisionHistory is a ring buffer of the latest decisions.
type DecisionHistory struct {
	decisions []Decision
	// oldest is the index of the oldest decision once the buffer is full.
	oldest int
}

// Add stores a decision. If the buffer has reached the limit, the new
// decision replaces the oldest one.
func (h *DecisionHistory) Add(d Decision, limit int) {
	if limit <= 0 {
		return
	}
	if len(h.decisions) < limit {
		h.decisions = append(h.decisions, d)
		return
	}
	h.decisions[h.oldest] = d
	h.oldest = (h.oldest + 1) % len(h.decisions)
}

// Each calls fn for each decision, oldest first.
func (h *DecisionHistory) Each(fn func(*Decision)) {
	for i := range h.decisions {
		fn(&h.decisions[(h.oldest+i)%len(h.decisions)])
	}
}
