package runner

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// text is the output of a run with the bounds of its chunks. Answers are kept
// for many minutes, so a chunk takes 8 bytes beside its text and no allocation
// of its own.
type text struct {
	bytes  []byte
	bounds []bound
}

// bound is the size of one chunk. Both counts are bounded by the size of a
// request's answer, which is far below 4 GiB.
type bound struct {
	tokens, bytes uint32
}

func (t *text) append(tokens table.Tokens, s string) {
	t.bytes = append(t.bytes, s...)
	t.bounds = append(t.bounds, bound{uint32(tokens), uint32(len(s))})
}

// each calls fn for each chunk that reaches beyond a position.
func (t *text) each(from table.Tokens, fn func(position, tokens table.Tokens, s string)) {
	var position table.Tokens
	start := 0
	for _, b := range t.bounds {
		tokens, end := table.Tokens(b.tokens), start+int(b.bytes)
		if position+tokens > from {
			fn(position, tokens, string(t.bytes[start:end]))
		}
		position += tokens
		start = end
	}
}

// clip frees the memory that was set aside for more text.
func (t *text) clip() {
	t.bytes = slices.Clone(t.bytes)
	t.bounds = slices.Clone(t.bounds)
}
