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
		line, err := Soak{Length: 8 * time.Second, Program: routerProgram, Log: io.Discard}.Play(seed)
		t.Logf("seed %d: %s", seed, line)
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
