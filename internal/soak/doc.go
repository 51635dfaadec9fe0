// Package soak has a fault soak over real gateway processes on loopback. Its code
// is in test files; `make soak SEED=N SECONDS=N` plays one run.
package soak
