package failovers

import (
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"cairntiller/internal/testcluster/cluster"
)

// routerProgram is the router's executable.
var routerProgram string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	program, remove, err := cluster.BuildRouter()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer remove()
	routerProgram = program
	return m.Run()
}

// TestSessionsSeeTheirWrites plays a few seeds of the soak; cmd/proof plays as many as wanted. It guards against reads that go
// to a node by what was known before they waited for a connection, and by positions of other messages than the write's.
func TestSessionsSeeTheirWrites(t *testing.T) {
	for seed := range uint64(4) {
		result, err := Soak{Seed: seed, Length: 8 * time.Second, Program: routerProgram, Log: io.Discard}.Run()
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %s", seed, result)
		if err := result.Err(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
