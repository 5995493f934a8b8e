package assignment

import "cmp"

const (
	// overdueIntervals is the number of intervals without an update after which the member ranked first claims a task.
	// It is greater than 1 because an update may be lost or late; a node goes unprobed for that long after its owner
	// failed.
	overdueIntervals = 1.75
	// overdueRankIntervals is the additional delay, in intervals, for each further rank. It lets the update of the
	// preceding member arrive first, so that several members do not claim the same task in succession.
	overdueRankIntervals = 0.4

	// reclaimDelay is the time (us) for which a target leaves a task to the member that took it over. The target has
	// failed to deliver once, and a task that changes hands repeatedly is run twice at each change.
	reclaimDelay = 20_000_000
	// reclaimMaxDoublings limits the doublings of reclaimDelay for repeated takeovers, to 320 s.
	reclaimMaxDoublings = 4

	// secondOpinionInterval is the minimum time (us) between two second opinions on one node: they add at most 0.2
	// probes a second to the load of an unresponsive node.
	secondOpinionInterval = 5_000_000

	// claimBurstSeconds is the size of a burst of claims, in seconds of Config.ClaimRate.
	claimBurstSeconds = 1.0
)

// claimBudget is a token bucket that limits the rate of claims: an instance that is left with all tasks takes them over
// within seconds instead of running them all at once.
type claimBudget struct {
	tokens     float64
	refilledAt int64
}

// refill adds the tokens for the time since the last call, at a rate of claims per second.
func (b *claimBudget) refill(now int64, rate float64) {
	b.tokens = min(max(1, rate*claimBurstSeconds), b.tokens+rate*float64(now-b.refilledAt)/1e6)
	b.refilledAt = now
}

func (b *claimBudget) available() bool { return b.tokens >= 1 }

func (b *claimBudget) take() { b.tokens-- }

// shouldClaim reports whether this instance should claim a task that it does not own.
func (t *Table) shouldClaim(task *task, now int64) bool {
	if late := t.timeWithoutUpdate(task, now) - t.overdueAfter(); late >= 0 {
		return late >= int64(overdueRankIntervals*float64(t.interval))*int64(t.rank(task))
	}
	if task.target != t.self || !t.rejoin.claiming {
		return false
	}
	if task.owner != nil && task.owner.eligible {
		return now >= task.reclaimAfter
	}
	return true
}

// overdueAfter returns the age (us) above which the newest update of a task is overdue. It includes the usual delay of
// updates, up to one interval.
func (t *Table) overdueAfter() int64 {
	return int64(overdueIntervals*float64(t.interval) + min(t.updateDelay, float64(t.interval)))
}

// claim makes this instance the owner. The next run follows the newest update by one interval.
func (t *Table) claim(task *task, now int64) {
	task.term++
	t.setOwner(task, t.self)
	t.claims++
	if task.hasUpdate {
		task.nextRun = max(now, task.learnedAt+t.interval)
	} else { // never run: instances that start together must not run everything at once
		task.nextRun = now + t.firstRunOffset(task)
	}
}

// setOwner sets a task's owner, nil for none, and updates the task counts of the members.
func (t *Table) setOwner(task *task, owner *member) {
	if task.owner != nil {
		task.owner.owned--
	}
	task.owner = owner
	if owner != nil {
		owner.owned++
	}
}

// supersedes reports whether a member's claim is greater than the one currently accepted: the later term wins, then the
// higher score, then the smaller name.
func (t *Table) supersedes(task *task, term uint64, claimant *member) bool {
	if term != task.term {
		return term > task.term
	}
	if task.owner == nil {
		return true
	}
	order := cmp.Or(cmp.Compare(score(claimant, task), score(task.owner, task)), cmp.Compare(task.owner.name, claimant.name))
	return order > 0
}

// acceptClaim accepts the claim in an update of the given age (us) if it is greater than the current one.
func (t *Table) acceptClaim(now int64, task *task, term uint64, age int64, claimant *member) {
	if claimant == nil || claimant.state != memberAlive {
		// A member that is not alive cannot claim, but later claims need a term greater than its own.
		task.term = max(task.term, term)
		return
	}
	if term == 0 || !t.supersedes(task, term, claimant) {
		return
	}
	if task.owner == t.self && task.target == t.self { // another member took the task over from this instance
		task.reclaimAfter = now + t.reclaimBackoff()<<min(task.reclaimDoublings, reclaimMaxDoublings)
		task.reclaimDoublings = min(task.reclaimDoublings+1, reclaimMaxDoublings)
	}
	task.term = term
	t.setOwner(task, claimant)
	if age <= t.overdueAfter() {
		t.clearSlow(claimant)
	}
}

// reclaimBackoff returns the base delay (us) before this instance takes back a task that another member took over. If a
// recent stall of this instance explains the takeover, the shorter rejoinDelay applies: the instance has recovered.
func (t *Table) reclaimBackoff() int64 {
	if t.pauses.stalledRecently() {
		return rejoinDelay
	}
	return reclaimDelay
}

// RecordRun records a run by this instance and returns the update to broadcast. A second opinion that got a response
// claims the task, because only the owner cannot reach the node.
func (t *Table) RecordRun(now int64, update Update, secondOpinion bool) Update {
	update.Owner = t.self.name
	update.Age = 0
	task := t.taskByKey[update.Key]
	if task == nil {
		return update
	}
	update.NodeStarted = task.nodeStarted
	task.learnedAt = now
	task.hasUpdate = true
	switch {
	case task.owner == t.self:
		update.Term = task.term
		if !update.Unresponsive && now > task.reclaimAfter {
			task.reclaimDoublings = 0
		}
	case secondOpinion && !update.Unresponsive:
		t.claim(task, now)
		update.Term = task.term
	}
	return update
}
