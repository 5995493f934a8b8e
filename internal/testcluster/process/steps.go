package process

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairntiller/internal/testcluster/faultnet"
)

// MaxPacketDelay bounds the delay of a duplicate that comes very late: over any timeout of the protocols under test.
const MaxPacketDelay = time.Minute

// PlayedStep is a step that was played, and when by the true clock, in us.
type PlayedStep struct {
	At   int64
	Step Step
}

// HandleCommand sets who executes a command that the harness does not know.
func (h *Harness) HandleCommand(command string, do func(args []string) error) {
	h.handlers[command] = do
}

// Played returns the steps that were played so far.
func (h *Harness) Played() []PlayedStep {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]PlayedStep(nil), h.played...)
}

// Play plays a script, whose times count from now, and returns when all steps are over, with their errors joined.
func (h *Harness) Play(s Script) error {
	began := time.Now()
	var wg sync.WaitGroup
	var errs []error
	var mu sync.Mutex
	for _, one := range s {
		time.Sleep(one.At - time.Since(began))
		if h.Progress != nil {
			fmt.Fprintf(h.Progress, "%7.2f s  %s %s\n", time.Since(began).Seconds(), one.Command, strings.Join(one.Args, " "))
		}
		h.recordPlayed(one)
		wg.Go(func() { // a start takes a while, and the next step must not wait for it
			if err := h.Execute(one); err != nil {
				mu.Lock()
				errs = append(errs, fmt.Errorf("%d ms %s %v: %w", one.At.Milliseconds(), one.Command, one.Args, err))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (h *Harness) recordPlayed(one Step) {
	h.mu.Lock()
	h.played = append(h.played, PlayedStep{TrueClock(), one})
	h.mu.Unlock()
}

// Errors of a step.
var (
	ErrUnknownStep    = errors.New("unknown step")
	ErrUnknownProcess = errors.New("no such process")
	ErrLinkFaults     = errors.New("fate wants five figures")
)

// Execute executes one step now. The error is one of those above, or why a process did not start or end.
func (h *Harness) Execute(step Step) error {
	if do := h.handlers[step.Command]; do != nil {
		return do(step.Args)
	}
	switch step.Command {
	case "cut":
		h.cutLinks(step.Args)
		return nil
	case "heal":
		h.changeLinks(func(f *faultnet.LinkFaults) { f.Cut = false })
		return nil
	case "fate":
		return h.setLinkFaults(step.Args)
	}
	act := processSteps[step.Command]
	if act == nil {
		return fmt.Errorf("%w %q", ErrUnknownStep, step.Command)
	}
	i, err := h.processNumber(step.Args)
	if err != nil {
		return err
	}
	return act(h, i)
}

// processSteps are the commands on one process.
var processSteps = map[string]func(h *Harness, i int) error{
	"kill": func(h *Harness, i int) error {
		h.setEnded(i, true)
		h.Router(i).Kill()
		return nil
	},
	"term": func(h *Harness, i int) error {
		h.setEnded(i, true)
		return h.Router(i).Stop()
	},
	"start": (*Harness).startEnded,
	"bare": func(h *Harness, i int) error {
		if err := os.RemoveAll(h.StateFolder(i)); err != nil {
			return err
		}
		return h.startEnded(i)
	},
	"stop": func(h *Harness, i int) error {
		h.Router(i).Signal(syscall.SIGSTOP)
		return nil
	},
	"cont": func(h *Harness, i int) error {
		h.Router(i).Signal(syscall.SIGCONT)
		return nil
	},
}

// processNumber reads the first argument of a command on one process.
func (h *Harness) processNumber(args []string) (int, error) {
	if len(args) > 0 {
		if i, err := strconv.Atoi(args[0]); err == nil && i >= 0 && i < len(h.processes) {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%w: %q", ErrUnknownProcess, args)
}

// startEnded starts a process that a step has ended; one that runs is left alone.
func (h *Harness) startEnded(i int) error {
	if !h.setEnded(i, false) {
		return nil
	}
	return h.Router(i).Start()
}

// setEnded notes whether a step has ended a process, and returns what it was before.
func (h *Harness) setEnded(i int, ended bool) (before bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = h.processes[i].ended
	h.processes[i].ended = ended
	return before
}

// IsRunning reports whether no step has ended the process.
func (h *Harness) IsRunning(i int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.processes[i].ended
}

// cutLinks cuts the links from one process to another, "*" for all; both ways if there is a third argument.
func (h *Harness) cutLinks(args []string) {
	matches := func(arg string, i int) bool { return arg == "*" || arg == strconv.Itoa(i) }
	bothWays := len(args) > 2
	h.eachLink(func(from, to int) {
		if matches(args[0], from) && matches(args[1], to) || bothWays && matches(args[0], to) && matches(args[1], from) {
			faults := h.Relays.Faults(from, to)
			faults.Cut = true
			h.Relays.SetFaults(from, to, faults)
		}
	})
}

// changeLinks changes the faults of all links.
func (h *Harness) changeLinks(change func(f *faultnet.LinkFaults)) {
	h.eachLink(func(from, to int) {
		faults := h.Relays.Faults(from, to)
		change(&faults)
		h.Relays.SetFaults(from, to, faults)
	})
}

// eachLink calls do for each ordered pair of processes.
func (h *Harness) eachLink(do func(from, to int)) {
	for from := range h.processes {
		for to := range h.processes {
			if from != to {
				do(from, to)
			}
		}
	}
}

// setLinkFaults sets the faults of all links but cuts: loss, duplication, corruption, delay in ms, share of late duplicates.
func (h *Harness) setLinkFaults(args []string) error {
	var figures [5]float64
	if len(args) < len(figures) {
		return ErrLinkFaults
	}
	for i := range figures {
		var err error
		if figures[i], err = strconv.ParseFloat(args[i], 64); err != nil {
			return err
		}
	}
	h.changeLinks(func(f *faultnet.LinkFaults) {
		f.Loss = figures[0]
		f.Duplication = figures[1]
		f.Corruption = figures[2]
		f.MaxDelay = time.Duration(figures[3] * float64(time.Millisecond))
		f.LateShare = figures[4]
		f.MaxLateDelay = MaxPacketDelay
	})
	return nil
}
