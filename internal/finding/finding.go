// Package finding collects the problems of an input, each with its place.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxFindings bounds a List, so that a hostile input cannot produce an
// arbitrarily long report.
const MaxFindings = 1000

// Finding is one problem of an input.
type Finding struct {
	File string
	// Line and Column count from 1. Columns count characters, not bytes.
	Line, Column int
	// Path names the value, for example "customers[2].weight". It is empty for
	// the whole input.
	Path    string
	Message string
}

// String returns "file:line:column: path: message". The path is left out if it
// is empty.
func (f Finding) String() string {
	place := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Path == "" {
		return place + ": " + f.Message
	}
	return place + ": " + f.Path + ": " + f.Message
}

// List is the findings of one or more inputs. A non-empty List is an error;
// use Err to get a nil error for an empty one.
type List []Finding

// Add appends a finding; it does nothing when the list holds MaxFindings.
func (l *List) Add(f Finding) {
	if len(*l) < MaxFindings {
		*l = append(*l, f)
	}
}

// Sort orders the findings by file, line, column, path and message.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Path, b.Path),
			cmp.Compare(a.Message, b.Message),
		)
	})
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns one line per finding.
func (l List) Error() string {
	lines := make([]string, 0, len(l)+1)
	for _, f := range l {
		lines = append(lines, f.String())
	}
	if len(l) >= MaxFindings {
		lines = append(lines, fmt.Sprintf("only the first %d findings are reported", MaxFindings))
	}
	return strings.Join(lines, "\n")
}
