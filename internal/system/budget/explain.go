package budget

import (
	"strconv"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const systemName = "budget"

// explainReserve records from what a request is paid, with what was left there
// before and after.
func explainReserve(w *world.World, r *table.Request, source string, left table.Tokens) {
	w.Explain(r.ID, systemName, "reserved from "+source,
		input("budget", string(r.Budget)),
		tokens("reserved", r.Reserve),
		tokens("left_before", left),
		tokens("left_after", left-r.Reserve))
}

func explainCharge(w *world.World, r *table.Request, charge table.Tokens) {
	w.Explain(r.ID, systemName, "billed",
		input("grant_of", string(r.Grant.Process)),
		tokens("charged", charge),
		tokens("reserved", r.Reserved))
}

func input(name, value string) table.Input { return table.Input{Name: name, Value: value} }

func tokens(name string, n table.Tokens) table.Input {
	return input(name, strconv.FormatInt(int64(n), 10))
}
