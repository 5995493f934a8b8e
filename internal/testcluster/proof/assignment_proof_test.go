package proof

import (
	"io"
	"os"
	"strings"
	"testing"
	"time"
)

// TestMain lets the test's program be the router that a proof starts.
func TestMain(m *testing.M) {
	runHiddenCommand()
	if len(os.Args) == 4 && os.Args[1] == "child" {
		RunSharingRouter(os.Args[3])
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// TestAssignment plays the short form of the proof, and twice with a planted fault that it must see: instances that never
// hear one another, and probes that are too rare.
func TestAssignment(t *testing.T) {
	for name, c := range map[string]struct {
		p    AssignmentProof
		want string
	}{
		"as it is":                 {AssignmentProof{Interval: time.Second}, ""},
		"nobody hears the others":  {AssignmentProof{Interval: time.Second, Isolated: true}, "of the unshared probes"},
		"probes that are too rare": {AssignmentProof{Interval: 6 * time.Second}, "went unprobed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.p.Seed, c.p.Nodes, c.p.Short, c.p.Log, c.p.Output = 1, 6, true, io.Discard, io.Discard
			line, err := c.p.Run()
			if c.want == "" && (err != nil || !strings.Contains(line, "holds")) {
				t.Errorf("%v: %s", err, line)
			}
			if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(line, "FAILS")) {
				t.Errorf("a fault went unseen: %v, %s", err, line)
			}
		})
	}
}

// TestAssignmentSimulation is the simulated part at sizes that take seconds.
func TestAssignmentSimulation(t *testing.T) {
	line, err := AssignmentSimulation{Seed: 1, Sizes: [][2]int{{3, 10}, {30, 200}}, Output: io.Discard}.Run()
	if err != nil || !strings.Contains(line, "holds") {
		t.Errorf("%v: %s", err, line)
	}
}

// TestStatements is the proof of statements at its least size, and with a catalogue that is wrong on purpose.
func TestStatements(t *testing.T) {
	p := StatementProof{Seed: 1, Size: 5000, ReplaySize: 50_000, Output: io.Discard}
	if line, err := p.Run(); err != nil || !strings.Contains(line, "holds") {
		t.Errorf("%v: %s", err, line)
	}
	p.PlantFault = true
	if line, err := p.Run(); err == nil || !strings.Contains(err.Error(), "misread") || !strings.Contains(line, "FAILS") {
		t.Errorf("a write called harmless went unseen: %v: %s", err, line)
	}
}
