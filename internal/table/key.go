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
