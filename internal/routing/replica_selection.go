package routing

const (
	// maxNormalLag is the lag, us, past which a replica serves only as a last resort: a client may notice data that old.
	maxNormalLag = 2e6
	// otherZoneCost is the factor on the expected response of a node in another zone: traffic between zones costs the
	// operator, so a read leaves its zone only where that saves it a third of its time.
	otherZoneCost = 1.5
	// lastResortCost is the same for a replica that lags, or from which another router has no answer: behind any other.
	lastResortCost = 1000.0
	// equalWithin is the factor within which two expected responses count as equal, so that equal nodes take turns.
	equalWithin = 1.15
	// lowWeightShare is the share of a node's concurrency limit open to requests of lowered weight: they must not fill
	// what others will want.
	lowWeightShare = 0.5
	// primaryFallbackLead is the time, us, before the end of its queueing at which a read may go to the primary although
	// a replica might still become fresh enough: two sweeps, for one of them to find it.
	primaryFallbackLead = 2 * sweepInterval
)

// selectReplica is the stage that chooses the node of a read: a replica that is fresh enough,
// one that lags only if no other has capacity, in this router's zone first, taking turns among equals. Where none has capacity, or none can become fresh enough in time, the
// primary takes the read. Else it is queued, and a health check may prove a replica fresh enough.
func (r *Router) selectReplica(req *request, now int64) decision {
	group := req.group
	if group.needsPrimary() {
		return proceed
	}
	if group.Consistency == ReadYourWrites && !r.config.ClientsCarryTokens {
		r.recallSession(req, now)
	}
	req.shard.turn++
	if group.Consistency == Eventual && r.longRunning(group) {
		replica, freshWithoutLag := r.replicaForLongRead(req, now)
		if replica != nil && !r.hasCapacity(replica, 1, group, now) {
			return enqueue
		}
		return r.sendToReplicaOrPrimary(req, replica, freshWithoutLag, now)
	}
	replica, freshWithoutLag := r.bestReplica(req, now)
	return r.sendToReplicaOrPrimary(req, replica, freshWithoutLag, now)
}

// sendToReplicaOrPrimary chooses the replica that was found for a read, nil for none, or else the primary.
// freshWithoutLag reports whether any replica that doesn't lag is fresh enough.
func (r *Router) sendToReplicaOrPrimary(req *request, replica *node, freshWithoutLag bool, now int64) decision {
	if replica != nil {
		req.chosen = replica
		return proceed
	}
	if r.primaryTakesRead(req, freshWithoutLag, now) {
		req.chosen = req.shard.primary
		return proceed
	}
	if !freshWithoutLag && r.config.HealthChecks.ReportsPosition {
		r.checkLikeliestReplica(req, now)
	}
	return enqueue
}

// mayServeRead reports whether a replica may serve a read, capacity aside.
func (r *Router) mayServeRead(n *node, req *request, now int64) bool {
	return n != req.shard.primary && r.usable(n, now) && r.freshEnough(n, req, now) && !req.inFlightAt(n)
}

// bestReplica is the replica with capacity and the least expected cost, nil for none. It also reports whether any replica
// that doesn't lag is fresh enough, with capacity or without.
func (r *Router) bestReplica(req *request, now int64) (best *node, freshWithoutLag bool) {
	share := 1.0
	if req.weight < req.group.Weight {
		share = lowWeightShare
	}
	leastCost := 0.0
	for i := range req.shard.members {
		n := req.shard.memberInTurn(i)
		if !r.mayServeRead(n, req, now) {
			continue
		}
		freshWithoutLag = freshWithoutLag || n.lag <= maxNormalLag
		if !r.hasCapacity(n, share, req.group, now) {
			continue
		}
		cost := r.expectedCost(n)
		if best == nil || cost*equalWithin < leastCost {
			best = n
			leastCost = cost
		}
	}
	return best, freshWithoutLag
}

// replicaForLongRead is the one replica that takes the long-running reads of a shard, the first by name, so that all
// routers choose alike. Such a read may stop a replica from applying its log; spread out, they would make every replica
// lag, and leave none for reads that need new data.
func (r *Router) replicaForLongRead(req *request, now int64) (first *node, freshWithoutLag bool) {
	for i := range req.shard.members {
		n := req.shard.memberInTurn(i)
		if !r.mayServeRead(n, req, now) {
			continue
		}
		freshWithoutLag = freshWithoutLag || n.lag <= maxNormalLag
		if first == nil || n.name < first.name {
			first = n
		}
	}
	return first, freshWithoutLag
}

// expectedCost is the response to be expected of a node, as a multiple of the usual one: its pace, times what is in
// flight there, over the share of its attempts that succeed. What speaks against a node multiplies it.
func (r *Router) expectedCost(n *node) float64 {
	cost := n.slowdown * float64(1+n.inFlight) / (1 - n.errorRate)
	if n.zone != r.config.Zone {
		cost *= otherZoneCost
	}
	if n.peerSilentAt > n.answeredAt {
		cost *= lastResortCost
	}
	if n.lag > maxNormalLag {
		cost *= lastResortCost
	}
	return cost
}

// primaryTakesRead reports whether the primary serves a read for which no replica was found: it has answered as the
// primary (or is known to be fresh enough), has capacity with one place left for a write, and waiting would not help.
// With a limit under two the primary has no place to spare, and a read may take its only one.
func (r *Router) primaryTakesRead(req *request, freshWithoutLag bool, now int64) bool {
	p := req.shard.primary
	if p == nil || !r.usable(p, now) || !r.freshEnough(p, req, now) || req.inFlightAt(p) {
		return false
	}
	if !r.hasCapacity(p, 1-1/p.limit, req.group, now) {
		return false
	}
	return freshWithoutLag || now >= req.queueUntil-primaryFallbackLead || r.noReplicaInTime(req)
}

// noReplicaInTime reports whether no replica can be expected to be fresh enough before the read's queueing ends.
func (r *Router) noReplicaInTime(req *request) bool {
	for _, n := range req.shard.members {
		if n.state != Up || n.suspected || n == req.shard.primary {
			continue
		}
		if r.requiredPosition(req, req.queueUntil)+n.lag < req.queueUntil {
			return false
		}
	}
	return true
}
