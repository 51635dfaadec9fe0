package admission

import (
	"strconv"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// explain records the class, the limits and the exceptions that changed them.
func (c *candidate) explain(w *world.World, r *table.Request, expected table.Tokens) {
	l := c.limits
	inputs := []table.Input{
		{Name: "class", Value: r.Class.String()},
		{Name: "expected_tokens", Value: strconv.FormatInt(int64(expected), 10)},
		{Name: "quick_tokens", Value: strconv.FormatInt(int64(l.QuickTokens), 10)},
		{Name: "reserve", Value: strconv.FormatInt(int64(r.WantedReservation), 10)},
		{Name: "priority", Value: strconv.Itoa(r.Priority)},
		{Name: "requests_per_second", Value: strconv.FormatFloat(l.RequestsPerSecond, 'g', -1, 64)},
		{Name: "concurrency", Value: strconv.Itoa(l.Concurrency)},
	}
	if r.FirstTokenDeadline != table.Never {
		inputs = append(inputs, table.Input{Name: "deadline", Value: r.FirstTokenDeadline.Sub(w.Now).String()})
	}
	for _, e := range l.Exceptions {
		inputs = append(inputs, table.Input{Name: "exception " + e.Setting, Value: e.Reason})
	}
	w.RecordDecision(r.ID, System, "admitted", inputs...)
}
