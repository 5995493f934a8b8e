package proof

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"cairntiller/internal/lease"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/supervisor"
	"cairntiller/internal/testcluster/process"
	"cairntiller/internal/testcluster/resource"
)

// RunLeaseRouter runs a router process of the lease proof. It runs operations under each task lease while it holds it, and
// requests bulk more leases.
func RunLeaseRouter(options process.ChildOptions, address, name string, bulk int) error {
	return process.RunChild(options, nil, func(l *leaseservice.Service) {
		for n := range bulk {
			if _, err := l.RequestLease(lease.Request{Lease: fmt.Sprint("bulk-", n), Length: leaseLength.Microseconds()}, nil); err != nil {
				fmt.Fprintln(os.Stderr, "lease request failed:", err)
			}
		}
		for n := range taskLeaseCount {
			go operateUnderLease(l, address, name, fmt.Sprint("task-", n))
		}
	})
}

// operateUnderLease requests a lease for as long as the process runs, and runs operations while it is held.
func operateUnderLease(l *leaseservice.Service, address, name, task string) {
	guard, err := l.RequestLease(lease.Request{Lease: task, Length: leaseLength.Microseconds()}, nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lease request failed:", err)
		return
	}
	c := resource.NewClient(address, name)
	for ; ; time.Sleep(operationInterval) {
		if term, _ := guard.Held(); term == 0 || c.Announce(task) != nil {
			continue
		}
		err := guard.Do(context.Background(), operationTimeout, func(_ context.Context, term uint64) error {
			_, err := c.Execute(term)
			return err
		})
		if err == nil {
			c.Finish()
		}
	}
}

// RunWorkload is the workload of a command that runs under a lease: it uses the resource for span, unless it is ended
// before.
func RunWorkload(address, holder, name string, span time.Duration) error {
	term, err := strconv.ParseUint(os.Getenv("CAIRNTILLER_TERM"), 10, 64)
	if err != nil {
		return err
	}
	c := resource.NewClient(address, holder)
	if err := c.BeginUsage(name, term); err != nil {
		return err
	}
	time.Sleep(span)
	return nil
}

// RunWorkloadWithLease acquires a lease and runs the workload while it is held, as "cairntiller lease hold" does, but with the
// machine's skewed clock.
func RunWorkloadWithLease(socket, clock, supervisorCommand, address, holder, name string, length time.Duration) (int, error) {
	executable, err := os.Executable()
	if err != nil {
		return 1, err
	}
	span := 2 * leaseLength
	if supervisorCommand != "keep" { // the workload has to be running still when another process gets the lease
		span *= 5
	}
	return supervisor.RunWithLease(socket, name, supervisor.Options{Length: length}, []string{executable, supervisorCommand, "--clock", clock},
		[]string{executable, "work", "--acts", address, "--holder", holder, "--span", span.String(), name})
}

// SuperviseCommand runs the product's supervisor with the machine's skewed clock.
func SuperviseCommand(clock string, gracePeriod time.Duration, command []string) (int, error) {
	skew, err := process.ParseClockSkew(clock)
	if err != nil {
		return 1, err
	}
	return supervisor.Supervise(command, os.Stdin, skew.Clock, gracePeriod), nil
}

// SuperviseWithoutDeadline runs a command as a faulty supervisor that does not end it when its lease expires: a planted
// mistake.
func SuperviseWithoutDeadline(command []string) error {
	if len(command) > 0 && command[0] == "--" {
		command = command[1:]
	}
	c := exec.Command(command[0], command[1:]...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	go func() { // ends when standard input closes, which it does with the proof
		io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
	return c.Run()
}
