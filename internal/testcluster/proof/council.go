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

// Council is the part of the proof of leases that no sockets reach: the deciding module in simulated time.
type Council struct {
	From   uint64 // first seed
	Seeds  int    // runs of mixed faults
	Twice  int    // one in so many is run twice, and the hashes compared
	Plant  int    // seeds tried at most for each planted mistake; 0 for none
	Sizes  [][2]int
	Writes io.Writer
}

// Run plays it and returns the closing line.
func (p Council) Run() (line string, err error) {
	var errs []error
	began := time.Now()
	events, holds, share, hashes, broken := p.mixed()
	if broken != "" {
		errs = append(errs, errors.New(broken))
	}
	fmt.Fprintf(p.Writes, "%d seeds of mixed faults, %d events, %d holds, held %.2f of the time, %d run twice with equal hashes, %.0f s\n",
		p.Seeds, events, holds, share, hashes, time.Since(began).Seconds())
	planted := 0
	if p.Plant > 0 {
		took := p.plants()
		for f := leasesim.None + 1; f < leasesim.MistakeCount; f++ {
			if took[f] < 0 {
				errs = append(errs, fmt.Errorf("planted %v was not found in %d seeds", f, p.Plant))
				fmt.Fprintf(p.Writes, "planted %v: not found in %d seeds\n", f, p.Plant)
				continue
			}
			planted++
			fmt.Fprintf(p.Writes, "planted %v: found after %d seeds\n", f, took[f]+1)
		}
	}
	if len(p.Sizes) > 0 {
		p.sizes()
	}
	verdict := "holds"
	if len(errs) > 0 {
		verdict = "FAILS"
	}
	return fmt.Sprintf("proof leases, simulated: %s; seeds=%d from=%d overlaps=%d (limit 0) planted_found=%d of %d", verdict, p.Seeds, p.From,
		min(len(broken), 1), planted, int(leasesim.MistakeCount)-1), errors.Join(errs...)
}

func (p Council) mixed() (events, holds int64, share float64, hashes int, broken string) {
	sum := 0.0
	hashes, broken = search(p.From, p.Seeds, p.Twice, func(seed uint64) (f leasesim.Figures, hash uint64, broken string) {
		sim := leasesim.New(leasesim.MixedFaults(seed))
		sim.Run(sim.Span)
		f = sim.Figures()
		return f, f.Hash, sim.Violation
	}, func(f leasesim.Figures) {
		events, holds, sum = events+f.Events, holds+f.Holds, sum+f.HeldShare
	})
	return events, holds, sum / float64(max(1, p.Seeds)), hashes, broken
}

// plants finds each planted mistake; -1 for one that was not found.
func (p Council) plants() []int {
	took := make([]int, leasesim.MistakeCount)
	for f := leasesim.None + 1; f < leasesim.MistakeCount; f++ {
		took[f] = first(p.Plant, func(seed uint64) bool {
			sim := leasesim.New(leasesim.MixedFaults(seed).WithMistake(f))
			sim.Run(sim.Span)
			return sim.Violation != ""
		})
	}
	return took
}

// sizes measures what leases cost and how soon a new holder has them, calm but for kills.
func (p Council) sizes() {
	out := tabwriter.NewWriter(p.Writes, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "instances\tleases\tmessages/s\tkB/s\tof them at a voter, us CPU/s\tat a holder, us CPU/s\theld after s\tat a kill, leases\tnew holder p50 s\tworst s\ttook s\t")
	for _, size := range p.Sizes {
		began := time.Now()
		n, leases := size[0], size[1]
		length := int64(10_000_000)
		sim := leasesim.New(leasesim.Scenario{Seed: p.From, Voters: 3, Others: n - 3, Leases: leases, Wanted: min(n, 3), Length: length, Drift: 10_000, Calm: true})
		sim.MessageSize = func(m *leasesim.Message) int { return len(leaseservice.Encode(m)) }
		sim.Run(length) // they abstain
		held := int64(0)
		for held = 0; held < 30 && sim.Held() < leases; held++ {
			sim.Run(sim.Now + 1_000_000)
		}
		sim.Run(sim.Now + 2*length)
		before := sim.Figures()
		sim.Measure = true
		const span = 10
		sim.Run(sim.Now + span*1_000_000)
		after := sim.Figures()
		sim.Measure = false
		voter := slices.Max(sim.ModuleTime[:3])
		holder := time.Duration(0)
		if n > 3 {
			holder = slices.Max(sim.ModuleTime[3:])
		}
		victim := n - 1
		lost := sim.HeldBy(victim)
		sim.Kill(victim, -1)
		sim.Run(sim.Now + 3*length)
		took := sim.TakeoverTimes()
		slices.Sort(took)
		half, worst := 0.0, 0.0
		if len(took) > 0 {
			half, worst = float64(took[len(took)/2])/1e6, float64(took[len(took)-1])/1e6
		}
		fmt.Fprintf(out, "%d\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.0f\t\n", n, leases, (after.Messages-before.Messages)/span,
			float64(after.Bytes-before.Bytes)/span/1000, voter.Microseconds()/span, holder.Microseconds()/span, held, lost, half, worst, time.Since(began).Seconds())
		out.Flush()
	}
}
