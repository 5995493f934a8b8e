package rollout

import (
	"fmt"
	"strings"
	"testing"
)

// TestCanaryAnalysis halts by evidence and not by noise.
func TestCanaryAnalysis(t *testing.T) {
	counts := func(commands, failed, late, throttled uint64) CommandCounts {
		return CommandCounts{Commands: commands, Failed: failed, Late: late, Throttled: throttled}
	}
	commands := func(touched, others CommandCounts) *canaryAnalysis {
		a := newCanaryAnalysis()
		a.touched.counts["a"] = touched
		for i := range 10 {
			a.untouched.counts[fmt.Sprint(i)] = counts(others.Commands/10, others.Failed/10, others.Late/10, others.Throttled/10)
		}
		return a
	}
	crashes := func(crashes int, touchedTime, untouchedTime int64) *canaryAnalysis {
		a := newCanaryAnalysis()
		a.touched.crashes = crashes
		a.touched.observedTime = touchedTime
		a.untouched.observedTime = untouchedTime
		return a
	}
	slowStart := newCanaryAnalysis()
	slowStart.touched.startupTimes["a"] = 30 * second
	slowStart.untouched.startupTimes["b"] = 1 * second
	memory := newCanaryAnalysis()
	memory.touched.residentBytes["a"] = 200 << 20
	memory.untouched.residentBytes["b"] = 40 << 20
	for name, c := range map[string]struct {
		analysis *canaryAnalysis
		want     string
	}{
		"2% more":            {commands(counts(1500, 36, 0, 0), counts(30_000, 90, 0, 0)), "failed"},
		"as all":             {commands(counts(1500, 5, 0, 0), counts(30_000, 90, 0, 0)), ""},
		"few failures":       {commands(counts(100, 4, 0, 0), counts(30_000, 90, 0, 0)), ""},
		"few others":         {commands(counts(9000, 90, 0, 0), counts(140, 0, 0, 0)), ""},
		"late":               {commands(counts(1500, 0, 150, 0), counts(30_000, 0, 900, 0)), "late"},
		"throttled":          {commands(counts(1500, 0, 0, 200), counts(30_000, 0, 0, 1500)), "throttled"},
		"a bad day for all":  {commands(counts(1500, 300, 0, 0), counts(30_000, 6000, 0, 0)), ""},
		"nobody to compare":  {commands(counts(1500, 300, 0, 0), counts(0, 0, 0, 0)), ""},
		"better than others": {commands(counts(1500, 0, 0, 0), counts(30_000, 900, 0, 0)), ""},
		"three crashes":      {crashes(3, 60*second, 600*second), "ended by themselves"},
		"two crashes when nearly all are touched": {crashes(2, 600*second, 120*second), ""},
		"a slow start": {slowStart, "to start"},
		"memory":       {memory, "MB"},
	} {
		t.Run(name, func(t *testing.T) {
			_, evidence := c.analysis.evaluate()
			if (evidence == "") != (c.want == "") || !strings.Contains(evidence, c.want) {
				t.Errorf("%q, want %q", evidence, c.want)
			}
		})
	}
}
