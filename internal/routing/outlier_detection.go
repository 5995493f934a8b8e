package routing

import "cmp"

// Outlier detection: what is learned about a node from how its attempts end, or don't end: its slowdown and error rate,
// whether it is suspected, and when it must cool down. A node recovers as follows: an answer or an answered health
// check ends a suspicion, a cool-down ends by itself, slowdown and error rate decay, and a restart clears suspicion and
// errors (see handleRestart).

const (
	// slowdownGain is the weight of one answer in a node's slowdown: a moving average over about 10 answers.
	slowdownGain = 0.1
	// errorGain is the weight of one outcome in a node's error rate: a moving average over about 7 outcomes.
	errorGain = 0.15
	// outlierDecayTime is the time, in microseconds, in which a node's slowdown and error rate decay by two thirds, so
	// that a node that receives nothing because of them gets another chance.
	outlierDecayTime = 10e6
	// silenceMultiple and lostMultiple are waiting times as multiples of the average response time. Even with requests
	// of widely varying size, 98% are answered within silenceMultiple, and all but one in 200 within lostMultiple.
	silenceMultiple = 4.0
	lostMultiple    = 8.0
	// minSilence is the minimum time without an answer, in microseconds, that counts as silence. Shorter gaps are
	// pauses, which end before other nodes could take over.
	minSilence = 250_000
	// rejectionCoolDown is the time, in microseconds, for which a node that rejected a request receives none. Some of
	// its work completes meanwhile, and an immediate retry would only cost it more.
	rejectionCoolDown = 50_000
	// connectCoolDownJitter is the range, in microseconds, of the random part of the cool-down after a failed
	// connection, so that routers don't all return to a node at once. The fixed part is half of it.
	connectCoolDownJitter = 50_000
	// connectionScarcityPeriod is the time, in microseconds, for which no idle connections are kept after two
	// connections to a node that answers health checks failed.
	connectionScarcityPeriod = 10e6
)

// recordOutcome is the outcome function that updates a node's slowdown, error rate, concurrency limit and cool-down.
func (r *Router) recordOutcome(a *attempt, outcome Outcome, took, now int64) {
	n, group := a.node, a.request.group
	objective := r.objectiveAtNode(group)
	limitInUse, _ := r.limitInUse(n, group, now)
	late := float64(took) > lateShare*float64(objective)
	if outcome.nodeReplied() {
		n.lastReplyAt = now
		n.connectFailingSince = 0
		n.suspected = false
	}
	switch outcome {
	case Answered:
		group.recordResponse(took)
		n.recordSlowdown(group, took)
		n.recordWork(group, now)
		if !late {
			r.increaseLimit(n, group)
		}
	case NotPrimary:
		if n.shard == a.request.shard {
			r.observeRole(n, Replica, now)
		}
	case Errored, ConnectionLost:
		n.recordError()
	case Rejected:
		n.limit = limitInUse * rejectionFactor
		n.coolDownUntil = now + rejectionCoolDown
	case ConnectFailed:
		r.recordConnectFailure(n, now)
	}
	if a.indicatesOverload(outcome, late) {
		n.decreaseLimit(limitInUse, took, objective)
	}
	n.limit = max(r.minLimit(), n.limit)
	n.coolDownUntil = max(n.coolDownUntil, now+int64(n.pause(group))) // leaves the node to other routers meanwhile
}

// objectiveAtNode returns the latency objective above which a node's answers to a group count as late. Short requests
// of all groups share one queue at a node, so the tightest objective applies to them; long-running ones have their own.
func (r *Router) objectiveAtNode(group *commandGroup) int64 {
	if r.longRunning(group) {
		return group.LatencyObjective
	}
	return r.tightestObjective()
}

// indicatesOverload reports whether the end of an attempt is a reason to lower the limit. A late answer or timeout is,
// unless the attempt was considered lost and therefore already counted as an error. A client that disconnected or
// canceled counts as a late answer, however early it left, because the answer came too late for it.
func (a *attempt) indicatesOverload(outcome Outcome, late bool) bool {
	if outcome == Canceled {
		return a.request.clientGone
	}
	return late && !a.lost && (outcome == Answered || outcome == TimedOut)
}

// recordSlowdown updates a node's slowdown and error rate with an answer.
func (n *node) recordSlowdown(group *commandGroup, took int64) {
	n.slowdown += slowdownGain * (min(responseTimeClip, float64(took)/group.avgResponseTime) - n.slowdown)
	n.errorRate -= errorGain * n.errorRate
}

// recordError updates a node's error rate with a failed attempt.
func (n *node) recordError() { n.errorRate += errorGain * (1 - n.errorRate) }

// decayOutlierStats decays a node's slowdown and error rate by one sweep interval.
func (n *node) decayOutlierStats() {
	n.errorRate -= n.errorRate * sweepInterval / outlierDecayTime
	n.slowdown -= (n.slowdown - 1) * sweepInterval / outlierDecayTime
}

// recordConnectFailure processes a failed connection: the node is dead, unreachable, or has no free connection slot.
// The node cools down for a time that grows with the time since its first failure and has a random part, so that
// routers don't all return at once. A health check tells the cases apart (see HealthChecked).
func (r *Router) recordConnectFailure(n *node, now int64) {
	n.connectFailedAgain = n.connectFailingSince > 0
	n.connectFailingSince = cmp.Or(n.connectFailingSince, now)
	jitter := int64(r.random.intN(connectCoolDownJitter))
	n.coolDownUntil = now + connectCoolDownJitter/2 + jitter + (now-n.connectFailingSince)/2
	r.checkHealth(n, now, 1)
}

// checkResponsiveness inspects the attempts in flight at a node in each sweep.
//
//   - A late attempt is hedged if allowed (hedging.go).
//   - The node is suspected if nothing has come back for several average response times: it is dead, hung,
//     unreachable, or pausing. It receives no new attempts, attempts that may be repeated are canceled, and health
//     checks detect its recovery. A merely slow node is sometimes suspected too; its reads then move to other nodes
//     needlessly.
//   - An attempt that exceeds many average response times at a node that answers others is considered lost, on the
//     network or in a stuck worker: it counts as an error, is no longer counted as in flight, and is canceled if it
//     may be sent again. A rare, very large request is cut off this way and starts over.
//
// Time during which this router itself stalled is not counted.
func (r *Router) checkResponsiveness(n *node, now int64) {
	for i, a := range n.attempts {
		expected := a.request.group.avgResponseTime * max(1, n.slowdown)
		silenceLimit := max(minSilence, n.suspicionMultiple()*expected)
		waited := float64(now - max(a.startedAt, r.stallEndedAt))
		if waited > silenceMultiple*expected {
			r.hedge(a.request, now)
		}
		silentFor := float64(now - max(a.startedAt, n.lastReplyAt, r.stallEndedAt))
		if i == 0 && !n.suspected && silentFor > silenceLimit {
			n.suspected = true
			r.cancelRetriable(n, now)
		}
		if !n.suspected && !a.lost && waited > max(minSilence, lostMultiple*expected) {
			r.markLost(a, now)
		}
	}
	if n.suspected || n.lag > maxNormalLag && r.config.HealthChecks.ReportsPosition {
		r.checkRecovery(n, now)
	}
}

// suspicionMultiple returns the number of average response times after which a silent node is suspected: eight with one
// attempt in flight, which may be slow by chance, six with two, four with more.
func (n *node) suspicionMultiple() float64 {
	return max(silenceMultiple, lostMultiple-silenceMultiple/2*float64(len(n.attempts)-1))
}

// markLost marks an attempt as lost.
func (r *Router) markLost(a *attempt, now int64) {
	a.lost = true
	a.node.inFlight--
	a.node.recordError()
	if a.request.group.Idempotency != NotIdempotent {
		r.cancelForRetry(a, now)
	}
}

// cancelRetriable cancels the attempts at a node that may be sent again: idempotent requests if the node is suspected,
// and requests with a key if the node is no longer the primary. At a suspected primary the latter stay until another
// primary is known, because only a primary could take them.
func (r *Router) cancelRetriable(n *node, now int64) {
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

// cancelForRetry cancels an attempt so that its request can be sent again. It keeps the last attempt that can be
// answered: if no other attempt is in flight or possible, cancellation would give up a request whose answer may be on
// its way.
func (r *Router) cancelForRetry(a *attempt, now int64) {
	if a.request.hasOtherPending(a) || r.mayRetry(a.request, now) {
		r.cancelAttempt(a)
	}
}
