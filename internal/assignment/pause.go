package assignment

const (
	// stallThreshold is the time (us) between two calls above which this instance has stalled, for example by SIGSTOP,
	// a debugger or a machine without a free core: three ticks. An update that is a few ticks late can make its task
	// appear overdue, to this instance and to its peers.
	stallThreshold = 300_000
	// pauseThreshold is the time (us) above which a stall counts as a pause, with possibly many unread updates: ten
	// ticks.
	pauseThreshold = 1_000_000
	// backlogDrainTime is the time (us) after a pause during which an update may have waited unread for as long as the
	// pause took. After half a second the socket buffers are drained.
	backlogDrainTime = 500_000
)

// pauseDetector detects stalls and pauses of this instance.
type pauseDetector struct {
	lastSeen       int64 // time of the last call
	stalls         int64 // stalls of this instance so far
	peerChecksFrom int64 // when overdue checks of peers resume after the last stall, 0 if there was none
	length         int64 // duration of the last pause, us
	backlogUntil   int64
}

// backlogDelay returns how long (us) an update that is read now may have waited unread, which its age does not include.
func (p *pauseDetector) backlogDelay(now int64) int64 {
	if now < p.backlogUntil {
		return p.length
	}
	return 0
}

// detectPause checks whether this instance was stalled or paused since the last call.
func (t *Table) detectPause(now int64) {
	gap := now - t.pauses.lastSeen
	t.pauses.lastSeen = now
	if gap <= stallThreshold {
		return
	}
	t.pauses.stalls++
	t.pauses.peerChecksFrom = now + backlogDrainTime
	if gap > pauseThreshold {
		t.pauses.length = gap
		t.pauses.backlogUntil = now + backlogDrainTime
	}
	if gap >= t.overdueAfter() {
		t.releaseTasksAfterPause(now)
	}
}

// stalledRecently reports whether a stall ended so recently that its consequences at other members still arrive.
func (p *pauseDetector) stalledRecently() bool {
	return p.peerChecksFrom > 0 && p.lastSeen < p.peerChecksFrom+rejoinDelay
}

// timeWithoutUpdate returns how long (us) this instance has waited for an update of a task. A stall of this instance
// and the time needed to read the backlog do not count, since the other members may have delivered meanwhile. Otherwise
// each stalled instance would classify the others as slow and claim their tasks.
func (t *Table) timeWithoutUpdate(task *task, now int64) int64 {
	return now - max(task.learnedAt, t.pauses.peerChecksFrom)
}

// releaseTasksAfterPause gives up all tasks after a pause in which the other members found them overdue and took them
// over. No task counts as overdue until this instance has had time to learn the new owners, and it rejoins as after a
// restart.
func (t *Table) releaseTasksAfterPause(now int64) {
	for _, task := range t.tasks {
		if task == nil {
			continue
		}
		task.learnedAt = max(task.learnedAt, now-t.interval/2)
		if task.owner == t.self {
			t.setOwner(task, nil)
		}
	}
	for _, m := range t.members {
		if m != nil {
			m.slowUntil = 0
		}
	}
	t.HandleRejoin(now, max(1, t.rejoin.rejoins))
}
