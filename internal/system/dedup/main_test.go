package dedup_test

import (
	"flag"
	"os"
	"testing"
)

// defaultChecks is the number of generated runs per property. Rapid's default of 100
// missed faults that 3000 runs found.
const defaultChecks = "500"

func TestMain(m *testing.M) {
	flag.Parse()
	checksSet := false
	flag.Visit(func(f *flag.Flag) { checksSet = checksSet || f.Name == "rapid.checks" })
	if !checksSet {
		if err := flag.Set("rapid.checks", defaultChecks); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
