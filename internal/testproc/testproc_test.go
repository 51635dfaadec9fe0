package testproc_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/testproc"
)

// A port that is drawn for a second process before the first has opened it ends one of them
// with "address already in use".
func TestFreePortsAreReturnedOnce(t *testing.T) {
	const host = "127.0.0.98"
	seen := make(map[int]bool)
	for range 400 {
		for _, port := range testproc.FreePorts(t, host, 2) {
			require.False(t, seen[port], "port %d was returned before", port)
			seen[port] = true
		}
	}
}
