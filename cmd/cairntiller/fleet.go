package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/rollout"
	"cairntiller/internal/rolloutservice"
	"cairntiller/internal/supervisor"
)

// fleetCommands are the sub-commands on rollout plans. Each is sent to the socket of a running router, which forwards it to
// the router that leads rollouts.
type fleetCommands struct {
	Status fleetStatusCommand `cmd:"" help:"Show all plans and their state."`
	Plan   fleetPlanCommand   `cmd:"" help:"Read a plan and print its waves and the maximum number of units out at once, without starting it."`
	Start  fleetStartCommand  `cmd:"" help:"Start a plan."`
	Halt   fleetHaltCommand   `cmd:"" help:"Halt a plan: no further units go out; units that are out may return."`
	Resume fleetResumeCommand `cmd:"" help:"Resume a halted plan."`
	Back   fleetBackCommand   `cmd:"" help:"Roll a plan back."`
	Drain  fleetDrainCommand  `cmd:"" help:"Drain nodes until fleet return."`
	Return fleetReturnCommand `cmd:"" help:"Return a drained node to service."`
	Forget fleetForgetCommand `cmd:"" help:"Remove a unit from a plan and free its slot, or remove a member that is missing for good."`
	Begin  fleetBeginCommand  `cmd:"" help:"Recover from the records that are left after voters have lost theirs."`
}

// exitHalted is the exit code of fleet start --wait if the plan halts or is rolled back.
const exitHalted = 3

// commandFlags are the flags of every sub-command that sends a command to the leader.
type commandFlags struct {
	socketFlag
	Token string `help:"Idempotency token: a command repeated with the same token is the same command."`
}

// send sends a command to the leader, through the router at the socket, and returns once it is accepted.
func (f *commandFlags) send(out io.Writer, c rollout.Command) error {
	c.Token = f.Token
	text, err := rolloutservice.EncodeCommand(c)
	if err != nil {
		return err
	}
	var token string // the reply is the command's token; its arrival shows that the command was accepted
	if err := adminsocket.Do(f.Socket, adminsocket.Request{Command: "fleet-word", Text: text}, &token); err != nil {
		return err
	}
	fmt.Fprintln(out, "taken")
	return nil
}

type fleetStatusCommand struct {
	socketFlag
	JSON bool `help:"Print JSON."`
}

// queryStatus queries one router for the state of rollouts.
func queryStatus(socket string) (s rolloutservice.Status, err error) {
	err = adminsocket.Do(socket, adminsocket.Request{Command: "fleet-status"}, &s)
	return s, err
}

// Run prints the leader and all plans.
func (l *fleetStatusCommand) Run(out io.Writer) error {
	s, err := queryStatus(l.Socket)
	if err != nil {
		return err
	}
	if l.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	switch {
	case s.Leads:
		fmt.Fprintf(out, "%s leads under term %d\n", s.Router, s.Term)
	case s.NotLeadingReason != "":
		fmt.Fprintf(out, "%s holds the lease but does not lead: %s\n", s.Router, s.NotLeadingReason)
	default:
		fmt.Fprintf(out, "%s does not lead; the last leader it knows of is %s\n", s.Router, s.Leader)
	}
	if len(s.DrainedNodes) > 0 {
		fmt.Fprintln(out, "drained:", strings.Join(s.DrainedNodes, " "))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PLAN\tKIND\tSTATE\tWAVE\tDONE\tHOLDING SLOTS\tWHY")
	for _, p := range s.Plans {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d of %d\t%s\t%s\n", p.ID, p.Kind, p.State, p.Wave, p.Phases[rollout.PhaseDone.String()], p.Units, strings.Join(p.Holding, ", "), p.Reason)
	}
	return w.Flush()
}

type fleetPlanCommand struct {
	File string `arg:"" type:"existingfile" help:"File with one part (plan …)."`
}

// Run prints the waves of a plan without starting it.
func (l *fleetPlanCommand) Run(out io.Writer) error {
	p, err := rolloutservice.ReadPlan(l.File)
	if err != nil {
		return err
	}
	waves, maxOut := rollout.PreviewWaves(p, len(p.Units))
	for i, units := range waves {
		fmt.Fprintf(out, "wave %d: %s\n", i+1, strings.Join(units, " "))
	}
	fmt.Fprintf(out, "at most %d of %d out at once, planned or not, if no other units are known\n", maxOut, len(p.Units))
	return nil
}

type fleetStartCommand struct {
	commandFlags
	Wait bool   `help:"Wait for the plan to end and print its progress; the exit code is 3 if it halts or is rolled back."`
	File string `arg:"" type:"existingfile" help:"File with one part (plan …)."`
}

// Run starts a plan, and waits for its end if Wait is set.
func (l *fleetStartCommand) Run(out io.Writer) error {
	p, err := rolloutservice.ReadPlan(l.File)
	if err != nil {
		return err
	}
	if err := l.send(out, rollout.Command{Type: rollout.CommandStart, Plan: p}); err != nil {
		return err
	}
	if l.Wait {
		return waitForPlan(out, l.Socket, p.ID)
	}
	return nil
}

// waitForPlan prints each change of a plan until the plan is settled, that is, makes no progress without an operator. It
// returns an exit code as the error if the plan is not finished then.
func waitForPlan(out io.Writer, socket, id string) error {
	last := ""
	for ; ; time.Sleep(time.Second) {
		s, err := queryStatus(socket)
		if err != nil {
			continue // the router may itself be out of service
		}
		for _, p := range s.Plans {
			if p.ID != id {
				continue
			}
			line := fmt.Sprintf("%s, wave %d, %d of %d done, slots: %s (%s)", p.State, p.Wave, p.Phases[rollout.PhaseDone.String()], p.Units,
				strings.Join(p.Holding, ", "), p.Reason)
			if line != last {
				fmt.Fprintln(out, line)
				last = line
			}
			if p.State == rollout.StateFinished.String() {
				return nil
			}
			if p.Settled() {
				return supervisor.ExitCode(exitHalted)
			}
		}
	}
}

// planCommand has the flags and arguments of a command on one plan.
type planCommand struct {
	commandFlags
	ID string `arg:"" help:"ID of the plan."`
}

type fleetHaltCommand struct{ planCommand }

// Run halts a plan.
func (l *fleetHaltCommand) Run(out io.Writer) error {
	return l.send(out, rollout.Command{Type: rollout.CommandHalt, PlanID: l.ID})
}

type fleetResumeCommand struct{ planCommand }

// Run resumes a halted plan.
func (l *fleetResumeCommand) Run(out io.Writer) error {
	return l.send(out, rollout.Command{Type: rollout.CommandResume, PlanID: l.ID})
}

type fleetBackCommand struct{ planCommand }

// Run rolls a plan back.
func (l *fleetBackCommand) Run(out io.Writer) error {
	return l.send(out, rollout.Command{Type: rollout.CommandRollBack, PlanID: l.ID})
}

type fleetDrainCommand struct {
	commandFlags
	Nodes []string `arg:"" help:"Nodes to drain. Each gets a plan of its own, drain-NODE, and stays out until it is returned."`
}

// Run starts, for each node, a plan that drains it.
func (l *fleetDrainCommand) Run(out io.Writer) error {
	for _, name := range l.Nodes {
		p := rollout.Plan{ID: "drain-" + name, Kind: rollout.KindNodes, Units: []string{name}, ProgressTimeout: 24 * 3600 * 1_000_000}
		if err := l.send(out, rollout.Command{Type: rollout.CommandStart, Plan: p}); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

type fleetReturnCommand struct {
	commandFlags
	ID   string `help:"Plan that drained the node; default is drain-NODE."`
	Node string `arg:"" help:"Name of the node."`
}

// Run returns a node to service through the plan that drained it.
func (l *fleetReturnCommand) Run(out io.Writer) error {
	id := l.ID
	if id == "" {
		id = "drain-" + l.Node
	}
	return l.send(out, rollout.Command{Type: rollout.CommandReturn, PlanID: id, Unit: l.Node})
}

type fleetForgetCommand struct {
	commandFlags
	ID   string `help:"Plan that the unit belongs to; without it the unit is a missing member."`
	Unit string `arg:"" help:"Name of the unit or member."`
}

// Run removes a unit from a plan, or a missing member.
func (l *fleetForgetCommand) Run(out io.Writer) error {
	return l.send(out, rollout.Command{Type: rollout.CommandForget, PlanID: l.ID, Unit: l.Unit})
}

type fleetBeginCommand struct{ commandFlags }

// Run makes the leader recover from the records that the voters still have.
func (l *fleetBeginCommand) Run(out io.Writer) error {
	return l.send(out, rollout.Command{Type: rollout.CommandForceRecovery})
}
