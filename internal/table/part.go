package table

// CrashNumber numbers the crashes of endpoints that a router has recorded.
type CrashNumber uint64

// EndpointCrash is a crash of an endpoint, as all routers with attempts there reported it.
// It holds what may have caused it: the prompts of the attempts that the endpoint had not
// answered beyond the beginning.
type EndpointCrash struct {
	Endpoint EndpointID
	// At is when the crash was first reported.
	At Instant
	// Prompts holds each combination of parts once, in ascending order. Parts that a request
	// was answered with since then are removed.
	Prompts [][]Fingerprint
	// Sent is when the attempts with a part were sent.
	Sent Table[Fingerprint, SentPeriod]
	// Explained is true if this router stopped an attempt there with a prompt that was being
	// quarantined: the endpoint may have begun to answer it.
	Explained bool
}

// SentPeriod is when the first and the last of some attempts were sent.
type SentPeriod struct{ First, Last Instant }

// PartQuarantine is a combination of prompt parts that is in quarantine, or was and is not
// cleared yet. It concerns the requests whose prompts have all of its parts.
type PartQuarantine struct {
	// Parts are the parts in ascending order.
	Parts   []Fingerprint
	BeganAt Instant
	// ChangedAt is when the quarantine last began or was extended.
	ChangedAt Instant
	// Until is the end of the quarantine. After it, the routers admit such requests again in
	// turn, one at a time; Trial is the last one that this router admitted.
	Until Instant
	Trial ExchangeID
	// Rounds counts how often the quarantine has begun or been renewed, Crashes the crashes
	// that it explains.
	Rounds  int
	Crashes int
	// Stopped counts the attempts that this router stopped when the quarantine began, up to
	// a bound. They may have ended endpoints unseen.
	Stopped int
	// Doubtful is true while another combination explains the same crashes.
	Doubtful bool
}

// PartTables are the rows about prompt parts that crash endpoints.
type PartTables struct {
	EndpointCrashes Table[CrashNumber, EndpointCrash]
	LastCrash       CrashNumber
	// WeighAt is when the crashes are next weighed.
	WeighAt Instant
	// PartQuarantines are keyed by the part, or by a hash of several parts.
	PartQuarantines      Table[Fingerprint, PartQuarantine]
	PartQuarantineTimers Timers[Fingerprint]
	// SoundParts are the parts of prompts that endpoints have answered, with the time of the
	// last answer.
	SoundParts Table[Fingerprint, Instant]
	PartList   PartList
	// StoppedAttempts are the endpoints at which this router stopped attempts because of a
	// quarantine, with the time.
	StoppedAttempts Table[EndpointID, Instant]
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
