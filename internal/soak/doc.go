// Package soak contains a soak test that injects faults into real gateway processes
// on loopback. All of its code is in test files; `make soak SOAK_SEED=N SOAK_SECONDS=N`
// runs it once.
package soak
