package proof

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairntiller/internal/testcluster/cluster"
	"cairntiller/internal/testcluster/process"
	"cairntiller/internal/testcluster/resource"
)

// The limits that the proof of leases holds the routers to.
const (
	leaseLength   = 2 * time.Second
	leaseDrift    = 0.01                      // by which a machine's clock may be off, of its rate
	maxTakeover   = leaseLength + time.Second // without a holder after a kill
	handOverGoal  = 200 * time.Millisecond    // printed beside what was measured, not judged
	actInterval   = 40 * time.Millisecond
	actBound      = 300 * time.Millisecond
	lateActWindow = 200_000 // us after a process goes on in which one act of its may come late: the check was before
	taskLeases    = 3       // leases under which routers act themselves
	workLeases    = 2       // leases under which commands run
)

// LeaseProof is the proof of leases with router processes on loopback: what a run of it is made of.
type LeaseProof struct {
	Seed           uint64
	Voters         int
	Others         int
	Span           time.Duration  // of mixed faults
	Script         process.Script // played instead of them
	Lasting        bool           // voters store their records
	Unsupervised   bool           // a fault on purpose: commands run without a supervisor
	Measurements   int            // takeovers and hand-overs measured
	SafetyOnly     bool           // judge the rules alone, and no limit in real time
	FirstClockRate float64        // of the first machine's clock, 0 for one within the bound
	BulkLeases     int            // leases that each process without a vote wants beside the others
	Log            io.Writer      // what the processes log
	Output         io.Writer      // the proof's own lines
}

// leaseRun is a run under way.
type leaseRun struct {
	proof    LeaseProof
	cluster  *cluster.Cluster
	harness  *process.Harness
	resource *resource.Server
	random   *rand.Rand
	ended    chan struct{}
	commands sync.WaitGroup
	mu       sync.Mutex
	askers   map[string]*exec.Cmd // cairntiller lease hold, by machine and lease
}

// open starts what a run needs.
func (run *leaseRun) open() (err error) {
	run.ended = make(chan struct{})
	run.askers = map[string]*exec.Cmd{}
	run.random = rand.New(rand.NewPCG(run.proof.Seed, 8))
	if run.cluster, err = cluster.New(run.proof.Seed, 1, 2); err != nil {
		return err
	}
	if run.resource, err = resource.Start(process.TrueClock); err == nil {
		err = run.start()
	}
	if err != nil {
		run.close()
	}
	return err
}

// close ends all that open started.
func (run *leaseRun) close() {
	run.stopCommands()
	if run.harness != nil {
		run.harness.Close()
	}
	if run.resource != nil {
		run.resource.Close()
	}
	run.cluster.Close()
}

// Run plays the proof and returns its closing line; the error says which limits do not hold.
func (p LeaseProof) Run() (line string, err error) {
	run := &leaseRun{proof: p}
	if err = run.open(); err != nil {
		return "", err
	}
	defer run.close()
	if err = run.awaitActs(20 * time.Second); err != nil {
		return "", err
	}
	began := process.TrueClock()
	script := p.Script
	if script == nil {
		script = p.RandomScript()
	}
	if err = run.harness.Play(script); err != nil {
		return "", err
	}
	faultsEnd := process.TrueClock()
	if err = run.awaitActs(30 * time.Second); err != nil {
		return "", err
	}
	takeovers, handOvers, err := run.measure()
	if err != nil {
		return "", err
	}
	run.stopCommands()
	return run.judge(began, faultsEnd, takeovers, handOvers)
}

// start starts the router processes, and on each machine a command under each work lease, again and again.
func (run *leaseRun) start() (err error) {
	n := run.proof.Voters + run.proof.Others
	var voters []string
	for i := range run.proof.Voters {
		voters = append(voters, process.ProcessName(i))
	}
	var machines []process.Machine
	for i := range n {
		skew := process.ClockSkew{Rate: 1 + leaseDrift*(2*run.random.Float64()-1), Offset: time.Duration(run.random.Int64N(int64(24 * time.Hour)))}
		if i == 0 && run.proof.FirstClockRate > 0 {
			skew.Rate = run.proof.FirstClockRate
		}
		bulk := run.proof.BulkLeases
		if i < run.proof.Voters {
			bulk = 0
		}
		file := run.operatorFile(voters, 1, nil, i)
		machines = append(machines, process.Machine{Skew: skew, File: file, Args: []string{"--acts", run.resource.Address(), "--name", process.ProcessName(i), "--bulk", strconv.Itoa(bulk)}})
	}
	run.harness, err = process.New(run.proof.Seed, run.cluster, machines, run.proof.Log, run.proof.Output, "child-leases")
	if err != nil {
		return err
	}
	run.harness.HandleCommand("free", func(args []string) error { run.freeLease(args[0]); return nil })
	run.harness.HandleCommand("stop-hold", func(args []string) error { run.signalAsker(args[0], syscall.SIGSTOP); return nil })
	run.harness.HandleCommand("cont-hold", func(args []string) error { run.signalAsker(args[0], syscall.SIGCONT); return nil })
	run.harness.HandleCommand("stop-at", func(args []string) error { return run.executeAtHolder(args, "stop") })
	run.harness.HandleCommand("kill-at", func(args []string) error { return run.executeAtHolder(args, "kill") })
	run.harness.HandleCommand("voters", func(args []string) error { return run.changeVoters(args) })
	run.harness.HandleCommand("up", func(args []string) error { return run.resumeAll() })
	for i := range n {
		for w := range workLeases {
			run.commands.Go(func() { run.runCommands(i, fmt.Sprint("work-", w)) })
		}
	}
	return nil
}

// operatorFile is what a machine's operator says of leases.
func (run *leaseRun) operatorFile(voters []string, number int, before []string, i int) string {
	was := ""
	if len(before) > 0 {
		was = fmt.Sprintf("(before %s)", strings.Join(before, " "))
	}
	return fmt.Sprintf("(leases (longest %dms) (drift %g) %s (voters (number %d) (names %s) %s) (roll-call (every 5s)))\n(control (socket %q))",
		leaseLength.Milliseconds(), leaseDrift*100, run.storePart(i), number, strings.Join(voters, " "), was, run.cluster.Folder+"/"+process.ProcessName(i)+".sock")
}

// storePart names the folder of a machine's voter, where voters store their records.
func (run *leaseRun) storePart(i int) string {
	if !run.proof.Lasting {
		return ""
	}
	return fmt.Sprintf("(folder %q)", run.cluster.Folder+"/keep-"+process.ProcessName(i))
}
