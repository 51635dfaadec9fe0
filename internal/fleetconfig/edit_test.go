package fleetconfig

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/keyhash"
)

// Guards against an added customer that changes or drops other lines of the text.
func TestAddCustomerPreservesExistingText(t *testing.T) {
	customer := Customer{ID: "new", Weight: 2, Keys: []keyhash.Hash{keyhash.Of("new")}, Services: []string{"tutor"}}
	texts := []string{
		validConfig,
		strings.TrimRight(validConfig, "\n"),
		withExceptions("{customer: large, setting: burst, value: 9, reason: r}"),
		strings.Replace(validConfig, "customers:\n", "customers: # paying\n  # the first\n\n", 1) + "# end\n\nexceptions: []\n",
		strings.Split(validConfig, "customers:")[0] + "customers: [] # none yet\nexceptions: []\n",
	}
	for _, text := range texts {
		edited, err := AddCustomer(text, customer)
		require.NoError(t, err)
		updated := mustLoad(t, edited)
		require.Equal(t, customer, *updated.Customer("new"))
		original := mustLoad(t, text)
		require.Len(t, updated.Customers, len(original.Customers)+1)
		for i := range original.Customers {
			require.Equal(t, original.Customers[i], updated.Customers[i])
		}
		require.Equal(t, original.Exceptions, updated.Exceptions)
		for _, line := range strings.Split(Diff(text, edited), "\n")[2:] {
			dropped := strings.HasPrefix(line, "-") && !strings.Contains(line, "customers: []") && !strings.Contains(line, "services: [tutor]")
			require.False(t, dropped, line)
		}
	}
}

// Guards against a duplicate customer, and against text that AddCustomer cannot
// edit safely.
func TestAddCustomerRejectsUnsupportedText(t *testing.T) {
	customer := Customer{ID: "small", Services: []string{"tutor"}}
	_, err := AddCustomer(validConfig, customer)
	require.ErrorContains(t, err, "customer small already exists")

	customer.ID = "new"
	flow := strings.Split(validConfig, "customers:")[0] + "customers: [{id: a, keys: [], services: []}]\n"
	_, err = AddCustomer(flow, customer)
	require.ErrorContains(t, err, "edit it by hand")

	customer.Services = []string{"none"}
	_, err = AddCustomer(validConfig, customer)
	require.ErrorContains(t, err, "unknown service none")
}
