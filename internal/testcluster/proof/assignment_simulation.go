package proof

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"cairntiller/internal/membership"
	"cairntiller/internal/simulation/assignmentsim"
)

// The course of a simulated size, in us of simulated time.
const (
	second       = 1_000_000
	settleTime   = 8 * second  // until the first tasks are divided
	calmTime     = 10 * second // measured without faults
	deathTime    = 6 * second  // after the death of an instance, and after its return
	churnTime    = 60 * second // measured while instances die and come back
	downTime     = 10 * second // from a death under churn to the return
	churnDeaths  = 0.01        // share of the instances that die in churnTime
	nodeRate     = 4           // probes of a node a second at most
	minClaimRate = 50          // tasks a second that an instance claims, more where each owns more
)

// maxMoveRatio is how many tasks may change their target at the death of an instance, as a ratio of those that must.
const maxMoveRatio = 1.05

// AssignmentSimulation is the part of the proof that no sockets reach: tasks among many instances, in simulated time.
type AssignmentSimulation struct {
	Seed   uint64
	Sizes  [][2]int  // instances and nodes
	Output io.Writer // a table of what was measured
}

// sizeResult is what was measured at one size.
type sizeResult struct {
	instances, nodes int
	tableTime        time.Duration // that an instance's table took in calmTime
	bytesPerSecond   float64       // that an instance sends, in calmTime
	probeRate        float64       // probes of a node a second, in calmTime
	peakProbes       int32         // most probes of one node in one second, in calmTime
	moved            float64       // tasks that changed their target at a death
	leastMoves       float64       // tasks of the instance that died
	longestGap       int64         // us that a node went unprobed under churn
	took             time.Duration
}

// Run measures each size and returns the closing line; the error says which limit does not hold.
func (p AssignmentSimulation) Run() (line string, err error) {
	table := tabwriter.NewWriter(p.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "instances\tboxes\tCPU us/s\tbytes/s\tsends\tprobes/box/s\tbusiest box/s\tmoves at a death\tleast\tlongest unprobed s\ttook s\t")
	var longestGap int64
	var moveRatio float64
	for _, size := range p.Sizes {
		result := measureSize(p.Seed, size[0], size[1])
		result.print(table)
		longestGap = max(longestGap, result.longestGap)
		if result.leastMoves > 0 {
			moveRatio = max(moveRatio, result.moved/result.leastMoves)
		}
	}
	err = checkSizes(longestGap, moveRatio)
	verdict := "holds"
	if err != nil {
		verdict = "FAILS"
	}
	return fmt.Sprintf("proof duties, simulated: %s; longest_unprobed_s=%.1f (limit %.0f) moves_at_a_death=%.2f times the least (limit %.2f) seed=%d",
		verdict, float64(longestGap)/second, maxUnprobed.Seconds(), moveRatio, maxMoveRatio, p.Seed), err
}

// checkSizes returns an error for each limit that does not hold.
func checkSizes(longestGap int64, moveRatio float64) error {
	var faults []error
	if longestGap > maxUnprobed.Microseconds() {
		faults = append(faults, fmt.Errorf("a box went unprobed for %.1f s under churn, limit %v", float64(longestGap)/second, maxUnprobed))
	}
	if moveRatio > maxMoveRatio {
		faults = append(faults, fmt.Errorf("%.2f times the least possible moves at a death, limit %.2f", moveRatio, maxMoveRatio))
	}
	return errors.Join(faults...)
}

// measureSize plays one size: calm, a death and a return, then churn.
func measureSize(seed uint64, instances, nodes int) sizeResult {
	began := time.Now()
	result := sizeResult{instances: instances, nodes: nodes}
	c := assignmentsim.New(seed, instances, nodes, second, nodeRate, max(minClaimRate, float64(nodes)/float64(instances)))
	c.MessageSize = membership.EncodedSize
	c.Run(settleTime)
	c.ResetMeasurements()
	c.Run(calmTime)
	result.tableTime = c.MeanTableTime()
	result.bytesPerSecond = float64(c.BytesSent) / (calmTime / second) * float64(membership.SendsPerMessage(instances))
	result.probeRate = float64(c.TotalProbes) / float64(nodes) / (calmTime / second)
	result.peakProbes = c.PeakProbes

	last := instances - 1
	result.leastMoves = float64(c.TargetedTasks(0, last))
	before := c.TargetChanges(0)
	c.Kill(last)
	c.Run(deathTime)
	result.moved = float64(c.TargetChanges(0) - before)
	c.Start(last)
	c.Run(deathTime)

	c.ResetMeasurements()
	churn(c, seed, instances)
	result.longestGap, _ = c.LongestUnprobed()
	result.took = time.Since(began)
	return result
}

// print adds a row to the table.
func (r sizeResult) print(table *tabwriter.Writer) {
	fmt.Fprintf(table, "%d\t%d\t%.0f\t%.0f\t%d\t%.2f\t%d\t%.0f\t%.0f\t%.1f\t%.0f\t\n", r.instances, r.nodes,
		float64(r.tableTime.Microseconds())/(calmTime/second), r.bytesPerSecond, membership.SendsPerMessage(r.instances), r.probeRate,
		r.peakProbes, r.moved, r.leastMoves, float64(r.longestGap)/second, r.took.Seconds())
	table.Flush()
}

// churn lets a share of the instances, one at least, die and come back, evenly over churnTime.
func churn(c *assignmentsim.Cluster, seed uint64, instances int) {
	random := rand.New(rand.NewPCG(seed, 99))
	deaths := max(1, int(churnDeaths*float64(instances)))
	interval := int64(churnTime/second/int64(deaths)) * second
	returns := map[int64]int{} // instance by time
	for at := int64(0); at < churnTime; at += second {
		if i, due := returns[at]; due {
			c.Start(i)
		}
		if at%interval == 0 && at < churnTime-downTime {
			i := random.IntN(instances)
			c.Kill(i)
			returns[at+downTime] = i
		}
		c.Run(second)
	}
}
