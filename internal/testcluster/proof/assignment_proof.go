// Package proof holds the proofs: end-to-end runs and simulations that provoke the faults that a subsystem has to handle,
// measure its behaviour, and report in one closing line whether its limits hold.
package proof

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairntiller/internal/serve"
	"cairntiller/internal/testcluster/cluster"
	"cairntiller/internal/testcluster/faultnet"
)

// Limits of the proof of assigned health checks (probes).
const (
	// maxUnprobed is the longest time that a node may go without a probe under any fault.
	maxUnprobed = 5 * time.Second
	// targetUnprobed is the target for that time. It is printed, not enforced.
	targetUnprobed = 3 * time.Second
	// maxSharedRatio limits the probes that three routers send if they share them, as a ratio of what three send that do
	// not: a third, and 20% more for takeovers and network cuts.
	maxSharedRatio = 1.2 / 3
)

// routerCount is the number of routers that the proof runs.
const routerCount = 3

// AssignmentProof runs three router processes that share the probes of nodes. One is killed, one is stopped and resumed, and
// one is cut off from the others.
type AssignmentProof struct {
	Seed     uint64 // determines the order of faults
	Nodes    int
	Short    bool          // shorter run with fewer faults, for CI
	Interval time.Duration // between probes of a node
	Isolated bool          // planted mistake: the instances never receive one another's messages
	Log      io.Writer     // logs of the routers
	Output   io.Writer     // progress of the proof
}

// sharingResult holds the measurements of one run.
type sharingResult struct {
	longestGap time.Duration   // longest time that a node went without a probe
	longestAt  string          // the last event before it, for the closing line
	takeovers  []time.Duration // of nodes that lost their owner: time to the next probe
	probeRate  float64         // probes per node and second, over the whole run
	calmRate   float64         // probes per node and second before the first fault
}

// RunSharingRouter runs a router process of the proof. A line "cut" on standard input cuts its network, "heal" restores it, and
// the process exits when standard input is closed.
func RunSharingRouter(file string) error {
	network := faultnet.New(1)
	go func() {
		lines := bufio.NewScanner(os.Stdin)
		for lines.Scan() {
			switch lines.Text() {
			case "cut":
				network.Cut(true, true)
			case "heal":
				network.Cut(false, false)
			}
		}
		os.Exit(3)
	}()
	return serve.Run(file, serve.TestHooks{WrapTransport: network.WrapTransport})
}

// Run runs the proof and returns its closing line; the error lists the limits that do not hold.
func (p AssignmentProof) Run() (line string, err error) {
	var unshared sharingResult
	var unsharedErr error
	var running sync.WaitGroup
	running.Go(func() { unshared, unsharedErr = p.runRouters(false) })
	shared, err := p.runRouters(true)
	running.Wait()
	if err = errors.Join(err, unsharedErr); err != nil {
		return "", err
	}
	ratio := shared.probeRate / unshared.probeRate
	err = checkSharing(shared, ratio)
	verdict := "holds"
	if err != nil {
		verdict = "FAILS"
	}
	median, worst := medianAndWorst(shared.takeovers)
	line = fmt.Sprintf("proof duties: %s; longest_unprobed_s=%.1f (limit %.0f, aim %.0f, %s) probes_per_box_s=%.2f calm %.2f "+
		"(unshared %.2f, share %.2f, limit %.2f) takeover_s p50=%.1f worst=%.1f of %d boxes=%d seed=%d", verdict,
		shared.longestGap.Seconds(), maxUnprobed.Seconds(), targetUnprobed.Seconds(), shared.longestAt, shared.probeRate,
		shared.calmRate, unshared.probeRate, ratio, maxSharedRatio, median.Seconds(), worst.Seconds(), len(shared.takeovers),
		p.Nodes, p.Seed)
	return line, err
}

// checkSharing returns an error for each limit that does not hold.
func checkSharing(shared sharingResult, ratio float64) error {
	var faults []error
	if shared.longestGap > maxUnprobed {
		faults = append(faults, fmt.Errorf("a node went unprobed for %v, limit %v", shared.longestGap, maxUnprobed))
	}
	if !(ratio <= maxSharedRatio) { // true for NaN too
		faults = append(faults, fmt.Errorf("%.2f of the unshared probes, limit %.2f", ratio, maxSharedRatio))
	}
	return errors.Join(faults...)
}

// medianAndWorst sorts times and returns their median and maximum, 0 if there are none.
func medianAndWorst(times []time.Duration) (median, worst time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}

// sharingRun is the state of one run: three routers in front of one cluster.
type sharingRun struct {
	proof   AssignmentProof
	cluster *cluster.Cluster
	routers []*cluster.Router
	began   int64 // on the cluster's clock, us
	events  []sharingEvent
	shared  bool // the routers share probes
}

// sharingEvent is a step of the run and its time.
type sharingEvent struct {
	at          int64
	description string
	losesOwner  bool // nodes lose their owner
}

// recordEvent records an event at the current time, and prints it if the routers share probes.
func (r *sharingRun) recordEvent(description string, losesOwner bool) {
	now := r.cluster.Database.Now()
	r.events = append(r.events, sharingEvent{at: now, description: description, losesOwner: losesOwner})
	if r.shared {
		fmt.Fprintf(r.proof.Output, "%6.1f s  %s\n", float64(now-r.began)/1e6, description)
	}
}

// sleep sleeps for long, or for short in the short form.
func (r *sharingRun) sleep(long, short time.Duration) {
	if r.proof.Short {
		long = short
	}
	time.Sleep(long)
}

// runRouters runs three routers and, if they share probes, the faults. Routers that do not share run only long enough to
// count their probes.
func (p AssignmentProof) runRouters(shared bool) (sharingResult, error) {
	c, err := cluster.New(p.Seed, p.Nodes, 1)
	if err != nil {
		return sharingResult{}, err
	}
	defer c.Close()
	r := &sharingRun{proof: p, cluster: c, shared: shared}
	if err := r.start(); err != nil {
		return sharingResult{}, err
	}
	r.sleep(4*time.Second, 3*time.Second)
	r.began = c.Database.Now()
	if shared {
		r.recordEvent("three routers share", false)
	} else {
		r.recordEvent("three routers share nothing", false)
	}
	r.sleep(10*time.Second, 6*time.Second)
	calmUntil := c.Database.Now()
	if shared {
		if err := r.playFaults(); err != nil {
			return sharingResult{}, err
		}
	}
	return r.measure(calmUntil), nil
}

// playFaults kills one router, stops another and cuts the third off; the seed determines which is which. The short form stops
// none.
func (r *sharingRun) playFaults() error {
	first := int(r.proof.Seed % routerCount)
	killed := r.routers[first]
	paused := r.routers[(first+1)%routerCount]
	cutOff := r.routers[(first+2)%routerCount]
	r.recordEvent("one is killed", true)
	killed.Kill()
	r.sleep(10*time.Second, 5*time.Second)
	if !r.proof.Short {
		r.recordEvent("it starts again", false)
		if err := killed.Start(); err != nil {
			return err
		}
		r.sleep(10*time.Second, 0)
		r.recordEvent("another is stopped", true)
		paused.Signal(syscall.SIGSTOP)
		r.sleep(10*time.Second, 0)
		r.recordEvent("it goes on", false)
		paused.Signal(syscall.SIGCONT)
		r.sleep(10*time.Second, 0)
	}
	r.recordEvent("the third is cut off from the others", true)
	cutOff.SendLine("cut")
	r.sleep(10*time.Second, 4*time.Second)
	r.recordEvent("the cut is mended", false)
	cutOff.SendLine("heal")
	r.sleep(15*time.Second, 8*time.Second)
	r.recordEvent("the end", false)
	return nil
}

// start starts the routers. Routers that share nothing each get a cluster of their own.
func (r *sharingRun) start() error {
	key := base64.StdEncoding.EncodeToString([]byte("a key for the proof, of 32 bytes"))
	var addresses []string
	for range routerCount {
		address, err := cluster.FreeAddress()
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	seeds := `"` + strings.Join(addresses, `" "`) + `"`
	for i, address := range addresses {
		clusterName := "proof"
		if !r.shared || r.proof.Isolated {
			clusterName = fmt.Sprint("proof-", i)
		}
		file := fmt.Sprintf("(fleet (cluster %q) (listen %q) (join %s) (keys %q))\n(duties (instances 3) (probe (every %dms)))\n",
			clusterName, address, seeds, key, r.proof.Interval.Milliseconds())
		router, err := r.cluster.StartRouter(fmt.Sprint("r", i), routerCount, file, r.proof.Log, "child")
		if err != nil {
			return err
		}
		r.routers = append(r.routers, router)
	}
	return nil
}

// measure evaluates the probes that the nodes received.
func (r *sharingRun) measure(calmUntil int64) sharingResult {
	var result sharingResult
	end := r.cluster.Database.Now()
	count := 0
	calmCount := 0
	for _, node := range r.cluster.Database.Nodes() {
		last := r.began
		probes := node.ProbeTimes()
		for _, at := range probes {
			if at < r.began {
				continue
			}
			count++
			if at < calmUntil {
				calmCount++
			}
			r.measureGap(&result, last, at)
			last = at
		}
		r.measureGap(&result, last, end)
		result.takeovers = append(result.takeovers, r.takeovers(probes)...)
	}
	nodes := float64(r.proof.Nodes)
	result.probeRate = float64(count) / (float64(end-r.began) / 1e6 * nodes)
	result.calmRate = float64(calmCount) / (float64(calmUntil-r.began) / 1e6 * nodes)
	return result
}

// measureGap updates the longest time without a probe.
func (r *sharingRun) measureGap(result *sharingResult, from, to int64) {
	if gap := time.Duration(to-from) * time.Microsecond; gap > result.longestGap {
		result.longestGap = gap
		result.longestAt = r.lastEvent(from)
	}
}

// lastEvent describes the last event up to one second after at.
func (r *sharingRun) lastEvent(at int64) string {
	description := ""
	for _, e := range r.events {
		if e.at <= at+time.Second.Microseconds() {
			description = e.description
		}
	}
	return "when " + description
}

// takeovers returns, for each event by which nodes lose their owner, the time to a node's next probe, if that probe came late.
// probes are the times of the node's probes.
func (r *sharingRun) takeovers(probes []int64) []time.Duration {
	maxInterval := r.proof.Interval.Microseconds() * 13 / 10 // tolerates probes that are late by up to 30%
	var times []time.Duration
	for _, e := range r.events {
		if !e.losesOwner {
			continue
		}
		next, _ := slices.BinarySearch(probes, e.at)
		if next == 0 || next >= len(probes) {
			continue
		}
		if probes[next]-probes[next-1] > maxInterval {
			times = append(times, time.Duration(probes[next]-e.at)*time.Microsecond)
		}
	}
	return times
}
