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
