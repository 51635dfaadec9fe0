package fleetconfig

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/keyhash"
)

// Guards against example files that the daemons reject, or whose keys do not work.
func TestExamplesAreAccepted(t *testing.T) {
	for _, name := range []string{"sankofa.yaml", "guild.yaml"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
		require.NoError(t, err)
		c, findings := Load(name, string(text))
		require.NoError(t, findings.Err())
		require.Len(t, c.Customers, 10)
		require.NotEmpty(t, c.Exceptions)
		for i := range c.Customers {
			customer := &c.Customers[i]
			require.True(t, customer.Keys[0].Equal(keyhash.Of("demo-key-"+customer.ID)), customer.ID)
		}
		checkLimits(t, c)
	}
}
