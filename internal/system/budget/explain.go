package budget

import (
	"strconv"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const systemName = "budget"

// explainReservation records which grant or slice pays for a request, and its balance
// before and after the reservation.
func explainReservation(w *world.World, r *table.Request, source string, available table.Tokens) {
	w.RecordDecision(r.ID, systemName, "reserved from "+source,
		input("budget", string(r.Budget)),
		tokenInput("reserved", r.WantedReservation),
		tokenInput("left_before", available),
		tokenInput("left_after", available-r.WantedReservation))
}

func explainCharge(w *world.World, r *table.Request, charge table.Tokens) {
	w.RecordDecision(r.ID, systemName, "billed",
		input("grant_of", string(r.GrantHolder.Process)),
		tokenInput("charged", charge),
		tokenInput("reserved", r.Reserved))
}

func input(name, value string) table.Input { return table.Input{Name: name, Value: value} }

func tokenInput(name string, n table.Tokens) table.Input {
	return input(name, strconv.FormatInt(int64(n), 10))
}
