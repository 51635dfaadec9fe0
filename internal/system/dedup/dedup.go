// Package dedup finds out whether a request was seen before and binds keys that
// must not run twice to one agent.
package dedup

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Run moves the requests in RequestAdmitted on.
func Run(w *world.World) {
	for _, id := range w.Requests.In(table.RequestAdmitted) {
		r := w.Requests.Get(id)
		r.Nonce = w.Rand.Uint64()
		w.Requests.Move(r, table.RequestReserving)
	}
}
