package assignment

import "testing"

// TestPeakMembersAreRememberedForTenMinutes: four instances ran, and three are gone. They may be on another side of a cut and
// run every task too, so the interval stays long enough for four for ten minutes from their loss on.
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
		t.Errorf("%d us alone of four, want 4 s", got)
	}
	tab.MemberUp(601_000_000, "r4", 1, 1)
	if got := tab.Interval(); got != 2_000_000 {
		t.Errorf("%d us as two of four, want 2 s", got)
	}
	tab.MemberUp(601_000_001, "r4", 1, 1)
	if got := tab.Interval(); got != 1_000_000 {
		t.Errorf("%d us after ten minutes, want 1 s", got)
	}
}

// TestPeakMembersHoldUntilTheLoss: four instances run for an hour in which none comes or goes, and are then parted. Seen: the
// first loss takes the greatest number down with it, and the parts together check each node more often than allowed.
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
		t.Errorf("%d us alone of four, want 4 s", got)
	}
}
