package table

import (
	"fmt"
	"strconv"
	"strings"
)

// issuedPrefix starts every issued key; callers choose their own keys without it.
const issuedPrefix = "issued:"

// IssuedKey is an idempotency key bound to one incarnation of an agent. The key
// carries all that the agent needs, so an unused key takes no memory.
type IssuedKey struct {
	Agent Holder
	// Until is the last moment of use in the agent's clock. The agent remembers
	// a used key until then, so an unknown key before Until never ran.
	Until  Instant
	Random uint64
}

// String returns the key as callers send it.
func (k IssuedKey) String() string {
	return fmt.Sprintf("%s%x:%x:%x:%s", issuedPrefix, uint64(k.Agent.Incarnation), uint64(k.Until), k.Random, k.Agent.Process)
}

// ParseIssuedKey reads an issued key; ok is false for any other key.
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
	k.Until, k.Random = Instant(n[1]), n[2]
	return k, k.Until >= 0
}

// generatedPrefix starts the keys that a router draws for requests without one.
const generatedPrefix = "generated:"

// GeneratedKey returns a key for a request that came without one.
func GeneratedKey(random string) string { return generatedPrefix + random }

// IsGeneratedKey reports whether a router drew the key. No claim was made for
// such a key, so a caller that sends it again cannot get a second run.
func IsGeneratedKey(key string) bool { return strings.HasPrefix(key, generatedPrefix) }

// KeyEntry is what an index router knows of a key.
type KeyEntry struct {
	// Agent runs the key, or is empty while Owner has not dispatched it.
	Agent Holder
	// Owner is the router that asked first, with its call Nonce.
	Owner Holder
	Nonce uint64
	Until Instant
}

// SearchStep is what a search waits for.
type SearchStep uint8

// Steps of searches and claims.
const (
	// SearchIndex waits for the index routers.
	SearchIndex SearchStep = iota + 1
	// SearchAgent waits for the agent that the index named.
	SearchAgent
	// SearchAll waits for all agents of the service.
	SearchAll
	// ClaimCreate waits for the creation of the claim.
	ClaimCreate
	// ClaimRead waits for the claim's content.
	ClaimRead
	// ClaimAsk waits for the agent that the claim names.
	ClaimAsk
	// ClaimMove waits for the claim's change to this call.
	ClaimMove
	// ClaimCancel waits for the claim's change to cancelled.
	ClaimCancel
	// ClaimCancelRead reads the claim back after a lost answer to ClaimCancel.
	ClaimCancelRead
)

// Search is the open question about a request's key.
type Search struct {
	Step SearchStep
	// Call numbers the messages of this step; answers to others are stale.
	Call    uint64
	Waiting []ProcessID
	Due     Instant
	// Rounds counts the calls to the platform.
	Rounds int
	// Owner is another live router that has a request with the key.
	Owner Holder
	// Unsure is true when a create may take effect although it was not seen.
	Unsure bool
	// Agent and Until are the claim's as last read or sent, at Version.
	Agent   Holder
	Until   Instant
	Version uint64
}

// KeyTables are a router's rows about keys.
type KeyTables struct {
	// KeyIndex holds the keys for which this router is an index router.
	KeyIndex  Table[RequestID, KeyEntry]
	KeyExpiry Timers[RequestID]
	// Searches holds the open questions, by request.
	Searches     Table[RequestID, Search]
	SearchTimers Timers[RequestID]
	// KeyCalls numbers the messages to index routers and agents.
	KeyCalls uint64
}
