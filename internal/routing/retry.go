package routing

import "cmp"

// Attempts and retries: how attempts start, when a request is sent again, and which final answer it gets when it is
// given up.

const (
	// noAttemptTimeout is the timeout of every attempt: attempts are limited only by the client's deadline. Sweeps
	// detect attempts that take too long by the average response times (outlier_detection.go).
	noAttemptTimeout = 0
	// retryImmediately is the Retry-After value of every rejection, because clients space their attempts themselves.
	retryImmediately = 0
)

// startAttempt is the last stage: it sends a request to the chosen node.
func (r *Router) startAttempt(req *request, now int64) decision {
	n := req.target
	startWithin := r.startWithin(req, now)
	if req.inFlight > 0 {
		r.hedgingBudget-- // only hedges that are sent are charged
	}
	r.openAttempt(req, n, now)
	if r.setsToken(req) {
		r.sessions.writeStarted(hashSession(req.session), now)
	}
	if r.capacityShare(n, now) < 1 {
		n.credit -= req.group.avgResponseTime
	}
	r.actions.StartAttempt(req.id, n.name, noAttemptTimeout, startWithin)
	return proceed
}

// handleAttemptFailure is the outcome function that decides whether an attempt that ended without an answer is followed
// by another one. A request that may have been executed isn't sent again if that could be harmful.
func (r *Router) handleAttemptFailure(a *attempt, outcome Outcome, _, now int64) {
	req := a.request
	if req.done {
		return // AttemptEnded calls finish
	}
	if !outcome.NotExecuted() {
		req.firstExecutedAt = min(a.startedAt, cmp.Or(req.firstExecutedAt, a.startedAt))
		req.mayHaveExecuted = true
	}
	if req.inFlight > 0 || req.queued {
		return
	}
	if req.mayHaveExecuted && req.group.Idempotency == NotIdempotent || now >= req.deadline-deadlineMargin {
		r.giveUp(req)
		return
	}
	req.decidedAgain = outcome == Withdrawn
	r.runStages(req, now)
	req.decidedAgain = false
}

// giveUp gives a request its final answer: a rejection that permits a retry if a repeat is harmless, otherwise a
// failure.
func (r *Router) giveUp(req *request) {
	req.refundQuota()
	if req.retryIsSafe() {
		r.actions.RejectWithRetry(req.id, retryImmediately)
	} else {
		r.actions.Fail(req.id)
	}
	r.finish(req)
}

// retryIsSafe reports whether a client may send the request again, to any node.
func (req *request) retryIsSafe() bool {
	if !req.mayHaveExecuted && req.inFlight == 0 {
		return true
	}
	switch req.group.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return req.group.DeduplicatedEverywhere
	}
	return false
}

// retryWindow returns how long, in microseconds, after its first attempt a request with a key may be sent again: the
// idempotency window minus the error that rounded times may hide.
func (r *Router) retryWindow(group *commandGroup) int64 {
	return group.IdempotencyWindow - r.config.TimeResolution
}

// startWithin returns the maximum time, in microseconds, until an attempt must start; 0 for no limit. A retry of a
// request with a key must start before its shard forgets the key. Without the limit, an attempt that is decided inside
// the window but waits for a connection could be sent after the window has passed.
func (r *Router) startWithin(req *request, now int64) int64 {
	if req.group.Idempotency != IdempotentWithKey || !req.mayHaveExecuted && req.inFlight == 0 {
		return 0
	}
	return max(1, req.earliestExecution(nil, now)+r.retryWindow(req.group)-now)
}

// earliestExecution returns the earliest time at which an attempt other than except may have been executed: the start of
// one that is in flight or ended without proof that it wasn't executed. Without such an attempt it returns now.
func (req *request) earliestExecution(except *attempt, now int64) int64 {
	first := cmp.Or(req.firstExecutedAt, now)
	for _, a := range req.attempts {
		if a != except && !a.ended {
			first = min(first, a.startedAt)
		}
	}
	return first
}
