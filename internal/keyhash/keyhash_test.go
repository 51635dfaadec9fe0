package keyhash

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a hash that changes between the tool that writes it and the
// daemon that reads it.
func TestHashSurvivesText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := Of(rapid.String().Draw(rt, "key"))
		got, err := Parse(h.String())
		require.NoError(rt, err)
		require.True(rt, h.Equal(got))
	})
}

// Guards against a hash that no longer matches sha256sum.
func TestHashMatchesKnownValue(t *testing.T) {
	const want = "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
	require.Equal(t, want, Of("abc").String())
}

// Guards against a plain key or a truncated hash that is taken as a hash.
func TestParseRejectsOtherForms(t *testing.T) {
	good := Of("abc").String()
	for _, text := range []string{"", "abc", "sha256:", good[:len(good)-1], good + "0", good[:len(good)-1] + "x", "md5:" + good[7:]} {
		_, err := Parse(text)
		require.Error(t, err, "%q", text)
	}
}
