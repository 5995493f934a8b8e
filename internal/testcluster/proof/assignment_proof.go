// Package proof holds the proofs: each provokes the hard cases that a subsystem is for, measures, and says in one line
// whether its limits hold.
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

// The limits that the proof of assigned health checks (probes) holds the routers to.
const (
	// maxUnprobed is how long a node may go without a probe, whatever fails.
	maxUnprobed = 5 * time.Second
	// aimUnprobed is what is aimed at, and only printed.
	aimUnprobed = 3 * time.Second
	// maxSharedRatio is the most probes that three routers may send which share them, as a ratio of what three send that
	// do not: a third of them, and a fifth more for takeovers and cuts.
	maxSharedRatio = 1.2 / 3
)

// routerCount is how many routers the proof runs.
const routerCount = 3

// AssignmentProof is the proof with router processes: three share the probes of nodes; one is killed, one paused, one cut off.
type AssignmentProof struct {
	Seed     uint64 // for the order of faults
	Nodes    int
	Short    bool          // the short form, for CI
	Interval time.Duration // between probes of a node
	Isolated bool          // a planted fault: the instances never hear one another
	Log      io.Writer     // what the routers log
	Output   io.Writer     // what happens, as it happens
}

// sharingResult is what a run measured.
type sharingResult struct {
	longestGap time.Duration   // longest time that a node went unprobed
	longestAt  string          // what had happened before it
	takeovers  []time.Duration // of nodes that lost their owner: until the next probe
	probeRate  float64         // probes of a node a second, over the whole run
	calmRate   float64         // the same before the first fault
}

// RunSharingRouter is the program that the proof starts as a router. It cuts its own network when a line of standard input
// says so ("cut", "heal"), and ends when standard input does.
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

// Run plays the proof and returns its closing line; the error says which limits do not hold.
func (p AssignmentProof) Run() (line string, err error) {
	var unshared sharingResult
	var unsharedErr error
	var running sync.WaitGroup
	running.Go(func() { unshared, unsharedErr = p.play(false) })
	shared, err := p.play(true)
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
		shared.longestGap.Seconds(), maxUnprobed.Seconds(), aimUnprobed.Seconds(), shared.longestAt, shared.probeRate,
		shared.calmRate, unshared.probeRate, ratio, maxSharedRatio, median.Seconds(), worst.Seconds(), len(shared.takeovers),
		p.Nodes, p.Seed)
	return line, err
}

// checkSharing returns an error for each limit that does not hold.
func checkSharing(shared sharingResult, ratio float64) error {
	var faults []error
	if shared.longestGap > maxUnprobed {
		faults = append(faults, fmt.Errorf("a box went unprobed for %v, limit %v", shared.longestGap, maxUnprobed))
	}
	if !(ratio <= maxSharedRatio) { // not a number too
		faults = append(faults, fmt.Errorf("%.2f of the unshared probes, limit %.2f", ratio, maxSharedRatio))
	}
	return errors.Join(faults...)
}

// medianAndWorst sorts times and returns two of them, 0 if there are none.
func medianAndWorst(times []time.Duration) (median, worst time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}

// sharingRun is three routers in front of one cluster.
type sharingRun struct {
	proof   AssignmentProof
	cluster *cluster.Cluster
	routers []*cluster.Router
	began   int64 // on the cluster's clock, us
	events  []sharingEvent
	shared  bool // they share probes
}

// sharingEvent is something that the run did at a time.
type sharingEvent struct {
	at         int64
	what       string
	losesOwner bool // nodes lose their owner by it
}

// note records that something is done now.
func (r *sharingRun) note(what string, losesOwner bool) {
	now := r.cluster.Database.Now()
	r.events = append(r.events, sharingEvent{at: now, what: what, losesOwner: losesOwner})
	if r.shared {
		fmt.Fprintf(r.proof.Output, "%6.1f s  %s\n", float64(now-r.began)/1e6, what)
	}
}

// pause lets time pass, less of it in the short form.
func (r *sharingRun) pause(long, short time.Duration) {
	if r.proof.Short {
		long = short
	}
	time.Sleep(long)
}

// play runs three routers through the faults. Routers that do not share run only as long as it takes to count their
// probes.
func (p AssignmentProof) play(shared bool) (sharingResult, error) {
	c, err := cluster.New(p.Seed, p.Nodes, 1)
	if err != nil {
		return sharingResult{}, err
	}
	defer c.Close()
	r := &sharingRun{proof: p, cluster: c, shared: shared}
	if err := r.start(); err != nil {
		return sharingResult{}, err
	}
	r.pause(4*time.Second, 3*time.Second)
	r.began = c.Database.Now()
	if shared {
		r.note("three routers share", false)
	} else {
		r.note("three routers share nothing", false)
	}
	r.pause(10*time.Second, 6*time.Second)
	calmUntil := c.Database.Now()
	if shared {
		if err := r.playFaults(); err != nil {
			return sharingResult{}, err
		}
	}
	return r.measure(calmUntil), nil
}

// playFaults kills one router, pauses another and cuts the third off, in the seed's order.
func (r *sharingRun) playFaults() error {
	first := int(r.proof.Seed % routerCount)
	killed := r.routers[first]
	paused := r.routers[(first+1)%routerCount]
	cutOff := r.routers[(first+2)%routerCount]
	r.note("one is killed", true)
	killed.Kill()
	r.pause(10*time.Second, 5*time.Second)
	if !r.proof.Short {
		r.note("it starts again", false)
		if err := killed.Start(); err != nil {
			return err
		}
		r.pause(10*time.Second, 0)
		r.note("another is stopped", true)
		paused.Signal(syscall.SIGSTOP)
		r.pause(10*time.Second, 0)
		r.note("it goes on", false)
		paused.Signal(syscall.SIGCONT)
		r.pause(10*time.Second, 0)
	}
	r.note("the third is cut off from the others", true)
	cutOff.SendLine("cut")
	r.pause(10*time.Second, 4*time.Second)
	r.note("the cut is mended", false)
	cutOff.SendLine("heal")
	r.pause(15*time.Second, 8*time.Second)
	r.note("the end", false)
	return nil
}

// start starts the routers. Those that share nothing are each in a cluster of its own.
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

// measure goes by what the nodes saw.
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

// measureGap keeps the longest time that a node went unprobed.
func (r *sharingRun) measureGap(result *sharingResult, from, to int64) {
	if gap := time.Duration(to-from) * time.Microsecond; gap > result.longestGap {
		result.longestGap = gap
		result.longestAt = r.lastEvent(from)
	}
}

// lastEvent is what had been done last within a second after a time.
func (r *sharingRun) lastEvent(at int64) string {
	what := ""
	for _, e := range r.events {
		if e.at <= at+time.Second.Microseconds() {
			what = e.what
		}
	}
	return "when " + what
}

// takeovers returns the times from each event that takes owners away to a node's next probe, if the node missed its rhythm
// by it. probes are the times of its probes.
func (r *sharingRun) takeovers(probes []int64) []time.Duration {
	usual := r.proof.Interval.Microseconds() * 13 / 10 // probes come a little late at times
	var times []time.Duration
	for _, e := range r.events {
		if !e.losesOwner {
			continue
		}
		next, _ := slices.BinarySearch(probes, e.at)
		if next == 0 || next >= len(probes) {
			continue
		}
		if probes[next]-probes[next-1] > usual {
			times = append(times, time.Duration(probes[next]-e.at)*time.Microsecond)
		}
	}
	return times
}
