package table

import (
	"fmt"
	"strconv"
	"strings"
)

// issuedPrefix is the prefix of all issued keys; keys that callers choose
// themselves do not have it.
const issuedPrefix = "issued:"

// IssuedKey is an idempotency key bound to one incarnation of an agent. The key
// itself carries all that the agent needs, so an unused key takes no memory.
type IssuedKey struct {
	Agent Holder
	// ExpiresAt is the last moment of use in the agent's clock. The agent
	// remembers a used key until then, so a key that it does not know before
	// ExpiresAt never ran.
	ExpiresAt Instant
	Random    uint64
}

// String returns the key in the form that callers send.
func (k IssuedKey) String() string {
	return fmt.Sprintf("%s%x:%x:%x:%s", issuedPrefix, uint64(k.Agent.Incarnation), uint64(k.ExpiresAt), k.Random, k.Agent.Process)
}

// ParseIssuedKey parses an issued key; ok is false for any other key.
func ParseIssuedKey(s string) (k IssuedKey, ok bool) {
	rest, ok := strings.CutPrefix(s, issuedPrefix)
	if !ok {
		return k, false
	}
	parts := strings.SplitN(rest, ":", 4)
	if len(parts) != 4 || parts[3] == "" {
		return k, false
	}
	var n [3]uint64
	for i := range n {
		v, err := strconv.ParseUint(parts[i], 16, 64)
		if err != nil {
			return k, false
		}
		n[i] = v
	}
	k.Agent = Holder{Process: ProcessID(parts[3]), Incarnation: Incarnation(n[0])}
	k.ExpiresAt, k.Random = Instant(n[1]), n[2]
	return k, k.ExpiresAt >= 0
}

// generatedPrefix is the prefix of keys that a router generates for requests
// without one.
const generatedPrefix = "generated:"

// GeneratedKey returns the key for a request that came without one.
func GeneratedKey(random string) string { return generatedPrefix + random }

// IsGeneratedKey reports whether a router generated the key. No claim exists
// for such a key, so a caller that sends it again cannot cause a second run.
func IsGeneratedKey(key string) bool { return strings.HasPrefix(key, generatedPrefix) }

// KeyIndexEntry is an index router's record of a key.
type KeyIndexEntry struct {
	// Agent runs the key; it is empty until Owner has dispatched the request.
	Agent Holder
	// Owner is the router that first asked about the key, and Nonce identifies its
	// call.
	Owner Holder
	Nonce uint64
	// ExpiresAt is when the entry may be removed.
	ExpiresAt Instant
}

// KeySearchStep is the step of a key search, named after what it waits for.
type KeySearchStep uint8

// Steps of searches and claims.
const (
	// SearchIndexRouters waits for the index routers.
	SearchIndexRouters KeySearchStep = iota + 1
	// SearchNamedAgent waits for the agent that the index named.
	SearchNamedAgent
	// SearchAllAgents waits for all agents of the service.
	SearchAllAgents
	// ClaimCreate waits for the creation of the claim.
	ClaimCreate
	// ClaimRead waits for the claim's content.
	ClaimRead
	// ClaimQueryAgent waits for the agent that the claim names.
	ClaimQueryAgent
	// ClaimTakeOver waits for the update that assigns the claim to this call.
	ClaimTakeOver
	// ClaimCancel waits for the update that marks the claim as cancelled.
	ClaimCancel
	// ClaimCancelReadBack reads the claim back after a lost answer to ClaimCancel.
	ClaimCancelReadBack
)

// KeySearch is the state of finding out whether a request's key has run before,
// and of claiming it if not.
type KeySearch struct {
	Step KeySearchStep
	// Call numbers the messages of this step; answers with another number are
	// stale.
	Call uint64
	// Unanswered are the processes whose answer is awaited.
	Unanswered []ProcessID
	// StepDeadline is when the step times out, or Never.
	StepDeadline Instant
	// PlatformCalls counts the calls to the platform, which are limited.
	PlatformCalls int
	// OwnerRouter is another live router that has a request with the key.
	OwnerRouter Holder
	// CreateOutcomeUnknown is true when a creation of the claim got no answer and
	// may still take effect.
	CreateOutcomeUnknown bool
	// ClaimAgent and ClaimUntil are the claim's content as last read or sent, at
	// ClaimVersion.
	ClaimAgent   Holder
	ClaimUntil   Instant
	ClaimVersion uint64
}

// KeyTables are a router's rows about idempotency keys.
type KeyTables struct {
	// KeyIndex holds the keys for which this router is an index router;
	// KeyIndexTimers schedules their removal.
	KeyIndex       Table[RequestID, KeyIndexEntry]
	KeyIndexTimers Timers[RequestID]
	// KeySearches holds the searches in progress, by request.
	KeySearches     Table[RequestID, KeySearch]
	KeySearchTimers Timers[RequestID]
	// LastKeyCall is the last number given to messages to index routers and
	// agents.
	LastKeyCall uint64
}
