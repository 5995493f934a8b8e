package rollout

import (
	"fmt"
	"slices"
)

// The way back of a plan that evidence or an operator turned: units that have left go back to the previous version, newest
// first, under the same budget; drained nodes return at once, for that makes nothing unavailable.

// maxAttempts is how often a unit leaves to go back before it is stuck: a supervisor that starts the wrong version
// twice needs an operator.
const maxAttempts = 2

// advanceRollback brings what the plan touched back, and ends the plan when all of it is.
func (l *Leader) advanceRollback(now int64, p *Progress, u *unavailability) {
	underWay, toSend := l.turnUnits(now, p)
	if underWay == 0 && len(toSend) == 0 {
		isStuck := func(unit Unit) bool { return unit.Phase == PhaseStuck }
		if !slices.ContainsFunc(p.Units, isStuck) {
			l.setState(now, p, StateRolledBack, p.Reason)
		}
		return
	}
	slices.SortFunc(toSend, func(a, b int) int {
		if p.Units[b].Slot.Less(p.Units[a].Slot) {
			return -1
		}
		return 1
	})
	if now-l.leadingSince < settleTime {
		return
	}
	for _, i := range toSend {
		name := p.Plan.Units[i]
		if name == l.self {
			if underWay == 0 && len(toSend) == 1 { // the leader itself goes last
				l.handOver(now, p)
			}
			continue
		}
		if err := l.checkBudget(now, p, name, u); err != nil {
			l.trackers[p.Plan.ID].blockedBy = err
			continue
		}
		p.Units[i].RollingBack = true
		p.Units[i].Attempts = 0
		l.grantSlot(now, p, i, u, "it goes back")
	}
}

// turnUnits turns units that hold a slot already, and returns how many are on their way and which ones have yet to be
// sent: those that run the target version.
func (l *Leader) turnUnits(now int64, p *Progress) (underWay int, toSend []int) {
	for i := range p.Units {
		unit := &p.Units[i]
		switch {
		case unit.Phase == PhaseWaiting || unit.Phase == PhaseForgotten || unit.Phase == PhaseStuck:
		case p.Plan.Kind == KindNodes && (unit.Phase == PhaseLeaving || unit.Phase == PhaseUnavailable):
			unit.RollingBack = true
			l.setPhase(now, p, i, PhaseReturning, "it goes back")
			underWay++
		case p.Plan.Kind == KindVersion && !unit.RollingBack && unit.Phase != PhaseDone:
			unit.RollingBack = true
			unit.Attempts = 0
			l.setPhase(now, p, i, unit.Phase, "it goes back")
			underWay++
		case p.Plan.Kind == KindVersion && !unit.RollingBack:
			toSend = append(toSend, i)
		case unit.Phase != PhaseDone:
			underWay++
		}
	}
	return underWay, toSend
}

// sendAgain lets a unit leave once more under the slot that it has, for it came back with the version that it is to go
// back from.
func (l *Leader) sendAgain(now int64, p *Progress, i int) {
	unit := &p.Units[i]
	report := &l.members[p.Plan.Units[i]].report
	if unit.Attempts >= maxAttempts {
		l.setPhase(now, p, i, PhaseStuck, fmt.Sprintf("it came back with version %d", report.Version))
		return
	}
	unit.Attempts++
	unit.Incarnation = report.Incarnation
	l.setPhase(now, p, i, PhaseLeaving, "it came back with the version that it is to go back from")
}
