package assignment

const (
	// primaryHintMaxAge is the maximum age (us) at which a peer's report of a node's role is used. It is well below the
	// 5 s for which a role reported by a node overrides the endpoint list in package routing.
	primaryHintMaxAge = 2_000_000
	// responseMaxAgeIntervals is the maximum age, in intervals, at which a peer's report that a node responds or does
	// not respond is used. It exceeds overdueIntervals, so that the loss of one update does not invalidate the report.
	responseMaxAgeIntervals = 2.5

	// delayRiseGain and delayFallGain weight a new sample in the estimate of the update delay. The estimate rises
	// quickly and falls slowly, so that it stays near the upper range: a slow network must not cause claims.
	delayRiseGain = 0.25
	delayFallGain = 0.01
)

// Evidence is the part of a peer's update that may be used; zero fields must not be used.
type Evidence struct {
	Position     int64 // replication position that the node has reached
	PrimaryHint  int8  // hint at the node's role, as in Update
	Unresponsive bool  // the node recently did not respond to the peer
	Responsive   bool  // the node recently responded to the peer
	LearnedAt    int64 // time of the peer's run, on this instance's clock
}

// HandleUpdate applies an update from another instance, including its claim, and returns the evidence in it.
func (t *Table) HandleUpdate(now int64, update Update) Evidence {
	task := t.taskByKey[update.Key]
	if task == nil || update.Age < 0 {
		return Evidence{}
	}
	t.detectPause(now)
	update.Age += t.pauses.backlogDelay(now)
	sender := t.memberByName[update.Owner]
	if sender == t.self { // an echo, or an update by a former process of this instance
		task.term = max(task.term, update.Term)
		return Evidence{}
	}
	t.recentUpdateSeen = t.recentUpdateSeen || update.Age < 2*t.interval
	learnedAt := now - update.Age
	newest := !task.hasUpdate || learnedAt >= task.learnedAt
	if newest {
		task.learnedAt = learnedAt
		task.hasUpdate = true
		t.observeDelay(update.Age)
	}
	t.acceptClaim(now, task, update.Term, update.Age, sender)
	if update.NodeStarted != task.nodeStarted { // refers to a process other than the one in the endpoint list
		return Evidence{}
	}
	if newest {
		t.maybeAskSecondOpinion(now, task, update)
	}
	return t.evidence(update, newest, learnedAt)
}

// evidence returns the parts of an update that its age allows to use.
func (t *Table) evidence(update Update, newest bool, learnedAt int64) Evidence {
	// Positions are monotonic within one process of a node, so a position of any age is valid.
	usable := Evidence{Position: update.Position, LearnedAt: learnedAt}
	if newest && update.Age <= primaryHintMaxAge {
		usable.PrimaryHint = update.PrimaryHint
	}
	if newest && float64(update.Age) <= responseMaxAgeIntervals*float64(t.interval) {
		usable.Unresponsive = update.Unresponsive
		usable.Responsive = !update.Unresponsive
	}
	return usable
}

// observeDelay adds a sample (us) to the estimate of the update delay. A sample is capped at two intervals.
func (t *Table) observeDelay(age int64) {
	gain := delayFallGain
	if float64(age) > t.updateDelay {
		gain = delayRiseGain
	}
	t.updateDelay += gain * (min(float64(age), 2*float64(t.interval)) - t.updateDelay)
}

// maybeAskSecondOpinion schedules one check by this instance if the owner reports that the node does not respond and
// this instance ranks first: the fault may be limited to the path between owner and node.
func (t *Table) maybeAskSecondOpinion(now int64, task *task, update Update) {
	if !update.Unresponsive || update.Term == 0 || now-task.secondOpinionAt < secondOpinionInterval {
		return
	}
	if t.rank(task) == 0 && t.rejoin.claiming {
		task.secondOpinionAt = now
		task.secondOpinionDue = true
	}
}
