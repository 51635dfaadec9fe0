package table

// StoreEra is the era of the platform's store as this router knows it. The store begins a new
// one when it returns from an older copy: it then gives revisions out again, so that revisions
// of different eras are not comparable.
type StoreEra struct {
	// Number is the era, or 0 if the store names none.
	Number uint64
	// Since is when this router learned of the era.
	Since Instant
	// Returned is true in the tick in which this router learns that the store has returned
	// from a copy. All revisions that are known from before are then void.
	Returned bool
	// Returns counts how often that was.
	Returns int
}
