package routing

import "math"

// Slow start. A node that started recently has only a part of its full capacity, and fails if it is sent a multiple of
// that part within a window (see SlowStartConfig). Routers don't share this state, so each sends the node a fraction of
// what warm nodes of the same type answered for this router alone. The sum over all routers then stays below the
// multiple, however traffic is distributed.

const (
	// slowStartBaseShare is the constant part of the share of SlowStartConfig.OverloadMultiple that is used;
	// slowStartShareGain times the capacity share, which starts at InitialCapacity, is added to it. The rest is a
	// reserve for requests of uneven arrival and cost, which matter most while the node has little capacity.
	slowStartBaseShare = 0.45
	// slowStartShareGain is how much that share grows with the capacity share.
	slowStartShareGain = 0.3
	// slowStartBurst is the maximum credit, in average requests, that one router may accumulate for a node.
	slowStartBurst = 1.5
	// defaultWarmRate is the work, in microseconds of average response time per second, that all routers together send
	// a node that warms up while no warm node of its type has been observed: 5% of a core.
	defaultWarmRate = 50_000
)

// capacityShare returns the minimum share of its full capacity that a node has.
func (r *Router) capacityShare(n *node, now int64) float64 {
	c := &r.config.SlowStart
	if n.startedAt <= 0 || c.Duration <= 0 || now >= n.startedAt+c.Duration {
		return 1
	}
	return c.InitialCapacity + (1-c.InitialCapacity)*float64(max(0, now-n.startedAt))/float64(c.Duration)
}

// beginSlowStart gives a node that started a random fraction of one request as credit. If all routers began with none,
// they would accumulate their first request in step and send it at the same late moment.
func (r *Router) beginSlowStart(n *node, now int64) {
	n.creditAt = now
	n.credit = float64(r.random.intN(max(1, int(r.shortestAvgResponseTime()))))
}

// refillAndCheckCredit reports whether a node that warms up may receive one more request of a group.
func (r *Router) refillAndCheckCredit(n *node, group *commandGroup, capacityShare float64, now int64) bool {
	r.refillCredit(n, group, capacityShare, now)
	return n.credit >= group.avgResponseTime
}

// refillCredit adds the credit that a node that warms up has earned since the last refill: the part of the work of warm
// nodes of its type, as answered for this router, that its capacity share permits. The rates of warm nodes are kept
// across their restarts because a whole shard may restart at once.
//
// Unused credit expires. Otherwise hundreds of routers that have each accumulated one request could send them all at
// once, on top of the steady flow, and the node would fail during its warm-up. The credit that may be kept is what fits
// into one overload window beside the steady flow. If that is less than one request, credit beyond one request plus the
// kept amount loses whole requests and keeps the fraction, so that routers continue to send at different times.
func (r *Router) refillCredit(n *node, group *commandGroup, capacityShare float64, now int64) {
	c := &r.config.SlowStart
	cost := group.avgResponseTime
	share := slowStartBaseShare + slowStartShareGain*capacityShare
	rates, count := r.warmRates(n.machineType)
	creditRate := max(defaultWarmRate/float64(r.config.Routers),
		share*c.OverloadMultiple*capacityShare*rates/float64(max(count, 1)))
	n.credit += creditRate * float64(now-n.creditAt) / 1e6
	n.creditAt = now
	// The flow uses the share of the window's budget, which leaves 1/share - 1 times the flow.
	carryOver := creditRate * float64(c.OverloadWindow) / 1e6 * (1/share - 1)
	if carryOver >= cost || c.OverloadWindow == 0 {
		n.credit = min(slowStartBurst*cost, n.credit)
		return
	}
	if excess := n.credit - cost - carryOver; excess >= 0 {
		n.credit = carryOver + math.Mod(excess, cost)
	}
}

// warmRates returns the sum of the warm rates of all nodes of a machine type that have been warm, including forgotten
// ones, and the number of these nodes.
func (r *Router) warmRates(machineType string) (sum float64, count int) {
	for _, n := range r.nodes {
		if n.machineType == machineType && n.warmRate > 0 {
			sum += n.warmRate
			count++
		}
	}
	return sum, count
}

// averageWarmRate updates the warm rate of a node that is up and warm; it is called in each sweep.
func (r *Router) averageWarmRate(n *node, now int64) {
	if n.state == Up && !n.suspected && r.capacityShare(n, now) == 1 {
		n.warmRate += sweepInterval / rateWindow * (n.decayedWorkRate(now) - n.warmRate)
	}
}
