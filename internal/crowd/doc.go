// Package crowd tests processes of all roles against crowds of clients that keep no limits.
// All of its code is in test files; `make crowds` runs it alone, because other load on the
// machine would decide what a crowd holds at a time.
package crowd
