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

// Limits, timeouts and intervals of the rollout proof.
const (
	maxUnavailableRouters = 2                      // at once, by plans
	planTimeout           = 150 * time.Second      // for all plans to end
	rolloutLeaseLength    = 2 * time.Second        // of the leader's lease
	pollInterval          = 20 * time.Millisecond  // between checks of processes
	statusInterval        = 200 * time.Millisecond // between status requests to routers
)

// RolloutProof configures a run of the rollout proof, which runs router processes on loopback.
type RolloutProof struct {
	Seed    uint64
	Routers int
	Voters  int
	Groups  int       // groups of three nodes, one in each zone
	Nodes   int       // number of nodes that are drained and returned
	Faults  bool      // kill, stop and cut off routers while plans run
	Alone   bool      // baseline without plans: each router is restarted on its own, at a random time
	Lose    bool      // kill the leader during a wave, twice
	Log     io.Writer // logs of the processes
	Output  io.Writer // progress of the proof
}

// rolloutRun is the state of one run.
type rolloutRun struct {
	proof      RolloutProof
	cluster    *cluster.Cluster
	harness    *process.Harness
	ended      chan struct{}
	goroutines sync.WaitGroup

	mu             sync.Mutex
	restarts       []int64 // orderly restarts of each router
	unavailable    []bool  // routers that are down after an orderly exit
	maxUnavailable int     // maximum routers unavailable at once
	violations     []string

	// Number of client commands by outcome.
	answered, refused, failed, connectionsEnded atomic.Int64
}

// Run runs the proof and returns its closing line; the error lists the limits that do not hold.
func (p RolloutProof) Run() (line string, err error) {
	run := &rolloutRun{proof: p, ended: make(chan struct{}), restarts: make([]int64, p.Routers), unavailable: make([]bool, p.Routers)}
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
		run.restartIndependently()
	} else if status, err = run.playPlans(); err != nil {
		return "", err
	}
	took := time.Since(began)
	rate := float64(run.answered.Load()-before) / took.Seconds() / calmRate
	run.stop()
	return run.closingLine(status, took, rate)
}

// playPlans starts a plan that restarts all routers and one that drains some nodes, and waits until both are finished.
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
		Budget:          rollout.Budget{MaxUnavailable: maxUnavailableRouters, MaxShare: 1},
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

// restartIndependently restarts each router at a random time within a short span, as uncoordinated operators of a new release
// would, and waits until all were restarted.
func (run *rolloutRun) restartIndependently() {
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

// stop ends all goroutines of the run and waits for them.
func (run *rolloutRun) stop() {
	select {
	case <-run.ended:
		return
	default:
		close(run.ended)
	}
	run.goroutines.Wait()
}

// sleep waits for d. It returns false at once if the run ends.
func (run *rolloutRun) sleep(d time.Duration) bool {
	select {
	case <-run.ended:
		return false
	case <-time.After(d):
		return true
	}
}

// recordViolation records that a rule was violated.
func (run *rolloutRun) recordViolation(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.violations = append(run.violations, fmt.Sprintf(format, args...))
}

// closingLine returns the proof's closing line; the error lists the limits that do not hold.
func (run *rolloutRun) closingLine(status rolloutservice.Status, took time.Duration, rate float64) (line string, err error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	p := run.proof
	restarted, errs := run.checkRestarts()
	if run.maxUnavailable > maxUnavailableRouters {
		errs = append(errs, fmt.Errorf("%d routers were unavailable at once, limit %d", run.maxUnavailable, maxUnavailableRouters))
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
		"failed=%d connections_ended=%d answers_of_calm=%.2f took_s=%.0f seed=%d", verdict, p.Routers, 3*p.Groups, restarted, p.Nodes, run.maxUnavailable, maxUnavailableRouters,
		len(run.violations), run.answered.Load(), run.refused.Load(), run.failed.Load(), run.connectionsEnded.Load(), rate, took.Seconds(), p.Seed), errors.Join(errs...)
}

// checkRestarts counts the routers that were restarted. If only plans restart routers, it requires exactly one restart of
// each.
func (run *rolloutRun) checkRestarts() (restarted int, errs []error) {
	onlyPlansRestart := !run.proof.Faults && !run.proof.Lose
	for i, n := range run.restarts {
		if n > 0 {
			restarted++
		}
		if n > 1 && onlyPlansRestart {
			errs = append(errs, fmt.Errorf("router %d was restarted %d times", i, n))
		}
	}
	if restarted < run.proof.Routers && onlyPlansRestart {
		errs = append(errs, fmt.Errorf("only %d of %d routers were restarted", restarted, run.proof.Routers))
	}
	return restarted, errs
}
