package process

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cairntiller/internal/testcluster/cluster"
	"cairntiller/internal/testcluster/faultnet"
)

// Harness runs router processes in front of one test cluster, connected by links with faults.
type Harness struct {
	Cluster  *cluster.Cluster
	Relays   *faultnet.Relays
	Folder   string
	Log      io.Writer
	Progress io.Writer // receives a line for each step that is played; may be nil

	processes []*routerProcess
	handlers  map[string]func(args []string) error // handlers of additional script commands, set by HandleCommand

	mu     sync.Mutex
	played []PlayedStep
}

// routerProcess is one process of a harness.
type routerProcess struct {
	router       *cluster.Router
	skew         ClockSkew // clock skew of its machine
	fleetSection string    // section (fleet ...) of its operator's file
	ended        bool      // whether a step has ended it; guarded by Harness.mu
}

// Machine configures the machine of one process: its clock, the operator's file and the arguments of the process.
type Machine struct {
	Skew ClockSkew
	File string   // sections of the operator's file other than (fleet ...)
	Args []string // additional arguments of the process
}

// maxSeeds is the maximum number of processes that are listed as join addresses in each operator's file.
const maxSeeds = 3

// startInterval is the interval between the starts of processes. It keeps many processes from starting at the same instant.
const startInterval = 5 * time.Millisecond

// New starts a router process for each machine. The routers are members of one fleet and communicate through relays. child holds
// the leading command line arguments that make this program call RunChild.
func New(seed uint64, testCluster *cluster.Cluster, machines []Machine, log, progress io.Writer, child ...string) (*Harness, error) {
	h := &Harness{
		Cluster:  testCluster,
		Folder:   testCluster.Folder,
		Log:      log,
		Progress: progress,
		handlers: map[string]func([]string) error{},
	}
	address, err := cluster.FreeAddress()
	if err != nil {
		return nil, err
	}
	_, portText, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(portText)
	if h.Relays, err = faultnet.NewRelays(seed, len(machines), port); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(maxSeeds, len(machines)) {
		seeds = append(seeds, strconv.Quote(h.Relays.RelayAddress(i)))
	}
	for i, machine := range machines {
		process, err := h.prepare(i, len(machines), machine, strings.Join(seeds, " "), child)
		if err != nil {
			return h, errors.Join(err, h.Close())
		}
		h.processes = append(h.processes, process)
	}
	if err := h.startAll(); err != nil {
		return h, errors.Join(err, h.Close())
	}
	return h, nil
}

// prepare writes the files of a process and returns the process without starting it.
func (h *Harness) prepare(i, count int, machine Machine, seeds string, child []string) (*routerProcess, error) {
	key := base64.StdEncoding.EncodeToString([]byte("a key for harnesses of 32 bytes,"))
	fleetSection := fmt.Sprintf("(fleet (name %q) (cluster \"harness\") (listen %q) (advertise %q) (join %s) (keys %q))\n", ProcessName(i),
		h.Relays.ProcessAddress(i), h.Relays.RelayAddress(i), seeds, key)
	sourceAddress, _, _ := net.SplitHostPort(h.Relays.ProcessAddress(i))
	args := slices.Concat(child, []string{"--clock", machine.Skew.String(), "--own", sourceAddress}, machine.Args)
	router, err := h.Cluster.PrepareRouter(ProcessName(i), count, fleetSection+machine.File, h.Log, args...)
	if err != nil {
		return nil, err
	}
	return &routerProcess{router: router, skew: machine.Skew, fleetSection: fleetSection}, nil
}

// startAll starts all processes and waits until each accepts commands.
func (h *Harness) startAll() error {
	var starts sync.WaitGroup
	errs := make([]error, len(h.processes))
	for i, process := range h.processes {
		starts.Go(func() { errs[i] = process.router.Start() })
		time.Sleep(startInterval)
	}
	starts.Wait()
	return errors.Join(errs...)
}

// ProcessName returns the name of a process.
func ProcessName(i int) string { return fmt.Sprintf("r%d", i) }

// StateFolder returns the folder for the state that a process keeps across restarts. The step "bare" removes it.
func (h *Harness) StateFolder(i int) string { return filepath.Join(h.Folder, "keep-"+ProcessName(i)) }

// AdminSocket returns the path for the admin socket of a process, which exists only if its operator's file configures it.
func (h *Harness) AdminSocket(i int) string { return filepath.Join(h.Folder, ProcessName(i)+".sock") }

// WriteOperatorFile replaces all sections of a process's operator's file other than (fleet ...). The process reads the file on
// SIGHUP and when it starts.
func (h *Harness) WriteOperatorFile(i int, text string) error {
	process := h.processes[i]
	return process.router.WriteOperatorFile(process.fleetSection + text)
}

// Router returns the router of a process.
func (h *Harness) Router(i int) *cluster.Router { return h.processes[i].router }

// ClockSkew returns the clock skew of a process's machine.
func (h *Harness) ClockSkew(i int) ClockSkew { return h.processes[i].skew }

// Close kills all processes and stops the relays.
func (h *Harness) Close() error {
	for _, process := range h.processes {
		process.router.Kill()
	}
	if h.Relays != nil {
		return h.Relays.Close()
	}
	return nil
}
