package assignment

import (
	"fmt"
	"testing"
)

// A member owns a hundred tasks and sends updates for only some of them. It is classified as slow once more than half
// of its tasks are overdue, but not at exactly half.
func TestSlowAboveHalfOverdue(t *testing.T) {
	for _, c := range []struct{ overdue, slow int }{{50, 0}, {51, 1}} {
		t.Run(fmt.Sprint(c.overdue), func(t *testing.T) {
			tab := New(0, Config{Self: "r0", Weight: 1, Incarnation: 1, Interval: 1_000_000, Instances: 2, MaxRunRate: 1e9, ClaimRate: 50})
			tab.MemberUp(0, "r1", 1, 1)
			sendUpdates := func(now int64, from int) {
				for i := from; i < 100; i++ {
					key := fmt.Sprint("probe/", i)
					tab.AddTask(0, key, 7)
					tab.HandleUpdate(now, Update{Key: key, Owner: "r1", Term: 1, NodeStarted: 7})
				}
			}
			sendUpdates(0, 0)
			for now := int64(0); now < 1_750_000; now += 50_000 {
				tab.Tick(now, nil)
				if now == 1_000_000 {
					sendUpdates(now, c.overdue)
				}
			}
			if n := tab.Stats(1_700_000).SlowMembers; n != 0 {
				t.Errorf("%d slow members before any task is overdue, want 0", n)
			}
			tab.Tick(1_750_001, nil)
			if n := tab.Stats(1_750_001).SlowMembers; n != c.slow {
				t.Errorf("%d slow members, want %d", n, c.slow)
			}
		})
	}
}
