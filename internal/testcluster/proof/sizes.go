package proof

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"cairntiller/internal/membership"
	"cairntiller/internal/simulation/assignmentsim"
)

const (
	second     = 1_000_000
	settleSpan = 8 * second
	calmSpan   = 10 * second
	churnSpan  = 60 * second
	churnShare = 0.01 // of the instances a minute that die, and come back after ten seconds
	downSpan   = 10 * second
	mostMoves  = 1.05 // times the least possible
)

// Sizes is the part of the proof that no sockets reach: shared duties in simulated time.
type Sizes struct {
	Seed   uint64
	Sizes  [][2]int // instances and boxes
	Writes io.Writer
}

// Run measures each size and returns the closing line.
func (p Sizes) Run() (line string, err error) {
	out := tabwriter.NewWriter(p.Writes, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "instances\tboxes\tCPU us/s\tbytes/s\tsends\tprobes/box/s\tbusiest box/s\tmoves at a death\tleast\tlongest unprobed s\ttook s\t")
	worst, moves := int64(0), 0.0
	for _, size := range p.Sizes {
		began := time.Now()
		n, boxes := size[0], size[1]
		w := assignmentsim.New(p.Seed, n, boxes, second, 4, max(50, float64(boxes)/float64(n)))
		w.MessageSize = membership.EncodedSize
		w.Run(settleSpan)
		w.ResetMeasurements()
		w.Run(calmSpan)
		busy, bytes := w.MeanTableTime(), float64(w.BytesSent)/(calmSpan/second)*float64(membership.SendsPerMessage(n))
		probes, peak := float64(w.TotalProbes)/float64(boxes)/(calmSpan/second), w.PeakProbes
		least, before := float64(w.TargetedTasks(0, n-1)), w.TargetChanges(0)
		w.Kill(n - 1)
		w.Run(6 * second)
		moved := float64(w.TargetChanges(0) - before)
		w.Start(n - 1)
		w.Run(6 * second)
		w.ResetMeasurements()
		churn(w, p.Seed, n)
		longest, _ := w.LongestUnprobed()
		worst = max(worst, longest)
		if least > 0 {
			moves = max(moves, moved/least)
		}
		fmt.Fprintf(out, "%d\t%d\t%.0f\t%.0f\t%d\t%.2f\t%d\t%.0f\t%.0f\t%.1f\t%.0f\t\n", n, boxes,
			float64(busy.Microseconds())/(calmSpan/second), bytes, membership.SendsPerMessage(n), probes, peak, moved, least,
			float64(longest)/second, time.Since(began).Seconds())
		out.Flush()
	}
	verdict := "holds"
	if worst > mostUnprobed.Microseconds() {
		verdict, err = "FAILS", fmt.Errorf("a box went unprobed for %.1f s under churn, limit %v", float64(worst)/second, mostUnprobed)
	} else if moves > mostMoves {
		verdict, err = "FAILS", fmt.Errorf("%.2f times the least possible moves at a death, limit %.2f", moves, mostMoves)
	}
	return fmt.Sprintf("proof duties, simulated: %s; longest_unprobed_s=%.1f (limit %.0f) moves_at_a_death=%.2f times the least (limit %.2f) seed=%d",
		verdict, float64(worst)/second, mostUnprobed.Seconds(), moves, mostMoves, p.Seed), err
}

// churn lets one in a hundred instances a minute die and come back; at least one does.
func churn(w *assignmentsim.Cluster, seed uint64, n int) {
	rng := rand.New(rand.NewPCG(seed, 99))
	deaths := max(1, int(churnShare*float64(n)))
	back := map[int64]int{}
	for at := int64(0); at < churnSpan; at += second {
		if i, due := back[at]; due {
			w.Start(i)
		}
		if every := int64(churnSpan/second/int64(deaths)) * second; at%every == 0 && at < churnSpan-downSpan {
			i := rng.IntN(n)
			w.Kill(i)
			back[at+downSpan] = i
		}
		w.Run(second)
	}
}
