package table

// CrashID identifies a crash report, so that a duplicate is counted once.
type CrashID struct {
	Agent    Holder
	Sequence uint64
}

// QuarantineTables are the rows about crashes apart from the suspects
// themselves.
type QuarantineTables struct {
	// SuspectTimers schedule the removal of suspects.
	SuspectTimers Timers[Fingerprint]
	// CountedCrashes are the reports counted recently, each with the time until
	// which it is kept.
	CountedCrashes     Table[CrashID, Instant]
	CountedCrashTimers Timers[CrashID]
	// CrashSequence is the number of this agent's last report.
	CrashSequence uint64
	// Quarantined are the suspects in quarantine.
	Quarantined Set[Fingerprint]
	// StoreQuarantineTimers schedule the writes of entries that the stored list
	// lacks.
	StoreQuarantineTimers Timers[Fingerprint]
	// StoredQuarantine is the platform's list as last read, at
	// StoredQuarantineVersion.
	StoredQuarantine        Set[Fingerprint]
	StoredQuarantineVersion uint64
	// NextQuarantineReadAt is when to read the list again.
	NextQuarantineReadAt Instant
}
