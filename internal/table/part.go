package table

// PartSuspect is the crash record of a prompt part, which is identified by the hash of
// its id.
type PartSuspect struct {
	// Crashes are the endpoint crashes counted since the last proof that the part is
	// sound, oldest first.
	Crashes []PartCrash
	// QuarantinedUntil is the end of the quarantine, or 0. ReleaseAt is when this router
	// admits the part again, which is later at all routers but one.
	QuarantinedUntil Instant
	ReleaseAt        Instant
	// Quarantines counts the quarantines so far. A part that was quarantined before is
	// admitted one request at a time; Trial is the last one admitted.
	Quarantines int
	Trial       ExchangeID
	// OverlapUntil is until when a single crash is no evidence, or 0: another part was
	// quarantined for the same crashes, and requests with that one may still end endpoints.
	// Unconfirmed is that single crash, if there was one.
	OverlapUntil Instant
	Unconfirmed  PartCrash
	// ClearedAt is when a proof ended a quarantine or a suspicion, or 0.
	ClearedAt Instant
}

// PartCrash is a crash of an endpoint that had a request with the part.
type PartCrash struct {
	Endpoint EndpointID
	At       Instant
}

// PartTables are the rows about prompt parts that crash endpoints.
type PartTables struct {
	PartSuspects      Table[Fingerprint, PartSuspect]
	PartSuspectTimers Timers[Fingerprint]
	PartList          PartList
	// ExplainedCrashes are the endpoints that requests with a quarantined part have just
	// ended, or may end, with the time.
	ExplainedCrashes Table[EndpointID, Instant]
}

// PartList is the list of quarantined parts in the store, as this router knows it.
type PartList struct {
	// Known is true once the list was read, at Version.
	Known   bool
	Version uint64
	Stored  Set[Fingerprint]
	// CheckAt is when the list is next compared with the quarantined parts, and read
	// before if it is not known.
	CheckAt Instant
	// Reading and Writing are true while a call is open.
	Reading bool
	Writing bool
	// Attempted is true once a call has ended, also one that failed.
	Attempted bool
}
