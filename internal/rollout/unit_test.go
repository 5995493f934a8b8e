package rollout

import "testing"

// TestReturnedRouterProvesItsService has a router come back that answers too little, fails too much, or is not asked.
func TestReturnedRouterProvesItsService(t *testing.T) {
	const watchTime = 10 * second
	for name, c := range map[string]struct {
		commands, failed uint64
		backFor          int64
		want             string
	}{
		"too few commands yet":  {minCommandsServed - 1, 0, idleWatches*watchTime - 1, "it has answered 19 commands"},
		"enough":                {minCommandsServed, 0, 0, ""},
		"not asked for long":    {minCommandsServed - 1, minCommandsServed - 1, idleWatches * watchTime, ""},
		"half of all failed":    {20, 10, 0, ""},
		"more than half failed": {20, 11, 0, "11 of its 20 commands failed"},
	} {
		t.Run(name, func(t *testing.T) {
			m := &memberState{returnedAt: 5 * second, countsAtReturn: CommandCounts{Commands: 100, Failed: 3}}
			m.report.Counts = CommandCounts{Commands: 100 + c.commands, Failed: 3 + c.failed}
			if got := m.missingService(5*second+c.backFor, watchTime); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// TestCutOffRouterIsToldAgain: a router is cut off before it hears that it is to leave, and is in sight again with the same
// process. Seen: it counts as having left, is told nothing more, and the plan waits for it until it halts.
func TestCutOffRouterIsToldAgain(t *testing.T) {
	f := newTestFleet(t, 6)
	f.mustAccept(t, Command{Type: CommandStart, Token: "t", Plan: Plan{ID: "p", Kind: KindRestart, Units: []string{"r1", "r2", "r3", "r4", "r5"}}})
	for range 10 {
		if f.advance(second); f.plan().Units[0].Phase == PhaseLeaving {
			break
		}
	}
	if got := f.plan().Units[0].Phase; got != PhaseLeaving {
		t.Fatalf("the first unit is %s, want it to be leaving", got)
	}
	f.cutOff = "r1"
	for range 6 {
		f.advance(second)
	}
	if got := f.plan().Units[0].Phase; got != PhaseUnavailable {
		t.Fatalf("out of sight it is %s, want away", got)
	}
	f.cutOff = ""
	for range 3 {
		f.advance(second)
	}
	if got := f.plan().Units[0].Phase; got != PhaseLeaving {
		t.Errorf("in sight again with the same process it is %s, want it to be told to leave", got)
	}
	if got := f.plan().Units[0]; got.Slot == (Slot{}) {
		t.Error("it holds no slot")
	}
}
