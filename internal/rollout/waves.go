package rollout

import "fmt"

// How a plan advances: wave by wave, and within a wave in the plan's order as the budget allows.

const (
	// minShareInSight is a share of a plan's routers. More of them must be in sight for another one to leave: a leader that
	// sees fewer is more likely cut off itself.
	minShareInSight = 0.5

	// maxWatches is the number of the plan's WatchTimes for which a wave is watched at most while its routers answer too few
	// commands for a conclusion: a plan must also advance at night.
	maxWatches = 8

	// maxWatchesInDoubt is the same for a wave whose routers do worse than others, but not by enough for a halt: with twice
	// as many commands a difference that is a third smaller can be found.
	maxWatchesInDoubt = 16

	// handOverInterval is the time between attempts to let another instance lead, in us. A leader's lease lasts no longer:
	// by then another instance has it, or none can have it.
	handOverInterval = 10_000_000
)

// advanceWave lets units of the present wave leave as the budget allows. When all are done the wave is watched.
func (l *Leader) advanceWave(now int64, p *Progress, u *unavailability, inDoubt bool) {
	left := p.unitsLeftInWave()
	if left == 0 {
		l.watchWave(now, p, inDoubt)
		return
	}
	if now-l.leadingSince < settleTime {
		return
	}
	tracker := l.trackers[p.Plan.ID]
	if err := l.checkInSight(now, p); err != nil {
		tracker.blockedBy = err
		return
	}
	for i, name := range p.Plan.Units {
		if p.Units[i].Phase != PhaseWaiting || p.Plan.waveOf(i) > p.Wave {
			continue
		}
		if name == l.self && p.Plan.Kind != KindNodes {
			if left == 1 { // the leader itself goes last
				l.handOver(now, p)
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

// unitsLeftInWave counts the units of the present wave and those before that are not done.
func (p *Progress) unitsLeftInWave() int {
	left := 0
	for i, unit := range p.Units {
		if p.Plan.waveOf(i) <= p.Wave && unit.Phase != PhaseDone && unit.Phase != PhaseForgotten {
			left++
		}
	}
	return left
}

// hasWaitingUnits reports whether a unit has not been touched yet.
func (p *Progress) hasWaitingUnits() bool {
	for _, unit := range p.Units {
		if unit.Phase == PhaseWaiting {
			return true
		}
	}
	return false
}

// checkInSight returns ErrTooFewInSight if the leader sees too few of a plan's routers for any to leave, else nil. It
// does not apply to nodes.
func (l *Leader) checkInSight(now int64, p *Progress) error {
	if p.Plan.Kind == KindNodes {
		return nil
	}
	inSight := 0
	for _, name := range p.Plan.Units {
		if l.inSight(now, name) {
			inSight++
		}
	}
	if float64(inSight) <= minShareInSight*float64(len(p.Units)) {
		return refuse(ErrTooFewInSight, "%d of %d are in sight", inSight, len(p.Units))
	}
	return nil
}

// handOver lets another instance lead because this one is next to leave, at most once each handOverInterval.
func (l *Leader) handOver(now int64, p *Progress) {
	if now >= l.nextHandOverAt {
		l.nextHandOverAt = now + handOverInterval
		l.act(HandOverLead{p.Plan.ID})
	}
}

// watchWave waits after a wave until the canary analysis can conclude, then begins the next one or ends the plan.
func (l *Leader) watchWave(now int64, p *Progress, inDoubt bool) {
	tracker := l.trackers[p.Plan.ID]
	if tracker.watchedSince == 0 {
		tracker.watchedSince = now
	}
	watched := now - tracker.watchedSince
	if watched < p.Plan.WatchTime || !canConclude(p, tracker.canary, watched, inDoubt) {
		return
	}
	tracker.watchedSince = 0
	if !p.hasWaitingUnits() {
		l.setState(now, p, StateFinished, fmt.Sprintf("all %d are done", len(p.Units)))
		return
	}
	p.Wave++
	tracker.canary = newCanaryAnalysis()
	tracker.lastProgressAt = now
	l.changed = true
	l.logf(p.Plan.ID, "wave %d begins", p.Wave+1)
}

// canConclude reports whether a wave that was watched for so long, in us, may end. Each wave of nodes may.
func canConclude(p *Progress, canary *canaryAnalysis, watched int64, inDoubt bool) bool {
	switch {
	case p.Plan.Kind == KindNodes:
		return true
	case inDoubt:
		return watched >= maxWatchesInDoubt*p.Plan.WatchTime
	}
	return canary.hasEnoughCommands() || watched >= maxWatches*p.Plan.WatchTime
}
