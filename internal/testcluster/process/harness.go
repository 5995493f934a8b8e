package process

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairntiller/internal/testcluster/cluster"
	"cairntiller/internal/testcluster/faultnet"
)

// MaxPacketDelay bounds the delay of a duplicate that comes very late: over any timeout of the protocols under test.
const MaxPacketDelay = time.Minute

// Harness is router processes in front of one test cluster, and the faulty links between them.
type Harness struct {
	Cluster         *cluster.Cluster
	Relays          *faultnet.Relays
	Folder          string
	Log             io.Writer
	Progress        io.Writer // gets a line for each step as it is played, nil for none
	clocks          []ClockSkew
	routers         []*cluster.Router
	membershipParts []string // each process's part (fleet ...) of the operator's file
	handlers        map[string]func(args []string) error

	mu     sync.Mutex
	played []PlayedStep
	ended  []bool
}

// PlayedStep is a step that was played, and when by the true clock, in us.
type PlayedStep struct {
	At   int64
	Step Step
}

// Machine is where one process runs: its clock, and what its operator's file says beside the part (fleet ...).
type Machine struct {
	Skew ClockSkew
	File string   // parts of the operator's file beside fleet
	Args []string // of the child beside the harness's own
}

// New starts a router on each machine, all of them members of one fleet that talk through relays. child is the beginning of
// the arguments with which this program runs a router, as RunChild reads them.
func New(seed uint64, testCluster *cluster.Cluster, machines []Machine, log, progress io.Writer, child ...string) (h *Harness, err error) {
	h = &Harness{Cluster: testCluster, Folder: testCluster.Folder, Log: log, Progress: progress, handlers: map[string]func([]string) error{}, ended: make([]bool, len(machines))}
	address, err := cluster.FreeAddress()
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	if h.Relays, err = faultnet.NewRelays(seed, len(machines), number); err != nil {
		return nil, err
	}
	var join []string
	for i := range min(3, len(machines)) {
		join = append(join, strconv.Quote(h.Relays.RelayAddress(i)))
	}
	key := base64.StdEncoding.EncodeToString([]byte("a key for harnesses of 32 bytes,"))
	for i, machine := range machines {
		h.membershipParts = append(h.membershipParts, fmt.Sprintf("(fleet (name %q) (cluster \"harness\") (listen %q) (advertise %q) (join %s) (keys %q))\n", ProcessName(i),
			h.Relays.ProcessAddress(i), h.Relays.RelayAddress(i), strings.Join(join, " "), key))
		sourceAddress, _, _ := net.SplitHostPort(h.Relays.ProcessAddress(i))
		args := append(append([]string{}, child...), "--clock", machine.Skew.String(), "--own", sourceAddress)
		router, err := testCluster.PrepareRouter(ProcessName(i), len(machines), h.membershipParts[i]+machine.File, log, append(args, machine.Args...)...)
		if err != nil {
			return h, errors.Join(err, h.Close())
		}
		h.routers, h.clocks = append(h.routers, router), append(h.clocks, machine.Skew)
	}
	var wg sync.WaitGroup
	errs := make([]error, len(machines))
	for i, one := range h.routers {
		wg.Go(func() { errs[i] = one.Start() })
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return h, errors.Join(err, h.Close())
	}
	return h, nil
}

// ProcessName returns a process's name.
func ProcessName(i int) string { return fmt.Sprintf("r%d", i) }

// StateFolder returns a folder that outlives the process's restarts.
func (r *Harness) StateFolder(i int) string { return filepath.Join(r.Folder, "keep-"+ProcessName(i)) }

// AdminSocket returns where a process listens for operators, if its file says so.
func (r *Harness) AdminSocket(i int) string { return filepath.Join(r.Folder, ProcessName(i)+".sock") }

// WriteOperatorFile replaces a process's operator's file but for the part (fleet ...). SIGHUP or its next start reads it.
func (r *Harness) WriteOperatorFile(i int, text string) error {
	return r.routers[i].WriteOperatorFile(r.membershipParts[i] + text)
}

// Router returns a process.
func (r *Harness) Router(i int) *cluster.Router { return r.routers[i] }

// ClockSkew returns a machine's clock.
func (r *Harness) ClockSkew(i int) ClockSkew { return r.clocks[i] }

// HandleCommand sets who executes a command that the harness does not know.
func (r *Harness) HandleCommand(verb string, do func(args []string) error) { r.handlers[verb] = do }

// Played returns the steps that were played so far.
func (r *Harness) Played() []PlayedStep {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]PlayedStep(nil), r.played...)
}

// Close kills all processes and stops the relays.
func (r *Harness) Close() error {
	for _, one := range r.routers {
		one.Kill()
	}
	if r.Relays != nil {
		return r.Relays.Close()
	}
	return nil
}

// Play plays a script, whose times count from now, and returns when all steps are over, with their errors joined.
func (r *Harness) Play(s Script) error {
	began := time.Now()
	var wg sync.WaitGroup
	var errs []error
	var mu sync.Mutex
	for _, one := range s {
		time.Sleep(one.At - time.Since(began))
		if r.Progress != nil {
			fmt.Fprintf(r.Progress, "%7.2f s  %s %s\n", time.Since(began).Seconds(), one.Command, strings.Join(one.Args, " "))
		}
		r.recordPlayed(one)
		wg.Go(func() { // a start takes a while, and the next step must not wait for it
			if err := r.Execute(one); err != nil {
				mu.Lock()
				errs = append(errs, fmt.Errorf("%d ms %s %v: %w", one.At.Milliseconds(), one.Command, one.Args, err))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (r *Harness) recordPlayed(one Step) {
	r.mu.Lock()
	r.played = append(r.played, PlayedStep{TrueClock(), one})
	r.mu.Unlock()
}

// Execute executes one step now.
func (r *Harness) Execute(one Step) error {
	if do := r.handlers[one.Command]; do != nil {
		return do(one.Args)
	}
	n := -1
	if len(one.Args) > 0 && one.Args[0] != "*" {
		if v, err := strconv.Atoi(one.Args[0]); err == nil && v >= 0 && v < len(r.routers) {
			n = v
		}
	}
	switch one.Command {
	case "kill":
		r.setEnded(n, true)
		r.routers[n].Kill()
	case "term":
		r.setEnded(n, true)
		return r.routers[n].Stop()
	case "start", "bare":
		if one.Command == "bare" {
			if err := os.RemoveAll(r.StateFolder(n)); err != nil {
				return err
			}
		}
		if !r.setEnded(n, false) {
			return nil // it is up
		}
		return r.routers[n].Start()
	case "stop":
		r.routers[n].Signal(syscall.SIGSTOP)
	case "cont":
		r.routers[n].Signal(syscall.SIGCONT)
	case "cut":
		r.cutLinks(one.Args)
	case "heal":
		r.changeLinks(func(f *faultnet.LinkFaults) { f.Cut = false })
	case "fate":
		return r.setLinkFaults(one.Args)
	default:
		return fmt.Errorf("unknown step %q", one.Command)
	}
	return nil
}

// setEnded notes whether a step has ended a process, and returns what it was before.
func (r *Harness) setEnded(n int, to bool) (was bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was, r.ended[n] = r.ended[n], to
	return was
}

// IsRunning reports whether no step has ended the process.
func (r *Harness) IsRunning(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended[n]
}

func (r *Harness) cutLinks(args []string) {
	matches := func(word string, i int) bool { return word == "*" || word == strconv.Itoa(i) }
	for i := range r.routers {
		for j := range r.routers {
			if i != j && (matches(args[0], i) && matches(args[1], j) || len(args) > 2 && matches(args[0], j) && matches(args[1], i)) {
				f := r.Relays.Faults(i, j)
				f.Cut = true
				r.Relays.SetFaults(i, j, f)
			}
		}
	}
}

func (r *Harness) changeLinks(change func(f *faultnet.LinkFaults)) {
	for i := range r.routers {
		for j := range r.routers {
			if i != j {
				f := r.Relays.Faults(i, j)
				change(&f)
				r.Relays.SetFaults(i, j, f)
			}
		}
	}
}

func (r *Harness) setLinkFaults(args []string) error {
	var v [5]float64
	for i := range v {
		if i >= len(args) {
			return errors.New("fate wants five figures")
		}
		var err error
		if v[i], err = strconv.ParseFloat(args[i], 64); err != nil {
			return err
		}
	}
	r.changeLinks(func(f *faultnet.LinkFaults) {
		f.Loss, f.Duplication, f.Corruption, f.MaxDelay, f.LateShare, f.MaxLateDelay = v[0], v[1], v[2], time.Duration(v[3]*float64(time.Millisecond)), v[4], MaxPacketDelay
	})
	return nil
}
