// Package keyhash handles the SHA-256 hashes under which API keys are stored.
package keyhash

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// Prefix starts the text form of a hash.
const Prefix = "sha256:"

// Hash is the SHA-256 of an API key. The key itself is never stored.
type Hash [sha256.Size]byte

// Of returns the hash of a key.
func Of(key string) Hash { return sha256.Sum256([]byte(key)) }

// Parse reads the form "sha256:HEX" with 64 hexadecimal digits.
func Parse(text string) (Hash, error) {
	var h Hash
	digits, ok := strings.CutPrefix(text, Prefix)
	if !ok || len(digits) != hex.EncodedLen(len(h)) {
		return h, errors.New("must be sha256: followed by 64 hexadecimal digits")
	}
	if _, err := hex.Decode(h[:], []byte(digits)); err != nil {
		return Hash{}, errors.New("must be sha256: followed by 64 hexadecimal digits")
	}
	return h, nil
}

// String returns the text form.
func (h Hash) String() string { return Prefix + hex.EncodeToString(h[:]) }

// Equal compares in constant time.
func (h Hash) Equal(other Hash) bool {
	return subtle.ConstantTimeCompare(h[:], other[:]) == 1
}
