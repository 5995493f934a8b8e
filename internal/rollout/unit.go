package rollout

import "fmt"

// How a router that holds a slot moves from phase to phase, and which conditions it must meet for the slot to be freed.
// If slots were freed by time instead, the next router could leave while this one is down.

const (
	// minCommandsServed is the number of commands that a router must answer after its return to count as serving: about
	// a second's load once clients have connected to it again.
	minCommandsServed = 20

	// idleWatchTimes is a multiple of the plan's WatchTime. A router that has answered fewer than minCommandsServed
	// counts as healthy that long after its return: a router that no client uses must not hold its slot forever.
	idleWatchTimes = 4

	// maxFailedShare is the share of failed commands above which a returned router is not healthy. A router that
	// reaches no node must keep its slot; a database that fails some commands of all routers alike must not make them
	// keep theirs.
	maxFailedShare = 0.5
)

// advanceUnit moves a unit that holds a slot from phase to phase, based on members' reports.
//
// A router in PhaseLeaving that stops reporting counts as having left. If it was only partitioned and never received
// the instruction to leave, it reports again with the same process and is not leaving; then it is instructed again.
//
// A router that came back from a rollback's restart with the wrong version is restarted again (retryRollback) only if
// it is ready. So a version that starts and never gets ready is not retried: the unit becomes stuck for lack of
// progress.
func (l *Leader) advanceUnit(now int64, p *Progress, i int) {
	if p.Plan.Kind == KindNodes {
		l.advanceNode(now, p, i)
		return
	}
	name := p.Plan.Units[i]
	unit := &p.Units[i]
	member := l.members[name]
	reporting := l.isReporting(now, name)
	isBack := reporting && member.report.Incarnation != unit.Incarnation
	switch unit.Phase {
	case PhaseLeaving:
		if isBack {
			l.setPhase(now, p, i, PhaseReturning, "it is back")
		} else if !reporting || member.report.Leaving {
			l.setPhase(now, p, i, PhaseUnavailable, "it left")
		}
	case PhaseUnavailable:
		if isBack {
			l.setPhase(now, p, i, PhaseReturning, "it is back")
		} else if reporting && !member.report.Leaving {
			l.setPhase(now, p, i, PhaseLeaving, "it was cut off and has not left")
		}
	case PhaseReturning, PhaseStuck:
		if l.unmetCondition(now, p, i) == "" {
			l.setPhase(now, p, i, PhaseDone, "it serves")
			return
		}
		wrongVersion := p.Plan.Kind == KindVersion && unit.RollingBack && isBack && member.report.Ready && member.report.Version != p.Plan.PreviousVersion
		if unit.Phase == PhaseReturning && wrongVersion {
			l.retryRollback(now, p, i)
		}
	}
}

// unmetCondition returns the condition that a unit with a slot has yet to meet to count as done, "" for none. For a
// node that is still leaving it names what may still use it.
func (l *Leader) unmetCondition(now int64, p *Progress, i int) string {
	unit := &p.Units[i]
	name := p.Plan.Units[i]
	if p.Plan.Kind == KindNodes {
		if unit.Phase == PhaseLeaving {
			return l.drainBlocker(now, name)
		}
		return l.unmetNodeCondition(name)
	}
	if !l.isReporting(now, name) {
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
	return member.unmetServiceCondition(now, p.Plan.WatchTime)
}

// unmetServiceCondition returns what a router that is back has yet to meet in answered commands, "" for nothing.
func (m *memberState) unmetServiceCondition(now, watchTime int64) string {
	served := m.report.Counts.minus(m.countsAtReturn)
	if served.Commands < minCommandsServed {
		if now-m.returnedAt < idleWatchTimes*watchTime {
			return fmt.Sprintf("it has answered %d commands", served.Commands)
		}
		return ""
	}
	if float64(served.Failed) > maxFailedShare*float64(served.Commands) {
		return fmt.Sprintf("%d of its %d commands failed", served.Failed, served.Commands)
	}
	return ""
}
