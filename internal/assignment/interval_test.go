package assignment

import "testing"

// Three of four instances are lost. They may be on another side of a partition and still run every task, so the
// interval stays long enough for four instances for ten minutes after the loss.
func TestPeakMembersAreRememberedForTenMinutes(t *testing.T) {
	tab := New(0, Config{Self: "r0", Weight: 1, Incarnation: 1, Interval: 1_000_000, Instances: 1, MaxRunRate: 1, ClaimRate: 50})
	gone := []string{"r1", "r2", "r3"}
	for _, name := range gone {
		tab.MemberUp(0, name, 1, 1)
	}
	for _, name := range gone {
		tab.MemberDown(1_000_000, name, 1, false)
	}
	if got := tab.Interval(); got != 4_000_000 {
		t.Errorf("interval with one of four members live: %d us, want 4 s", got)
	}
	tab.MemberUp(601_000_000, "r4", 1, 1)
	if got := tab.Interval(); got != 2_000_000 {
		t.Errorf("interval with two of four members live: %d us, want 2 s", got)
	}
	tab.MemberUp(601_000_001, "r4", 1, 1)
	if got := tab.Interval(); got != 1_000_000 {
		t.Errorf("interval after ten minutes: %d us, want 1 s", got)
	}
}

// Four instances run for an hour without membership changes and are then partitioned. Guards against the first loss
// lowering the peak number of members: the sides together then checked each node more often than allowed.
func TestPeakMembersHoldUntilTheLoss(t *testing.T) {
	const hour = 3_600_000_000
	tab := New(0, Config{Self: "r0", Weight: 1, Incarnation: 1, Interval: 1_000_000, Instances: 1, MaxRunRate: 1, ClaimRate: 50})
	others := []string{"r1", "r2", "r3"}
	for _, name := range others {
		tab.MemberUp(0, name, 1, 1)
	}
	for _, name := range others {
		tab.MemberDown(hour, name, 1, false)
	}
	if got := tab.Interval(); got != 4_000_000 {
		t.Errorf("interval with one of four members live: %d us, want 4 s", got)
	}
}
