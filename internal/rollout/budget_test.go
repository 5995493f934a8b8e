package rollout

import (
	"strings"
	"testing"
)

// TestGroupKeepsItsPrimary drains a whole group at once: a primary may go only where a replica is near the log's end,
// and one node of a group at a time. Else the group would have nobody to write to.
func TestGroupKeepsItsPrimary(t *testing.T) {
	for name, c := range map[string]struct {
		near        bool
		minReplicas int
		want        string
	}{
		"a replica is near": {true, 0, "gww"},
		"none is":           {false, 0, "wgw"}, // a replica that lags may go, the primary not
		"one must stay":     {true, 1, "gww"},  // of two, one leads and one stays
		"two must stay":     {true, 2, "www"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 3,
				NodeState{Name: "a", Group: 1, Primary: true, Up: true, NearLogEnd: true},
				NodeState{Name: "b", Group: 1, Up: true, NearLogEnd: c.near},
				NodeState{Name: "c", Group: 1, Up: true, NearLogEnd: c.near})
			f.leader.HandleCommand(f.now, &Command{Type: CommandStart, Token: "1", Plan: Plan{ID: "p", Kind: KindNodes, Units: []string{"a", "b", "c"}, WaveSizes: []int{3},
				Budget: Budget{MaxShare: 1, MinReplicas: c.minReplicas}}})
			for range 3 {
				f.advance(second)
			}
			if got := phases(f.plan()); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// TestUnplannedLossUsesBudget has one of eleven routers lost already: nobody leaves under a budget of one, the plan
// halts and says why, and it goes on once an operator has answered for the lost one.
func TestUnplannedLossUsesBudget(t *testing.T) {
	f := newTestFleet(t, 10)
	f.leader.MemberUp("r10") // known, and never heard of
	f.leader.HandleCommand(f.now, &Command{Type: CommandStart, Token: "1", Plan: Plan{ID: "p", Kind: KindRestart, Units: []string{"r3", "r4"}, WaveSizes: []int{2},
		ProgressTimeout: 5 * second, Budget: Budget{MaxUnavailable: 1, MaxShare: 1}}})
	for range 3 {
		f.advance(second)
	}
	if got := phases(f.plan()); got != "ww" {
		t.Fatal(got)
	}
	for range 4 {
		f.advance(second)
	}
	if p := f.plan(); p.State != StateHalted || !strings.Contains(p.Reason, "1 of 11 are out") {
		t.Errorf("%v: %s", p.State, p.Reason)
	}
	f.leader.HandleCommand(f.now, &Command{Type: CommandForget, Token: "2", Unit: "r10"})
	f.leader.HandleCommand(f.now, &Command{Type: CommandResume, Token: "3", PlanID: "p"})
	f.advance(second)
	f.advance(second)
	if got := phases(f.plan()); got != "gw" {
		t.Errorf("%s after an operator's command", got)
	}
}
