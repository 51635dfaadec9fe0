package table

// CrashID names a crash report, so that a duplicate counts once.
type CrashID struct {
	Agent    Holder
	Sequence uint64
}

// QuarantineTables are the rows about crashes besides the suspects themselves.
type QuarantineTables struct {
	// SuspectTimers say when a suspect is forgotten.
	SuspectTimers Timers[Fingerprint]
	// CrashesSeen are the reports counted lately, until the given time.
	CrashesSeen Table[CrashID, Instant]
	CrashTimers Timers[CrashID]
	// CrashSequence numbers this agent's reports.
	CrashSequence uint64
	// Quarantined are the suspects in quarantine.
	Quarantined Set[Fingerprint]
	// Unstored say when to write an entry that the stored list lacks.
	Unstored Timers[Fingerprint]
	// Stored is the platform's list as last read, at version StoredVersion.
	Stored        Set[Fingerprint]
	StoredVersion uint64
	// StoredReadAt is when to read the list again.
	StoredReadAt Instant
}
