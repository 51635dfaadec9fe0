package runner

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// chunkedText is the output of a run, divided into chunks. Answers are kept for many minutes, so
// it is compact: a chunk takes 8 bytes in addition to its text and no allocation of its own.
type chunkedText struct {
	bytes      []byte
	chunkSizes []chunkSize
}

// chunkSize is the size of one chunk. uint32 is sufficient because an answer is far smaller than
// 4 GiB.
type chunkSize struct {
	tokens, bytes uint32
}

func (t *chunkedText) append(tokens table.Tokens, s string) {
	t.bytes = append(t.bytes, s...)
	t.chunkSizes = append(t.chunkSizes, chunkSize{uint32(tokens), uint32(len(s))})
}

// forEachFrom calls fn for each chunk that ends after the position from.
func (t *chunkedText) forEachFrom(from table.Tokens, fn func(position, tokens table.Tokens, s string)) {
	var position table.Tokens
	start := 0
	for _, size := range t.chunkSizes {
		tokens, end := table.Tokens(size.tokens), start+int(size.bytes)
		if position+tokens > from {
			fn(position, tokens, string(t.bytes[start:end]))
		}
		position += tokens
		start = end
	}
}

// trimCapacity releases the unused capacity of the slices.
func (t *chunkedText) trimCapacity() {
	t.bytes = slices.Clone(t.bytes)
	t.chunkSizes = slices.Clone(t.chunkSizes)
}
