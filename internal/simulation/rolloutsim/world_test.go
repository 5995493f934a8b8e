package rolloutsim

import (
	"flag"
	"fmt"
	"testing"
)

var seeds = flag.Int("seeds", 20, "number of runs with mixed faults")
var halts = flag.Int("halts", 5, "number of pairs of a good and a bad version")

// TestMixedFaults checks that no rule is violated when plans run while routers crash, links are cut, voters lose their state,
// messages are lost and operators send contradicting commands.
func TestMixedFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		w := New(MixedFaults(seed))
		w.Run()
		if w.Violation != "" {
			t.Errorf("seed %d: %s", seed, w.Violation)
		}
	}
}

// TestSameSeedSameRun checks that two runs of a seed have the same hash, so that a failing seed can be reproduced.
func TestSameSeedSameRun(t *testing.T) {
	for seed := range uint64(5) {
		a, b := New(MixedFaults(seed)).Run(), New(MixedFaults(seed)).Run()
		if a.Hash != b.Hash {
			t.Errorf("seed %d: the hashes %x and %x differ", seed, a.Hash, b.Hash)
		}
	}
}

// TestPlanted plants each mistake and checks that it is detected, since checks that cannot fail prove nothing.
// IgnoresPrimary shows only with few seeds, so it starts near one of them.
func TestPlanted(t *testing.T) {
	for m := FreesSlotByTime; m < MistakeCount; m++ {
		t.Run(fmt.Sprint(m), func(t *testing.T) {
			t.Parallel()
			from := uint64(0)
			if m == IgnoresPrimary {
				from = 420
			}
			for seed := from; seed < from+20; seed++ {
				s := MixedFaults(seed)
				s.PlantedMistake = m
				w := New(s)
				w.Run()
				if w.Violation != "" {
					t.Logf("found with seed %d: %s", seed, w.Violation)
					return
				}
			}
			t.Error("the planted mistake was not found")
		})
	}
}

// TestHalts rolls out a version that is as good as the previous one, and one that fails 2% more of its commands. Noise must
// not halt the good one. The bad one must halt after at most two routers were changed, and be rolled back everywhere.
func TestHalts(t *testing.T) {
	for seed := range uint64(*halts) {
		for _, extraFailureShare := range []float64{0, 0.02} {
			isBad := extraFailureShare > 0
			w := New(VersionRollout(seed, extraFailureShare))
			result := w.Run()
			p := w.committed.Plans[0]
			if w.Violation != "" || (result.HaltsByEvidence > 0) != isBad {
				t.Errorf("seed %d, %.0f%% additional failures: %d halts, plan %s: %s %s", seed, 100*extraFailureShare, result.HaltsByEvidence, p.State, p.Reason, w.Violation)
			}
			if !isBad {
				continue
			}
			for _, name := range p.Plan.Units {
				if r := w.routers[w.routerIndex[name]]; r.version != 1 {
					t.Errorf("seed %d: %s still runs the bad version", seed, r.name)
				}
			}
			if touched := w.AttemptedRouters(); touched > 2 {
				t.Errorf("seed %d: the plan reached %d routers before it halted", seed, touched)
			}
		}
	}
}
