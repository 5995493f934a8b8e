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

// Limits and parameters of the lease proof.
const (
	leaseLength         = 2 * time.Second
	leaseDrift          = 0.01                      // maximum rate error of a machine's clock, as a fraction
	maxTakeover         = leaseLength + time.Second // time without a holder after a kill
	targetHandOver      = 200 * time.Millisecond    // printed with the measurements, not enforced
	operationInterval   = 40 * time.Millisecond
	operationTimeout    = 300 * time.Millisecond
	lateOperationWindow = 200_000 // us after a process is resumed in which an operation that it checked before it was stopped may arrive late
	taskLeaseCount      = 3       // leases under which the routers themselves run operations
	workLeaseCount      = 2       // leases under which supervised commands run
)

// LeaseProof configures a run of the lease proof, which runs router processes on loopback.
type LeaseProof struct {
	Seed           uint64
	Voters         int
	Others         int
	Span           time.Duration  // duration of the random mixed faults
	Script         process.Script // runs instead of the random faults
	Lasting        bool           // voters store their records on disk
	Unsupervised   bool           // planted mistake: commands run without the product's supervisor
	Measurements   int            // number of takeovers and of hand-overs to measure
	SafetyOnly     bool           // ignore the limit on takeover time
	FirstClockRate float64        // clock rate of the first machine; 0 for a random one within leaseDrift
	BulkLeases     int            // additional leases that each non-voter requests
	Log            io.Writer      // logs of the processes
	Output         io.Writer      // progress of the proof
}

// leaseRun is the state of one run.
type leaseRun struct {
	proof         LeaseProof
	cluster       *cluster.Cluster
	harness       *process.Harness
	resource      *resource.Server
	random        *rand.Rand
	ended         chan struct{}
	commandLoops  sync.WaitGroup
	mu            sync.Mutex
	leaseCommands map[string]*exec.Cmd // "hold" processes by "MACHINE/LEASE"
}

// setUp starts the cluster, the resource and the router processes.
func (run *leaseRun) setUp() (err error) {
	run.ended = make(chan struct{})
	run.leaseCommands = map[string]*exec.Cmd{}
	run.random = rand.New(rand.NewPCG(run.proof.Seed, 8))
	if run.cluster, err = cluster.New(run.proof.Seed, 1, 2); err != nil {
		return err
	}
	if run.resource, err = resource.Start(process.TrueClock); err == nil {
		err = run.start()
	}
	if err != nil {
		run.tearDown()
	}
	return err
}

// tearDown stops everything that setUp started.
func (run *leaseRun) tearDown() {
	run.stopCommands()
	if run.harness != nil {
		run.harness.Close()
	}
	if run.resource != nil {
		run.resource.Close()
	}
	run.cluster.Close()
}

// Run runs the proof and returns its closing line; the error lists the limits that do not hold.
func (p LeaseProof) Run() (line string, err error) {
	run := &leaseRun{proof: p}
	if err = run.setUp(); err != nil {
		return "", err
	}
	defer run.tearDown()
	if err = run.awaitOperations(20 * time.Second); err != nil {
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
	if err = run.awaitOperations(30 * time.Second); err != nil {
		return "", err
	}
	takeovers, handOvers, err := run.measure()
	if err != nil {
		return "", err
	}
	run.stopCommands()
	return run.closingLine(began, faultsEnd, takeovers, handOvers)
}

// start starts the router processes, and on each machine a loop per work lease that runs commands under it.
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
	run.harness.HandleCommand("stop-hold", func(args []string) error { run.signalLeaseCommand(args[0], syscall.SIGSTOP); return nil })
	run.harness.HandleCommand("cont-hold", func(args []string) error { run.signalLeaseCommand(args[0], syscall.SIGCONT); return nil })
	run.harness.HandleCommand("stop-at", func(args []string) error { return run.executeAtHolder(args, "stop") })
	run.harness.HandleCommand("kill-at", func(args []string) error { return run.executeAtHolder(args, "kill") })
	run.harness.HandleCommand("voters", func(args []string) error { return run.changeVoters(args) })
	run.harness.HandleCommand("up", func(args []string) error { return run.resumeAll() })
	for i := range n {
		for w := range workLeaseCount {
			run.commandLoops.Go(func() { run.runCommands(i, fmt.Sprint("work-", w)) })
		}
	}
	return nil
}

// operatorFile returns the operator's file of machine i. number and voters are the voter set; before is the set that it
// replaces, nil for none.
func (run *leaseRun) operatorFile(voters []string, number int, before []string, i int) string {
	beforeSetting := ""
	if len(before) > 0 {
		beforeSetting = fmt.Sprintf("(before %s)", strings.Join(before, " "))
	}
	return fmt.Sprintf("(leases (longest %dms) (drift %g) %s (voters (number %d) (names %s) %s) (roll-call (every 5s)))\n(control (socket %q))",
		leaseLength.Milliseconds(), leaseDrift*100, run.folderSetting(i), number, strings.Join(voters, " "), beforeSetting, run.cluster.Folder+"/"+process.ProcessName(i)+".sock")
}

// folderSetting returns the setting of the folder in which machine i's voter stores its records, or an empty string if voters
// store nothing.
func (run *leaseRun) folderSetting(i int) string {
	if !run.proof.Lasting {
		return ""
	}
	return fmt.Sprintf("(folder %q)", run.cluster.Folder+"/keep-"+process.ProcessName(i))
}
