package rollout

import (
	"cmp"
	"fmt"
	"slices"
)

// Operators' commands to the leader, and when it refuses them.

// CommandType is the type of an operator's command. The numbers are sent to other instances.
type CommandType uint8

// The types of operators' commands, with the fields of Command that each needs besides its token.
const (
	CommandStart         CommandType = iota + 1 // Plan: start it
	CommandHalt                                 // PlanID: no further unit leaves
	CommandResume                               // PlanID: continue a halted plan
	CommandRollBack                             // PlanID: roll back what it updated; also for a finished plan, see applyCommand
	CommandForget                               // PlanID, Unit: remove the unit from the plan and free its slot. Unit alone: remove a missing member
	CommandReturn                               // PlanID, Unit: return a drained node
	CommandForceRecovery                        // lead from the records of the voters that answer, though some have forgotten theirs
)

var commandNames = [...]string{"", "start", "halt", "resume", "back", "forget", "return", "begin"}

// String returns the type as the command line names it.
func (t CommandType) String() string {
	if int(t) < len(commandNames) {
		return commandNames[t]
	}
	return fmt.Sprintf("command %d", uint8(t))
}

// Command is an operator's command. One whose token was accepted before is accepted as the same command and has no
// further effect, so it can be repeated until it is answered. CommandForceRecovery is the exception: its token is not kept, and
// a leader that has started refuses a repeat.
type Command struct {
	Type   CommandType
	Token  string
	Plan   Plan
	PlanID string
	Unit   string
}

// byOperator is the reason that operators see for a change that one of their commands made.
const byOperator = "an operator's word"

// HandleCommand handles an operator's command. A refusal is replied at once, an acceptance when the change is
// committed.
func (l *Leader) HandleCommand(now int64, c *Command) {
	if c.Type == CommandForceRecovery && l.term > 0 && l.record == nil {
		l.recoverRecord(now, true)
		if l.record == nil {
			l.emit(ReplyToCommand{c.Token, refuse(ErrNotLeading, "%s", l.notLeadingReason)})
			return
		}
		l.pendingReplies = append(l.pendingReplies, pendingReply{c.Token, 1})
		return
	}
	if l.committed == nil {
		reason := cmp.Or(l.notLeadingReason, "another one holds the lease, or none does")
		l.emit(ReplyToCommand{c.Token, refuse(ErrNotLeading, "this router does not lead: %s", reason)})
		return
	}
	if slices.Contains(l.committed.Tokens, c.Token) {
		l.emit(ReplyToCommand{Token: c.Token})
		return
	}
	if slices.Contains(l.record.Tokens, c.Token) { // its reply waits for a majority
		return
	}
	if err := l.applyCommand(now, c); err != nil {
		l.emit(ReplyToCommand{c.Token, err})
		return
	}
	tokens := append(l.record.Tokens, c.Token)
	l.record.Tokens = tokens[max(0, len(tokens)-maxTokens):]
	l.changed = true
	l.pendingReplies = append(l.pendingReplies, pendingReply{c.Token, l.record.Seq + 1})
	l.replicate(now)
}

// applyCommand applies a command, or returns why not. A leader keeps a tracker only for plans that it has seen in
// progress, so a plan that finished under a former leader can't be rolled back: the command is refused with
// ErrNotLeading.
func (l *Leader) applyCommand(now int64, c *Command) error {
	if c.Type == CommandStart {
		return l.startPlan(c.Plan)
	}
	if c.Type == CommandForget && c.PlanID == "" {
		return l.forgetMember(now, c.Unit)
	}
	p := l.record.FindPlan(c.PlanID)
	if p == nil {
		return refuse(ErrUnknownPlan, "no plan %q", c.PlanID)
	}
	if l.trackers[p.Plan.ID] == nil {
		return refuse(ErrNotLeading, "it has only begun to lead")
	}
	switch c.Type {
	case CommandHalt:
		return l.changeState(now, p, StateHalted, StateRunning)
	case CommandResume:
		if err := l.changeState(now, p, StateRunning, StateHalted); err != nil {
			return err
		}
		l.trackers[p.Plan.ID].analysis = newCanaryAnalysis()
		return nil
	case CommandRollBack:
		return l.changeState(now, p, StateRollingBack, StateRunning, StateHalted, StateFinished)
	case CommandForget:
		return l.forgetUnit(now, p, c.Unit)
	case CommandReturn:
		return l.returnNode(now, p, c.Unit)
	}
	return refuse(ErrUnknownCommand, "an unknown word")
}

// changeState changes a plan's state for an operator, or returns ErrPlanState if it is in none of the states from.
func (l *Leader) changeState(now int64, p *Progress, to State, from ...State) error {
	if !slices.Contains(from, p.State) {
		return refuse(ErrPlanState, "plan %s is %s", p.Plan.ID, p.State)
	}
	l.setState(now, p, to, byOperator)
	return nil
}

// forgetMember removes a missing member permanently. It refuses one that is reporting.
func (l *Leader) forgetMember(now int64, member string) error {
	if l.members[member] == nil || l.isReporting(now, member) {
		return refuse(ErrUnknownUnit, "%q is in sight, or no member of that name is missed", member)
	}
	l.removeMember(member)
	return nil
}

// forgetUnit removes a unit from a plan and frees its slot without a health check: the operator vouches for it.
func (l *Leader) forgetUnit(now int64, p *Progress, name string) error {
	i := slices.Index(p.Plan.Units, name)
	if i < 0 || p.Units[i].Phase == PhaseForgotten {
		return refuse(ErrUnknownUnit, "plan %s has no unit %q, or forgot it", p.Plan.ID, name)
	}
	l.setPhase(now, p, i, PhaseForgotten, byOperator)
	return nil
}

// returnNode returns a node to service that is drained or being drained.
func (l *Leader) returnNode(now int64, p *Progress, name string) error {
	i := slices.Index(p.Plan.Units, name)
	isDrained := i >= 0 && p.Plan.Kind == KindNodes && (p.Units[i].Phase == PhaseUnavailable || p.Units[i].Phase == PhaseLeaving)
	if !isDrained {
		return refuse(ErrUnknownUnit, "plan %s has no drained node %q", p.Plan.ID, name)
	}
	l.setPhase(now, p, i, PhaseReturning, byOperator)
	return nil
}

// startPlan starts a plan, or returns why not: it is invalid, its name was used, another plan in progress has yet to
// handle one of its units, too many plans are in progress, or a unit is unknown.
func (l *Leader) startPlan(p Plan) error {
	p.SetDefaults()
	if err := p.Validate(); err != nil {
		return err
	}
	if l.record.FindPlan(p.ID) != nil {
		return refuse(ErrPlanExists, "a plan %s was started before", p.ID)
	}
	underWay := 0
	for _, other := range l.record.Plans {
		if other.State.Ended() {
			continue
		}
		underWay++
		if err := other.checkOverlap(&p); err != nil {
			return err
		}
	}
	if underWay >= MaxPlans {
		return refuse(ErrTooManyPlans, "%d plans are under way", underWay)
	}
	if err := l.checkUnitsKnown(&p); err != nil {
		return err
	}
	l.record.dropOldestEnded(underWay)
	progress := &Progress{Plan: p, State: StateRunning, Reason: "it was started", Units: make([]Unit, len(p.Units))}
	l.record.Plans = append(l.record.Plans, progress)
	l.logf(p.ID, "plan %s of %d units begins", p.Kind, len(p.Units))
	return nil
}

// checkOverlap returns ErrUnitInPlan if p has yet to handle one of other's units, else nil. Plans of routers and plans
// of nodes have no units in common.
func (p *Progress) checkOverlap(other *Plan) error {
	if (p.Plan.Kind == KindNodes) != (other.Kind == KindNodes) {
		return nil
	}
	for i, name := range p.Plan.Units {
		phase := p.Units[i].Phase
		if phase != PhaseDone && phase != PhaseForgotten && slices.Contains(other.Units, name) {
			return refuse(ErrUnitInPlan, "%s belongs to plan %s, which is %s", name, p.Plan.ID, p.State)
		}
	}
	return nil
}

// checkUnitsKnown returns ErrUnknownUnit if the leader does not know one of a plan's units, else nil.
func (l *Leader) checkUnitsKnown(p *Plan) error {
	for _, name := range p.Units {
		if p.Kind == KindNodes && l.nodes[name] == nil {
			return refuse(ErrUnknownUnit, "no node %q", name)
		}
		if p.Kind != KindNodes && l.members[name] == nil {
			return refuse(ErrUnknownUnit, "no member %q was ever in sight", name)
		}
	}
	return nil
}

// dropOldestEnded removes the oldest ended plans until fewer than MaxPlans ended ones are left. underWay is the number
// of plans that have not ended.
func (r *Record) dropOldestEnded(underWay int) {
	for i := 0; i < len(r.Plans); {
		ended := len(r.Plans) - underWay
		if r.Plans[i].State.Ended() && ended >= MaxPlans {
			r.Plans = slices.Delete(r.Plans, i, i+1)
			continue
		}
		i++
	}
}
