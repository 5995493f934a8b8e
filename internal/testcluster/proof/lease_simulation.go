package proof

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"cairntiller/internal/leaseservice"
	"cairntiller/internal/simulation/leasesim"
)

// LeaseSimulation configures the simulated part of the lease proof: the decision module of leases in simulated time, without
// sockets.
type LeaseSimulation struct {
	From         uint64 // first seed
	Seeds        int    // number of runs with mixed faults
	RepeatEvery  int    // every RepeatEvery-th seed runs twice, to compare the hashes
	MistakeSeeds int    // maximum number of seeds to try for each planted mistake; 0 plants none
	Sizes        [][2]int
	Output       io.Writer
}

// leaseSimulationResult sums up the runs with mixed faults.
type leaseSimulationResult struct {
	events, holds int64
	heldShare     float64 // share of the time that leases were held, averaged over the runs
	repeated      int     // number of seeds that ran twice
	violation     string  // the first one, "" for none
}

// Run runs the simulation and returns the closing line; the error lists what does not hold.
func (p LeaseSimulation) Run() (line string, err error) {
	var errs []error
	began := time.Now()
	mixed := p.runMixedFaults()
	overlaps := 0
	if mixed.violation != "" {
		overlaps = 1
		errs = append(errs, errors.New(mixed.violation))
	}
	fmt.Fprintf(p.Output, "%d seeds of mixed faults, %d events, %d holds, held %.2f of the time, %d run twice with equal hashes, %.0f s\n",
		p.Seeds, mixed.events, mixed.holds, mixed.heldShare, mixed.repeated, time.Since(began).Seconds())
	found, err := p.findMistakes()
	if err != nil {
		errs = append(errs, err)
	}
	if len(p.Sizes) > 0 {
		p.measureSizes()
	}
	verdict := "holds"
	if len(errs) > 0 {
		verdict = "FAILS"
	}
	return fmt.Sprintf("proof leases, simulated: %s; seeds=%d from=%d overlaps=%d (limit 0) planted_found=%d of %d", verdict, p.Seeds, p.From,
		overlaps, found, int(leasesim.MistakeCount)-1), errors.Join(errs...)
}

// runMixedFaults runs the seeds with mixed faults.
func (p LeaseSimulation) runMixedFaults() (result leaseSimulationResult) {
	heldShares := 0.0
	runSeed := func(seed uint64) (figures leasesim.Result, hash uint64, violation string) {
		sim := leasesim.New(leasesim.MixedFaults(seed))
		sim.Run(sim.Duration)
		figures = sim.Result()
		return figures, figures.Hash, sim.Violation
	}
	result.repeated, result.violation = searchSeeds(p.From, p.Seeds, p.RepeatEvery, runSeed, func(figures leasesim.Result) {
		result.events += figures.Events
		result.holds += figures.Acquisitions
		heldShares += figures.HeldShare
	})
	result.heldShare = heldShares / float64(max(1, p.Seeds))
	return result
}

// findMistakes plants each mistake and counts those that a violation reveals; the error names the others.
func (p LeaseSimulation) findMistakes() (found int, err error) {
	if p.MistakeSeeds == 0 {
		return 0, nil
	}
	seeds := make([]int, leasesim.MistakeCount)
	for mistake := leasesim.None + 1; mistake < leasesim.MistakeCount; mistake++ {
		seeds[mistake] = firstSeedThat(p.MistakeSeeds, func(seed uint64) bool {
			sim := leasesim.New(leasesim.MixedFaults(seed).WithMistake(mistake))
			sim.Run(sim.Duration)
			return sim.Violation != ""
		})
	}
	var errs []error
	for mistake := leasesim.None + 1; mistake < leasesim.MistakeCount; mistake++ {
		if seeds[mistake] < 0 {
			errs = append(errs, fmt.Errorf("planted %v was not found in %d seeds", mistake, p.MistakeSeeds))
			fmt.Fprintf(p.Output, "planted %v: not found in %d seeds\n", mistake, p.MistakeSeeds)
			continue
		}
		found++
		fmt.Fprintf(p.Output, "planted %v: found after %d seeds\n", mistake, seeds[mistake]+1)
	}
	return found, errors.Join(errs...)
}

// measureSizes measures, without faults but one kill, the cost of leases and the time until a killed holder's leases have a
// new holder. It prints a table.
func (p LeaseSimulation) measureSizes() {
	out := tabwriter.NewWriter(p.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "instances\tleases\tmessages/s\tkB/s\tvoter CPU us/s\tholder CPU us/s\tall held after s\tleases of the killed\ttakeover p50 s\tworst s\ttook s\t")
	for _, size := range p.Sizes {
		p.measureSize(out, size[0], size[1])
		out.Flush()
	}
}

// measureSize measures one combination of instances and leases, and prints its row.
func (p LeaseSimulation) measureSize(out io.Writer, instances, leases int) {
	const (
		length = 10_000_000
		second = 1_000_000
		span   = 10 // seconds over which messages and CPU time are counted
		voters = 3
	)
	began := time.Now()
	sim := leasesim.New(leasesim.Scenario{Seed: p.From, Voters: voters, NonVoters: instances - voters, Leases: leases, RequestersPerLease: min(instances, 3),
		Length: length, Drift: 10_000, NoFaults: true})
	sim.MessageSize = func(m leasesim.Message) int { return len(leaseservice.Encode(m)) }
	sim.Run(length) // the voters abstain for one lease length after their start
	heldAfter := 0
	for heldAfter < 30 && sim.Held() < leases {
		sim.Run(sim.Now + second)
		heldAfter++
	}
	sim.Run(sim.Now + 2*length)
	before := sim.Result()
	sim.Measure = true
	sim.Run(sim.Now + span*second)
	after := sim.Result()
	sim.Measure = false
	voterTime := slices.Max(sim.ModuleTime[:voters])
	holderTime := time.Duration(0)
	if instances > voters {
		holderTime = slices.Max(sim.ModuleTime[voters:])
	}
	victim := instances - 1
	lost := sim.HeldBy(victim)
	sim.Kill(victim, -1)
	sim.Run(sim.Now + 3*length)
	takeovers := sim.TakeoverTimes()
	slices.Sort(takeovers)
	median := 0.0
	worst := 0.0
	if n := len(takeovers); n > 0 {
		median = float64(takeovers[n/2]) / second
		worst = float64(takeovers[n-1]) / second
	}
	fmt.Fprintf(out, "%d\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.0f\t\n", instances, leases, (after.Messages-before.Messages)/span,
		float64(after.Bytes-before.Bytes)/span/1000, voterTime.Microseconds()/span, holderTime.Microseconds()/span, heldAfter, lost, median, worst,
		time.Since(began).Seconds())
}
