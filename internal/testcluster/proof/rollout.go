package proof

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"cairntiller/internal/rollout"
	"cairntiller/internal/simulation/rolloutsim"
)

// Rollout is the part of the proof of releases that no sockets reach: the deciding module in simulated time.
type Rollout struct {
	From   uint64 // first seed
	Seeds  int    // runs of mixed faults
	Twice  int    // one in so many is run twice, and the hashes compared
	Plant  int    // seeds tried at most for each planted mistake; 0 for none
	Halts  int    // pairs of a good version and of one that fails 2% more
	Sizes  []int  // routers of plans without faults, against the least time possible
	Writes io.Writer
}

// Run plays it and returns the closing line.
func (p Rollout) Run() (line string, err error) {
	var errs []error
	began := time.Now()
	events, leaders, hashes, broken := p.mixed()
	if broken != "" {
		errs = append(errs, errors.New(broken))
	}
	fmt.Fprintf(p.Writes, "%d seeds of mixed faults, %d events, %d leaders, %d run twice with equal hashes, %.0f s\n", p.Seeds, events, leaders, hashes,
		time.Since(began).Seconds())
	planted := 0
	if p.Plant > 0 {
		for m := rolloutsim.None + 1; m < rolloutsim.Mistakes; m++ {
			if after := p.find(m); after >= 0 {
				planted++
				fmt.Fprintf(p.Writes, "planted %v: found after %d seeds\n", m, after+1)
			} else {
				errs = append(errs, fmt.Errorf("planted %v was not found in %d seeds", m, p.Plant))
				fmt.Fprintf(p.Writes, "planted %v: not found in %d seeds\n", m, p.Plant)
			}
		}
	}
	noise, missed, more := p.halts()
	if missed > 0 {
		errs = append(errs, fmt.Errorf("%d of %d versions that fail 2%% more went through", missed, p.Halts))
	}
	worst := p.sizes()
	verdict := "holds"
	if len(errs) > 0 {
		verdict = "FAILS"
	}
	return fmt.Sprintf("proof releases, simulated: %s; seeds=%d from=%d budget_breaks=%d (limit 0) planted_found=%d of %d false_halts=%d of %d plans "+
		"bad_versions_through=%d of %d (more than two touched %d) time_to_least=%.2f (aim 1.3)", verdict, p.Seeds, p.From, min(len(broken), 1), planted,
		int(rolloutsim.Mistakes)-1, noise, p.Halts, missed, p.Halts, more, worst), errors.Join(errs...)
}

func (p Rollout) mixed() (events int64, leaders, hashes int, broken string) {
	hashes, broken = search(p.From, p.Seeds, p.Twice, func(seed uint64) (f rolloutsim.Result, hash uint64, broken string) {
		w := rolloutsim.New(rolloutsim.MixedFaults(seed))
		f = w.Run()
		return f, f.Hash, w.Violation
	}, func(f rolloutsim.Result) {
		events, leaders = events+f.Events, leaders+f.Leaders
	})
	return events, leaders, hashes, broken
}

// find is the first seed that shows a planted mistake, -1 for none.
func (p Rollout) find(m rolloutsim.Mistake) int {
	return first(p.Plant, func(seed uint64) bool {
		s := rolloutsim.MixedFaults(seed)
		s.Planted = m
		w := rolloutsim.New(s)
		w.Run()
		return w.Violation != ""
	})
}

// halts plays versions that are as good as the one before, and versions that fail 2% more.
func (p Rollout) halts() (noise, missed, more int) {
	var mu sync.Mutex
	each(p.Halts, func(i int) bool {
		for _, bad := range []float64{0, 0.02} {
			w := rolloutsim.New(rolloutsim.VersionRollout(uint64(i), bad))
			f := w.Run()
			mu.Lock()
			switch {
			case bad == 0 && f.HaltsByEvidence > 0:
				noise++
			case bad > 0 && f.HaltsByEvidence == 0:
				missed++
			case bad > 0 && w.TouchedRouters() > 2:
				more++
			}
			mu.Unlock()
		}
		return true
	})
	return noise, missed, more
}

// sizes plays plans without faults and returns the worst ratio of their time to the least possible under the budget: each
// wave is watched, and in between at least so many rounds of a router's way out and back fit.
func (p Rollout) sizes() (worst float64) {
	out := tabwriter.NewWriter(p.Writes, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "routers\tmay be out\tmost out\ttook s\tleast s\tratio\t")
	for _, n := range p.Sizes {
		plan := rollout.Plan{ID: "all", Kind: rollout.KindRestart, WatchTime: 30_000_000, ProgressTimeout: 120_000_000, Budget: rollout.Budget{MaxShare: 0.1}}
		for i := range n {
			plan.Units = append(plan.Units, fmt.Sprintf("r%04d", i))
		}
		w := rolloutsim.New(rolloutsim.Setup{Seed: p.From + 1, Routers: n, Voters: 3, Plans: []rollout.Plan{plan}, FaultTime: 1_800_000_000, QuietTime: 1_000_000})
		f := w.Run()
		if len(f.PlanDurations) == 0 {
			fmt.Fprintf(out, "%d\t-\t-\t-\t-\t-\t\n", n)
			worst = 99
			continue
		}
		plan.SetDefaults()
		most := plan.Budget.Limit(n)
		least := 0.0
		sizes := append(slices.Clone(plan.WaveSizes), n)
		for left, k := n, 0; left > 0; k++ {
			size := min(sizes[min(k, len(sizes)-1)], left)
			least += float64((size+most-1)/most)*rolloutsim.MeanTimeOut.Seconds() + float64(plan.WatchTime)/1e6
			left -= size
		}
		took := float64(f.PlanDurations[0]) / 1e6
		worst = max(worst, took/least)
		fmt.Fprintf(out, "%d\t%d\t%d\t%.0f\t%.0f\t%.2f\t\n", n, most, f.MaxUnavailable, took, least, took/least)
	}
	out.Flush()
	return worst
}

// TraceRollout plays one seed and prints what happens.
func TraceRollout(seed uint64, out io.Writer) error {
	w := rolloutsim.New(rolloutsim.MixedFaults(seed))
	w.Trace = func(at int64, what string) { fmt.Fprintf(out, "%10.3f %s\n", float64(at)/1e6, what) }
	w.Run()
	if w.Violation != "" {
		return errors.New(w.Violation)
	}
	return nil
}
