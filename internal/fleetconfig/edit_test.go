package fleetconfig

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/keyhash"
)

// Guards against a new customer that changes or drops what operators wrote.
func TestAddCustomerKeepsTheText(t *testing.T) {
	row := Customer{ID: "new", Weight: 2, Keys: []keyhash.Hash{keyhash.Of("new")}, Services: []string{"tutor"}}
	texts := []string{
		valid,
		strings.TrimRight(valid, "\n"),
		exceptions("{customer: large, setting: burst, value: 9, reason: r}"),
		strings.Replace(valid, "customers:\n", "customers: # paying\n  # the first\n\n", 1) + "# end\n\nexceptions: []\n",
		strings.Split(valid, "customers:")[0] + "customers: [] # none yet\nexceptions: []\n",
	}
	for _, text := range texts {
		edited, err := AddCustomer(text, row)
		require.NoError(t, err)
		after := mustLoad(t, edited)
		require.Equal(t, row, *after.Customer("new"))
		before := mustLoad(t, text)
		require.Len(t, after.Customers, len(before.Customers)+1)
		for i := range before.Customers {
			require.Equal(t, before.Customers[i], after.Customers[i])
		}
		require.Equal(t, before.Exceptions, after.Exceptions)
		for _, line := range strings.Split(Diff(text, edited), "\n")[2:] {
			dropped := strings.HasPrefix(line, "-") && !strings.Contains(line, "customers: []") && !strings.Contains(line, "services: [tutor]")
			require.False(t, dropped, line)
		}
	}
}

// Guards against a second row of the same customer, and against text that the
// edit does not understand.
func TestAddCustomerRefusesWhatItCannotEdit(t *testing.T) {
	row := Customer{ID: "small", Services: []string{"tutor"}}
	_, err := AddCustomer(valid, row)
	require.ErrorContains(t, err, "the customer small exists already")

	row.ID = "new"
	flow := strings.Split(valid, "customers:")[0] + "customers: [{id: a, keys: [], services: []}]\n"
	_, err = AddCustomer(flow, row)
	require.ErrorContains(t, err, "edit it by hand")

	row.Services = []string{"none"}
	_, err = AddCustomer(valid, row)
	require.ErrorContains(t, err, "there is no service none")
}
