package fake

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAnswerTokens bounds an answer and with it a stream's channel.
	maxAnswerTokens = 100_000
	// lengthWord starts the prompt word that sets the answer's length.
	lengthWord = "tokens="
)

var words = [...]string{"ash", "bay", "elm", "fir", "gum", "ivy", "oak", "yew"}

// Answer returns the whole answer to a prompt in n tokens. Engines give the
// same text, so that one can continue the answer of another.
func Answer(prompt string, n int64) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(token(prompt, i))
	}
	return text.String()
}

// token returns the text of the token at a position, with its separator. The
// position is part of the word, so that a lost or repeated token shows.
func token(prompt string, position int64) string {
	number := strconv.FormatInt(position, 10)
	word := words[xxhash.Sum64String(number+prompt)%uint64(len(words))] + number
	if position == 0 {
		return word
	}
	return " " + word
}

// countTokens counts the words of a text.
func countTokens(text string) int64 { return int64(len(strings.Fields(text))) }

// answerTokens returns the natural length of an answer: the prompt word
// "tokens=N" sets it, else the prompt's hash picks 8 to 63 tokens.
func answerTokens(prompt string) int64 {
	for _, word := range strings.Fields(prompt) {
		number, ok := strings.CutPrefix(word, lengthWord)
		if !ok {
			continue
		}
		if n, err := strconv.ParseInt(number, 10, 64); err == nil && n >= 0 {
			return min(n, maxAnswerTokens)
		}
	}
	return 8 + int64(xxhash.Sum64String(prompt)%56)
}
