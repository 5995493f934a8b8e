package rollout

import "fmt"

// How a plan advances: wave by wave, and within a wave in the plan's order as the budget allows.

const (
	// minReportingShare is a share of a plan's routers. More than that must be reporting for another one to leave: a
	// leader that sees fewer is more likely partitioned itself.
	minReportingShare = 0.5

	// maxWatchTimes is the number of the plan's WatchTimes for which a wave is watched at most while its routers answer
	// too few commands for a conclusion: a plan must also advance at night.
	maxWatchTimes = 8

	// maxWatchTimesInconclusive is the same for a wave whose routers do worse than others, but not by enough for a
	// halt: with twice as many commands, a difference that is a third smaller can be detected.
	maxWatchTimesInconclusive = 16

	// leadershipTransferInterval is the time between attempts to transfer leadership, in us. A leader's lease lasts no
	// longer: by then another instance has acquired it, or none can.
	leadershipTransferInterval = 10_000_000
)

// advanceWave lets units of the current wave leave as the budget allows. When all are done the wave is watched.
func (l *Leader) advanceWave(now int64, p *Progress, u *unavailability, inconclusive bool) {
	left := p.unitsLeftInWave()
	if left == 0 {
		l.watchWave(now, p, inconclusive)
		return
	}
	if now-l.leadingSince < settleTime {
		return
	}
	tracker := l.trackers[p.Plan.ID]
	if err := l.checkReporting(now, p); err != nil {
		tracker.blockedBy = err
		return
	}
	for i, name := range p.Plan.Units {
		if p.Units[i].Phase != PhaseWaiting || p.Plan.waveOf(i) > p.Wave {
			continue
		}
		if name == l.self && p.Plan.Kind != KindNodes {
			if left == 1 { // the leader itself goes last
				l.transferLeadership(now, p)
			}
			continue
		}
		if err := l.checkBudget(now, p, name, u); err != nil {
			tracker.blockedBy = err
			continue
		}
		l.grantSlot(now, p, i, u, fmt.Sprintf("wave %d", p.Wave+1))
	}
}

// unitsLeftInWave counts the units of the current and earlier waves that are not done.
func (p *Progress) unitsLeftInWave() int {
	left := 0
	for i, unit := range p.Units {
		if p.Plan.waveOf(i) <= p.Wave && unit.Phase != PhaseDone && unit.Phase != PhaseForgotten {
			left++
		}
	}
	return left
}

// hasWaitingUnits reports whether a unit has not been updated yet.
func (p *Progress) hasWaitingUnits() bool {
	for _, unit := range p.Units {
		if unit.Phase == PhaseWaiting {
			return true
		}
	}
	return false
}

// checkReporting returns ErrTooFewReporting if too few of a plan's routers are reporting for any to leave, else nil. It
// does not apply to nodes.
func (l *Leader) checkReporting(now int64, p *Progress) error {
	if p.Plan.Kind == KindNodes {
		return nil
	}
	reporting := 0
	for _, name := range p.Plan.Units {
		if l.isReporting(now, name) {
			reporting++
		}
	}
	if float64(reporting) <= minReportingShare*float64(len(p.Units)) {
		return refuse(ErrTooFewReporting, "%d of %d are in sight", reporting, len(p.Units))
	}
	return nil
}

// transferLeadership requests a transfer of leadership because this instance is the next to leave, at most once each
// leadershipTransferInterval.
func (l *Leader) transferLeadership(now int64, p *Progress) {
	if now >= l.nextTransferAt {
		l.nextTransferAt = now + leadershipTransferInterval
		l.emit(TransferLeadership{p.Plan.ID})
	}
}

// watchWave waits after a wave until the canary analysis can conclude, then starts the next one or ends the plan.
func (l *Leader) watchWave(now int64, p *Progress, inconclusive bool) {
	tracker := l.trackers[p.Plan.ID]
	if tracker.watchedSince == 0 {
		tracker.watchedSince = now
	}
	watched := now - tracker.watchedSince
	if watched < p.Plan.WatchTime || !canConclude(p, tracker.analysis, watched, inconclusive) {
		return
	}
	tracker.watchedSince = 0
	if !p.hasWaitingUnits() {
		l.setState(now, p, StateFinished, fmt.Sprintf("all %d are done", len(p.Units)))
		return
	}
	p.Wave++
	tracker.analysis = newCanaryAnalysis()
	tracker.lastProgressAt = now
	l.changed = true
	l.logf(p.Plan.ID, "wave %d begins", p.Wave+1)
}

// canConclude reports whether a wave that was watched for this long, in us, may end. A wave of nodes always may.
func canConclude(p *Progress, analysis *canaryAnalysis, watched int64, inconclusive bool) bool {
	switch {
	case p.Plan.Kind == KindNodes:
		return true
	case inconclusive:
		return watched >= maxWatchTimesInconclusive*p.Plan.WatchTime
	}
	return analysis.hasEnoughCommands() || watched >= maxWatchTimes*p.Plan.WatchTime
}
