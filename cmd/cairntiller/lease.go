package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/supervisor"
)

// socketFlag is where the running router listens for operators.
type socketFlag struct {
	Socket string `default:"/run/cairntiller/control.sock" env:"CAIRNTILLER_SOCKET" help:"The running router's socket, as (control (socket …)) of its file names it."`
}

// errHoldUsage tells how lease hold is called.
var errHoldUsage = errors.New("want lease hold NAME -- COMMAND")

// leaseCommands is cairntiller lease and its sub-commands.
type leaseCommands struct {
	List leaseListCommand `cmd:"" help:"Who holds which lease, as the voters know it."`
	Show leaseShowCommand `cmd:"" help:"The same of one lease."`
	Hold leaseHoldCommand `cmd:"" help:"Hold a lease while a command runs: lease hold NAME -- COMMAND. It is ended before the lease can pass on."`
	Free leaseFreeCommand `cmd:"" help:"Ask a lease's holder to give it up."`
	Keep leaseKeepCommand `cmd:"" hidden:""`
}

// leaseListCommand is cairntiller lease list.
type leaseListCommand struct {
	socketFlag
	JSON bool `help:"Print JSON."`
}

// Run prints all leases and voters.
func (l *leaseListCommand) Run(out io.Writer) error { return printLeases(out, l.Socket, "", l.JSON) }

// leaseShowCommand is cairntiller lease show.
type leaseShowCommand struct {
	socketFlag
	JSON bool   `help:"Print JSON."`
	Name string `arg:"" help:"The lease."`
}

// Run prints one lease and the voters.
func (l *leaseShowCommand) Run(out io.Writer) error {
	return printLeases(out, l.Socket, l.Name, l.JSON)
}

// printLeases prints what the voters know of all leases, or of the one that is named.
func printLeases(out io.Writer, socket, name string, asJSON bool) error {
	var overview leaseservice.Overview
	if err := adminsocket.Do(socket, adminsocket.Request{Command: "leases", Name: name}, &overview); err != nil {
		return err
	}
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(overview)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VOTER\tANSWERS\tSET\tABSTAINS\tWHY")
	for _, v := range overview.Voters {
		fmt.Fprintf(w, "%s\t%v\t%d\t%v\t%s\n", v.Voter, v.Answers, v.SetNumber, time.Duration(v.AbstainsMS)*time.Millisecond, v.Reason)
	}
	fmt.Fprintln(w, "\nLEASE\tHOLDER\tTERM\tLEFT\tWAITING\tGRANTED BY")
	for _, status := range overview.Leases {
		holder := status.Holder
		if holder == "" {
			holder = "-"
		}
		remaining := time.Duration(status.RemainingMS) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%d\t%s of %d\n", status.Lease, holder, status.Term, remaining, status.Waiting,
			strings.Join(status.GrantedBy, ","), status.Answers)
	}
	return w.Flush()
}

// leaseFreeCommand is cairntiller lease free.
type leaseFreeCommand struct {
	socketFlag
	Name string `arg:"" help:"The lease."`
}

// Run asks a lease's holder to give it up, and prints whom.
func (l *leaseFreeCommand) Run(out io.Writer) error {
	var status leaseservice.LeaseStatus
	if err := adminsocket.Do(l.Socket, adminsocket.Request{Command: "lease-free", Name: l.Name}, &status); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, which holds it under term %d, was asked to give it up\n", status.Holder, status.Term)
	return nil
}

// leaseHoldCommand is cairntiller lease hold.
type leaseHoldCommand struct {
	socketFlag
	Length   time.Duration `help:"Length of the lease: how long nobody has it after this machine fails."`
	Turn     time.Duration `help:"After this time others of the same priority who wait may have it."`
	Priority int           `help:"Who waits with a higher one goes first, and takes it over."`
	Wait     time.Duration `help:"Give up after this time without the lease; the exit code is 123 then."`
	Args     []string      `arg:"" passthrough:"" help:"NAME -- COMMAND and its arguments."`
}

// Run holds the lease while the command runs.
func (l *leaseHoldCommand) Run(_ io.Writer) error {
	if len(l.Args) < 3 || l.Args[1] != "--" {
		return errHoldUsage
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	options := supervisor.Options{Length: l.Length, YieldAfter: l.Turn, Priority: l.Priority, Wait: l.Wait}
	code, err := supervisor.RunWithLease(l.Socket, l.Args[0], options, []string{self, "lease", "keep"}, l.Args[2:])
	if err != nil {
		return err
	}
	return supervisor.ExitCode(code)
}

// leaseKeepCommand is the hidden cairntiller lease keep: the supervisor's process, which lease hold starts.
type leaseKeepCommand struct {
	Room time.Duration `required:""`
	Args []string      `arg:"" passthrough:""`
}

// Run runs the command until its time is over.
func (l *leaseKeepCommand) Run(_ io.Writer) error {
	return supervisor.ExitCode(supervisor.Supervise(l.Args, os.Stdin, leaseservice.Clock, l.Room))
}
