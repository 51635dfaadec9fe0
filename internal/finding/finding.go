// Package finding collects validation problems of an input with their positions.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxFindings bounds the length of a List, so that malicious input cannot produce
// an arbitrarily long report.
const MaxFindings = 1000

// Finding is one validation problem of an input.
type Finding struct {
	File string
	// Line and Column start at 1. Column counts characters, not bytes.
	Line, Column int
	// Path identifies the value, for example "customers[2].weight". It is empty for
	// problems of the input as a whole.
	Path    string
	Message string
}

// String returns "file:line:column: path: message", without the path if it is
// empty.
func (f Finding) String() string {
	position := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Path == "" {
		return position + ": " + f.Message
	}
	return position + ": " + f.Path + ": " + f.Message
}

// List holds the findings of one or more inputs. It implements error; use Err to
// get a nil error for an empty list.
type List []Finding

// Add appends a finding. It does nothing if the list already holds MaxFindings.
func (l *List) Add(f Finding) {
	if len(*l) < MaxFindings {
		*l = append(*l, f)
	}
}

// Sort sorts the findings by file, line, column, path and message.
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

// Error implements error. It returns one line per finding.
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
