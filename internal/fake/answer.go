package fake

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAnswerTokens bounds the length of an answer and the buffer of a stream's
	// channel.
	maxAnswerTokens = 100_000
	// lengthPrefix is the prefix of the prompt word that sets the answer's length.
	lengthPrefix = "tokens="
)

var vocabulary = [...]string{"ash", "bay", "elm", "fir", "gum", "ivy", "oak", "yew"}

// Answer returns the n-token answer to a prompt. All engines generate the same
// text, so that one engine can continue the answer of another.
func Answer(prompt string, n int64) string {
	var answer strings.Builder
	for i := range n {
		answer.WriteString(tokenText(prompt, i))
	}
	return answer.String()
}

// tokenText returns the text of the token at a position, including the separator
// before it. The text contains the position, so that lost or repeated tokens can
// be detected.
func tokenText(prompt string, position int64) string {
	number := strconv.FormatInt(position, 10)
	word := vocabulary[xxhash.Sum64String(number+prompt)%uint64(len(vocabulary))] + number
	if position == 0 {
		return word
	}
	return " " + word
}

// countTokens returns the number of tokens in a text; each word is one token.
func countTokens(text string) int64 { return int64(len(strings.Fields(text))) }

// answerLength returns the length of the answer to a prompt in tokens, before the
// limits of the request: N if the prompt contains the word "tokens=N", otherwise 8
// to 63, derived from the prompt's hash.
func answerLength(prompt string) int64 {
	for _, word := range strings.Fields(prompt) {
		value, ok := strings.CutPrefix(word, lengthPrefix)
		if !ok {
			continue
		}
		if n, err := strconv.ParseInt(value, 10, 64); err == nil && n >= 0 {
			return min(n, maxAnswerTokens)
		}
	}
	return 8 + int64(xxhash.Sum64String(prompt)%56)
}
