package noisyclients

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"cairntiller/internal/testcluster/cluster"
)

const (
	shards             = 2
	nodesPerShard      = 6
	coresPerNode       = 3
	workPerCommand     = 80 * time.Millisecond
	ordinaryPerRouter  = 12
	longestWait        = 1358 * time.Millisecond // of the ordinary clients
	settleBeforeAnyone = 500 * time.Millisecond
)

// Play is one run of a load beside ordinary clients.
type Play struct {
	Load     Load
	Seed     uint64
	MemoryMB int           // limit of the router
	Length   time.Duration // of the load
	Program  string        // executable of the router
	Log      io.Writer     // of the router
}

// Result is what a play has shown.
type Result struct {
	During, After Seen  // ordinary clients during the load and after its end
	PeakMemory    int64 // of the router's process, bytes
	Violations    []string
}

// String describes the result on one line.
func (r Result) String() string {
	return fmt.Sprintf("peak %d MB, during %+v, after %+v, violations %q", r.PeakMemory>>20, r.During, r.After, r.Violations)
}

// startRouter starts a cluster with one router, and waits until the router has learned its nodes.
func startRouter(config cluster.Config, log io.Writer) (*cluster.Cluster, *cluster.Router, error) {
	c, err := cluster.NewFromConfig(config)
	if err != nil {
		return nil, nil, err
	}
	router, err := c.StartRouter("n0", 1, "", log, "run")
	if err != nil {
		return nil, nil, errors.Join(err, c.Close())
	}
	time.Sleep(settleBeforeAnyone)
	return c, router, nil
}

// busyNodes is the configuration of a cluster whose nodes take their time.
func busyNodes(seed uint64, memoryMB int, program string) cluster.Config {
	return cluster.Config{
		Seed:           seed,
		Shards:         shards,
		NodesPerShard:  nodesPerShard,
		CoresPerNode:   coresPerNode,
		WorkPerCommand: workPerCommand,
		RouterMemoryMB: memoryMB,
		RouterProgram:  program,
	}
}

// Run plays it.
func (p Play) Run() (result Result, err error) {
	c, router, err := startRouter(busyNodes(p.Seed, p.MemoryMB, p.Program), p.Log)
	if err != nil {
		return result, err
	}
	defer c.Close()
	end, err := startLoad(p.Load, p.Seed, router.Address)
	if err != nil {
		return result, err
	}
	result.During = ordinaryFor(router.Address, p.Length)
	end()
	result.After = ordinaryFor(router.Address, p.Length/4)
	if code, exited := router.ExitCode(); exited {
		return result, fmt.Errorf("the router exited with code %d", code)
	}
	result.PeakMemory, err = router.PeakMemory()
	result.Violations = c.Database.Violations()
	router.Signal(syscall.SIGUSR1) // its counters go to the log
	time.Sleep(10 * time.Millisecond)
	return result, err
}

// ordinaryFor runs the ordinary clients for some time.
func ordinaryFor(address string, length time.Duration) Seen {
	stop := make(chan struct{})
	time.AfterFunc(length, func() { close(stop) })
	clients := &ordinaryGroup{address: address, longestWait: longestWait, stop: stop}
	return clients.run(ordinaryPerRouter)
}

// The arguments of a process that plays a load; see ChildMain.
const childArgument = "noisy-clients-load"

// startLoad starts a load in another process of this program, which must call ChildMain, and returns a function that ends
// it.
func startLoad(l Load, seed uint64, address string) (end func(), err error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, childArgument, string(l), address, strconv.FormatUint(seed, 10))
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return func() {
		input.Close()
		time.AfterFunc(2*time.Second, func() { cmd.Process.Kill() })
		cmd.Wait()
	}, nil
}

// ChildMain plays a load and exits if the program was started by startLoad; otherwise it returns. The load ends
// when standard input does.
func ChildMain() {
	if len(os.Args) != 5 || os.Args[1] != childArgument {
		return
	}
	seed, err := strconv.ParseUint(os.Args[4], 10, 64)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan struct{})
	go func() {
		io.Copy(io.Discard, os.Stdin)
		close(stop)
	}()
	Load(os.Args[2]).Run(os.Args[3], seed, stop)
	os.Exit(0)
}
