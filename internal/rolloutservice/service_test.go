package rolloutservice

import (
	"context"
	"errors"
	"testing"
	"time"

	"cairntiller/internal/lease"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/rollout"
)

// idleRouter is a router that accepts commands and gets none.
type idleRouter struct{}

func (idleRouter) Counts() (rollout.CommandCounts, bool, int64) {
	return rollout.CommandCounts{}, true, 1
}
func (idleRouter) Drain([]string)                 {}
func (idleRouter) QueryNodes(answer func([]Node)) { answer(nil) }
func (idleRouter) Leave()                         {}

// newTestService returns the service of a fleet of one, which votes for itself. Its leases are started, the service is
// not.
func newTestService(t *testing.T) (*Service, *leaseservice.Service) {
	t.Helper()
	send := func(string, uint8, []byte) error { return nil }
	settings := leaseservice.Settings{Given: true, LongestLease: 4_000_000, MaxDrift: 10_000, MaxLeases: 10, Voters: lease.VoterSet{Number: 1, Names: []string{"a"}}}
	leases := leaseservice.New("a", "test", settings, leaseservice.Clock, send)
	leases.Start()
	t.Cleanup(leases.Stop)
	noMembers := func() []string { return nil }
	return New(Config{
		Self:         "a",
		Voters:       []string{"a"},
		LongestLease: 4_000_000,
		Router:       idleRouter{},
		Leases:       leases,
		Clock:        leaseservice.Clock,
		Members:      noMembers,
		Send:         send,
	}), leases
}

// awaitLead waits until a service leads.
func awaitLead(t *testing.T, s *Service) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if status, err := s.Status(t.Context()); err == nil && status.Leads {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the service does not lead")
		}
	}
}

// TestStopReleasesLease stops a router that leads, and checks that its lease is free at once. If it became free only by
// expiring, no instance would lead for that long each time a leader restarts.
func TestStopReleasesLease(t *testing.T) {
	s, leases := newTestService(t)
	s.Start()
	awaitLead(t, s)
	s.Stop()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) { // half of the lease's length
		held := false
		for _, line := range leaseservice.MergeReports(leases.QueryVoters(t.Context())) {
			held = held || line.Lease == LeaseName && line.Holder != ""
		}
		if !held {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the lease is still held after Stop")
		}
	}
}

// TestOperatorCommands gives commands to a router that does not lead, and to one that does.
func TestOperatorCommands(t *testing.T) {
	t.Parallel()
	s, _ := newTestService(t)
	s.Start()
	defer s.Stop()
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := s.Execute(short, rollout.Command{Type: rollout.CommandHalt, PlanID: "p"}); !errors.Is(err, ErrNoReply) {
		t.Errorf("before it leads: %v, want %v", err, ErrNoReply)
	}
	awaitLead(t, s)
	var refused *RefusedError
	if err := s.Execute(t.Context(), rollout.Command{Type: rollout.CommandHalt, PlanID: "p"}); !errors.As(err, &refused) || refused.Reason != `no plan "p"` {
		t.Errorf("an unknown plan: %v", err)
	}
	plan := rollout.Plan{ID: "p", Kind: rollout.KindRestart, Units: []string{"a"}}
	for range 2 { // with the same token it is the same command
		if err := s.Execute(t.Context(), rollout.Command{Type: rollout.CommandStart, Token: "t", Plan: plan}); err != nil {
			t.Fatal(err)
		}
	}
	status, err := s.Status(t.Context())
	if err != nil || len(status.Plans) != 1 || status.Plans[0].ID != "p" || status.Plans[0].State != rollout.StateRunning.String() {
		t.Errorf("%+v, %v", status, err)
	}
}
