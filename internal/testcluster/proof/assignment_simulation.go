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

// Phases (us of simulated time) and parameters of the run at one size.
const (
	second       = 1_000_000
	settleTime   = 8 * second  // until the tasks are assigned for the first time
	calmTime     = 10 * second // measured without faults
	recoveryTime = 6 * second  // run after the loss of an instance, and after its return
	churnTime    = 60 * second // measured while instances are lost and return
	downtime     = 10 * second // under churn, from an instance's loss to its return
	churnDeaths  = 0.01        // share of the instances that are lost during churnTime
	nodeRate     = 4           // maximum probes per node and second
	minClaimRate = 50          // minimum tasks that an instance claims per second; the average it owns, if that is more
)

// maxMoveRatio limits the tasks that change their target when an instance is lost, as a ratio of those that have to.
const maxMoveRatio = 1.05

// AssignmentSimulation configures the simulated part of the assignment proof: tasks assigned among many instances in simulated
// time, without sockets.
type AssignmentSimulation struct {
	Seed   uint64
	Sizes  [][2]int  // pairs of instances and nodes
	Output io.Writer // receives a table of the measurements
}

// sizeResult holds the measurements at one size.
type sizeResult struct {
	instances, nodes int
	tableTime        time.Duration // mean time spent in an instance's table during calmTime
	bytesPerSecond   float64       // sent by an instance in calmTime
	probeRate        float64       // probes per node and second in calmTime
	peakProbes       int32         // maximum probes of one node within one second in calmTime
	moved            float64       // tasks that changed their target when an instance was lost
	minMoves         float64       // tasks of the lost instance, which have to move
	longestGap       int64         // longest time (us) that a node went unprobed under churn
	took             time.Duration
}

// Run measures each size and returns the closing line; the error lists the limits that do not hold.
func (p AssignmentSimulation) Run() (line string, err error) {
	table := tabwriter.NewWriter(p.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "instances\tnodes\tCPU us/s\tbytes/s\tsends\tprobes/node/s\tpeak probes/node/s\tmoves at a loss\tminimum\tlongest unprobed s\ttook s\t")
	var longestGap int64
	var moveRatio float64
	for _, size := range p.Sizes {
		result := measureSize(p.Seed, size[0], size[1])
		result.print(table)
		longestGap = max(longestGap, result.longestGap)
		if result.minMoves > 0 {
			moveRatio = max(moveRatio, result.moved/result.minMoves)
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
		faults = append(faults, fmt.Errorf("a node went unprobed for %.1f s under churn, limit %v", float64(longestGap)/second, maxUnprobed))
	}
	if moveRatio > maxMoveRatio {
		faults = append(faults, fmt.Errorf("%.2f times the minimum moves when an instance was lost, limit %.2f", moveRatio, maxMoveRatio))
	}
	return errors.Join(faults...)
}

// measureSize runs one size: first without faults, then the loss and return of one instance, then churn.
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
	result.minMoves = float64(c.TargetedTasks(0, last))
	before := c.TargetChanges(0)
	c.Kill(last)
	c.Run(recoveryTime)
	result.moved = float64(c.TargetChanges(0) - before)
	c.Start(last)
	c.Run(recoveryTime)

	c.ResetMeasurements()
	churn(c, seed, instances)
	result.longestGap, _ = c.LongestUnprobed()
	result.took = time.Since(began)
	return result
}

// print writes the result as a row of the table.
func (r sizeResult) print(table *tabwriter.Writer) {
	fmt.Fprintf(table, "%d\t%d\t%.0f\t%.0f\t%d\t%.2f\t%d\t%.0f\t%.0f\t%.1f\t%.0f\t\n", r.instances, r.nodes,
		float64(r.tableTime.Microseconds())/(calmTime/second), r.bytesPerSecond, membership.SendsPerMessage(r.instances), r.probeRate,
		r.peakProbes, r.moved, r.minMoves, float64(r.longestGap)/second, r.took.Seconds())
	table.Flush()
}

// churn kills a share of the instances, at least one, and starts them again, spread evenly over churnTime.
func churn(c *assignmentsim.Cluster, seed uint64, instances int) {
	random := rand.New(rand.NewPCG(seed, 99))
	deaths := max(1, int(churnDeaths*float64(instances)))
	interval := int64(churnTime/second/int64(deaths)) * second
	returns := map[int64]int{} // instance by time
	for at := int64(0); at < churnTime; at += second {
		if i, due := returns[at]; due {
			c.Start(i)
		}
		if at%interval == 0 && at < churnTime-downtime {
			i := random.IntN(instances)
			c.Kill(i)
			returns[at+downtime] = i
		}
		c.Run(second)
	}
}
