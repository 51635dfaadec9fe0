// Package yamlread reads YAML settings into typed values and reports every
// problem with its position. It accepts the subset of YAML that settings need:
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
	// MaxBytes bounds the size of an input; the platform stores values of at most 1 MB.
	MaxBytes = 1_000_000
	// MaxLines and MaxLineBytes bound the number and length of lines. The lexer takes
	// quadratic time on some inputs, for example on a long run of multi-byte characters.
	MaxLines     = 20_000
	MaxLineBytes = 2_000
	// MaxDepth bounds the nesting of mappings and sequences. The parser recurses
	// once per level, so deeply nested input could exhaust the stack.
	MaxDepth = 16
)

// Document is a parsed input with the findings reported so far.
type Document struct {
	file     string
	lines    int
	findings finding.List
}

// Parse parses a text and returns its root value. The root is absent if the text
// is empty or cannot be parsed; in the latter case the document has findings.
func Parse(file, text string) (*Document, Value) {
	d := &Document{file: file, lines: 1 + strings.Count(text, "\n")}
	absentRoot := Value{doc: d}
	if len(text) > MaxBytes {
		d.addFinding(nil, "", "has %d bytes; at most %d are allowed", len(text), MaxBytes)
		return d, absentRoot
	}
	if !utf8.ValidString(text) {
		d.addFinding(nil, "", "is not valid UTF-8")
		return d, absentRoot
	}
	if !d.checkLines(text) {
		return d, absentRoot
	}
	tokens := lexer.Tokenize(text)
	if !d.checkTokens(tokens) {
		return d, absentRoot
	}
	astFile, err := parseTokens(tokens)
	if err != nil {
		d.addSyntaxError(err)
		return d, absentRoot
	}
	return d, d.rootValue(astFile)
}

// Findings returns the findings so far, sorted by position.
func (d *Document) Findings() finding.List {
	d.findings.Sort()
	return d.findings
}

// checkLines checks the number of lines and their lengths.
func (d *Document) checkLines(text string) bool {
	if d.lines > MaxLines {
		d.addFinding(nil, "", "has %d lines; at most %d are allowed", d.lines, MaxLines)
		return false
	}
	number := 0
	for line := range strings.SplitSeq(text, "\n") {
		number++
		if len(line) > MaxLineBytes {
			d.addFindingAt(number, 1, "", "has %d bytes; a line may have at most %d", len(line), MaxLineBytes)
			return false
		}
	}
	return true
}

// parseTokens converts a panic of the YAML library into an error, so that
// invalid input from an operator cannot crash a daemon.
func parseTokens(tokens token.Tokens) (file *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("is not valid YAML: %v", r)
		}
	}()
	return parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
}

// rootValue returns the body of the only document and reports any further ones.
func (d *Document) rootValue(f *ast.File) Value {
	var body ast.Node
	for _, doc := range f.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			d.addFinding(positionToken(doc.Body), "", "is a second document; only one is allowed")
			continue
		}
		body = doc.Body
	}
	return Value{doc: d, node: body}
}

// checkTokens rejects deep nesting and unsupported YAML features. It reports only
// the first problem, because the meaning of later tokens depends on it.
func (d *Document) checkTokens(tokens token.Tokens) bool {
	var tracker depthTracker
	for _, tok := range tokens {
		if feature := unsupportedFeature(tok.Type); feature != "" {
			d.addFinding(tok, "", "%s are not supported", feature)
			return false
		}
		if tok.Type == token.InvalidType {
			d.addFinding(tok, "", "is not valid YAML: %s", tok.Error)
			return false
		}
		if tracker.advance(tok) > MaxDepth {
			d.addFinding(tok, "", "is nested deeper than %d levels", MaxDepth)
			return false
		}
	}
	return true
}

// unsupportedFeature returns the name of the unsupported YAML feature that a token
// belongs to, or an empty string.
func unsupportedFeature(t token.Type) string {
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

// depthTracker tracks the collections that enclose a token: the number of open
// flow collections (brackets), and the block collections by their column.
type depthTracker struct {
	flowDepth int
	blocks    []block
}

type block struct {
	column     int
	isSequence bool
}

// advance processes the next token and returns its depth.
func (t *depthTracker) advance(tok *token.Token) int {
	switch tok.Type {
	case token.MappingStartType, token.SequenceStartType:
		t.flowDepth++
	case token.MappingEndType, token.SequenceEndType:
		t.flowDepth = max(0, t.flowDepth-1)
	case token.SequenceEntryType:
		t.enterBlock(block{tok.Position.Column, true})
	case token.MappingValueType:
		t.enterBlock(block{keyColumn(tok), false})
	}
	return t.flowDepth + len(t.blocks)
}

// keyColumn returns the column of the key before a colon.
func keyColumn(colon *token.Token) int {
	if colon.Prev != nil {
		return colon.Prev.Position.Column
	}
	return colon.Position.Column
}

// enterBlock processes an entry of a block collection and removes the collections
// that ended before it.
func (t *depthTracker) enterBlock(b block) {
	if t.flowDepth > 0 {
		return
	}
	for len(t.blocks) > 0 && b.endsBlock(t.blocks[len(t.blocks)-1]) {
		t.blocks = t.blocks[:len(t.blocks)-1]
	}
	if len(t.blocks) == 0 || t.blocks[len(t.blocks)-1] != b {
		t.blocks = append(t.blocks, b)
	}
}

// endsBlock reports whether an entry of b ends an enclosing block collection. A
// sequence may start in the column of the key that it belongs to.
func (b block) endsBlock(enclosing block) bool {
	if enclosing.column == b.column {
		return enclosing.isSequence && !b.isSequence
	}
	return enclosing.column > b.column
}

// addSyntaxError records an error of the parser, with its position if it is known.
func (d *Document) addSyntaxError(err error) {
	var syntaxErr yaml.Error
	if errors.As(err, &syntaxErr) {
		d.addFinding(syntaxErr.GetToken(), "", "is not valid YAML: %s", syntaxErr.GetMessage())
		return
	}
	d.addFinding(nil, "", "%s", err)
}

// addFinding records a finding at a token. It clamps the position to the text,
// because the library can report a position after the last line.
func (d *Document) addFinding(tok *token.Token, path, format string, args ...any) {
	line, column := 1, 1
	if tok != nil && tok.Position != nil {
		line = min(max(tok.Position.Line, 1), d.lines)
		column = max(tok.Position.Column, 1)
	}
	d.addFindingAt(line, column, path, format, args...)
}

func (d *Document) addFindingAt(line, column int, path, format string, args ...any) {
	d.findings.Add(finding.Finding{
		File: d.file, Line: line, Column: column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}
