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

// socketFlag is the path of the running router's admin socket.
type socketFlag struct {
	Socket string `default:"/run/cairntiller/control.sock" env:"CAIRNTILLER_SOCKET" help:"Admin socket of the running router, as set by (control (socket …)) in its file."`
}

// errHoldUsage is returned if the arguments of lease hold are not NAME -- COMMAND.
var errHoldUsage = errors.New("usage: lease hold NAME -- COMMAND")

// leaseCommands is cairntiller lease and its sub-commands.
type leaseCommands struct {
	List leaseListCommand `cmd:"" help:"List all leases and their holders, as known to the voters."`
	Show leaseShowCommand `cmd:"" help:"Show one lease and the voters."`
	Hold leaseHoldCommand `cmd:"" help:"Hold a lease while a command runs: lease hold NAME -- COMMAND. The command is stopped before another holder can get the lease."`
	Free leaseFreeCommand `cmd:"" help:"Ask the holder of a lease to release it."`
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
	Name string `arg:"" help:"Name of the lease."`
}

// Run prints one lease and the voters.
func (l *leaseShowCommand) Run(out io.Writer) error {
	return printLeases(out, l.Socket, l.Name, l.JSON)
}

// printLeases prints the voters, and all leases as the voters know them or only the named one.
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
	Name string `arg:"" help:"Name of the lease."`
}

// Run asks the holder of a lease to release it, and prints the holder.
func (l *leaseFreeCommand) Run(out io.Writer) error {
	var status leaseservice.LeaseStatus
	if err := adminsocket.Do(l.Socket, adminsocket.Request{Command: "lease-free", Name: l.Name}, &status); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, which holds the lease under term %d, was asked to release it\n", status.Holder, status.Term)
	return nil
}

// leaseHoldCommand is cairntiller lease hold.
type leaseHoldCommand struct {
	socketFlag
	Length   time.Duration `help:"Length of the lease, which is also how long it stays unavailable after this machine fails."`
	Turn     time.Duration `help:"Time after which waiting candidates of the same priority may get the lease."`
	Priority int           `help:"Candidates with a higher priority get the lease first and take it over from a holder with a lower one."`
	Wait     time.Duration `help:"Longest time to wait for the lease; after it the exit code is 123."`
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

// leaseKeepCommand is the hidden sub-command cairntiller lease keep, the supervisor process that lease hold starts.
type leaseKeepCommand struct {
	Room time.Duration `required:""`
	Args []string      `arg:"" passthrough:""`
}

// Run runs the command until it ends or its time is over.
func (l *leaseKeepCommand) Run(_ io.Writer) error {
	return supervisor.ExitCode(supervisor.Supervise(l.Args, os.Stdin, leaseservice.Clock, l.Room))
}
