package table

import "time"

// WatchKind is a kind of objects in the platform's store that routers follow.
type WatchKind uint8

// Kinds of objects.
const (
	WatchConfig WatchKind = iota + 1
	WatchEndpoints
	// WatchEvacuations is followed only where the settings name an evacuation bound.
	WatchEvacuations
)

// String returns the lower-case name of the kind.
func (k WatchKind) String() string {
	return [...]string{"unknown", "config", "endpoints", "evacuations"}[k]
}

// Watch is how far this router follows the objects of a kind. Revisions are those of
// the store.
type Watch struct {
	// Listed is true once the complete list was received.
	Listed bool
	// Covered is the revision up to which all changes are known.
	Covered uint64
	// LastChange is the highest revision of a change that is known.
	LastChange uint64
	// BatchSince is what Covered was after the last list or batch of changes. Who has
	// all changes up to it needs only the next batch.
	BatchSince uint64
	// Call is the number of the open call, or 0. CallSentAt is when it was sent.
	Call       uint64
	CallSentAt Instant
	// CallWait is how long the open call may wait for changes. Overdue is true if the
	// last call got no answer shortly after its wait.
	CallWait time.Duration
	Overdue  bool
	// AnsweredAt is when the store last answered a call, or 0.
	AnsweredAt Instant
	// FollowedSince is since when the store has answered all calls in time, or 0 after
	// a failed one.
	FollowedSince Instant
	// NextCallAt is when the next call may be sent, and Backoff the delay after the
	// last failed one.
	NextCallAt Instant
	Backoff    time.Duration
	// ToldAt is when another router last sent a later state, for the kinds that reports
	// carry.
	ToldAt Instant
	// BehindSince is when another router first reported a later change, or 0.
	BehindSince Instant
	// ReportedChange is the highest revision of a change that another router reported,
	// ReportedBy, and MissingSince since when this router lacks it, or 0. MissingLogged is
	// true if the log says so.
	ReportedChange uint64
	ReportedBy     Holder
	// ManifestVersion is the highest version of a configuration that this router received,
	// and ReportedVersion of those that another router, ReportedBy, reported.
	ManifestVersion uint64
	ReportedVersion uint64
	MissingSince    Instant
	MissingLogged   bool
}
