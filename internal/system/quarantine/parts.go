package quarantine

import (
	"strings"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System is the name of this system in recorded decisions.
const System = "quarantine"

// recordLostConnection tells an endpoint that ended from one that lost an answer.
func recordLostConnection(w *world.World, x *table.Exchange, e *event.DirectAttemptEnd) {
	if !e.EndpointGone {
		w.Count("quarantine.answers_lost")
		return
	}
	w.Count("quarantine.endpoints_gone")
	w.RecordAttemptDecision(x, System, "the endpoint ended before the answer began",
		table.Input{Name: "parts", Value: strings.Join(sharedPartIDs(x.PromptParts), ",")})
}

// sharedPartIDs returns the ids of the parts that other requests may share: all but the
// last.
func sharedPartIDs(parts []table.PromptPart) []string {
	if len(parts) == 0 {
		return nil
	}
	ids := make([]string, 0, len(parts)-1)
	for i := range parts[:len(parts)-1] {
		ids = append(ids, parts[i].ID)
	}
	return ids
}
