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

// MaxLateDelay bounds the delay of late duplicates. It is longer than any timeout of the protocols under test.
const MaxLateDelay = time.Minute

// PlayedStep is a step that was played, with the time of the true clock in us.
type PlayedStep struct {
	At   int64
	Step Step
}

// HandleCommand sets the handler of a script command. It takes precedence over a built-in command of the same name.
func (h *Harness) HandleCommand(command string, handler func(args []string) error) {
	h.handlers[command] = handler
}

// Played returns the steps played so far.
func (h *Harness) Played() []PlayedStep {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]PlayedStep(nil), h.played...)
}

// Play plays a script, with times relative to the call. It returns when all steps are done, with their errors joined.
func (h *Harness) Play(s Script) error {
	start := time.Now()
	var wg sync.WaitGroup
	var errs []error
	var mu sync.Mutex
	for _, step := range s {
		time.Sleep(step.At - time.Since(start))
		if h.Progress != nil {
			fmt.Fprintf(h.Progress, "%7.2f s  %s %s\n", time.Since(start).Seconds(), step.Command, strings.Join(step.Args, " "))
		}
		h.recordPlayed(step)
		wg.Go(func() { // starting a process takes time and must not delay the next step
			if err := h.Execute(step); err != nil {
				mu.Lock()
				errs = append(errs, fmt.Errorf("%d ms %s %v: %w", step.At.Milliseconds(), step.Command, step.Args, err))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// recordPlayed records a step with the current time of the true clock.
func (h *Harness) recordPlayed(step Step) {
	h.mu.Lock()
	h.played = append(h.played, PlayedStep{TrueClock(), step})
	h.mu.Unlock()
}

// Errors that Execute returns for invalid steps.
var (
	ErrUnknownStep    = errors.New("unknown command")
	ErrUnknownProcess = errors.New("invalid process number")
	ErrLinkFaults     = errors.New("fate needs five numbers")
)

// Execute executes one step immediately. The error is one of the errors above, an invalid number, an error of a handler, or the
// reason why a process failed to start or stop.
func (h *Harness) Execute(step Step) error {
	if handler := h.handlers[step.Command]; handler != nil {
		return handler(step.Args)
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
	run := processSteps[step.Command]
	if run == nil {
		return fmt.Errorf("%w %q", ErrUnknownStep, step.Command)
	}
	i, err := h.processNumber(step.Args)
	if err != nil {
		return err
	}
	return run(h, i)
}

// processSteps holds the built-in commands that act on one process.
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

// processNumber parses the process number in the first argument of a command.
func (h *Harness) processNumber(args []string) (int, error) {
	if len(args) > 0 {
		if i, err := strconv.Atoi(args[0]); err == nil && i >= 0 && i < len(h.processes) {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%w: %q", ErrUnknownProcess, args)
}

// startEnded starts a process that a step has ended. It does nothing if the process runs.
func (h *Harness) startEnded(i int) error {
	if !h.setEnded(i, false) {
		return nil
	}
	return h.Router(i).Start()
}

// setEnded records whether a step has ended a process, and returns the previous value.
func (h *Harness) setEnded(i int, ended bool) (wasEnded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasEnded = h.processes[i].ended
	h.processes[i].ended = ended
	return wasEnded
}

// IsRunning reports whether a process runs, as far as steps have started and ended it.
func (h *Harness) IsRunning(i int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.processes[i].ended
}

// cutLinks cuts the link from one process to another, where "*" stands for all processes. A third argument cuts both directions.
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

// changeLinks applies a change to the faults of each link.
func (h *Harness) changeLinks(change func(f *faultnet.LinkFaults)) {
	h.eachLink(func(from, to int) {
		faults := h.Relays.Faults(from, to)
		change(&faults)
		h.Relays.SetFaults(from, to, faults)
	})
}

// eachLink calls visit for each ordered pair of different processes.
func (h *Harness) eachLink(visit func(from, to int)) {
	for from := range h.processes {
		for to := range h.processes {
			if from != to {
				visit(from, to)
			}
		}
	}
}

// setLinkFaults sets the faults of all links: loss, duplication, corruption, maximum delay in ms, and share of late duplicates.
// Cuts stay as they are.
func (h *Harness) setLinkFaults(args []string) error {
	var values [5]float64
	if len(args) < len(values) {
		return ErrLinkFaults
	}
	for i := range values {
		var err error
		if values[i], err = strconv.ParseFloat(args[i], 64); err != nil {
			return err
		}
	}
	h.changeLinks(func(f *faultnet.LinkFaults) {
		f.Loss = values[0]
		f.Duplication = values[1]
		f.Corruption = values[2]
		f.MaxDelay = time.Duration(values[3] * float64(time.Millisecond))
		f.LateShare = values[4]
		f.MaxLateDelay = MaxLateDelay
	})
	return nil
}
