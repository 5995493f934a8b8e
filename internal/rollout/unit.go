package rollout

import "fmt"

// How a router that holds a slot moves from phase to phase, and what it has to prove for the slot to be freed. If slots
// were freed by time instead, the next router could leave while this one is down.

const (
	// minCommandsServed is the number of commands that a router has to answer after its return to prove that it serves:
	// about a second's work once clients have connected to it again.
	minCommandsServed = 20

	// idleWatches is a number of the plan's WatchTimes. A router that has answered fewer than minCommandsServed counts as
	// proven that long after its return: one that no client uses must not hold its slot for ever.
	idleWatches = 4

	// maxFailedShare is the share of failed commands above which a returned router is not healthy. A router that reaches no
	// node must keep its slot; a database that fails some commands of all routers alike must not make them keep theirs.
	maxFailedShare = 0.5
)

// advanceUnit moves a unit that holds a slot from phase to phase, by what members report.
//
// A router in PhaseLeaving that goes out of sight counts as having left. If it was only cut off and never heard that it is
// to leave, it is in sight again with the same process and doesn't leave: then it is told again.
//
// A router that on the way back came with the wrong version is sent again (sendAgain) only if it is ready. So a version
// that starts and never gets ready is not sent back: the unit becomes stuck for lack of progress.
func (l *Leader) advanceUnit(now int64, p *Progress, i int) {
	if p.Plan.Kind == KindNodes {
		l.advanceNode(now, p, i)
		return
	}
	name := p.Plan.Units[i]
	unit := &p.Units[i]
	member := l.members[name]
	inSight := l.inSight(now, name)
	isBack := inSight && member.report.Incarnation != unit.Incarnation
	switch unit.Phase {
	case PhaseLeaving:
		if isBack {
			l.setPhase(now, p, i, PhaseReturning, "it is back")
		} else if !inSight || member.report.Leaving {
			l.setPhase(now, p, i, PhaseUnavailable, "it left")
		}
	case PhaseUnavailable:
		if isBack {
			l.setPhase(now, p, i, PhaseReturning, "it is back")
		} else if inSight && !member.report.Leaving {
			l.setPhase(now, p, i, PhaseLeaving, "it was cut off and has not left")
		}
	case PhaseReturning, PhaseStuck:
		if l.missingProof(now, p, i) == "" {
			l.setPhase(now, p, i, PhaseDone, "it serves")
			return
		}
		wrongVersion := p.Plan.Kind == KindVersion && unit.RollingBack && isBack && member.report.Ready && member.report.Version != p.Plan.PreviousVersion
		if unit.Phase == PhaseReturning && wrongVersion {
			l.sendAgain(now, p, i)
		}
	}
}

// missingProof returns what a unit with a slot still lacks to count as done, "" for nothing. For a node that is still
// leaving it names who may still use it.
func (l *Leader) missingProof(now int64, p *Progress, i int) string {
	unit := &p.Units[i]
	name := p.Plan.Units[i]
	if p.Plan.Kind == KindNodes {
		if unit.Phase == PhaseLeaving {
			return l.stillUsedBy(now, name)
		}
		return l.missingNodeProof(name)
	}
	if !l.inSight(now, name) {
		return "it is not in sight"
	}
	member := l.members[name]
	report := &member.report
	switch {
	case report.Incarnation == unit.Incarnation:
		return "it has not left"
	case !report.Ready:
		return "it takes no commands yet"
	case p.Plan.Kind == KindVersion && report.Version != p.targetVersion(i):
		return fmt.Sprintf("it has version %d, not %d", report.Version, p.targetVersion(i))
	case l.isVoter(name) && report.MayHaveForgotten:
		return "it votes, and has not been written to yet"
	}
	return member.missingService(now, p.Plan.WatchTime)
}

// missingService returns what a router that is back still lacks in answered commands, "" for nothing.
func (m *memberState) missingService(now, watchTime int64) string {
	served := m.report.Counts.minus(m.countsAtReturn)
	if served.Commands < minCommandsServed {
		if now-m.returnedAt < idleWatches*watchTime {
			return fmt.Sprintf("it has answered %d commands", served.Commands)
		}
		return ""
	}
	if float64(served.Failed) > maxFailedShare*float64(served.Commands) {
		return fmt.Sprintf("%d of its %d commands failed", served.Failed, served.Commands)
	}
	return ""
}
