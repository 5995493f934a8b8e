package rollout

import "testing"

// TestServiceConditionAfterReturn has a router return that answers too few commands, fails too many, or gets none.
func TestServiceConditionAfterReturn(t *testing.T) {
	const watchTime = 10 * second
	for name, c := range map[string]struct {
		commands, failed uint64
		backFor          int64
		want             string
	}{
		"too few commands yet":  {minCommandsServed - 1, 0, idleWatchTimes*watchTime - 1, "it has answered 19 commands"},
		"enough":                {minCommandsServed, 0, 0, ""},
		"unused for long":       {minCommandsServed - 1, minCommandsServed - 1, idleWatchTimes * watchTime, ""},
		"half of all failed":    {20, 10, 0, ""},
		"more than half failed": {20, 11, 0, "11 of its 20 commands failed"},
	} {
		t.Run(name, func(t *testing.T) {
			m := &memberState{returnedAt: 5 * second, countsAtReturn: CommandCounts{Commands: 100, Failed: 3}}
			m.report.Counts = CommandCounts{Commands: 100 + c.commands, Failed: 3 + c.failed}
			if got := m.unmetServiceCondition(5*second+c.backFor, watchTime); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// TestPartitionedRouterIsInstructedAgain partitions a router before it receives the instruction to leave; then it
// reports again with the same process. The fault: it counted as having left and was not instructed again, and the plan
// waited for it until it halted.
func TestPartitionedRouterIsInstructedAgain(t *testing.T) {
	f := newTestFleet(t, 6)
	f.mustAccept(t, Command{Type: CommandStart, Token: "t", Plan: Plan{ID: "p", Kind: KindRestart, Units: []string{"r1", "r2", "r3", "r4", "r5"}}})
	for range 10 {
		if f.advance(second); f.plan().Units[0].Phase == PhaseLeaving {
			break
		}
	}
	if got := f.plan().Units[0].Phase; got != PhaseLeaving {
		t.Fatalf("the first unit is %s, want going", got)
	}
	f.partitioned = "r1"
	for range 6 {
		f.advance(second)
	}
	if got := f.plan().Units[0].Phase; got != PhaseUnavailable {
		t.Fatalf("after its reports stopped it is %s, want away", got)
	}
	f.partitioned = ""
	for range 3 {
		f.advance(second)
	}
	if got := f.plan().Units[0].Phase; got != PhaseLeaving {
		t.Errorf("after it reports again with the same process it is %s, want going", got)
	}
	if got := f.plan().Units[0]; got.Slot == (Slot{}) {
		t.Error("the unit holds no slot")
	}
}
