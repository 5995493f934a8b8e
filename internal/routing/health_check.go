package routing

// Health checks request a node's load report. They cost the node work, so they are limited by a budget that every
// request increases by a fraction of a check.

const (
	// healthChecksPerRequest is what each request adds to the budget. Health checks then cost nodes less than a third
	// of the requests that they serve.
	healthChecksPerRequest = 0.3
	// healthCheckBurst is the maximum and the initial budget, in health checks: enough to check every node of a small
	// fleet.
	healthCheckBurst = 10.0
	// backgroundCheckReserve is the budget required for a health check that no request waits for. It leaves half of the
	// budget for checks that requests do wait for.
	backgroundCheckReserve = healthCheckBurst / 2
	// readCheckInterval is the minimum interval, in microseconds, between two health checks of a replica for queued
	// reads. Several fit into the time for which a read is queued.
	readCheckInterval = 30_000
	// recoveryCheckInterval is the minimum interval, in microseconds, between two health checks of a node that is
	// suspected or lags: about the time that a failing connection attempt takes.
	recoveryCheckInterval = 250_000
	// lagTolerance is the difference in lag, in microseconds, up to which two replicas are considered equally likely to
	// be fresh.
	lagTolerance = 250_000
)

// checkHealth checks a node unless a check is pending, the endpoint list doesn't permit its use, or the budget is below
// minBudget.
func (r *Router) checkHealth(n *node, now int64, minBudget float64) {
	if !r.config.HealthChecks.Enabled || n.checkPending || !r.listAllows(n) || r.healthCheckBudget < minBudget {
		return
	}
	r.healthCheckBudget--
	n.checkPending = true
	n.checkedAt = now
	r.actions.CheckHealth(n.name)
}

// checkRecovery checks a suspected or lagging node every recoveryCheckInterval, unless another router does.
func (r *Router) checkRecovery(n *node, now int64) {
	if now-n.checkedAt > recoveryCheckInterval && !n.checkedByPeer {
		r.checkHealth(n, now, backgroundCheckReserve)
	}
}

// checkLikelyFreshReplica checks the replica that is most likely to have become fresh enough for a queued read.
func (r *Router) checkLikelyFreshReplica(req *request, now int64) {
	required := r.requiredPosition(req, now)
	var candidate *node
	for i := range req.shard.members {
		n := req.shard.rotatedMember(i)
		if n == req.shard.primary || !r.usable(n, now) || n.checkPending || now-n.checkedAt < readCheckInterval {
			continue
		}
		missing := required + n.lag - now
		// Replicas are assumed to catch up by at most half a second per second, so one that needs more time can't be
		// fresh yet.
		if missing > 0 && 2*missing > now-n.positionAt {
			continue
		}
		if candidate == nil || n.lag+lagTolerance < candidate.lag {
			candidate = n
		}
	}
	if candidate != nil {
		r.checkHealth(candidate, now, 1)
	}
}

// HealthChecked processes the result of a health check; ReportedPosition and ReportedRole process its load report
// first.
//
//   - No answer: a node that also failed connections is now suspected. When it answers later, it has recovered, and
//     its failed connections don't count as connection scarcity.
//   - An answer although connections failed repeatedly: the node is alive but has no free connections (see
//     recordConnectionScarcity).
//   - Any other answer of a suspected node ends the suspicion. The node may have lost a single answer, so its
//     attempts in flight get the full silence threshold again. Or it may be overloaded, so a router that seldom uses
//     it lowers its limit.
func (r *Router) HealthChecked(now int64, name string, outcome Outcome) {
	n := r.nodeByName[name]
	if n == nil {
		return
	}
	n.checkPending = false
	connectFailing := n.connectFailingSince > 0
	switch {
	case outcome != Answered:
		n.suspected = n.suspected || connectFailing
		n.connectFailingSince = 0
	case connectFailing && n.connectFailedAgain:
		n.connectFailingSince = 0
		r.recordConnectionScarcity(now)
	case n.suspected:
		n.suspected = false
		n.lastReplyAt = now
		// Any group will do: only its average response time is used, and it hardly matters next to the router's share
		// of initialLimit.
		if inUse, seldomUsed := r.limitInUse(n, r.groups[0], now); seldomUsed {
			n.limit = max(r.minLimit(), inUse*rejectionFactor)
		}
	}
	r.dispatchQueued(n.shard, now)
}

// recordConnectionScarcity closes all idle connections and keeps none for a while. Otherwise routers that hold idle
// connections to a node with few connection slots could lock out other routers, which see connections fail at a node
// that answers health checks. It requires two failures because a single connection may be reset by chance, and without
// idle connections every request costs a handshake.
func (r *Router) recordConnectionScarcity(now int64) {
	if now >= r.connectionsScarceUntil {
		for _, n := range r.nodes {
			r.actions.CloseIdleConnections(n.name)
		}
	}
	r.connectionsScarceUntil = now + connectionScarcityPeriod
}
