package routing

import "cmp"

// What is learnt of a node from how its attempts end, and from those that don't: its pace and error rate, whether it is
// suspected, and when it must cool down. What brings a node back: an answer or an answered health check ends a suspicion, a
// cool-down ends by itself, pace and errors fade, and a restart clears suspicion and errors (noteRestart).

const (
	// slowdownGain is the weight of one answer in a node's slowdown: an average over about 10.
	slowdownGain = 0.1
	// errorGain is the weight of one outcome in a node's error rate: an average over about 7.
	errorGain = 0.15
	// outlierFadeTime is the time, us, in which what is known of a node's pace and errors fades by two thirds: a node that
	// is sent nothing for them gets another chance.
	outlierFadeTime = 10e6
	// silentAfter and lostAfter are waits, as multiples of the usual response. Even of requests that vary much in size, 98
	// in 100 are answered within silentAfter, and all but one in 200 within lostAfter.
	silentAfter = 4.0
	lostAfter   = 8.0
	// leastSilence is the least time, us, without an answer that counts: shorter ones are pauses, which end before other
	// nodes could have helped.
	leastSilence = 250_000
	// rejectionCoolDown is the time, us, for which a node that rejected a request gets none: some of what it has in hand
	// ends, and to ask again at once only costs it work.
	rejectionCoolDown = 50_000
	// connectCoolDownSpread is the chance part, us, of the cool-down after a connection failed, so that routers don't all come
	// back to a node at once. Half of it is waited in any case.
	connectCoolDownSpread = 50_000
	// connectionScarcity is the time, us, for which no connection is kept idle after a live node took none twice.
	connectionScarcity = 10e6
)

// recordOutcome is the stage that learns a node's pace, errors and concurrency limit from how an attempt ended.
func (r *Router) recordOutcome(a *attempt, outcome Outcome, took, now int64) {
	n, group := a.node, a.request.group
	objective := r.objectiveAtNode(group)
	limitInUse, _ := r.limitInUse(n, group, now)
	late := float64(took) > lateShare*float64(objective)
	if outcome.nodeReplied() {
		n.answeredAt = now
		n.refusedSince = 0
		n.suspected = false
	}
	switch outcome {
	case Answered:
		group.recordResponse(took)
		n.recordPace(group, took)
		n.recordWork(group, now)
		if !late {
			r.raiseLimit(n, group)
		}
	case NotPrimary:
		r.observeRole(n, Replica, now)
	case Errored, ConnectionLost:
		n.recordError()
	case Rejected:
		n.limit = limitInUse * rejectionCut
		n.coolDownUntil = now + rejectionCoolDown
	case ConnectFailed:
		r.recordConnectFailure(n, now)
	}
	if a.tellsOverload(outcome, late) {
		n.cutLimit(limitInUse, took, objective)
	}
	n.limit = max(r.leastLimit(), n.limit)
	n.coolDownUntil = max(n.coolDownUntil, now+int64(n.pause(group))) // other routers use the node meanwhile
}

// objectiveAtNode is the latency objective by which a node's answers to a group count as late. Short requests of all
// groups wait in one queue at a node, so the tightest objective counts for them; long-running ones have their own.
func (r *Router) objectiveAtNode(group *commandGroup) int64 {
	if r.longRunning(group) {
		return group.LatencyObjective
	}
	return r.tightestObjective()
}

// tellsOverload reports whether the end of an attempt speaks for a lower limit: a late answer or timeout does, unless the
// attempt was taken to be lost and so counted as an error already. A client that left, or cancelled, counts as a late answer
// however soon it left: what it waited for was too late for it.
func (a *attempt) tellsOverload(outcome Outcome, late bool) bool {
	if outcome == Canceled {
		return a.request.clientGone
	}
	return late && !a.lost && (outcome == Answered || outcome == TimedOut)
}

// recordPace takes an answer into a node's slowdown and error rate.
func (n *node) recordPace(group *commandGroup, took int64) {
	n.slowdown += slowdownGain * (min(usualResponseClip, float64(took)/group.usualResponse) - n.slowdown)
	n.errorRate -= errorGain * n.errorRate
}

// recordError takes a failed attempt into a node's error rate.
func (n *node) recordError() { n.errorRate += errorGain * (1 - n.errorRate) }

// fadeOutlierFigures lets a node's slowdown and error rate fade by one sweep.
func (n *node) fadeOutlierFigures() {
	n.errorRate -= n.errorRate * sweepInterval / outlierFadeTime
	n.slowdown -= (n.slowdown - 1) * sweepInterval / outlierFadeTime
}

// recordConnectFailure takes a connection that did not come up: the node is dead, cut off, or has no place for one. It
// cools down, longer the longer it has refused, by a chance time so that routers don't all come back at once. A health
// check tells which it is (HealthChecked).
func (r *Router) recordConnectFailure(n *node, now int64) {
	n.refusedAgain = n.refusedSince > 0
	n.refusedSince = cmp.Or(n.refusedSince, now)
	chance := int64(r.random.below(connectCoolDownSpread))
	n.coolDownUntil = now + connectCoolDownSpread/2 + chance + (now-n.refusedSince)/2
	r.checkHealth(n, now, 1)
}

// checkResponsiveness looks, in each sweep, at the attempts in flight at a node.
//
//   - A late attempt is hedged, where that is allowed (hedging.go).
//   - The node is suspected when nothing has come back for several usual responses: it is dead, hung, cut off, or pauses.
//     It gets nothing new, what may be repeated is canceled there, and health checks look for its return. A node that is
//     merely slow is suspected too at times; its reads then go elsewhere in vain.
//   - An attempt that outlives many usual responses at a node that answers others is taken to be lost, on the network or
//     in a stuck worker: it counts as an error, no longer counts as in flight, and is canceled where it may be sent again.
//     A rare giant request is cut off that way, and starts anew.
//
// The time for which this router itself stood still counts for none of it.
func (r *Router) checkResponsiveness(n *node, now int64) {
	for i, a := range n.attempts {
		usual := a.request.group.usualResponse * max(1, n.slowdown)
		silence := max(leastSilence, n.silenceFactor()*usual)
		waited := float64(now - max(a.startedAt, r.stallEndedAt))
		if waited > silentAfter*usual {
			r.hedge(a.request, now)
		}
		quiet := float64(now - max(a.startedAt, n.answeredAt, r.stallEndedAt))
		if i == 0 && !n.suspected && quiet > silence {
			n.suspected = true
			r.cancelRepeatable(n, now)
		}
		if !n.suspected && !a.lost && waited > max(leastSilence, lostAfter*usual) {
			r.giveUpLost(a, now)
		}
	}
	if n.suspected || n.lag > maxNormalLag && r.config.HealthChecks.ReportsPosition {
		r.checkForReturn(n, now)
	}
}

// silenceFactor is after how many usual responses a silent node is suspected: eight with one attempt in flight, which
// may be slow by chance, six with two, four with more.
func (n *node) silenceFactor() float64 {
	return max(silentAfter, lostAfter-silentAfter/2*float64(len(n.attempts)-1))
}

// giveUpLost takes an attempt to be lost.
func (r *Router) giveUpLost(a *attempt, now int64) {
	a.lost = true
	a.node.inFlight--
	a.node.recordError()
	if a.request.group.Idempotency != NotIdempotent {
		r.cancelForRetry(a, now)
	}
}

// cancelRepeatable cancels what may be sent again from a node: idempotent requests where it is suspected, and requests with
// a key once it is not the primary any more. Those are left at a suspected primary until another one is known, because only
// a primary could take them.
func (r *Router) cancelRepeatable(n *node, now int64) {
	for _, a := range n.attempts {
		switch a.request.group.Idempotency {
		case Idempotent:
			if n.suspected {
				r.cancelForRetry(a, now)
			}
		case IdempotentWithKey:
			if a.request.shard.primary != n {
				r.cancelForRetry(a, now)
			}
		}
	}
}

// cancelForRetry cancels an attempt so that its request can be sent again. It leaves the last one that can be answered:
// without another in flight or to come, its end would give up a request whose answer may be on the way.
func (r *Router) cancelForRetry(a *attempt, now int64) {
	if a.request.awaitsOther(a) || r.mayRetry(a.request, now) {
		r.cancelAttempt(a)
	}
}
