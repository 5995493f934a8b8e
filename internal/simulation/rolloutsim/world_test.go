package rolloutsim

import (
	"flag"
	"fmt"
	"testing"
)

var seeds = flag.Int("seeds", 20, "runs of mixed faults")
var halts = flag.Int("halts", 5, "pairs of good and bad versions")

// TestMixedFaults plays plans while routers crash, links are cut, voters forget, messages are lost and operators disagree: no
// rule is broken.
func TestMixedFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		w := New(MixedFaults(seed))
		w.Run()
		if w.Violation != "" {
			t.Errorf("seed %d: %s", seed, w.Violation)
		}
	}
}

// TestSameSeedSameRun plays each seed twice and compares the hashes: a failing seed can be played again.
func TestSameSeedSameRun(t *testing.T) {
	for seed := range uint64(5) {
		a, b := New(MixedFaults(seed)).Run(), New(MixedFaults(seed)).Run()
		if a.Hash != b.Hash {
			t.Errorf("seed %d: %x and %x", seed, a.Hash, b.Hash)
		}
	}
}

// TestPlanted plants each mistake and sees it found, for checks that can't fail prove nothing. The one that takes many seeds
// begins near one that shows it.
func TestPlanted(t *testing.T) {
	for m := FreesSlotByTime; m < Mistakes; m++ {
		t.Run(fmt.Sprint(m), func(t *testing.T) {
			t.Parallel()
			from := uint64(0)
			if m == IgnoresPrimary {
				from = 420
			}
			for seed := from; seed < from+20; seed++ {
				s := MixedFaults(seed)
				s.Planted = m
				w := New(s)
				w.Run()
				if w.Violation != "" {
					t.Logf("found with seed %d: %s", seed, w.Violation)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// TestHalts plays a version that is as good as the one before, and one that fails 2% more: noise must not halt, and the
// bad one must, with two routers touched at the most, and be gone everywhere at the end.
func TestHalts(t *testing.T) {
	for seed := range uint64(*halts) {
		for _, extraFailures := range []float64{0, 0.02} {
			isBad := extraFailures > 0
			w := New(VersionRollout(seed, extraFailures))
			result := w.Run()
			p := w.committed.Plans[0]
			if w.Violation != "" || (result.HaltsByEvidence > 0) != isBad {
				t.Errorf("seed %d, %.0f%% bad: %d halts, plan %s: %s %s", seed, 100*extraFailures, result.HaltsByEvidence, p.State, p.Reason, w.Violation)
			}
			if !isBad {
				continue
			}
			for _, name := range p.Plan.Units {
				if r := w.routers[w.routerIndex[name]]; r.version != 1 {
					t.Errorf("seed %d: %s has the bad version", seed, r.name)
				}
			}
			if touched := w.TouchedRouters(); touched > 2 {
				t.Errorf("seed %d: %d routers were touched before it halted", seed, touched)
			}
		}
	}
}
