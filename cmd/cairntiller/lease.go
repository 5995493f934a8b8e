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

type leaseLine struct {
	List leaseListLine `cmd:"" help:"Who holds which lease, as the voters know it."`
	Show leaseShowLine `cmd:"" help:"The same of one lease."`
	Hold leaseHoldLine `cmd:"" help:"Hold a lease while a command runs: lease hold NAME -- COMMAND. It is ended before the lease can pass on."`
	Free leaseFreeLine `cmd:"" help:"Ask a lease's holder to give it up."`
	Keep leaseKeepLine `cmd:"" hidden:""`
}

type leaseListLine struct {
	socketFlag
	JSON bool `help:"Print JSON."`
}

func (l *leaseListLine) Run(out io.Writer) error { return leases(out, l.Socket, "", l.JSON) }

type leaseShowLine struct {
	socketFlag
	JSON bool   `help:"Print JSON."`
	Name string `arg:"" help:"The lease."`
}

func (l *leaseShowLine) Run(out io.Writer) error { return leases(out, l.Socket, l.Name, l.JSON) }

// leases prints what the voters know.
func leases(out io.Writer, socket, name string, asJSON bool) error {
	var o leaseservice.Overview
	if err := adminsocket.Ask(socket, adminsocket.Request{Command: "leases", Name: name}, &o); err != nil {
		return err
	}
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(o)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VOTER\tANSWERS\tSET\tABSTAINS\tWHY")
	for _, v := range o.Voters {
		fmt.Fprintf(w, "%s\t%v\t%d\t%v\t%s\n", v.Voter, v.Answers, v.SetNumber, time.Duration(v.AbstainsMS)*time.Millisecond, v.Reason)
	}
	fmt.Fprintln(w, "\nLEASE\tHOLDER\tTERM\tLEFT\tWAITING\tGRANTED BY")
	for _, n := range o.Leases {
		holder, left := n.Holder, time.Duration(n.RemainingMS)*time.Millisecond
		if holder == "" {
			holder = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%d\t%s of %d\n", n.Lease, holder, n.Term, left, n.Waiting, strings.Join(n.GrantedBy, ","), n.Answers)
	}
	return w.Flush()
}

type leaseFreeLine struct {
	socketFlag
	Name string `arg:"" help:"The lease."`
}

func (l *leaseFreeLine) Run(out io.Writer) error {
	var n leaseservice.LeaseStatus
	if err := adminsocket.Ask(l.Socket, adminsocket.Request{Command: "lease-free", Name: l.Name}, &n); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, which holds it under term %d, was asked to give it up\n", n.Holder, n.Term)
	return nil
}

type leaseHoldLine struct {
	socketFlag
	Length   time.Duration `help:"Length of the lease: how long nobody has it after this machine fails."`
	Turn     time.Duration `help:"After this time others of the same priority who wait may have it."`
	Priority int           `help:"Who waits with a higher one goes first, and takes it over."`
	Wait     time.Duration `help:"Give up after this time without the lease; the exit code is 123 then."`
	Args     []string      `arg:"" passthrough:"" help:"NAME -- COMMAND and its arguments."`
}

// Run holds the lease while the command runs.
func (l *leaseHoldLine) Run(_ io.Writer) error {
	if len(l.Args) < 3 || l.Args[1] != "--" {
		return errors.New("want lease hold NAME -- COMMAND")
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	code, err := supervisor.RunWithLease(l.Socket, l.Args[0], supervisor.Options{Length: l.Length, YieldAfter: l.Turn, Priority: l.Priority, Wait: l.Wait},
		[]string{self, "lease", "keep"}, l.Args[2:])
	if err != nil {
		return err
	}
	return supervisor.ExitCode(code)
}

type leaseKeepLine struct {
	Room time.Duration `required:""`
	Args []string      `arg:"" passthrough:""`
}

func (l *leaseKeepLine) Run(_ io.Writer) error {
	return supervisor.ExitCode(supervisor.Supervise(l.Args, os.Stdin, leaseservice.Clock, l.Room))
}
