// Package keyhash computes, parses and compares the SHA-256 hashes that are stored in
// place of API keys.
package keyhash

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// Prefix is the prefix of a hash in text form.
const Prefix = "sha256:"

// Hash is the SHA-256 hash of an API key. The key itself is never stored.
type Hash [sha256.Size]byte

// Of returns the hash of an API key.
func Of(key string) Hash { return sha256.Sum256([]byte(key)) }

// Parse parses a hash in the form "sha256:" followed by 64 hexadecimal digits.
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

// String returns the hash in the form that Parse accepts.
func (h Hash) String() string { return Prefix + hex.EncodeToString(h[:]) }

// Equal compares two hashes in constant time.
func (h Hash) Equal(other Hash) bool {
	return subtle.ConstantTimeCompare(h[:], other[:]) == 1
}
