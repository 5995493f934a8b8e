package rollout

import (
	"errors"
	"strings"
	"testing"
)

// TestGroupKeepsItsPrimary drains a whole group at once. A primary may leave only if a replica is caught up, and one
// node of a group at a time; otherwise the group would have no node that accepts writes.
func TestGroupKeepsItsPrimary(t *testing.T) {
	for name, c := range map[string]struct {
		caughtUp    bool
		minReplicas int
		want        string
	}{
		"replicas caught up": {true, 0, "gww"},
		"none caught up":     {false, 0, "wgw"}, // a lagging replica may leave, the primary may not
		"one must stay":      {true, 1, "gww"},  // of two replicas, one becomes primary and one stays
		"two must stay":      {true, 2, "www"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 3,
				NodeState{Name: "a", Group: 1, Primary: true, Up: true, CaughtUp: true},
				NodeState{Name: "b", Group: 1, Up: true, CaughtUp: c.caughtUp},
				NodeState{Name: "c", Group: 1, Up: true, CaughtUp: c.caughtUp})
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

// TestUnplannedLossUsesBudget starts a plan when one of eleven routers is already missing. Under a budget of one no
// unit leaves, the plan halts with the reason, and it continues once an operator has forgotten the missing router.
func TestUnplannedLossUsesBudget(t *testing.T) {
	f := newTestFleet(t, 10)
	f.leader.MemberUp("r10") // known, but never reported
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
		t.Errorf("phases after an operator's command: %s", got)
	}
}

// TestBudgetRefusals requests slots that must not be granted, each for another reason.
func TestBudgetRefusals(t *testing.T) {
	routers := Plan{Kind: KindRestart, Budget: Budget{MaxShare: 1, MaxPerGroup: 1}}
	nodes := Plan{Kind: KindNodes, Budget: Budget{MaxShare: 1, MaxPerGroup: 1}}
	for name, c := range map[string]struct {
		plan   Plan
		change func(b *Budget, f *testFleet, u *unavailability)
		unit   string
		want   error
		text   string
	}{
		"all used": {routers, func(b *Budget, _ *testFleet, u *unavailability) { b.MaxUnavailable, u.total = 2, 2 }, "r1", ErrBudgetUsed,
			"2 of 6 are out, planned or not, and 2 may be"},
		"zone used": {routers, func(b *Budget, _ *testFleet, u *unavailability) { b.MaxPerZone, u.byZone["z"] = 1, 1 }, "r1", ErrZoneBudgetUsed,
			"1 of zone z are out, and 1 may be"},
		"not reporting":  {routers, func(*Budget, *testFleet, *unavailability) {}, "r9", ErrUnavailable, "r9 is not in sight"},
		"the only voter": {routers, func(*Budget, *testFleet, *unavailability) {}, "r0", ErrTooFewVoters, "0 of 1 voters are out or have forgotten"},
		"a node that is down": {nodes, func(_ *Budget, f *testFleet, _ *unavailability) { f.leader.nodes["b"].Up = false }, "b", ErrUnavailable,
			"b is out already"},
		"group used": {nodes, func(_ *Budget, _ *testFleet, u *unavailability) { u.byGroup[1] = 1 }, "b", ErrGroupBudgetUsed,
			"1 of group 1 are out, and 1 may be"},
		"group's work": {nodes, func(b *Budget, _ *testFleet, _ *unavailability) { b.MaxGroupLoad = 0.4 }, "a", ErrGroupLoad,
			"group 1 would be without 50% of its usual work"},
		"no other primary": {nodes, func(_ *Budget, f *testFleet, _ *unavailability) { f.leader.nodes["b"].CaughtUp = false }, "a", ErrNoPrimary,
			"group 1 would have no primary, and none that could become one"},
		"too few replicas": {nodes, func(b *Budget, _ *testFleet, _ *unavailability) { b.MinReplicas = 1 }, "a", ErrTooFewReplicas,
			"group 1 would have 0 replicas near the log's end, and 1 must stay"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 6,
				NodeState{Name: "a", Group: 1, Primary: true, Up: true, CaughtUp: true, LoadShare: 0.5},
				NodeState{Name: "b", Group: 1, Up: true, CaughtUp: true, LoadShare: 0.5})
			p := &Progress{Plan: c.plan}
			u := f.leader.countUnavailable(f.now, c.plan.Kind == KindNodes)
			c.change(&p.Plan.Budget, f, u)
			if err := f.leader.checkBudget(f.now, p, c.unit, u); !errors.Is(err, c.want) || err.Error() != c.text {
				t.Errorf("%v, want %q", err, c.text)
			}
		})
	}
}
