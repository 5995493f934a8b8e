package proof

import (
	"io"
	"strings"
	"testing"
)

// TestRolloutProof restarts routers and drains nodes by plans under load, at a small size. The proof has to detect that
// uncoordinated restarts make too many routers unavailable at once.
func TestRolloutProof(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		p    RolloutProof
		want string
	}{
		"by plans":      {RolloutProof{Routers: 4, Groups: 2, Nodes: 2}, ""},
		"uncoordinated": {RolloutProof{Routers: 6, Groups: 2, Alone: true}, "were unavailable at once"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.p.Seed, c.p.Voters, c.p.Log, c.p.Output = 1, 3, io.Discard, io.Discard
			line, err := c.p.Run()
			if c.want == "" && (err != nil || !strings.Contains(line, "holds")) {
				t.Errorf("%v: %s", err, line)
			}
			if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(line, "FAILS")) {
				t.Errorf("the violated limit was not detected: %v, %s", err, line)
			}
		})
	}
}

// TestRolloutSimulation runs the simulated part at a size that takes seconds; the tests of rolloutsim plant mistakes.
func TestRolloutSimulation(t *testing.T) {
	line, err := RolloutSimulation{Seeds: 10, RepeatEvery: 5, VersionPairs: 1, Sizes: []int{30}, Output: io.Discard}.Run()
	if err != nil || !strings.Contains(line, "holds") {
		t.Errorf("%v: %s", err, line)
	}
}
