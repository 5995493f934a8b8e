package routing

// When a node is asked for its load report. Such health checks cost the node work, so there is a budget, to which each
// request adds a part of a check.

const (
	// healthChecksPerRequest is what one request adds to the budget: checks then take nodes less than a third of the
	// requests that they serve.
	healthChecksPerRequest = 0.3
	// healthCheckBurst is how many checks may be saved up, and are there at the start: a look at a small fleet.
	healthCheckBurst = 10.0
	// spareHealthChecks is what a check that no request waits for must find in the budget, so that half of it is left for
	// checks that one does wait for.
	spareHealthChecks = healthCheckBurst / 2
	// readCheckInterval is the time, us, between two checks of a replica for queued reads: several fit into the time for
	// which a read is queued.
	readCheckInterval = 30_000
	// rejoinCheckInterval is the time, us, between two checks of a node that is suspected or lags: about as long as a
	// connection attempt takes to fail.
	rejoinCheckInterval = 250_000
	// equalLag is the difference in lag, us, up to which two replicas are equally likely to be fresh.
	equalLag = 250_000
)

// checkHealth checks a node, unless a check of it is pending, the endpoint list doesn't let it be used, or the budget
// holds less than needed.
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
		n := req.shard.memberInTurn(i)
		if n == req.shard.primary || !r.usable(n, now) || n.checkPending || now-n.checkedAt < readCheckInterval {
			continue
		}
		missing := required + n.lag - now
		// Replicas are assumed to catch up by half a second a second at most: one that needs longer can't be there yet.
		if missing > 0 && 2*missing > now-n.positionAt {
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

// HealthChecked takes the end of a node's health check; ReportedPosition and ReportedRole take its load report before.
//
//   - No answer: a node that also refused connections is suspected now. When it answers later it is merely back, and its
//     refusals don't count as scarcity.
//   - An answer, though connections failed again and again: the node lives and has no place for more (noteScarcity).
//   - Any other answer of a suspected node ends the suspicion. It may have lost one answer, so what is in flight there gets as
//     long again; or it may be overloaded, so a router that seldom uses it cuts its limit.
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
		// Any group serves here: only its usual response time counts, and hardly matters beside the router's part of the limit.
		if inUse, seldomUsed := r.limitInUse(n, r.groups[0], now); seldomUsed {
			n.limit = max(r.leastLimit(), inUse*rejectionCut)
		}
	}
	r.dispatchWaiting(n.shard, now)
}

// noteScarcity closes all idle connections, and keeps none for a while. It guards against routers that hold idle
// connections to a node with few places and so shut other routers out: those see connections fail at a node that answers
// health checks. Two failures are needed, because one connection may be reset by chance, and without idle connections
// each request costs a handshake.
func (r *Router) noteScarcity(now int64) {
	if now >= r.scarceUntil {
		for _, n := range r.nodes {
			r.actions.CloseIdleConnections(n.name)
		}
	}
	r.scarceUntil = now + connectionScarcity
}
