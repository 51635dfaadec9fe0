package table

import "github.com/cespare/xxhash/v2"

// RendezvousRank ranks a candidate for a key alike in all processes: the candidate
// with the highest rank is chosen, so that the loss of another one moves no keys.
func RendezvousRank(key, candidate string) uint64 {
	digest := xxhash.New()
	// Writing to a digest does not fail.
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}
