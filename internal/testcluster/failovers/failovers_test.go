package failovers

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// routerProgram is the router's executable.
var routerProgram string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "failovers")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	routerProgram = filepath.Join(folder, "cairntiller")
	if out, err := exec.Command("go", "build", "-o", routerProgram, "cairntiller/cmd/cairntiller").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
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
