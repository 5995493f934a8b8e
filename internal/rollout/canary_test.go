package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// TestCanaryAnalysis checks that evidence is found, and that noise is not taken for it.
func TestCanaryAnalysis(t *testing.T) {
	counts := func(commands, failed, late, rejected uint64) CommandCounts {
		return CommandCounts{Commands: commands, Failed: failed, Late: late, Rejected: rejected}
	}
	commands := func(canary, baseline CommandCounts) *canaryAnalysis {
		a := newCanaryAnalysis()
		a.canary.counts["a"] = canary
		for i := range 10 {
			a.baseline.counts[fmt.Sprint(i)] = counts(baseline.Commands/10, baseline.Failed/10, baseline.Late/10, baseline.Rejected/10)
		}
		return a
	}
	crashes := func(crashes int, canaryTime, baselineTime int64) *canaryAnalysis {
		a := newCanaryAnalysis()
		a.canary.crashes = crashes
		a.canary.observedTime = canaryTime
		a.baseline.observedTime = baselineTime
		return a
	}
	slowStart := newCanaryAnalysis()
	slowStart.canary.startupTimes["a"] = 30 * second
	slowStart.baseline.startupTimes["b"] = 1 * second
	memory := newCanaryAnalysis()
	memory.canary.residentBytes["a"] = 200 << 20
	memory.baseline.residentBytes["b"] = 40 << 20
	for name, c := range map[string]struct {
		analysis *canaryAnalysis
		want     string
	}{
		"2% more":              {commands(counts(1500, 36, 0, 0), counts(30_000, 90, 0, 0)), "failed"},
		"same share":           {commands(counts(1500, 5, 0, 0), counts(30_000, 90, 0, 0)), ""},
		"few failures":         {commands(counts(100, 4, 0, 0), counts(30_000, 90, 0, 0)), ""},
		"small baseline":       {commands(counts(9000, 90, 0, 0), counts(140, 0, 0, 0)), ""},
		"late":                 {commands(counts(1500, 0, 150, 0), counts(30_000, 0, 900, 0)), "late"},
		"throttled":            {commands(counts(1500, 0, 0, 200), counts(30_000, 0, 0, 1500)), "throttled"},
		"all do badly":         {commands(counts(1500, 300, 0, 0), counts(30_000, 6000, 0, 0)), ""},
		"no baseline":          {commands(counts(1500, 300, 0, 0), counts(0, 0, 0, 0)), ""},
		"better than baseline": {commands(counts(1500, 0, 0, 0), counts(30_000, 900, 0, 0)), ""},
		"three crashes":        {crashes(3, 60*second, 600*second), "ended by themselves"},
		"two crashes when nearly all are updated": {crashes(2, 600*second, 120*second), ""},
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

// TestCanaryAnalysisAsRecorded compares a hash over the verdicts on generated cohorts with the recorded one. It is
// recorded anew only by a commit that changes a decision and says so.
func TestCanaryAnalysisAsRecorded(t *testing.T) {
	const want = 0x960777d4dcfa966e
	digest := xxhash.New()
	rng := rand.New(rand.NewPCG(3, 4))
	for range 30_000 {
		a := newCanaryAnalysis()
		share := 0.02 * rng.Float64() * float64(rng.IntN(2))
		for _, target := range []*cohort{&a.canary, &a.baseline} {
			for i := range 1 + rng.IntN(4) {
				name := fmt.Sprint("r", i)
				commands := uint64(rng.IntN(3_000))
				bad := func() uint64 { return uint64(float64(commands) * share * 2 * rng.Float64()) }
				target.counts[name] = CommandCounts{Commands: commands, Failed: bad(), Late: bad(), Rejected: bad()}
				target.startupTimes[name] = rng.Int64N(9_000_000)
				target.residentBytes[name] = rng.Int64N(80 << 20)
			}
			target.crashes = rng.IntN(6) * rng.IntN(2)
			target.observedTime = 1_000_000 * rng.Int64N(600)
			share += 0.005 * float64(rng.IntN(3)-1)
			share = max(0, share)
		}
		inDoubt, evidence := a.evaluate()
		fmt.Fprintln(digest, inDoubt, evidence)
	}
	if got := digest.Sum64(); got != want {
		t.Errorf("%#016x, want %#016x", got, uint64(want))
	}
}
