package keyhash

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a hash that changes when it is formatted by the command-line tool and
// parsed by a daemon.
func TestHashTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := Of(rapid.String().Draw(rt, "key"))
		parsed, err := Parse(h.String())
		require.NoError(rt, err)
		require.True(rt, h.Equal(parsed))
	})
}

// Guards against hashes that differ from the output of sha256sum.
func TestHashMatchesSHA256Sum(t *testing.T) {
	const want = "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
	require.Equal(t, want, Of("abc").String())
}

// Guards against plain keys, truncated hashes and other digests that are accepted as a
// hash.
func TestParseRejectsOtherForms(t *testing.T) {
	valid := Of("abc").String()
	for _, text := range []string{"", "abc", "sha256:", valid[:len(valid)-1], valid + "0", valid[:len(valid)-1] + "x", "md5:" + valid[7:]} {
		_, err := Parse(text)
		require.Error(t, err, "%q", text)
	}
}
