package leasesim

import (
	"flag"
	"slices"
	"testing"
)

var seeds = flag.Int("seeds", 150, "number of runs with mixed faults")

// TestMixedFaults checks that no two processes can act under the same lease at the same time and that no term is used
// twice, under any mix of faults: voters crash between a vote and its response, links are cut in one direction, messages
// arrive a minute late, clocks run at the drift bound, and the voter set changes meanwhile.
func TestMixedFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		sim := New(MixedFaults(seed))
		sim.Run(sim.Duration)
		if sim.Violation != "" {
			t.Fatalf("seed %d, %+v: %s", seed, sim.Scenario, sim.Violation)
		}
	}
}

// TestSameSeedSameRun checks that two runs of a seed have the same hash over all events. Otherwise a failing seed could not
// be reproduced and investigated.
func TestSameSeedSameRun(t *testing.T) {
	for seed := range uint64(20) {
		var hash [2]uint64
		for i := range hash {
			sim := New(MixedFaults(seed))
			sim.Run(sim.Duration)
			hash[i] = sim.Result().Hash
		}
		if hash[0] != hash[1] {
			t.Errorf("seed %d: the hashes %x and %x differ", seed, hash[0], hash[1])
		}
	}
}

// TestPlanted plants each mistake and checks that the simulation detects it. Otherwise a violated safety rule could go
// unnoticed because no run exercises the case. Mistakes that only few seeds show start near such a seed; the proof searches
// from its first seed.
func TestPlanted(t *testing.T) {
	firstSeed := map[Mistake]uint64{FromAnswer: 213, FormerVoter: 129, TwoAtOnce: 67, OldSet: 1320, SameProcess: 4713}
	for mistake := None + 1; mistake < MistakeCount; mistake++ {
		t.Run(mistake.String(), func(t *testing.T) {
			t.Parallel()
			for seed := firstSeed[mistake]; seed < firstSeed[mistake]+45; seed++ {
				sim := New(MixedFaults(seed).WithMistake(mistake))
				sim.Run(sim.Duration)
				if sim.Violation != "" {
					t.Logf("found with seed %d: %s", seed, sim.Violation)
					return
				}
			}
			t.Error("the planted mistake was not found")
		})
	}
}

// TestLeasesHeldAfterFaults checks that each lease has a holder within a few lease lengths after the last fault. A lease
// could otherwise stay free if a voter keeps extending a grant that its holder forgot, or if votes split repeatedly.
func TestLeasesHeldAfterFaults(t *testing.T) {
	var all []int64
	for seed := range uint64(*seeds) {
		sim := New(MixedFaults(seed))
		sim.Run(sim.Duration)
		sim.EndFaults()
		sim.Run(sim.Now + sim.Length) // voters that restart now abstain
		from := sim.Now
		for sim.Unheld() != "" && sim.Now < from+8*sim.Length {
			sim.Run(sim.Now + 100_000)
		}
		if name := sim.Unheld(); name != "" {
			t.Errorf("seed %d: %s has no holder %d us after the last fault", seed, name, sim.Now-from)
		}
		all = append(all, sim.Now-from)
	}
	slices.Sort(all)
	t.Logf("p50 %d us, p99 %d us, worst %d us", all[len(all)/2], all[len(all)*99/100], all[len(all)-1])
}

// TestVotersRestartOneByOne checks that a rolling restart of the voters costs no holder its lease. A restarted voter cannot
// vote for an earlier term, so every holder used to lose its lease once a majority had restarted, although it was always
// connected. A holder must instead carry its lease over to a later term that the restarted voter can vote for.
func TestVotersRestartOneByOne(t *testing.T) {
	for _, durableVoters := range []bool{false, true} {
		sim := New(Scenario{Seed: 1, Voters: 3, NonVoters: 3, Leases: 20, RequestersPerLease: 3, Length: 2_000_000, Drift: 10_000, DurableVoters: durableVoters, NoFaults: true})
		sim.Run(8_000_000)
		if name := sim.Unheld(); name != "" {
			t.Fatal("no holder of", name)
		}
		for round := range 4 { // a voter's own leases are lost with it and taken over by another process after a lease length
			for i := range 3 {
				sim.Kill(i, 300_000)
				sim.Run(sim.Now + 6_000_000)
				if name := sim.Unheld(); name != "" {
					t.Errorf("durable voters %v, round %d: %s has no holder after the restart of voter %d", durableVoters, round, name, i)
				}
			}
		}
		result := sim.Result()
		if sim.Violation != "" || result.Losses > 0 {
			t.Errorf("durable voters %v: %d leases lost, violation: %s", durableVoters, result.Losses, sim.Violation)
		}
		t.Logf("durable voters %v: %d leases carried over", durableVoters, result.CarryOvers)
	}
}
