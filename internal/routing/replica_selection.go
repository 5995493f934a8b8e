package routing

const (
	// maxNormalLag is the lag, in microseconds, above which a replica is used only as a last resort, because clients
	// may notice data that old.
	maxNormalLag = 2e6
	// crossZonePenalty multiplies the expected cost of a node in another zone. Traffic between zones costs the operator
	// money, so a read leaves its zone only if that saves a third of its time.
	crossZonePenalty = 1.5
	// lastResortPenalty multiplies the expected cost of a replica that lags, or from which another router gets no
	// answer, so that it ranks behind any other.
	lastResortPenalty = 1000.0
	// costTolerance is the factor within which two expected costs are considered equal, so that equal nodes are used in
	// turn.
	costTolerance = 1.15
	// lowWeightShare is the share of a node's concurrency limit available to requests of reduced weight, so that they
	// don't use up the capacity that others need.
	lowWeightShare = 0.5
	// primaryFallbackLead is how long, in microseconds, before the end of its queue time a read may go to the primary
	// although a replica might still become fresh enough: two sweep intervals, so that at least one sweep sees it.
	primaryFallbackLead = 2 * sweepInterval
)

// selectReplica is the stage that chooses the node of a read: a replica that is fresh enough, preferably in this
// router's zone, with equal replicas used in turn; a lagging replica only if no other has capacity. If no replica has
// capacity, or none can become fresh enough in time, the primary serves the read. Otherwise the read is queued, and a
// health check may show that a replica is fresh enough.
func (r *Router) selectReplica(req *request, now int64) decision {
	group := req.group
	if group.needsPrimary() {
		return proceed
	}
	if r.keepsTokenOf(req) {
		r.lookUpSessionPosition(req, now)
	}
	req.shard.rotation++
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

// sendToReplicaOrPrimary chooses the given replica for a read or, if it is nil, the primary. The argument
// freshWithoutLag reports whether any replica that doesn't lag is fresh enough.
func (r *Router) sendToReplicaOrPrimary(req *request, replica *node, freshWithoutLag bool, now int64) decision {
	if replica != nil {
		req.target = replica
		return proceed
	}
	if r.primaryMayServeRead(req, freshWithoutLag, now) {
		req.target = req.shard.primary
		return proceed
	}
	if !freshWithoutLag && r.config.HealthChecks.ReportsPosition {
		r.checkLikelyFreshReplica(req, now)
	}
	return enqueue
}

// mayServeRead reports whether a replica may serve a read, regardless of its capacity.
func (r *Router) mayServeRead(n *node, req *request, now int64) bool {
	return n != req.shard.primary && r.usable(n, now) && r.freshEnough(n, req, now) && !req.inFlightAt(n)
}

// bestReplica returns the replica with capacity and the lowest expected cost, or nil. It also reports whether any
// replica that doesn't lag is fresh enough, regardless of its capacity.
func (r *Router) bestReplica(req *request, now int64) (best *node, freshWithoutLag bool) {
	share := 1.0
	if req.weight < req.group.Weight {
		share = lowWeightShare
	}
	minCost := 0.0
	for i := range req.shard.members {
		n := req.shard.rotatedMember(i)
		if !r.mayServeRead(n, req, now) {
			continue
		}
		freshWithoutLag = freshWithoutLag || n.lag <= maxNormalLag
		if !r.hasCapacity(n, share, req.group, now) {
			continue
		}
		cost := r.expectedCost(n)
		if best == nil || cost*costTolerance < minCost {
			best = n
			minCost = cost
		}
	}
	return best, freshWithoutLag
}

// replicaForLongRead returns the one replica that serves the long-running reads of a shard: the first by name, so that
// all routers choose the same one. Such a read may keep a replica from applying its log. Spread over all replicas,
// these reads would make every replica lag and leave none for reads that need fresh data.
func (r *Router) replicaForLongRead(req *request, now int64) (first *node, freshWithoutLag bool) {
	for i := range req.shard.members {
		n := req.shard.rotatedMember(i)
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

// expectedCost returns the expected response time of a node relative to the average: its slowdown, times its attempts
// in flight, divided by its success rate, and multiplied by the penalties that apply.
func (r *Router) expectedCost(n *node) float64 {
	cost := n.slowdown * float64(1+n.inFlight) / (1 - n.errorRate)
	if n.zone != r.config.Zone {
		cost *= crossZonePenalty
	}
	if n.peerSilentAt > n.lastReplyAt {
		cost *= lastResortPenalty
	}
	if n.lag > maxNormalLag {
		cost *= lastResortPenalty
	}
	return cost
}

// primaryMayServeRead reports whether the primary serves a read for which no replica was found: it has answered as the
// primary (or is known to be fresh enough), has capacity with one slot left for a write, and waiting would not help.
// With a limit below two the primary has no slot to spare, and a read may take its only one.
func (r *Router) primaryMayServeRead(req *request, freshWithoutLag bool, now int64) bool {
	p := req.shard.primary
	if p == nil || !r.usable(p, now) || !r.freshEnough(p, req, now) || req.inFlightAt(p) {
		return false
	}
	if !r.hasCapacity(p, 1-1/p.limit, req.group, now) {
		return false
	}
	return freshWithoutLag || now >= req.queueUntil-primaryFallbackLead || r.noReplicaFreshInTime(req)
}

// noReplicaFreshInTime reports whether no replica can be expected to become fresh enough before the read's queue time
// ends.
func (r *Router) noReplicaFreshInTime(req *request) bool {
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
