package sharedprobes

import (
	"encoding/hex"
	"testing"

	"cairntiller/internal/assignment"
	"cairntiller/internal/codec"
	"cairntiller/internal/routing"
)

// wireUpdate is an update as it is encoded on the wire, see docs/assignment.md.
type wireUpdate struct {
	_            struct{} `cbor:",toarray"`
	Key          string
	Owner        string
	Term         uint64
	Age          int64
	NodeStarted  int64
	Unresponsive bool
	Position     int64
	PrimaryHint  int8
	LoadReport   string
}

// The encoding of the updates that a finished health check produces must not change between versions: for a response
// with position, role and load report, and for a timeout. A check that the table did not schedule produces no update.
func TestGoldenUpdates(t *testing.T) {
	engine := &testEngine{positions: map[string]int64{}, delegated: map[string]bool{}, unresponsive: map[string]bool{}, hanging: map[string]bool{}}
	service := New(engine)
	service.table = assignment.New(0, assignment.Config{Self: "r1", Weight: 1, Incarnation: 5, Interval: 1_000_000, Instances: 1, MaxRunRate: 4, ClaimRate: 50})
	service.EndpointListed(0, "s-1", routing.Up, 77)
	service.EndpointListed(0, "s-2", routing.Up, 78)
	service.ListApplied(0, true)
	for now := int64(0); now < 3_000_000; now += 100_000 {
		service.table.Tick(now, nil)
	}
	service.checks["s-1"], service.checks["s-2"] = healthCheck{}, healthCheck{}
	service.HealthCheckEnded(3_000_000, "s-1", routing.Answered, 123_456_789, routing.Replica, "x0=1")
	service.HealthCheckEnded(3_000_000, "s-2", routing.TimedOut, 0, routing.RoleUnknown, "")
	service.HealthCheckEnded(3_000_000, "s-1", routing.Answered, 9, routing.Primary, "nobody asked")
	want := []string{
		"896970726f62652f732d316272310100184df41a075bcd15206478303d31",
		"896970726f62652f732d326272310100184ef5000060",
	}
	for i, update := range service.pending {
		raw := hex.EncodeToString(codec.Encode(wireUpdate{Key: update.Key, Owner: update.Owner, Term: update.Term, Age: update.Age, NodeStarted: update.NodeStarted, Unresponsive: update.Unresponsive,
			Position: update.Position, PrimaryHint: update.PrimaryHint, LoadReport: update.LoadReport}))
		if i >= len(want) || raw != want[i] {
			t.Errorf("update %d is encoded as %s, want the corresponding entry of %s", i, raw, want)
		}
	}
	if len(service.pending) != 2 {
		t.Errorf("%d updates for 2 scheduled checks, want 2", len(service.pending))
	}
}
