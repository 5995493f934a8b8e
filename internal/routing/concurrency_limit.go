package routing

// Concurrency limits: how many attempts may be in flight at a node. Each router keeps one limit per node, which grows
// with answers in time while it is in use and shrinks with late ones. A limit below 1 means a pause between two
// attempts.

const (
	// initialLimit is the limit of a new node: a few attempts per core of a small machine.
	initialLimit = 8.0
	// minFleetLimit is the minimum of a node's limit summed over all routers.
	minFleetLimit = 1.0
	// maxMinLimit caps the minimum limit of a single router: a pause of one average response time after each attempt.
	// With a larger value, a few routers together would overload a node that has hardly any capacity.
	maxMinLimit = 0.5
	// uncongestedFleetLimit is the number of attempts in flight over all routers that is assumed not to congest a node,
	// so that a limit may grow although it isn't in use: one per core of a small machine.
	uncongestedFleetLimit = 3.0
	// limitIncrease is added to the limit by an answer in time.
	limitIncrease = 0.1
	// limitInUseShare is the share of a limit that must be in flight for the limit to count as in use. Only then does
	// an answer in time show that the node has capacity for more.
	limitInUseShare = 0.7
	// limitDecrease is subtracted from the limit by a late answer. Six times the increase tolerates about one late
	// answer in seven.
	limitDecrease = 0.6
	// rejectionFactor is multiplied into a node's limit when it rejects a request.
	rejectionFactor = 0.7
	// lateShare is the share of the latency objective above which an answer counts as late for the limit, so that the
	// limit shrinks before clients notice.
	lateShare = 0.8
	// pauseDoubling is the pause, in microseconds, after which an answer in time doubles a limit below 1, because an
	// answer after a long pause carries more information.
	pauseDoubling = 2e5
	// rateWindow is the averaging time of a node's work rate, in microseconds.
	rateWindow = 2e6
)

// hasCapacity reports whether a node may receive one more request of a group within a share of its limit. A node that
// warms up also needs credit for the request.
func (r *Router) hasCapacity(n *node, share float64, group *commandGroup, now int64) bool {
	if float64(n.inFlight)+1 > max(1, n.limit*share) {
		return false
	}
	if capacityShare := r.capacityShare(n, now); capacityShare < 1 {
		return r.refillAndCheckCredit(n, group, capacityShare, now)
	}
	return true
}

// increaseLimit raises a node's limit after an answer in time. The answer shows spare capacity only if the limit was in
// use: limitInUseShare of it was in flight, or no further request would have fit, or the attempts of all routers
// together are too few to congest the node. If the node needs a pause between attempts, the limit grows by a factor
// instead.
func (r *Router) increaseLimit(n *node, group *commandGroup) {
	if pause := n.pause(group); pause > 0 {
		n.limit *= 1 + limitIncrease + pause/pauseDoubling
		return
	}
	inUse := max(float64(n.inFlight+1), uncongestedFleetLimit/float64(r.config.Routers))
	if inUse > min(limitInUseShare*n.limit, max(1, n.limit-1)) {
		n.limit += limitIncrease
	}
}

// decreaseLimit lowers a node's limit after a late answer or timeout, starting from the part in use. A value of 1 or
// more is reduced by limitDecrease. A value below 1 is scaled by lateShare of the objective over the response time.
func (n *node) decreaseLimit(inUse float64, took, objective int64) {
	if inUse < 1 {
		n.limit = inUse * lateShare * float64(objective) / float64(max(took, objective))
		return
	}
	n.limit = max(1, inUse-limitDecrease)
}

// minLimit returns this router's share of minFleetLimit, at most maxMinLimit.
func (r *Router) minLimit() float64 {
	return min(maxMinLimit, minFleetLimit/float64(r.config.Routers))
}

// pause returns how long, in microseconds, a node with a limit below 1 receives no attempts after one of a group's
// requests.
func (n *node) pause(group *commandGroup) float64 {
	return max(0, group.avgResponseTime*(1/n.limit-1))
}

// limitInUse returns the value from which a bad outcome lowers the limit: the limit itself, or, if this router seldom
// uses the node, the part of the limit that it does use. A node is seldom used if its average concurrency is below 1
// and so is this router's share of initialLimit. With initialLimit routers or fewer no node is seldom used.
func (r *Router) limitInUse(n *node, group *commandGroup, now int64) (limit float64, seldomUsed bool) {
	inUse := max(n.decayedWorkRate(now)/1e6, group.avgResponseTime/rateWindow, initialLimit/float64(r.config.Routers))
	if inUse < 1 {
		return min(n.limit, inUse), true
	}
	return n.limit, false
}

// decayedWorkRate updates and returns a node's work rate, which decays over rateWindow without answers.
func (n *node) decayedWorkRate(now int64) float64 {
	n.workRate *= max(0, 1-float64(now-n.workRateAt)/rateWindow)
	n.workRateAt = now
	return n.workRate
}

// recordWork adds an answered request to a node's work rate.
func (n *node) recordWork(group *commandGroup, now int64) {
	n.workRate = n.decayedWorkRate(now) + group.avgResponseTime*1e6/rateWindow
}
