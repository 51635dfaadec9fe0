package dedup_test

import (
	"flag"
	"os"
	"testing"
)

// checks is the number of generated runs per property. The default of 100 missed
// faults that 3000 runs had found.
const checks = "500"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		if err := flag.Set("rapid.checks", checks); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
