package leasesim

import (
	"flag"
	"fmt"
	"slices"
	"testing"
)

var seeds = flag.Int("seeds", 150, "runs of mixed faults")

// plan draws the shape of a run from its seed.
func TestMixedFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		w := New(MixedFaults(seed))
		w.Run(w.Span)
		if w.Violation != "" {
			t.Fatalf("seed %d, %+v: %s", seed, w.Scenario, w.Violation)
		}
	}
}

// TestSameSeedSameRun compares the hash over all events of two runs of each seed.
func TestSameSeedSameRun(t *testing.T) {
	for seed := range uint64(20) {
		var hash [2]uint64
		for i := range hash {
			w := New(MixedFaults(seed))
			w.Run(w.Span)
			hash[i] = w.Figures().Hash
		}
		if hash[0] != hash[1] {
			t.Errorf("seed %d: %x and %x", seed, hash[0], hash[1])
		}
	}
}

// TestPlanted plants each mistake and sees it found. Those that take many seeds begin near one that shows them; the proof
// searches from the first.
func TestPlanted(t *testing.T) {
	near := map[Mistake]uint64{FromAnswer: 213, FormerVoter: 129, TwoAtOnce: 67, OldSet: 1320, SameProcess: 4713}
	for f := None + 1; f < MistakeCount; f++ {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			t.Parallel()
			for seed := near[f]; seed < near[f]+45; seed++ {
				w := New(MixedFaults(seed).WithMistake(f))
				w.Run(w.Span)
				if w.Violation != "" {
					t.Logf("found with seed %d: %s", seed, w.Violation)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// TestSettles sees that faults leave nothing behind: once they are over each lease has a holder within a few lengths.
func TestSettles(t *testing.T) {
	var all []int64
	for seed := range uint64(*seeds) {
		w := New(MixedFaults(seed))
		w.Run(w.Span)
		w.Settle()
		w.Run(w.Now + w.Length) // voters that start now abstain
		from := w.Now
		for w.Unheld() != "" && w.Now < from+8*w.Length {
			w.Run(w.Now + 100_000)
		}
		if name := w.Unheld(); name != "" {
			t.Errorf("seed %d: nobody holds %s %d us after the last fault", seed, name, w.Now-from)
		}
		all = append(all, w.Now-from)
	}
	slices.Sort(all)
	t.Logf("p50 %d us, p99 %d us, worst %d us", all[len(all)/2], all[len(all)*99/100], all[len(all)-1])
}

// TestVotersRestartOneByOne restarts each voter in turn, as a release does: the holder carries its lease over to a later
// term that the returned one can vote for, and never loses it.
func TestVotersRestartOneByOne(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		w := New(Scenario{Seed: 1, Voters: 3, Others: 3, Leases: 20, Wanted: 3, Length: 2_000_000, Drift: 10_000, Lasting: lasting, Calm: true})
		w.Run(8_000_000)
		if name := w.Unheld(); name != "" {
			t.Fatal("nobody holds", name)
		}
		for round := range 4 { // and what a voter holds itself is lost with it, and held by another one after a length
			for i := range 3 {
				w.Kill(i, 300_000)
				w.Run(w.Now + 6_000_000)
				if name := w.Unheld(); name != "" {
					t.Errorf("lasting %v, round %d: nobody holds %s after voter %d came back", lasting, round, name, i)
				}
			}
		}
		f := w.Figures()
		if w.Violation != "" || f.Losses > 0 {
			t.Errorf("lasting %v: %d lost, %s", lasting, f.Losses, w.Violation)
		}
		t.Logf("lasting %v: carried over %d times", lasting, f.CarryOvers)
	}
}
