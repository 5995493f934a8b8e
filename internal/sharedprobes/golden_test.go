package sharedprobes

import (
	"encoding/hex"
	"testing"

	"cairntiller/internal/assignment"
	"cairntiller/internal/codec"
	"cairntiller/internal/routing"
)

// wire is a shared probe's update as docs/assignment.md gives its form.
type wire struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Holder  string
	Term    uint64
	Age     int64
	Started int64
	Silent  bool
	Pos     int64
	Lead    int8
	Load    string
}

// TestGoldenProbes holds what a probe's end makes an instance say to the bytes of the version before: an answer with
// position, role and load, and a silence, each on duty; a probe that nobody asked for says nothing.
func TestGoldenProbes(t *testing.T) {
	l := &loop{heard: map[string]int64{}, left: map[string]bool{}, dead: map[string]bool{}, hold: map[string]bool{}}
	p := New(l)
	p.table = assignment.New(0, assignment.Config{Self: "r1", Weight: 1, Incarnation: 5, Interval: 1_000_000, Instances: 1, MaxRunRate: 4, ClaimRate: 50})
	p.EndpointListed(0, "s-1", routing.Up, 77)
	p.EndpointListed(0, "s-2", routing.Up, 78)
	p.ListApplied(0, true)
	for now := int64(0); now < 3_000_000; now += 100_000 {
		p.table.Tick(now, nil)
	}
	p.asked["s-1"], p.asked["s-2"] = false, false
	p.HealthCheckEnded(3_000_000, "s-1", routing.Answered, 123_456_789, -1, "x0=1")
	p.HealthCheckEnded(3_000_000, "s-2", routing.TimedOut, 0, 0, "")
	p.HealthCheckEnded(3_000_000, "s-1", routing.Answered, 9, 1, "nobody asked")
	want := []string{
		"896970726f62652f732d316272310100184df41a075bcd15206478303d31",
		"896970726f62652f732d326272310100184ef5000060",
	}
	for i, w := range p.said {
		raw := hex.EncodeToString(codec.Encode(wire{Key: w.Key, Holder: w.Owner, Term: w.Term, Age: w.Age, Started: w.NodeStarted, Silent: w.Unresponsive,
			Pos: w.Position, Lead: w.PrimaryHint, Load: w.LoadReport}))
		if i >= len(want) || raw != want[i] {
			t.Errorf("RECORD\t%q,", raw)
		}
	}
	if len(p.said) != 2 {
		t.Errorf("%d updates of 2 probes", len(p.said))
	}
}
