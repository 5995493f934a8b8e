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

// Harness is router processes in front of one test cluster, and the faulty links between them.
type Harness struct {
	Cluster  *cluster.Cluster
	Relays   *faultnet.Relays
	Folder   string
	Log      io.Writer
	Progress io.Writer // gets a line for each step as it is played, nil for none

	processes []*routerProcess
	handlers  map[string]func(args []string) error // commands that the harness does not know itself

	mu     sync.Mutex
	played []PlayedStep
}

// routerProcess is one process of a harness.
type routerProcess struct {
	router         *cluster.Router
	skew           ClockSkew // of its machine's clock
	membershipPart string    // its part (fleet ...) of the operator's file
	ended          bool      // by a step; guarded by Harness.mu
}

// Machine is where one process runs: its clock, and what its operator's file says beside the part (fleet ...).
type Machine struct {
	Skew ClockSkew
	File string   // parts of the operator's file beside fleet
	Args []string // of the child beside the harness's own
}

// maxSeeds is how many processes the others look for at their start.
const maxSeeds = 3

// startGap is the time between the starts of two processes, so that many do not start in one instant.
const startGap = 5 * time.Millisecond

// New starts a router on each machine, all of them members of one fleet that talk through relays. child is the beginning of
// the arguments with which this program runs a router, as RunChild reads them.
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

// prepare makes a process ready to start.
func (h *Harness) prepare(i, count int, machine Machine, seeds string, child []string) (*routerProcess, error) {
	key := base64.StdEncoding.EncodeToString([]byte("a key for harnesses of 32 bytes,"))
	part := fmt.Sprintf("(fleet (name %q) (cluster \"harness\") (listen %q) (advertise %q) (join %s) (keys %q))\n", ProcessName(i),
		h.Relays.ProcessAddress(i), h.Relays.RelayAddress(i), seeds, key)
	sourceAddress, _, _ := net.SplitHostPort(h.Relays.ProcessAddress(i))
	args := slices.Concat(child, []string{"--clock", machine.Skew.String(), "--own", sourceAddress}, machine.Args)
	router, err := h.Cluster.PrepareRouter(ProcessName(i), count, part+machine.File, h.Log, args...)
	if err != nil {
		return nil, err
	}
	return &routerProcess{router: router, skew: machine.Skew, membershipPart: part}, nil
}

// startAll starts all processes and returns when each takes connections.
func (h *Harness) startAll() error {
	var starting sync.WaitGroup
	errs := make([]error, len(h.processes))
	for i, process := range h.processes {
		starting.Go(func() { errs[i] = process.router.Start() })
		time.Sleep(startGap)
	}
	starting.Wait()
	return errors.Join(errs...)
}

// ProcessName returns a process's name.
func ProcessName(i int) string { return fmt.Sprintf("r%d", i) }

// StateFolder returns a folder that outlives the process's restarts.
func (h *Harness) StateFolder(i int) string { return filepath.Join(h.Folder, "keep-"+ProcessName(i)) }

// AdminSocket returns where a process listens for operators, if its file says so.
func (h *Harness) AdminSocket(i int) string { return filepath.Join(h.Folder, ProcessName(i)+".sock") }

// WriteOperatorFile replaces a process's operator's file but for the part (fleet ...). SIGHUP or its next start reads it.
func (h *Harness) WriteOperatorFile(i int, text string) error {
	process := h.processes[i]
	return process.router.WriteOperatorFile(process.membershipPart + text)
}

// Router returns a process.
func (h *Harness) Router(i int) *cluster.Router { return h.processes[i].router }

// ClockSkew returns a machine's clock.
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
