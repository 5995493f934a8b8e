package proof

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/testcluster/process"
)

func init() {
	process.RegisterCommand("free", "LEASE: ask its holder to give it up")
	process.RegisterCommand("stop-hold", "N/LEASE: hold the asker of a command still")
	process.RegisterCommand("cont-hold", "N/LEASE: let it go on")
	process.RegisterCommand("stop-at", "LEASE: hold the router still that has it")
	process.RegisterCommand("kill-at", "LEASE: kill the router that has it")
	process.RegisterCommand("voters", "NUMBER NAMES BEFORE: another set of voters in every file, names joined by commas")
	process.RegisterCommand("up", "let every process go on, and start those that were killed")
}

// RandomScript makes the script of mixed faults.
func (p LeaseProof) RandomScript() process.Script {
	n := p.Voters + p.Others
	step := func(at time.Duration, do string, args ...string) process.Step {
		return process.Step{At: at, Command: do, Args: args}
	}
	s := process.RandomScript(p.Seed, n, leaseLength/2, p.Span,
		func(rng *rand.Rand, at time.Duration) []process.Step {
			return []process.Step{step(at, "free", fmt.Sprint("task-", rng.IntN(taskLeases)))}
		},
		func(rng *rand.Rand, at time.Duration) []process.Step {
			who := fmt.Sprintf("%d/work-%d", rng.IntN(n), rng.IntN(workLeases))
			return []process.Step{step(at, "stop-hold", who), step(at+time.Duration(rng.Int64N(int64(2*leaseLength))), "cont-hold", who)}
		},
		func(rng *rand.Rand, at time.Duration) []process.Step {
			return []process.Step{step(at, "stop-at", fmt.Sprint("work-", rng.IntN(workLeases)))}
		},
		func(rng *rand.Rand, at time.Duration) (all []process.Step) {
			if rng.IntN(2) == 0 {
				return nil
			}
			for i := range p.Voters { // all voters at once
				all = append(all, step(at, "kill", strconv.Itoa(i)), step(at+time.Duration(rng.Int64N(int64(leaseLength))), "start", strconv.Itoa(i)))
			}
			return all
		})
	s = append(s, step(p.Span, "up"))
	return s
}

// changeVoters brings another set of voters to every process.
func (run *leaseRun) changeVoters(args []string) error {
	number, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	for i := range run.proof.Voters + run.proof.Others {
		if err := run.harness.WriteOperatorFile(i, run.operatorFile(strings.Split(args[1], ","), number, strings.Split(args[2], ","), i)); err != nil {
			return err
		}
		run.harness.Router(i).Signal(syscall.SIGHUP)
	}
	return nil
}

// resumeAll lets all processes go on and starts those that are down.
func (run *leaseRun) resumeAll() error {
	var errs []error
	for i := range run.proof.Voters + run.proof.Others {
		run.harness.Router(i).Signal(syscall.SIGCONT)
		errs = append(errs, run.harness.Execute(process.Step{Command: "start", Args: []string{strconv.Itoa(i)}}))
	}
	run.mu.Lock()
	for _, one := range run.askers {
		one.Process.Signal(syscall.SIGCONT)
	}
	run.mu.Unlock()
	return errors.Join(errs...)
}

// executeAtHolder does something to the router that acted on a lease last, if it runs.
func (run *leaseRun) executeAtHolder(args []string, do string) error {
	if n := run.lastHolder(args[0]); n >= 0 && run.harness.IsRunning(n) {
		return run.harness.Execute(process.Step{Command: do, Args: []string{strconv.Itoa(n)}})
	}
	return nil
}

// freeLease asks a lease's holder to give it up, through some router that is up.
func (run *leaseRun) freeLease(name string) {
	for i := range run.proof.Voters + run.proof.Others {
		if !run.harness.IsRunning(i) {
			continue
		}
		var n leaseservice.LeaseStatus
		if adminsocket.Do(run.harness.AdminSocket(i), adminsocket.Request{Command: "lease-free", Name: name}, &n) == nil {
			return
		}
	}
}

// runCommands runs a command under a lease on one machine, again and again.
func (run *leaseRun) runCommands(i int, name string) {
	self, err := os.Executable()
	if err != nil {
		return
	}
	key := fmt.Sprintf("%d/%s", i, name)
	for {
		select {
		case <-run.ended:
			return
		case <-time.After(50 * time.Millisecond):
		}
		keep := "keep"
		if run.proof.Unsupervised {
			keep = "bad-keep"
		}
		cmd := exec.Command(self, "hold", "--socket", run.harness.AdminSocket(i), "--clock", run.harness.ClockSkew(i).String(), "--keeper", keep, "--length", leaseLength.String(),
			"--acts", run.resource.Address(), "--holder", process.ProcessName(i), name)
		cmd.Stderr = run.proof.Log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		run.mu.Lock()
		select {
		case <-run.ended: // none starts once they are being ended
			run.mu.Unlock()
			return
		default:
		}
		if err := cmd.Start(); err != nil {
			run.mu.Unlock()
			return
		}
		run.askers[key] = cmd
		run.mu.Unlock()
		cmd.Wait()
		run.mu.Lock()
		delete(run.askers, key)
		run.mu.Unlock()
	}
}

// signalAsker sends a signal to the asker of a command.
func (run *leaseRun) signalAsker(key string, s syscall.Signal) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if one := run.askers[key]; one != nil {
		one.Process.Signal(s)
	}
}

// stopCommands ends the commands and their askers.
func (run *leaseRun) stopCommands() {
	run.mu.Lock()
	select {
	case <-run.ended:
	default:
		close(run.ended)
	}
	for _, one := range run.askers {
		one.Process.Kill()
	}
	run.mu.Unlock()
	run.commands.Wait()
}

// lastHolder is who acted on a lease last, as the resource saw it; -1 for nobody.
func (run *leaseRun) lastHolder(name string) int {
	who, at := "", int64(0)
	for _, a := range run.resource.Operations() {
		if a.Lease == name && a.Accepted && a.CheckedAt > at {
			who, at = a.Holder, a.CheckedAt
		}
	}
	for _, r := range run.resource.Usages() {
		if r.Lease == name && r.Begin > at {
			who, at = r.Holder, r.Begin
		}
	}
	n, err := strconv.Atoi(strings.TrimPrefix(who, "r"))
	if err != nil {
		return -1
	}
	return n
}
