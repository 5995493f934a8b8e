package rolloutservice

import (
	"testing"
	"time"

	"cairntiller/internal/lease"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/rollout"
)

// still is a router that serves and does nothing else.
type idleRouter struct{}

func (idleRouter) Counts() (rollout.CommandCounts, bool, int64) {
	return rollout.CommandCounts{}, true, 1
}
func (idleRouter) Drain([]string)               {}
func (idleRouter) QueryNodes(take func([]Node)) { take(nil) }
func (idleRouter) Leave()                       {}

// TestStopGivesTheLeadUp sees the lease of a leader that stops free at once, not only when it has run out.
func TestStopGivesTheLeadUp(t *testing.T) {
	send := func(string, uint8, []byte) error { return nil }
	l := leaseservice.New("a", "test", leaseservice.Settings{Given: true, LongestLease: 4_000_000, MaxDrift: 10_000, MaxLeases: 10, Voters: lease.VoterSet{Number: 1, Names: []string{"a"}}}, leaseservice.Clock, send)
	l.Start()
	defer l.Stop()
	r := New("a", Settings{}, []string{"a"}, 4_000_000, idleRouter{}, leaseservice.Clock, l, func() []string { return nil }, send)
	r.Start()
	for end := time.Now().Add(60 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if s, err := r.Status(t.Context()); err == nil && s.Leads {
			break
		}
		if time.Now().After(end) {
			t.Fatal("it does not lead")
		}
	}
	r.Stop()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) { // half of the lease's length
		held := false
		for _, line := range leaseservice.MergeReports(l.QueryVoters(t.Context())) {
			held = held || line.Lease == LeaseName && line.Holder != ""
		}
		if !held {
			return
		}
		if time.Now().After(end) {
			t.Fatal("it still holds the lease")
		}
	}
}
