// Package system contains the systems that make decisions, one package each.
//
// A system reads the inbox and the tables of a World, changes the tables and
// appends to the outbox. It does no I/O, reads no clock and starts no goroutine.
package system
