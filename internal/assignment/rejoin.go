package assignment

const (
	// startupListen is how long (us) an instance listens after its start whether others are at work.
	startupListen = 1_000_000

	// rejoinDelay is how long (us) an instance that rejoined waits before it claims the tasks that it is the target of. One
	// that comes and goes would otherwise move its tasks each time, and each move is a gap in the probes of a node.
	rejoinDelay = 3_000_000
	// rejoinMaxDoublings bounds how often rejoinDelay doubles for an instance that came back often: 48 s.
	rejoinMaxDoublings = 4
	// rejoinMemory is the time (us) without a rejoin after which the former ones are forgotten.
	rejoinMemory = 300_000_000
)

// rejoinState is whether this instance claims the tasks that it is the target of, or waits since it started or rejoined.
type rejoinState struct {
	claiming   bool
	claimsFrom int64 // when it begins to claim
	rejoins    int   // how often this instance came back lately, as it or others saw it
	rejoinedAt int64
	minority   bool // this instance sees less than half of the members that there are
}

// ClaimsTasks reports whether this instance claims the tasks that it is the target of. One that has just started or rejoined
// does not yet; their owners go on until it does.
func (t *Table) ClaimsTasks() bool { return t.rejoin.claiming }

// NoteRejoins reports that this instance came back, and how often lately as others saw it, 1 at least. It waits before it
// claims again, the longer the more often.
func (t *Table) NoteRejoins(now int64, times int) {
	r := &t.rejoin
	if now-r.rejoinedAt > rejoinMemory {
		r.rejoins = 0
	}
	r.rejoins = max(r.rejoins, times)
	r.rejoinedAt = now
	r.claiming = false
	r.claimsFrom = max(r.claimsFrom, now+rejoinDelay<<min(r.rejoins-1, rejoinMaxDoublings))
}

// maybeStartClaiming ends the wait after a start or a rejoin. An instance that hears others at work right after its start
// has rejoined, even if none of them counted it.
func (t *Table) maybeStartClaiming(now int64) {
	if t.rejoin.claiming || now < t.rejoin.claimsFrom {
		return
	}
	if t.heardNew && t.rejoin.rejoins == 0 {
		t.NoteRejoins(now, 1)
		return
	}
	t.rejoin.claiming = true
}

// maybeLeaveMinority is called when a member came. An instance that was cut off with few others waits as after a rejoin, so
// that the larger side keeps its tasks.
func (t *Table) maybeLeaveMinority(now int64) {
	if !t.rejoin.minority {
		return
	}
	t.rejoin.minority = t.isMinority()
	t.NoteRejoins(now, t.rejoin.rejoins+1)
}

// isMinority reports whether the live members are less than half of those that there are.
func (t *Table) isMinority() bool {
	return 2*t.liveMembers() < max(t.peakMembers, t.config.Instances)
}
