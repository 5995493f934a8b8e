package rollout

import (
	"fmt"
	"slices"
)

// The rollback of a plan, by evidence or by an operator. Units of a plan of versions that have left return to the
// previous version, newest slot first, under the same budget. Drained nodes return at once, since that makes nothing
// unavailable.

// maxAttempts is how often a unit is restarted in a rollback before it becomes stuck: a supervisor that starts the
// wrong version twice needs an operator.
const maxAttempts = 2

// advanceRollback rolls back the units that the plan updated, as the budget allows. It ends the plan when all are
// rolled back and none is stuck.
func (l *Leader) advanceRollback(now int64, p *Progress, u *unavailability) {
	underWay, toRestart := l.prepareRollback(now, p)
	if underWay == 0 && len(toRestart) == 0 {
		isStuck := func(unit Unit) bool { return unit.Phase == PhaseStuck }
		if !slices.ContainsFunc(p.Units, isStuck) {
			l.setState(now, p, StateRolledBack, p.Reason)
		}
		return
	}
	slices.SortFunc(toRestart, func(a, b int) int {
		if p.Units[b].Slot.Less(p.Units[a].Slot) {
			return -1
		}
		return 1
	})
	if now-l.leadingSince < settleTime {
		return
	}
	for _, i := range toRestart {
		name := p.Plan.Units[i]
		if name == l.self {
			if underWay == 0 && len(toRestart) == 1 { // the leader itself goes last
				l.transferLeadership(now, p)
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

// prepareRollback starts the rollback of units that need no new slot, since they already hold one. It returns how
// many units are in progress, and which ones have yet to be restarted: those that are done with the target version.
func (l *Leader) prepareRollback(now int64, p *Progress) (underWay int, toRestart []int) {
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
			toRestart = append(toRestart, i)
		case unit.Phase != PhaseDone:
			underWay++
		}
	}
	return underWay, toRestart
}

// retryRollback lets a unit leave once more under the slot that it holds, because it came back with another version
// than the previous one. After maxAttempts the unit becomes stuck instead.
func (l *Leader) retryRollback(now int64, p *Progress, i int) {
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
