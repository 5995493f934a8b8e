// Package seeded runs a package's tests with a fixed seed for generated ones, so that their verdict is the same each
// time.
package seeded

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // whose flag it sets
)

const seed = "20261201"

// Main is for a package's TestMain; -rapid.seed takes another seed.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		f.Value.Set(seed)
	}
	os.Exit(m.Run())
}
