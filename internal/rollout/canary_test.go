package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// TestCanaryAnalysis halts by evidence and not by noise.
func TestCanaryAnalysis(t *testing.T) {
	counts := func(commands, failed, late, rejected uint64) CommandCounts {
		return CommandCounts{Commands: commands, Failed: failed, Late: late, Rejected: rejected}
	}
	commands := func(touched, others CommandCounts) *canaryAnalysis {
		a := newCanaryAnalysis()
		a.touched.counts["a"] = touched
		for i := range 10 {
			a.untouched.counts[fmt.Sprint(i)] = counts(others.Commands/10, others.Failed/10, others.Late/10, others.Rejected/10)
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

// TestCanaryAnalysisAsRecorded compares a hash over the verdicts on generated cohorts with the one that was recorded. It is
// recorded anew only by a commit that changes a decision and says so.
func TestCanaryAnalysisAsRecorded(t *testing.T) {
	const want = 0x960777d4dcfa966e
	digest := xxhash.New()
	rng := rand.New(rand.NewPCG(3, 4))
	for range 30_000 {
		a := newCanaryAnalysis()
		share := 0.02 * rng.Float64() * float64(rng.IntN(2))
		for _, side := range []*cohort{&a.touched, &a.untouched} {
			for i := range 1 + rng.IntN(4) {
				name := fmt.Sprint("r", i)
				commands := uint64(rng.IntN(3_000))
				bad := func() uint64 { return uint64(float64(commands) * share * 2 * rng.Float64()) }
				side.counts[name] = CommandCounts{Commands: commands, Failed: bad(), Late: bad(), Rejected: bad()}
				side.startupTimes[name] = rng.Int64N(9_000_000)
				side.residentBytes[name] = rng.Int64N(80 << 20)
			}
			side.crashes = rng.IntN(6) * rng.IntN(2)
			side.observedTime = 1_000_000 * rng.Int64N(600)
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
