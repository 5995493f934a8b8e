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

// fleetCommands are the commands on rollout plans; the running router that each reaches by its socket hands it to whoever leads.
type fleetCommands struct {
	Status fleetStatusCommand `cmd:"" help:"Plans and how they stand."`
	Plan   fleetPlanCommand   `cmd:"" help:"Read a plan and print its waves and the greatest number out; nothing is begun."`
	Start  fleetStartCommand  `cmd:"" help:"Begin a plan."`
	Halt   fleetHaltCommand   `cmd:"" help:"Let nobody new go out by a plan; who is out may come back."`
	Resume fleetResumeCommand `cmd:"" help:"Go on with a halted plan."`
	Back   fleetBackCommand   `cmd:"" help:"Bring what a plan touched back."`
	Drain  fleetDrainCommand  `cmd:"" help:"Drain nodes until they are returned."`
	Return fleetReturnCommand `cmd:"" help:"Bring a drained node back."`
	Forget fleetForgetCommand `cmd:"" help:"Answer for a unit that is out, or a member that is missed for good."`
	Begin  fleetBeginCommand  `cmd:"" help:"Go on from what is left, where voters have forgotten what they kept."`
}

// exitHalted tells that a plan that was waited for halted or went back.
const exitHalted = 3

// commandFlags are the flags of everything that is a command to the leader.
type commandFlags struct {
	socketFlag
	Token string `help:"Says that a word given again is the same word."`
}

// send gives a command to whoever leads and returns when it was accepted.
func (f *commandFlags) send(out io.Writer, c rollout.Command) error {
	c.Token = f.Token
	text, err := rolloutservice.EncodeCommand(c)
	if err != nil {
		return err
	}
	var token string // the answer is the command's token; it is read only to learn that the command was accepted
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

// status asks one router how rollouts stand.
func status(socket string) (s rolloutservice.Status, err error) {
	err = adminsocket.Do(socket, adminsocket.Request{Command: "fleet-status"}, &s)
	return s, err
}

// Run prints all plans, and who leads.
func (l *fleetStatusCommand) Run(out io.Writer) error {
	s, err := status(l.Socket)
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
		fmt.Fprintf(out, "%s holds the lease and does not lead: %s\n", s.Router, s.NotLeadingReason)
	default:
		fmt.Fprintf(out, "%s does not lead; it last heard of %s\n", s.Router, s.Leader)
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
	File string `arg:"" type:"existingfile" help:"A file with one part (plan …)."`
}

// Run prints a plan's waves and begins nothing.
func (l *fleetPlanCommand) Run(out io.Writer) error {
	p, err := rolloutservice.ReadPlan(l.File)
	if err != nil {
		return err
	}
	waves, most := rollout.PreviewWaves(p, len(p.Units))
	for i, units := range waves {
		fmt.Fprintf(out, "wave %d: %s\n", i+1, strings.Join(units, " "))
	}
	fmt.Fprintf(out, "at most %d of %d out at once, planned or not, if no more are known\n", most, len(p.Units))
	return nil
}

type fleetStartCommand struct {
	commandFlags
	Wait bool   `help:"Wait for its end and print how it goes on; the exit code is 3 where it halts or goes back."`
	File string `arg:"" type:"existingfile" help:"A file with one part (plan …)."`
}

// Run begins a plan, and waits for its end if Wait is set.
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

// waitForPlan prints each change of a plan until nothing more happens to it by itself. Its error is an exit code where
// the plan is not finished then.
func waitForPlan(out io.Writer, socket, id string) error {
	last := ""
	for ; ; time.Sleep(time.Second) {
		s, err := status(socket)
		if err != nil {
			continue // the router may be out itself
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

// planCommand is what a command on one plan takes.
type planCommand struct {
	commandFlags
	ID string `arg:"" help:"The plan."`
}

type fleetHaltCommand struct{ planCommand }

// Run halts a plan.
func (l *fleetHaltCommand) Run(out io.Writer) error {
	return l.send(out, rollout.Command{Type: rollout.CommandHalt, PlanID: l.ID})
}

type fleetResumeCommand struct{ planCommand }

// Run lets a halted plan go on.
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
	Nodes []string `arg:"" help:"Nodes. Each is a plan of its own, by the name drain-NODE, out until it is returned."`
}

// Run begins a plan for each node, which drains it.
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
	ID   string `help:"The plan that drained it; drain-NODE unless it is said."`
	Node string `arg:"" help:"The node."`
}

// Run ends the plan that drained a node.
func (l *fleetReturnCommand) Run(out io.Writer) error {
	id := l.ID
	if id == "" {
		id = "drain-" + l.Node
	}
	return l.send(out, rollout.Command{Type: rollout.CommandReturn, PlanID: id, Unit: l.Node})
}

type fleetForgetCommand struct {
	commandFlags
	ID   string `help:"The plan, for a unit of one; without it a member that is missed."`
	Unit string `arg:"" help:"The unit or member."`
}

// Run answers for a unit or a member.
func (l *fleetForgetCommand) Run(out io.Writer) error {
	return l.send(out, rollout.Command{Type: rollout.CommandForget, PlanID: l.ID, Unit: l.Unit})
}

type fleetBeginCommand struct{ commandFlags }

// Run begins anew from what the voters still have.
func (l *fleetBeginCommand) Run(out io.Writer) error {
	return l.send(out, rollout.Command{Type: rollout.CommandBegin})
}
