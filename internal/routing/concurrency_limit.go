package routing

// How many attempts a node is given at once. Each node has a limit at this router: answers in time raise it while it is
// in use, late ones cut it. Under one, it is a pause between two attempts.

const (
	// initialLimit is the limit of a node not yet known: a few attempts for each core of a small machine.
	initialLimit = 8.0
	// leastFleetLimit is the limit that all routers together keep at least at a node.
	leastFleetLimit = 1.0
	// maxLeastLimit is the least limit of a single router: a pause of one usual response after each attempt. With more, a few
	// routers together would crowd a node that can do hardly anything.
	maxLeastLimit = 0.5
	// uncrowdedFleetLimit is how many attempts by all routers together are taken not to crowd a node, so that a limit may
	// grow although it isn't in use: one for each core of a small machine.
	uncrowdedFleetLimit = 3.0
	// limitGain is what an answer in time adds.
	limitGain = 0.1
	// limitInUseShare is the share of a limit that must be in flight for it to count as in use: then an answer in time
	// tells that the node could do more.
	limitInUseShare = 0.7
	// limitLoss is what a late answer takes: six times the gain lets about one answer in seven be late.
	limitLoss = 0.6
	// rejectionCut is the share of its limit that is left to a node that rejected a request.
	rejectionCut = 0.7
	// lateShare is the share of the latency objective past which an answer counts as late for the limit, so that it is cut
	// before clients notice.
	lateShare = 0.8
	// pauseDoubling is the pause, us, after which an answer in time doubles a limit under one: after a long pause an
	// answer tells more.
	pauseDoubling = 2e5
	// rateSpan is the time, us, over which a node's rate of work is averaged.
	rateSpan = 2e6
)

// hasCapacity reports whether a node may be given one more request of a group, within a share of its limit. A node that
// warms up also needs credit for it.
func (r *Router) hasCapacity(n *node, share float64, group *commandGroup, now int64) bool {
	if float64(n.inFlight)+1 > max(1, n.limit*share) {
		return false
	}
	if warmth := r.warmth(n, now); warmth < 1 {
		return r.refillAndCheckCredit(n, group, warmth, now)
	}
	return true
}

// raiseLimit raises a node's limit by an answer in time. Such an answer says that the node could do more only if the limit
// was in use: limitInUseShare of it was in flight, or no further request would have fit, or there are so few attempts by all
// routers together that they can't crowd a node. After a pause the limit is raised by a factor.
func (r *Router) raiseLimit(n *node, group *commandGroup) {
	if pause := n.pause(group); pause > 0 {
		n.limit *= 1 + limitGain + pause/pauseDoubling
		return
	}
	inUse := max(float64(n.inFlight+1), uncrowdedFleetLimit/float64(r.config.Routers))
	if inUse > min(limitInUseShare*n.limit, max(1, n.limit-1)) {
		n.limit += limitGain
	}
}

// cutLimit cuts a node's limit by a bad outcome, starting from what of it was in use. One or more loses limitLoss. Less than
// one is scaled by how late the answer came: lateShare of the objective over the response time.
func (n *node) cutLimit(inUse float64, took, objective int64) {
	if inUse < 1 {
		n.limit = inUse * lateShare * float64(objective) / float64(max(took, objective))
		return
	}
	n.limit = max(1, inUse-limitLoss)
}

// leastLimit is this router's part of leastFleetLimit, at most maxLeastLimit.
func (r *Router) leastLimit() float64 {
	return min(maxLeastLimit, leastFleetLimit/float64(r.config.Routers))
}

// pause is how long, us, a node with a limit under one is left alone after each attempt, for a group's requests.
func (n *node) pause(group *commandGroup) float64 {
	return max(0, group.usualResponse*(1/n.limit-1))
}

// limitInUse is what a bad outcome must be counted against: the limit; or, where this router seldom uses the node (under one
// usual response at a time, and under its part of initialLimit), the part of the limit that it does use. With initialLimit
// routers or fewer no node is seldom used.
func (r *Router) limitInUse(n *node, group *commandGroup, now int64) (limit float64, seldomUsed bool) {
	inUse := max(n.workRateNow(now)/1e6, group.usualResponse/rateSpan, initialLimit/float64(r.config.Routers))
	if inUse < 1 {
		return min(n.limit, inUse), true
	}
	return n.limit, false
}

// workRateNow brings a node's rate of work up to date: it fades over rateSpan without answers.
func (n *node) workRateNow(now int64) float64 {
	n.workRate *= max(0, 1-float64(now-n.workRateAt)/rateSpan)
	n.workRateAt = now
	return n.workRate
}

// recordWork adds an answered request to a node's rate of work.
func (n *node) recordWork(group *commandGroup, now int64) {
	n.workRate = n.workRateNow(now) + group.usualResponse*1e6/rateSpan
}
