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

// RunLeaseRouter is the program that the proof starts as a router: it acts under each task's lease while it has it.
func RunLeaseRouter(at process.ChildOptions, address, name string, bulk int) error {
	return process.RunChild(at, nil, func(l *leaseservice.Service) {
		for n := range bulk {
			if _, err := l.RequestLease(lease.Request{Lease: fmt.Sprint("bulk-", n), Length: leaseLength.Microseconds()}, nil); err != nil {
				fmt.Fprintln(os.Stderr, "no lease:", err)
			}
		}
		for n := range taskLeases {
			go actUnderLease(l, address, name, fmt.Sprint("task-", n))
		}
	})
}

// actUnderLease wants a lease for good and acts under it again and again.
func actUnderLease(l *leaseservice.Service, address, name, task string) {
	t, err := l.RequestLease(lease.Request{Lease: task, Length: leaseLength.Microseconds()}, nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "no lease:", err)
		return
	}
	c := resource.NewClient(address, name)
	for ; ; time.Sleep(actInterval) {
		if term, _ := t.Held(); term == 0 || c.Announce(task) != nil {
			continue
		}
		err := t.Do(context.Background(), actBound, func(_ context.Context, term uint64) error {
			_, err := c.Execute(term)
			return err
		})
		if err == nil {
			c.Finish()
		}
	}
}

// RunWorkload is the command that runs under a lease: it lasts until it is ended, or its work is done.
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

// RunWorkloadWithLease is the asker of a command in the proof: what cairntiller lease hold does, on a machine with a clock of its
// own.
func RunWorkloadWithLease(socket, clock, keep, address, holder, name string, length time.Duration) (int, error) {
	self, err := os.Executable()
	if err != nil {
		return 1, err
	}
	span := 2 * leaseLength
	if keep != "keep" { // what outlasts its lease has to be at work when the lease has passed on
		span *= 5
	}
	return supervisor.RunWithLease(socket, name, supervisor.Options{Length: length}, []string{self, keep, "--clock", clock},
		[]string{self, "work", "--acts", address, "--holder", holder, "--span", span.String(), name})
}

// SuperviseCommand is the supervisor of a command in the proof.
func SuperviseCommand(clock string, room time.Duration, command []string) (int, error) {
	skew, err := process.ParseClockSkew(clock)
	if err != nil {
		return 1, err
	}
	return supervisor.Supervise(command, os.Stdin, skew.Clock, room), nil
}

// SuperviseWithoutDeadline runs a command as a supervisor that does not end it in time; it is the planted fault.
func SuperviseWithoutDeadline(command []string) error {
	if len(command) > 0 && command[0] == "--" {
		command = command[1:]
	}
	c := exec.Command(command[0], command[1:]...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	go func() { // it ends with the proof
		io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
	return c.Run()
}
