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
	process.RegisterCommand("free", "LEASE: ask its holder to release it")
	process.RegisterCommand("stop-hold", "N/LEASE: stop the process of machine N that holds the lease for a command (SIGSTOP)")
	process.RegisterCommand("cont-hold", "N/LEASE: resume it")
	process.RegisterCommand("stop-at", "LEASE: stop the router that used it last")
	process.RegisterCommand("kill-at", "LEASE: kill the router that used it last")
	process.RegisterCommand("voters", "NUMBER NAMES BEFORE: put another voter set in every operator's file, names joined by commas")
	process.RegisterCommand("up", "resume every process, and start those that were killed")
}

// RandomScript returns the script of random mixed faults.
func (p LeaseProof) RandomScript() process.Script {
	n := p.Voters + p.Others
	step := func(at time.Duration, command string, args ...string) process.Step {
		return process.Step{At: at, Command: command, Args: args}
	}
	s := process.RandomScript(p.Seed, n, leaseLength/2, p.Span,
		func(rng *rand.Rand, at time.Duration) []process.Step {
			return []process.Step{step(at, "free", fmt.Sprint("task-", rng.IntN(taskLeaseCount)))}
		},
		func(rng *rand.Rand, at time.Duration) []process.Step {
			target := fmt.Sprintf("%d/work-%d", rng.IntN(n), rng.IntN(workLeaseCount))
			return []process.Step{step(at, "stop-hold", target), step(at+time.Duration(rng.Int64N(int64(2*leaseLength))), "cont-hold", target)}
		},
		func(rng *rand.Rand, at time.Duration) []process.Step {
			return []process.Step{step(at, "stop-at", fmt.Sprint("work-", rng.IntN(workLeaseCount)))}
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

// changeVoters writes another voter set to every operator's file and makes the processes reload it.
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

// resumeAll resumes all processes and starts those that are down.
func (run *leaseRun) resumeAll() error {
	var errs []error
	for i := range run.proof.Voters + run.proof.Others {
		run.harness.Router(i).Signal(syscall.SIGCONT)
		errs = append(errs, run.harness.Execute(process.Step{Command: "start", Args: []string{strconv.Itoa(i)}}))
	}
	run.mu.Lock()
	for _, one := range run.leaseCommands {
		one.Process.Signal(syscall.SIGCONT)
	}
	run.mu.Unlock()
	return errors.Join(errs...)
}

// executeAtHolder executes a step on the router that used a lease last, if it is running.
func (run *leaseRun) executeAtHolder(args []string, command string) error {
	if n := run.lastHolder(args[0]); n >= 0 && run.harness.IsRunning(n) {
		return run.harness.Execute(process.Step{Command: command, Args: []string{strconv.Itoa(n)}})
	}
	return nil
}

// freeLease asks a lease's holder to release it, through the first running router that accepts the request.
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

// runCommands runs commands under a lease on one machine, one after another, until the run ends.
func (run *leaseRun) runCommands(i int, name string) {
	executable, err := os.Executable()
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
		supervisorCommand := "keep"
		if run.proof.Unsupervised {
			supervisorCommand = "bad-keep"
		}
		cmd := exec.Command(executable, "hold", "--socket", run.harness.AdminSocket(i), "--clock", run.harness.ClockSkew(i).String(), "--keeper", supervisorCommand, "--length", leaseLength.String(),
			"--acts", run.resource.Address(), "--holder", process.ProcessName(i), name)
		cmd.Stderr = run.proof.Log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		run.mu.Lock()
		select {
		case <-run.ended: // no command starts once stopCommands has begun to end them
			run.mu.Unlock()
			return
		default:
		}
		if err := cmd.Start(); err != nil {
			run.mu.Unlock()
			return
		}
		run.leaseCommands[key] = cmd
		run.mu.Unlock()
		cmd.Wait()
		run.mu.Lock()
		delete(run.leaseCommands, key)
		run.mu.Unlock()
	}
}

// signalLeaseCommand sends a signal to a process that holds a lease for a command.
func (run *leaseRun) signalLeaseCommand(key string, s syscall.Signal) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if one := run.leaseCommands[key]; one != nil {
		one.Process.Signal(s)
	}
}

// stopCommands kills the processes that hold leases for commands, and with them the commands.
func (run *leaseRun) stopCommands() {
	run.mu.Lock()
	select {
	case <-run.ended:
	default:
		close(run.ended)
	}
	for _, one := range run.leaseCommands {
		one.Process.Kill()
	}
	run.mu.Unlock()
	run.commandLoops.Wait()
}

// lastHolder returns the number of the process that used a lease last, as recorded by the resource; -1 if there is none.
func (run *leaseRun) lastHolder(name string) int {
	holder, at := "", int64(0)
	for _, a := range run.resource.Operations() {
		if a.Lease == name && a.Accepted && a.CheckedAt > at {
			holder, at = a.Holder, a.CheckedAt
		}
	}
	for _, r := range run.resource.Usages() {
		if r.Lease == name && r.Begin > at {
			holder, at = r.Holder, r.Begin
		}
	}
	n, err := strconv.Atoi(strings.TrimPrefix(holder, "r"))
	if err != nil {
		return -1
	}
	return n
}
