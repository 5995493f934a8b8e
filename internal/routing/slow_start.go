package routing

import "math"

// Slow start. A node that started lately can do only a part of its full work, and fails when it is sent a multiple of
// that within a window (SlowStartConfig). Routers share nothing, so each sends it a part of what warm nodes of its kind
// answered to this router alone: the sum over all routers then stays under the multiple, however traffic is spread.

const (
	// slowStartShare is the share of SlowStartConfig.OverloadMultiple that is used at a warmth of none; warmth begins at
	// InitialCapacity and adds slowStartShareGain times itself. The rest is left
	// for requests that come or weigh unevenly; they matter most while the node can do little.
	slowStartShare = 0.45
	// slowStartShareGain is how much that share grows until the node is warm.
	slowStartShareGain = 0.3
	// slowStartBurst is how many usual requests' worth of credit one router may save up for a node.
	slowStartBurst = 1.5
	// unknownWarmRate is the work, us of usual response time a second, that all routers together send a node that warms
	// up while no warm node of its kind has been seen: a twentieth of a core.
	unknownWarmRate = 50_000
)

// warmth is the share of its full capacity that a node has at least.
func (r *Router) warmth(n *node, now int64) float64 {
	c := &r.config.SlowStart
	if n.startedAt <= 0 || c.Duration <= 0 || now >= n.startedAt+c.Duration {
		return 1
	}
	return c.InitialCapacity + (1-c.InitialCapacity)*float64(max(0, now-n.startedAt))/float64(c.Duration)
}

// beginSlowStart gives a node that started a chance part of one request as credit. If all routers began with none, they
// would all save up for their first request and send it at the same late moment.
func (r *Router) beginSlowStart(n *node, now int64) {
	n.creditAt = now
	n.credit = float64(r.random.below(max(1, int(r.shortestUsualResponse()))))
}

// refillAndCheckCredit reports whether a node that warms up may be sent one more request of a group.
func (r *Router) refillAndCheckCredit(n *node, group *commandGroup, warmth float64, now int64) bool {
	r.refillCredit(n, group, warmth, now)
	return n.credit >= group.usualResponse
}

// refillCredit adds what a node that warms up may be sent since the last time: the share of what warm nodes of its kind
// did for this router that its warmth allows. The rates of warm nodes are kept after they restart, because a whole
// shard may start at once.
//
// Credit that isn't used lapses. This guards against hundreds of routers that have each saved up one request and send
// them all at once, on top of the steady flow: the node fails as it warms up. What may be kept is the credit that fits into one
// overload window beside the steady flow. Where that is less than one request, credit over one request and what may be kept
// loses whole requests and keeps the fraction, so that routers go on sending at different moments.
func (r *Router) refillCredit(n *node, group *commandGroup, warmth float64, now int64) {
	c := &r.config.SlowStart
	usual := group.usualResponse
	share := slowStartShare + slowStartShareGain*warmth
	rates, count := r.warmRates(n.machineKind)
	allowed := max(unknownWarmRate/float64(r.config.Routers), share*c.OverloadMultiple*warmth*rates/float64(max(count, 1)))
	n.credit += allowed * float64(now-n.creditAt) / 1e6
	n.creditAt = now
	// The flow uses share of the window's budget, so 1/share - 1 of the flow is left beside it.
	kept := allowed * float64(c.OverloadWindow) / 1e6 * (1/share - 1)
	if kept >= usual || c.OverloadWindow == 0 {
		n.credit = min(slowStartBurst*usual, n.credit)
		return
	}
	if over := n.credit - usual - kept; over >= 0 {
		n.credit = kept + math.Mod(over, usual)
	}
}

// warmRates is the sum of the rates of work of the nodes of a kind that were seen warm, forgotten ones included, and
// how many these are.
func (r *Router) warmRates(machineKind string) (sum float64, count int) {
	for _, n := range r.nodes {
		if n.machineKind == machineKind && n.warmRate > 0 {
			sum += n.warmRate
			count++
		}
	}
	return sum, count
}

// averageWarmRate follows the rate of work of a node that is up and warm; it is called in each sweep.
func (r *Router) averageWarmRate(n *node, now int64) {
	if n.state == Up && !n.suspected && r.warmth(n, now) == 1 {
		n.warmRate += sweepInterval / rateSpan * (n.workRateNow(now) - n.warmRate)
	}
}
