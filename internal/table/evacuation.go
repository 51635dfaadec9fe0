package table

// Evacuation is a failure domain whose endpoints get no requests, by order of the operator.
type Evacuation struct {
	// Since is when this router learned of it.
	Since Instant
	// Era is the era of the store in which it was last named.
	Era uint64
}

// EvacuationTables are the evacuated failure domains as this router knows them.
type EvacuationTables struct {
	// Evacuations are the domains by name.
	Evacuations Table[string, Evacuation]
	// EvacuationsKnown is true once the store, or a router that it answers, has told this
	// router which domains are evacuated, or the wait for that, since
	// EvacuationsAwaitedSince, was too long.
	EvacuationsKnown        bool
	EvacuationsAwaitedSince Instant
	// EvacuationsUnreported is true from a change that the store told this router until its
	// next report.
	EvacuationsUnreported bool
}
