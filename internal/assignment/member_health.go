package assignment

const (
	// slowOverdueShare is the share of a member's tasks above which overdue tasks make it slow: other members would
	// then run its tasks more reliably.
	slowOverdueShare = 0.5
	// slowMinTasks is the minimum number of owned tasks for a member to be classified as slow: fewer are no reliable
	// sample.
	slowMinTasks = 3
	// slowDuration is the time (us) for which a slow member is no target, so that an intermittently slow member does
	// not lose and regain tasks repeatedly.
	slowDuration = 15_000_000
)

// updateSlowMembers detects members that are alive but do not deliver updates. Only updates count: a process whose
// heartbeats arrive while its probes fail would otherwise keep its tasks.
func (t *Table) updateSlowMembers(now int64) {
	t.countOverdueTasks(now)
	for _, m := range t.members {
		if m == nil {
			continue
		}
		if m != t.self && m.state == memberAlive && now >= m.slowUntil && m.isOverdue() {
			m.slowUntil = now + slowDuration
			t.slowDetections++
			t.targetsStale = true
		}
		if m.slowUntil > 0 && now >= m.slowUntil {
			m.slowUntil = 0
			t.targetsStale = true
		}
	}
}

// clearSlow makes a slow member eligible as a target again after a recent claim by it: the claim shows that it is
// running, and after a stall it has waited as after a rejoin. Otherwise this instance would take the task back at once,
// and the two would claim it from each other until slowDuration is over.
func (t *Table) clearSlow(m *member) {
	if m.slowUntil > 0 {
		m.slowUntil = 0
		t.targetsStale = true
	}
}

// countOverdueTasks counts, for each member, the owned tasks whose newest update is overdue.
func (t *Table) countOverdueTasks(now int64) {
	for _, m := range t.members {
		if m != nil {
			m.overdue = 0
		}
	}
	limit := t.overdueAfter()
	for _, task := range t.tasks {
		if task != nil && task.owner != nil && t.timeWithoutUpdate(task, now) > limit {
			task.owner.overdue++
		}
	}
}

// isOverdue reports whether enough of a member's tasks are overdue for it to be classified as slow.
func (m *member) isOverdue() bool {
	return m.owned >= slowMinTasks && float64(m.overdue) > slowOverdueShare*float64(m.owned)
}
