// Package seeded runs the tests of a package with a fixed seed for property-based tests, so that their results are
// reproducible.
package seeded

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flag -rapid.seed
)

const seed = "20261201"

// Main implements TestMain of a package. The flag -rapid.seed overrides the fixed seed.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		f.Value.Set(seed)
	}
	os.Exit(m.Run())
}
