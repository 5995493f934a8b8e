package proof

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cairntiller/internal/rollout"
	"cairntiller/internal/rolloutservice"
	"cairntiller/internal/testcluster/cluster"
	"cairntiller/internal/testcluster/process"
)

// The limits that the proof of rollouts holds the routers to, and the times that it waits.
const (
	maxOutByPlans      = 2                      // routers at once
	planTimeout        = 150 * time.Second      // until all plans must have ended
	rolloutLeaseLength = 2 * time.Second        // of the lease that the leader holds
	pollInterval       = 20 * time.Millisecond  // between looks at processes
	statusInterval     = 200 * time.Millisecond // between looks at what routers say
)

// RolloutProof is the proof of rollouts with router processes on loopback: what a run of it is made of.
type RolloutProof struct {
	Seed    uint64
	Routers int
	Voters  int
	Groups  int       // of three nodes each, one in each zone
	Nodes   int       // drained and returned
	Faults  bool      // losses, cuts and kills while plans run
	Alone   bool      // the baseline: each operator restarts his router by himself, at a time of his own
	Lose    bool      // the router that leads is killed in the middle of a wave, twice
	Log     io.Writer // what the processes log
	Output  io.Writer // the proof's own lines
}

// rolloutRun is a run under way.
type rolloutRun struct {
	proof      RolloutProof
	cluster    *cluster.Cluster
	harness    *process.Harness
	ended      chan struct{}
	goroutines sync.WaitGroup

	mu         sync.Mutex
	restarts   []int64 // of each router, in order
	outByPlan  []bool  // by router
	maxOut     int     // routers out by plans at once
	violations []string

	// Commands of clients, by their end.
	answered, refused, failed, connectionsEnded atomic.Int64
}

// Run plays the proof and returns its closing line; the error says which limits do not hold.
func (p RolloutProof) Run() (line string, err error) {
	run := &rolloutRun{proof: p, ended: make(chan struct{}), restarts: make([]int64, p.Routers), outByPlan: make([]bool, p.Routers)}
	if run.cluster, err = cluster.New(p.Seed, p.Groups, 3); err != nil {
		return "", err
	}
	defer run.cluster.Close()
	if err = run.start(); err != nil {
		return "", err
	}
	defer run.harness.Close()
	defer run.stop()
	time.Sleep(2 * rolloutLeaseLength)
	calmRate := run.measureRate(time.Duration(p.Routers) * 500 * time.Millisecond)
	before := run.answered.Load()
	began := time.Now()
	if p.Faults {
		run.goroutines.Go(run.playFaults)
	}
	var status rolloutservice.Status
	if p.Alone {
		run.restartAlone()
	} else if status, err = run.playPlans(); err != nil {
		return "", err
	}
	took := time.Since(began)
	rate := float64(run.answered.Load()-before) / took.Seconds() / calmRate
	run.stop()
	return run.judge(status, took, rate)
}

// playPlans starts a plan for all routers and one for some nodes, and waits until both are finished.
func (run *rolloutRun) playPlans() (rolloutservice.Status, error) {
	plans := run.plans()
	for _, plan := range plans {
		if err := run.sendCommand(rollout.Command{Type: rollout.CommandStart, Token: plan.ID, Plan: plan}); err != nil {
			return rolloutservice.Status{}, fmt.Errorf("plan %s: %w", plan.ID, err)
		}
	}
	if run.proof.Lose {
		run.goroutines.Go(run.killLeaders)
	}
	return run.awaitPlans(plans)
}

func (run *rolloutRun) plans() []rollout.Plan {
	var routers, nodes []string
	for i := range run.proof.Routers {
		routers = append(routers, process.ProcessName(i))
	}
	for i := range run.proof.Nodes {
		group := i % run.proof.Groups
		place := (i/run.proof.Groups + i) % 3
		nodes = append(nodes, fmt.Sprintf("s-%d%c", group, 'a'+place))
	}
	return []rollout.Plan{{
		ID:              "all",
		Kind:            rollout.KindRestart,
		Units:           routers,
		WaveSizes:       []int{1, 3},
		WatchTime:       1_000_000,
		ProgressTimeout: 60_000_000,
		Budget:          rollout.Budget{MaxUnavailable: maxOutByPlans, MaxShare: 1},
	}, {
		ID:              "boxes",
		Kind:            rollout.KindNodes,
		Units:           nodes,
		WaveSizes:       []int{1, 3},
		WatchTime:       500_000,
		DrainTime:       1_000_000,
		ProgressTimeout: 60_000_000,
		Budget:          rollout.Budget{MaxShare: 0.2, MinReplicas: 1},
	}}
}

// restartAlone lets each router be restarted at a random time of a short while, as when several operators hear of one
// release, and waits until all were.
func (run *rolloutRun) restartAlone() {
	rng := rand.New(rand.NewPCG(run.proof.Seed, 11))
	span := time.Duration(run.proof.Routers) * 50 * time.Millisecond
	var signals sync.WaitGroup
	for i := range run.proof.Routers {
		at := time.Duration(rng.Int64N(int64(span)))
		signals.Go(func() {
			time.Sleep(at)
			run.harness.Router(i).Signal(syscall.SIGTERM)
		})
	}
	signals.Wait()
	for end := time.Now().Add(planTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		run.mu.Lock()
		left := slices.Contains(run.restarts, 0)
		run.mu.Unlock()
		if !left {
			return
		}
	}
}

// stop ends all goroutines of the run.
func (run *rolloutRun) stop() {
	select {
	case <-run.ended:
		return
	default:
		close(run.ended)
	}
	run.goroutines.Wait()
}

// pause waits and reports whether the run goes on.
func (run *rolloutRun) pause(d time.Duration) bool {
	select {
	case <-run.ended:
		return false
	case <-time.After(d):
		return true
	}
}

// violated notes that a rule is broken.
func (run *rolloutRun) violated(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.violations = append(run.violations, fmt.Sprintf(format, args...))
}

// judge holds what was seen to the limits and words the closing line.
func (run *rolloutRun) judge(s rolloutservice.Status, took time.Duration, rate float64) (line string, err error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	p := run.proof
	restarted, errs := run.judgeRestarts()
	if run.maxOut > maxOutByPlans {
		errs = append(errs, fmt.Errorf("%d routers were out at once, limit %d", run.maxOut, maxOutByPlans))
	}
	run.violations = append(run.violations, run.cluster.Database.Violations()...)
	for _, violation := range run.violations[:min(len(run.violations), 5)] {
		errs = append(errs, errors.New(violation))
	}
	verdict := "holds"
	if len(errs) > 0 {
		verdict = "FAILS"
	}
	return fmt.Sprintf("proof releases: %s; routers=%d nodes=%d restarted=%d drained=%d most_out=%d (limit %d) broken=%d (limit 0) answered=%d refused=%d "+
		"failed=%d connections_ended=%d answers_of_calm=%.2f took_s=%.0f seed=%d", verdict, p.Routers, 3*p.Groups, restarted, p.Nodes, run.maxOut, maxOutByPlans,
		len(run.violations), run.answered.Load(), run.refused.Load(), run.failed.Load(), run.connectionsEnded.Load(), rate, took.Seconds(), p.Seed), errors.Join(errs...)
}

// judgeRestarts counts routers that were restarted. Where nothing else restarts them each is restarted once.
func (run *rolloutRun) judgeRestarts() (restarted int, errs []error) {
	byPlansAlone := !run.proof.Faults && !run.proof.Lose
	for i, n := range run.restarts {
		if n > 0 {
			restarted++
		}
		if n > 1 && byPlansAlone {
			errs = append(errs, fmt.Errorf("router %d went out %d times", i, n))
		}
	}
	if restarted < run.proof.Routers && byPlansAlone {
		errs = append(errs, fmt.Errorf("%d of %d routers were restarted", restarted, run.proof.Routers))
	}
	return restarted, errs
}
