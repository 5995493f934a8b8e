package routing

// How long a request may wait in the queue, and when it is given up.

const (
	// responseAllowance is how many usual responses must fit between sending a request and a limit on its answer:
	// nineteen in twenty are answered within so many.
	responseAllowance = 3.0
	// leastQueueShareOfObjective is the share of the latency objective for which a request may always be queued. Without it slow
	// responses would have every read rejected on arrival, and nothing would ever be learnt again.
	leastQueueShareOfObjective = 0.1
	// readQueueShareOfTimeout is the share of its group's timeout for which a read may be queued, if its latency objective lets
	// it: a quarter leaves its client time for several attempts elsewhere.
	readQueueShareOfTimeout = 0.25
	// writeQueueShareOfTimeLeft is the share of its time left for which a write may be queued, for a primary to be elected, say.
	// It is under half, so that its client has time for one more attempt of its own.
	writeQueueShareOfTimeLeft = 0.45
	// deadlineMargin is the time, us, before its client's deadline at which a request gets its final answer at the
	// latest, for the answer to reach the client in time: two sweeps.
	deadlineMargin = 2 * sweepInterval
)

// setQueueTimes sets until when a new request may be queued, and when it must be sent for its answer to meet the
// latency objective. A later attempt of a client shares the first one's objective.
func (r *Router) setQueueTimes(req *request, timeLeft, now int64) {
	group := req.group
	objective := now + group.LatencyObjective
	if !r.noteTimeLeft(group, timeLeft) {
		objective -= max(0, group.Timeout-timeLeft)
	}
	allowance := int64(responseAllowance * group.usualResponse)
	least := now + int64(leastQueueShareOfObjective*float64(group.LatencyObjective))
	req.sendBefore = max(least, objective-allowance)

	queueTime := int64(writeQueueShareOfTimeLeft * float64(timeLeft))
	if group.Consistency != Write {
		queueTime = min(req.sendBefore-now, int64(readQueueShareOfTimeout*float64(group.Timeout)))
	}
	req.queueUntil = max(least, req.deadline-allowance)
	req.queueUntil = min(req.queueUntil, now+queueTime, req.deadline-deadlineMargin)
}

// checkDeadline is the first stage. It gives up a request that can't be answered in time, has waited as long as it may,
// has no attempt left, or whose idempotency window has passed. One with an attempt in flight is never given up: it is only not
// hedged, and the attempt goes on, for it may be answered in time. A request that is about to miss its latency objective
// loses weight, so that it goes behind those that can still meet it.
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

// mustGiveUp reports whether a request may not be sent (any more).
func (r *Router) mustGiveUp(req *request, now int64) bool {
	if now >= req.queueUntil && !req.mayHaveExecuted && req.inFlight == 0 {
		return true
	}
	return !r.mayRetry(req, now)
}

// mayRetry reports whether one more attempt of a request may begin, whatever becomes of those in flight: there is time for
// its answer, an attempt is left, and a request with a key is inside its idempotency window.
func (r *Router) mayRetry(req *request, now int64) bool {
	if now >= req.deadline-deadlineMargin || len(req.attempts) >= r.config.Attempts.Max {
		return false
	}
	return req.group.Idempotency != IdempotentWithKey || now < req.earliestExecution(now)+r.usableWindow(req.group)
}
