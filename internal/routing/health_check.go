package routing

// Health checks ask a node for its load report. They cost the node work, so requests pay for them: each adds a part of a
// check to a budget.

const (
	// healthChecksPerRequest is what one request adds to the budget: with more the checks cost more than they bring.
	healthChecksPerRequest = 0.3
	// healthCheckBurst is how many checks may be saved up, and are there at the start: a look at a small fleet.
	healthCheckBurst = 10.0
	// spareHealthChecks is what checks that no request in hand needs leave in the budget for those that one does.
	spareHealthChecks = 5.0
	// readCheckInterval is the time, us, between two checks of a replica for queued reads: several fit into the time for
	// which a read is queued.
	readCheckInterval = 30_000
	// rejoinCheckInterval is the time, us, between two checks of a node that is suspected or lags: about as long as a
	// connection attempt takes to fail.
	rejoinCheckInterval = 250_000
	// equalLag is the difference in lag, us, up to which two replicas are equally likely to be fresh.
	equalLag = 250_000
)

// checkHealth checks a node, unless a check is under way, the list doesn't let it be used, or the budget holds less than
// needed.
func (r *Router) checkHealth(n *node, now int64, needed float64) {
	if !r.config.HealthChecks.Enabled || n.checkPending || !r.listAllows(n) || r.healthCheckBudget < needed {
		return
	}
	r.healthCheckBudget--
	n.checkPending = true
	n.checkedAt = now
	r.actions.CheckHealth(n.name)
}

// checkForReturn checks a suspected or lagging node now and then, unless another router does.
func (r *Router) checkForReturn(n *node, now int64) {
	if now-n.checkedAt > rejoinCheckInterval && !n.checkedByPeer {
		r.checkHealth(n, now, spareHealthChecks)
	}
}

// checkLikeliestReplica checks the replica that is most likely to have become fresh enough for a queued read.
func (r *Router) checkLikeliestReplica(req *request, now int64) {
	required := r.requiredPosition(req, now)
	var likeliest *node
	for i := range req.shard.members {
		n := req.shard.rotated(i)
		if n == req.shard.primary || !r.usable(n, now) || n.checkPending || now-n.checkedAt < readCheckInterval {
			continue
		}
		missing := required + n.lag - now
		if missing > 0 && 2*missing > now-n.positionAt { // it can't be there yet
			continue
		}
		if likeliest == nil || n.lag+equalLag < likeliest.lag {
			likeliest = n
		}
	}
	if likeliest != nil {
		r.checkHealth(likeliest, now, 1)
	}
}

// HealthChecked tells how a health check of a node ended; what its load report held was told before, by
// ReportedPosition and ReportedRole. No answer from a node that took no connection makes it suspected: that it
// answers later means only that it is back. An answer ends a suspicion: the node may have lost one answer, or be
// crowded, so it gets as long again, and less.
func (r *Router) HealthChecked(now int64, name string, outcome Outcome) {
	n := r.nodeByName[name]
	if n == nil {
		return
	}
	n.checkPending = false
	refuses := n.refusedSince > 0
	switch {
	case outcome != Answered:
		n.suspected = n.suspected || refuses
		n.refusedSince = 0
	case refuses && n.refusedAgain:
		n.refusedSince = 0
		r.noteScarcity(now)
	case n.suspected:
		n.suspected = false
		n.answeredAt = now
		if inUse, seldomUsed := r.limitInUse(n, r.groups[0], now); seldomUsed {
			n.limit = max(r.leastLimit(), inUse*rejectionCut)
		}
	}
	r.dispatchWaiting(n.shard, now)
}

// noteScarcity closes all idle connections, and keeps none for a while: a node that lives and yet took no connection
// twice (one alone may be reset by chance) has no place for more, and routers that hold idle ones shut the others out.
// It costs a handshake for each request.
func (r *Router) noteScarcity(now int64) {
	if now >= r.scarceUntil {
		for _, n := range r.nodes {
			r.actions.CloseIdleConnections(n.name)
		}
	}
	r.scarceUntil = now + connectionScarcity
}
