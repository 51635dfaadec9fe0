// Package yamlread reads YAML settings into typed values and reports every
// problem with its place. It accepts the part of YAML that settings need:
// one document of mappings, sequences and scalars, without anchors, aliases,
// tags, merge keys or complex keys.
package yamlread

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/finding"
)

const (
	// MaxBytes bounds an input; the platform stores values of at most 1 MB.
	MaxBytes = 1_000_000
	// MaxLines and MaxLineBytes bound the lines. The lexer's time grows with the
	// square of some inputs, for example of a long run of multi-byte characters.
	MaxLines     = 20_000
	MaxLineBytes = 2_000
	// MaxDepth bounds the nesting of mappings and sequences. The parser recurses
	// once per level, so deep input could exhaust the stack.
	MaxDepth = 16
)

// Document is the input that a reader works on, with the findings so far.
type Document struct {
	file     string
	lines    int
	findings finding.List
}

// Parse returns the root value of a text. The root is absent if the text is
// empty or cannot be parsed; in the latter case the document has findings.
func Parse(file, text string) (*Document, Value) {
	d := &Document{file: file, lines: 1 + strings.Count(text, "\n")}
	absent := Value{doc: d}
	if len(text) > MaxBytes {
		d.add(nil, "", "has %d bytes; at most %d are allowed", len(text), MaxBytes)
		return d, absent
	}
	if !utf8.ValidString(text) {
		d.add(nil, "", "is not valid UTF-8")
		return d, absent
	}
	if !d.checkLines(text) {
		return d, absent
	}
	tokens := lexer.Tokenize(text)
	if !d.checkTokens(tokens) {
		return d, absent
	}
	file0, err := parseTokens(tokens)
	if err != nil {
		d.addSyntax(err)
		return d, absent
	}
	return d, d.root(file0)
}

// Findings returns the problems found so far, in the order of their places.
func (d *Document) Findings() finding.List {
	d.findings.Sort()
	return d.findings
}

func (d *Document) checkLines(text string) bool {
	if d.lines > MaxLines {
		d.add(nil, "", "has %d lines; at most %d are allowed", d.lines, MaxLines)
		return false
	}
	number := 0
	for line := range strings.SplitSeq(text, "\n") {
		number++
		if len(line) > MaxLineBytes {
			d.addAt(number, 1, "", "has %d bytes; a line may have at most %d", len(line), MaxLineBytes)
			return false
		}
	}
	return true
}

// parseTokens turns a panic of the YAML library into an error: operators'
// input must not end a daemon.
func parseTokens(tokens token.Tokens) (file *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("is not valid YAML: %v", r)
		}
	}()
	return parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
}

func (d *Document) root(f *ast.File) Value {
	var body ast.Node
	for _, doc := range f.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			d.add(place(doc.Body), "", "is a second document; only one is allowed")
			continue
		}
		body = doc.Body
	}
	return Value{doc: d, node: body}
}

// checkTokens rejects deep nesting and the parts of YAML that settings do not
// use. It reports the first problem only, since later tokens depend on it.
func (d *Document) checkTokens(tokens token.Tokens) bool {
	var depth nesting
	for _, tk := range tokens {
		if what := unsupported(tk.Type); what != "" {
			d.add(tk, "", "%s are not supported", what)
			return false
		}
		if tk.Type == token.InvalidType {
			d.add(tk, "", "is not valid YAML: %s", tk.Error)
			return false
		}
		if depth.next(tk) > MaxDepth {
			d.add(tk, "", "is nested deeper than %d levels", MaxDepth)
			return false
		}
	}
	return true
}

func unsupported(t token.Type) string {
	switch t {
	case token.AnchorType, token.AliasType:
		return "anchors and aliases"
	case token.TagType:
		return "tags"
	case token.MergeKeyType:
		return "merge keys"
	case token.MappingKeyType:
		return "complex keys"
	case token.DirectiveType:
		return "directives"
	default:
		return ""
	}
}

// nesting counts the collections that enclose a token: open brackets, and
// block collections by their column.
type nesting struct {
	flow   int
	blocks []block
}

// block is a block collection.
type block struct {
	column   int
	sequence bool
}

// next takes a token and returns its depth.
func (n *nesting) next(tk *token.Token) int {
	switch tk.Type {
	case token.MappingStartType, token.SequenceStartType:
		n.flow++
	case token.MappingEndType, token.SequenceEndType:
		n.flow = max(0, n.flow-1)
	case token.SequenceEntryType:
		n.enter(block{tk.Position.Column, true})
	case token.MappingValueType:
		n.enter(block{keyColumn(tk), false})
	}
	return n.flow + len(n.blocks)
}

// keyColumn returns the column of the key before a colon.
func keyColumn(colon *token.Token) int {
	if colon.Prev != nil {
		return colon.Prev.Position.Column
	}
	return colon.Position.Column
}

// enter takes an entry of a block collection and leaves the collections that
// ended before it.
func (n *nesting) enter(b block) {
	if n.flow > 0 {
		return
	}
	for len(n.blocks) > 0 && b.endsBlock(n.blocks[len(n.blocks)-1]) {
		n.blocks = n.blocks[:len(n.blocks)-1]
	}
	if len(n.blocks) == 0 || n.blocks[len(n.blocks)-1] != b {
		n.blocks = append(n.blocks, b)
	}
}

// endsBlock reports whether an entry of b ends the collection open. A sequence
// may start in the column of the key that it belongs to.
func (b block) endsBlock(open block) bool {
	if open.column == b.column {
		return open.sequence && !b.sequence
	}
	return open.column > b.column
}

func (d *Document) addSyntax(err error) {
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		d.add(syntax.GetToken(), "", "is not valid YAML: %s", syntax.GetMessage())
		return
	}
	d.add(nil, "", "%s", err)
}

// add records a finding at a token. Places are kept inside the text, because
// the library can report a place behind the last line.
func (d *Document) add(tk *token.Token, path, format string, args ...any) {
	line, column := 1, 1
	if tk != nil && tk.Position != nil {
		line = min(max(tk.Position.Line, 1), d.lines)
		column = max(tk.Position.Column, 1)
	}
	d.addAt(line, column, path, format, args...)
}

func (d *Document) addAt(line, column int, path, format string, args ...any) {
	d.findings.Add(finding.Finding{
		File: d.file, Line: line, Column: column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}
