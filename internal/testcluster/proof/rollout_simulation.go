package proof

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"cairntiller/internal/rollout"
	"cairntiller/internal/simulation/rolloutsim"
)

// RolloutSimulation configures the simulated part of the rollout proof: internal/rollout in simulated time, without sockets.
type RolloutSimulation struct {
	From         uint64 // first seed
	Seeds        int    // number of runs with mixed faults
	RepeatEvery  int    // every RepeatEvery-th seed runs twice, to compare the hashes
	MistakeSeeds int    // maximum number of seeds to try for each planted mistake; 0 plants none
	VersionPairs int    // pairs of a good version and one that fails 2% more commands
	Sizes        []int  // numbers of routers for plans without faults, compared to the minimum time
	Output       io.Writer
}

// Run runs the simulation and returns the closing line; the error lists the limits that do not hold.
func (p RolloutSimulation) Run() (line string, err error) {
	var errs []error
	began := time.Now()
	mixed := p.runMixedFaults()
	if mixed.violation != "" {
		errs = append(errs, errors.New(mixed.violation))
	}
	fmt.Fprintf(p.Output, "%d seeds of mixed faults, %d events, %d leaders, %d run twice with equal hashes, %.0f s\n", p.Seeds, mixed.events, mixed.leaders,
		mixed.repeated, time.Since(began).Seconds())
	found, err := p.findMistakes()
	errs = append(errs, err)
	versions := p.runVersionPairs()
	if versions.badFinished > 0 {
		errs = append(errs, fmt.Errorf("%d of %d versions that fail 2%% more commands were not halted", versions.badFinished, p.VersionPairs))
	}
	worst := p.measureSizes()
	err = errors.Join(errs...)
	verdict := "holds"
	if err != nil {
		verdict = "FAILS"
	}
	return fmt.Sprintf("proof releases, simulated: %s; seeds=%d from=%d budget_breaks=%d (limit 0) planted_found=%d of %d false_halts=%d of %d plans "+
		"bad_versions_through=%d of %d (more than two touched %d) time_to_least=%.2f (aim 1.3)", verdict, p.Seeds, p.From, min(len(mixed.violation), 1), found,
		int(rolloutsim.MistakeCount)-1, versions.goodHalted, p.VersionPairs, versions.badFinished, p.VersionPairs, versions.manyTouched, worst), err
}

// mixedFaultsResult sums up the runs with mixed faults.
type mixedFaultsResult struct {
	events    int64
	leaders   int
	repeated  int    // number of seeds that ran twice
	violation string // the first one, "" for none
}

func (p RolloutSimulation) runMixedFaults() (sum mixedFaultsResult) {
	runSeed := func(seed uint64) (result rolloutsim.Result, hash uint64, violation string) {
		w := rolloutsim.New(rolloutsim.MixedFaults(seed))
		result = w.Run()
		return result, result.Hash, w.Violation
	}
	sum.repeated, sum.violation = searchSeeds(p.From, p.Seeds, p.RepeatEvery, runSeed, func(result rolloutsim.Result) {
		sum.events += result.Events
		sum.leaders += result.Leaders
	})
	return sum
}

// findMistakes plants each mistake and counts those that a violation reveals; the error names the others.
func (p RolloutSimulation) findMistakes() (found int, err error) {
	if p.MistakeSeeds == 0 {
		return 0, nil
	}
	var errs []error
	for m := rolloutsim.None + 1; m < rolloutsim.MistakeCount; m++ {
		seed := p.firstSeedFinding(m)
		if seed < 0 {
			errs = append(errs, fmt.Errorf("planted %v was not found in %d seeds", m, p.MistakeSeeds))
			fmt.Fprintf(p.Output, "planted %v: not found in %d seeds\n", m, p.MistakeSeeds)
			continue
		}
		found++
		fmt.Fprintf(p.Output, "planted %v: found after %d seeds\n", m, seed+1)
	}
	return found, errors.Join(errs...)
}

// firstSeedFinding returns the first seed in which a planted mistake causes a violation, -1 if there is none.
func (p RolloutSimulation) firstSeedFinding(m rolloutsim.Mistake) int {
	return firstSeedThat(p.MistakeSeeds, func(seed uint64) bool {
		s := rolloutsim.MixedFaults(seed)
		s.PlantedMistake = m
		w := rolloutsim.New(s)
		w.Run()
		return w.Violation != ""
	})
}

// extraFailures is the additional share of commands that a bad version fails, which a rollout has to detect.
const extraFailures = 0.02

// versionPairsResult counts rollouts of good and bad versions with a notable outcome.
type versionPairsResult struct {
	goodHalted  int // good, but halted
	badFinished int // bad, but not halted
	manyTouched int // bad and halted, after more than two routers had it
}

// runVersionPairs rolls out versions that are as good as the one before, and bad ones.
func (p RolloutSimulation) runVersionPairs() (sum versionPairsResult) {
	var mu sync.Mutex
	forEachParallel(p.VersionPairs, func(i int) bool {
		for _, extra := range []float64{0, extraFailures} {
			w := rolloutsim.New(rolloutsim.VersionRollout(uint64(i), extra))
			halted := w.Run().HaltsByEvidence > 0
			isBad := extra > 0
			mu.Lock()
			switch {
			case !isBad && halted:
				sum.goodHalted++
			case isBad && !halted:
				sum.badFinished++
			case isBad && w.AttemptedRouters() > 2:
				sum.manyTouched++
			}
			mu.Unlock()
		}
		return true
	})
	return sum
}

// unfinishedRatio is the ratio of a plan that did not end.
const unfinishedRatio = 99

// measureSizes runs plans without faults and returns the worst ratio of their time to the minimum under the budget.
func (p RolloutSimulation) measureSizes() (worst float64) {
	out := tabwriter.NewWriter(p.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "routers\tlimit unavailable\tmax unavailable\ttook s\tminimum s\tratio\t")
	for _, routers := range p.Sizes {
		worst = max(worst, p.measureSize(routers, out))
	}
	out.Flush()
	return worst
}

func (p RolloutSimulation) measureSize(routers int, out io.Writer) (ratio float64) {
	plan := rollout.Plan{ID: "all", Kind: rollout.KindRestart, WatchTime: 30_000_000, ProgressTimeout: 120_000_000, Budget: rollout.Budget{MaxShare: 0.1}}
	for i := range routers {
		plan.Units = append(plan.Units, fmt.Sprintf("r%04d", i))
	}
	w := rolloutsim.New(rolloutsim.Scenario{Seed: p.From + 1, Routers: routers, Voters: 3, Plans: []rollout.Plan{plan}, FaultTime: 1_800_000_000, QuietTime: 1_000_000})
	result := w.Run()
	if len(result.PlanDurations) == 0 {
		fmt.Fprintf(out, "%d\t-\t-\t-\t-\t-\t\n", routers)
		return unfinishedRatio
	}
	plan.SetDefaults()
	limit := plan.Budget.Limit(routers)
	least := minSeconds(&plan, limit)
	took := float64(result.PlanDurations[0]) / 1e6
	fmt.Fprintf(out, "%d\t%d\t%d\t%.0f\t%.0f\t%.2f\t\n", routers, limit, result.MaxUnavailable, took, least, took/least)
	return took / least
}

// minSeconds returns the minimum time of a plan: each wave takes as many restart rounds as the limit of unavailable routers
// requires, and is then watched.
func minSeconds(plan *rollout.Plan, limit int) (seconds float64) {
	waves, _ := rollout.PreviewWaves(*plan, len(plan.Units))
	for _, wave := range waves {
		rounds := (len(wave) + limit - 1) / limit
		seconds += float64(rounds)*rolloutsim.MeanTimeOut.Seconds() + float64(plan.WatchTime)/1e6
	}
	return seconds
}

// TraceRolloutSimulation runs one seed with mixed faults and prints its events; the error is the violation, if any.
func TraceRolloutSimulation(seed uint64, out io.Writer) error {
	w := rolloutsim.New(rolloutsim.MixedFaults(seed))
	w.Trace = func(at int64, what string) { fmt.Fprintf(out, "%10.3f %s\n", float64(at)/1e6, what) }
	w.Run()
	if w.Violation != "" {
		return errors.New(w.Violation)
	}
	return nil
}
