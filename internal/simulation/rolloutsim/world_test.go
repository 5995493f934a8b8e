package rolloutsim

import (
	"flag"
	"fmt"
	"testing"
)

var seeds = flag.Int("seeds", 20, "runs of mixed faults")
var halts = flag.Int("halts", 5, "pairs of good and bad versions")

// TestMixedFaults plays plans under mixed faults.
func TestMixedFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		w := New(MixedFaults(seed))
		w.Run()
		if w.Violation != "" {
			t.Errorf("seed %d: %s", seed, w.Violation)
		}
	}
}

// TestSameSeedSameRun compares the hash over all events of two runs of each seed.
func TestSameSeedSameRun(t *testing.T) {
	for seed := range uint64(5) {
		a, b := New(MixedFaults(seed)).Run(), New(MixedFaults(seed)).Run()
		if a.Hash != b.Hash {
			t.Errorf("seed %d: %x and %x", seed, a.Hash, b.Hash)
		}
	}
}

// TestPlanted plants each mistake and sees it found; the one that takes many seeds begins near one that shows it.
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
		for _, bad := range []float64{0, 0.02} {
			w := New(VersionRollout(seed, bad))
			f := w.Run()
			p := w.committed.Plans[0]
			if w.Violation != "" || (f.HaltsByEvidence > 0) != (bad > 0) {
				t.Errorf("seed %d, %.0f%% bad: %d halts, plan %s: %s %s", seed, 100*bad, f.HaltsByEvidence, p.State, p.Reason, w.Violation)
			}
			for i := range p.Units {
				if r := w.routers[w.routerIndex[p.Plan.Units[i]]]; bad > 0 && r.version != 1 {
					t.Errorf("seed %d: %s has the bad version", seed, r.name)
				}
			}
			if touched := w.TouchedRouters(); bad > 0 && touched > 2 {
				t.Errorf("seed %d: %d routers were touched before it halted", seed, touched)
			}
		}
	}
}
