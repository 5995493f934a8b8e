package routing

// Deadlines: how long a request may be queued, and when it is given up.

const (
	// responseAllowance is the number of average response times reserved between sending a request and the time its
	// answer is due: 19 of 20 requests are answered within it.
	responseAllowance = 3.0
	// minQueueShareOfObjective is the share of the latency objective for which a request may always be queued. Without
	// it slow responses would cause every read to be rejected on arrival, and the averages would never be updated
	// again.
	minQueueShareOfObjective = 0.1
	// readQueueShareOfTimeout is the share of its group's timeout for which a read may be queued, if its latency
	// objective allows it. A quarter leaves the client time for several attempts elsewhere.
	readQueueShareOfTimeout = 0.25
	// writeQueueShareOfTimeLeft is the share of its time left for which a write may be queued, for example until a
	// primary is elected. It is below one half so that the client has time for one more attempt of its own.
	writeQueueShareOfTimeLeft = 0.45
	// deadlineMargin is the minimum time, in microseconds, between a request's final answer and its client's deadline,
	// so that the answer reaches the client in time: two sweep intervals.
	deadlineMargin = 2 * sweepInterval
)

// setQueueTimes sets how long a new request may be queued, and the latest time to send it within its latency objective.
// All attempts of a client share the objective of the first one.
func (r *Router) setQueueTimes(req *request, timeLeft, now int64) {
	group := req.group
	objective := now + group.LatencyObjective
	if !r.recordTimeLeft(group, timeLeft) {
		objective -= max(0, group.Timeout-timeLeft)
	}
	allowance := int64(responseAllowance * group.avgResponseTime)
	minQueueUntil := now + int64(minQueueShareOfObjective*float64(group.LatencyObjective))
	req.sendBefore = max(minQueueUntil, objective-allowance)

	queueTime := int64(writeQueueShareOfTimeLeft * float64(timeLeft))
	if group.Consistency != Write {
		queueTime = min(req.sendBefore-now, int64(readQueueShareOfTimeout*float64(group.Timeout)))
	}
	req.queueUntil = max(minQueueUntil, req.deadline-allowance)
	req.queueUntil = min(req.queueUntil, now+queueTime, req.deadline-deadlineMargin)
}

// checkDeadline is the first stage. It gives up a request that can't be answered in time, has been queued for too long,
// has no attempts left, or whose idempotency window has passed. A request with an attempt in flight is never given up,
// only not hedged: the attempt continues because its answer may still be in time. A request that is about to miss its
// latency objective loses weight and so queues behind those that can still meet theirs.
func (r *Router) checkDeadline(req *request, now int64) decision {
	if now > req.sendBefore && !req.late {
		req.late = true
		req.weight *= req.group.LateWeight
	}
	if req.inFlight > 0 && !r.mayHedge(req, now) {
		return stop
	}
	if !r.mustGiveUp(req, now) {
		return proceed
	}
	if req.inFlight == 0 {
		r.giveUp(req)
	}
	return stop
}

// mustGiveUp reports whether a request may no longer be sent. One whose attempt was withdrawn gets one more pass after its
// queue time: that attempt was decided in time, and another node may be able to serve the request now.
func (r *Router) mustGiveUp(req *request, now int64) bool {
	if now >= req.queueUntil && !req.decidedAgain && !req.mayHaveExecuted && req.inFlight == 0 {
		return true
	}
	return !r.mayRetry(req, now)
}

// mayRetry reports whether one more attempt of a request may start, regardless of those in flight: there is enough time
// before the deadline, an attempt is left, and a request with a key is within its idempotency window.
func (r *Router) mayRetry(req *request, now int64) bool {
	if now >= req.deadline-deadlineMargin || req.attemptsUsed() >= r.config.Attempts.Max {
		return false
	}
	return req.group.Idempotency != IdempotentWithKey || now < req.earliestExecution(nil, now)+r.retryWindow(req.group)
}
