package assignment

const (
	// startupListenTime is how long (us) an instance listens for other active instances after its start.
	startupListenTime = 1_000_000

	// rejoinDelay is how long (us) a rejoined instance waits before it claims the tasks that it is the target of. An
	// instance that restarts repeatedly would otherwise move its tasks each time, and each move is a gap in the probes
	// of a node.
	rejoinDelay = 3_000_000
	// rejoinMaxDoublings limits the doublings of rejoinDelay for repeated rejoins, to 48 s.
	rejoinMaxDoublings = 4
	// rejoinResetTime is the time (us) without a rejoin after which earlier rejoins no longer count.
	rejoinResetTime = 300_000_000
)

// rejoinState tracks whether this instance claims the tasks that it is the target of, or still waits after a start or
// rejoin.
type rejoinState struct {
	claiming   bool
	claimsFrom int64 // when it starts to claim
	rejoins    int   // recent rejoins of this instance, as counted by itself or by others
	rejoinedAt int64
	minority   bool // less than half of the expected members are live (isMinority)
}

// ClaimsTasks reports whether this instance claims the tasks that it is the target of. It does not right after a start
// or rejoin; until then the tasks stay with their owners.
func (t *Table) ClaimsTasks() bool { return t.rejoin.claiming }

// HandleRejoin records that this instance rejoined, with the number of recent rejoins as counted by others, at least 1.
// The wait before it claims again grows with that number.
func (t *Table) HandleRejoin(now int64, count int) {
	r := &t.rejoin
	if now-r.rejoinedAt > rejoinResetTime {
		r.rejoins = 0
	}
	r.rejoins = max(r.rejoins, count)
	r.rejoinedAt = now
	r.claiming = false
	r.claimsFrom = max(r.claimsFrom, now+rejoinDelay<<min(r.rejoins-1, rejoinMaxDoublings))
}

// maybeStartClaiming ends the wait after a start or a rejoin. An instance that receives recent updates right after its
// start has rejoined, even if no other member counted that.
func (t *Table) maybeStartClaiming(now int64) {
	if t.rejoin.claiming || now < t.rejoin.claimsFrom {
		return
	}
	if t.recentUpdateSeen && t.rejoin.rejoins == 0 {
		t.HandleRejoin(now, 1)
		return
	}
	t.rejoin.claiming = true
}

// maybeLeaveMinority is called when a member comes up. An instance on the smaller side of a partition waits as after a
// rejoin, so that the larger side keeps its tasks.
func (t *Table) maybeLeaveMinority(now int64) {
	if !t.rejoin.minority {
		return
	}
	t.rejoin.minority = t.isMinority()
	t.HandleRejoin(now, t.rejoin.rejoins+1)
}

// isMinority reports whether the live members are less than half of the peak number or of the configured instances,
// whichever is greater.
func (t *Table) isMinority() bool {
	return 2*t.liveMembers() < max(t.peakMembers, t.config.Instances)
}
