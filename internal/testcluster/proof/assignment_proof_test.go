package proof

import (
	"io"
	"os"
	"strings"
	"testing"
	"time"
)

// TestMain runs the child processes of the proofs, which start the test's executable with hidden sub-commands.
func TestMain(m *testing.M) {
	runHiddenCommand()
	if len(os.Args) == 4 && os.Args[1] == "child" {
		RunSharingRouter(os.Args[3])
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// TestAssignmentProof runs the short form of the proof, and twice with a planted mistake that it has to detect: instances that
// never receive one another's messages, and probes that are too rare.
func TestAssignmentProof(t *testing.T) {
	for name, c := range map[string]struct {
		p    AssignmentProof
		want string
	}{
		"without mistakes":   {AssignmentProof{Interval: time.Second}, ""},
		"isolated instances": {AssignmentProof{Interval: time.Second, Isolated: true}, "of the unshared probes"},
		"probes too rare":    {AssignmentProof{Interval: 6 * time.Second}, "went unprobed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.p.Seed, c.p.Nodes, c.p.Short, c.p.Log, c.p.Output = 1, 6, true, io.Discard, io.Discard
			line, err := c.p.Run()
			if c.want == "" && (err != nil || !strings.Contains(line, "holds")) {
				t.Errorf("%v: %s", err, line)
			}
			if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(line, "FAILS")) {
				t.Errorf("the planted mistake was not detected: %v, %s", err, line)
			}
		})
	}
}

// TestAssignmentSimulation runs the simulated part at sizes that take seconds.
func TestAssignmentSimulation(t *testing.T) {
	line, err := AssignmentSimulation{Seed: 1, Sizes: [][2]int{{3, 10}, {30, 200}}, Output: io.Discard}.Run()
	if err != nil || !strings.Contains(line, "holds") {
		t.Errorf("%v: %s", err, line)
	}
}

// TestStatementProof runs a small statement proof, and one with a catalogue that misclassifies a function, which it has to
// detect.
func TestStatementProof(t *testing.T) {
	p := StatementProof{Seed: 1, Size: 5000, ReplaySize: 50_000, Output: io.Discard}
	if line, err := p.Run(); err != nil || !strings.Contains(line, "holds") {
		t.Errorf("%v: %s", err, line)
	}
	p.PlantFault = true
	if line, err := p.Run(); err == nil || !strings.Contains(err.Error(), "misread") || !strings.Contains(line, "FAILS") {
		t.Errorf("a write classified as a read was not detected: %v: %s", err, line)
	}
}
