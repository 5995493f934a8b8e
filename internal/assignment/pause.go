package assignment

const (
	// pauseThreshold is the time (us) without a call from which this instance was paused itself, as by SIGSTOP, a debugger
	// or a machine without a free core: ten ticks.
	pauseThreshold = 1_000_000
	// backlogTime is how long (us) after a pause an update that is read may have waited unread for as long as the pause
	// took. It is half a second: by then the sockets' buffers are read.
	backlogTime = 500_000
)

// pauseDetector finds out that this instance was paused.
type pauseDetector struct {
	lastSeen     int64 // time of the last call
	length       int64 // us that the last pause took
	backlogUntil int64
}

// unreadTime is how long (us) an update that is read now may have waited unread: it looks as new as when it came.
func (p *pauseDetector) unreadTime(now int64) int64 {
	if now < p.backlogUntil {
		return p.length
	}
	return 0
}

// detectPause finds out whether this instance was paused until now.
func (t *Table) detectPause(now int64) {
	gap := now - t.pauses.lastSeen
	t.pauses.lastSeen = now
	if gap > pauseThreshold {
		t.pauses.length = gap
		t.pauses.backlogUntil = now + backlogTime
		if gap >= t.overdueAfter() {
			t.resumeWithoutTasks(now)
		}
	}
}

// resumeWithoutTasks gives up all tasks after a pause in which the others found them overdue and took them over. Nothing
// counts as overdue until this instance has had time to hear of the new owners, and it rejoins like one that restarted.
func (t *Table) resumeWithoutTasks(now int64) {
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
	t.NoteRejoins(now, max(1, t.rejoin.rejoins))
}
