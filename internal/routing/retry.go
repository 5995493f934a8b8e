package routing

import "cmp"

// How attempts are started, when a request is sent again, and which final answer it has when it is given up.

const (
	// untilDeadline is the timeout of every attempt: attempts have none of their own, only the client's deadline. Those that
	// take too long are found by sweeps, which know what is usual (outlier_detection.go).
	untilDeadline = 0
	// retryAtOnce is the Retry-After of every rejection: clients space their attempts themselves.
	retryAtOnce = 0
)

// startAttempt is the last stage: it sends a request to the chosen node.
func (r *Router) startAttempt(req *request, now int64) decision {
	n := req.chosen
	startWithin := r.startWithin(req, now)
	if req.inFlight > 0 {
		r.hedgingBudget-- // only a hedge that is sent is paid for
	}
	r.openAttempt(req, n, now)
	if r.setsToken(req) {
		r.sessions.writeStarted(req.session, now)
	}
	if r.warmth(n, now) < 1 {
		n.credit -= req.group.usualResponse
	}
	r.actions.StartAttempt(req.id, n.name, untilDeadline, startWithin)
	return proceed
}

// handleAttemptFailure is the stage that decides, after an attempt ended without an answer, whether there is another.
// A request that may have been executed isn't sent again where that could do harm.
func (r *Router) handleAttemptFailure(a *attempt, outcome Outcome, _, now int64) {
	req := a.request
	if req.done {
		return // AttemptEnded finishes it
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
	r.runStages(req, now)
}

// giveUp gives a request its final answer: rejected with leave to retry where a repeat does no harm, failed otherwise.
func (r *Router) giveUp(req *request) {
	req.refundQuota()
	if req.repeatIsHarmless() {
		r.actions.RejectWithRetry(req.id, retryAtOnce)
	} else {
		r.actions.Fail(req.id)
	}
	r.finish(req)
}

// repeatIsHarmless reports whether a client may send the request again, to any node.
func (req *request) repeatIsHarmless() bool {
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

// usableWindow is for how long, us, after its first attempt a request with a key may be sent again: the idempotency
// window less what rounded times may hide.
func (r *Router) usableWindow(group *commandGroup) int64 {
	return group.IdempotencyWindow - r.config.TimeResolution
}

// startWithin is how soon, us, an attempt must begin; 0 for no bound. A repeat of a request with a key must begin
// before its shard forgets the key. Without the bound, an attempt that is decided inside the window
// and waits for a connection could be written after the window has passed.
func (r *Router) startWithin(req *request, now int64) int64 {
	if req.group.Idempotency != IdempotentWithKey || !req.mayHaveExecuted && req.inFlight == 0 {
		return 0
	}
	return max(1, req.earliestExecution(now)+r.usableWindow(req.group)-now)
}

// earliestExecution is the earliest time at which a request may have been executed: the start of an attempt that ended
// without proof of the opposite, or is in flight. It is now where there is none.
func (req *request) earliestExecution(now int64) int64 {
	first := cmp.Or(req.firstExecutedAt, now)
	for _, a := range req.attempts {
		if !a.ended {
			first = min(first, a.startedAt)
		}
	}
	return first
}
