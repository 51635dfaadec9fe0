// Package system is the root of the decision systems, a package each.
//
// A system reads the inbox and the tables of a World, changes the tables and
// appends to the outbox. It does no I/O, reads no clock and starts no goroutine.
package system
