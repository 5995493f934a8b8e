package routing

// The check of attempts that have waited for a connection. The stages decide on an attempt by what is known at that
// time: its node's role, position, shard, listing and warm-up. All of that may change before the attempt can be sent, so
// it is decided again then, and whenever one of these has changed (Actions.RecheckWaiting). A withdrawn request passes
// the stages again.

// MayStart reports whether an attempt that has waited for a connection may still be sent to its node. It changes nothing,
// and unlike the stages it ignores what only makes another node a better choice.
func (r *Router) MayStart(now int64, requestID string, number int) bool {
	req := r.requests[requestID]
	if req == nil || req.done || number < 0 || number >= len(req.attempts) {
		return false
	}
	a := req.attempts[number]
	n := a.node
	if a.ended || n.shard != req.shard || !r.listAllows(n) || r.warmsUpSince(a, now) {
		return false
	}
	if !r.windowIsOpen(a, now) {
		return false
	}
	if req.group.Consistency == Write {
		return r.mayStillWrite(a, now)
	}
	return n.holds(req, r.requiredPositionToSend(a, now))
}

// windowIsOpen reports whether the idempotency window of another attempt that may have been executed is still open. When
// the attempt was decided there may have been no other one.
func (r *Router) windowIsOpen(a *attempt, now int64) bool {
	req := a.request
	if req.group.Idempotency != IdempotentWithKey || !req.mayHaveExecuted && req.inFlight == 1 {
		return true
	}
	return now < req.earliestExecution(a, now)+r.retryWindow(req.group)
}

// warmsUpSince reports whether the node of an attempt has restarted since the attempt was decided, and warms up: the
// attempt wasn't charged to its credit.
func (r *Router) warmsUpSince(a *attempt, now int64) bool {
	return a.node.startedAt != a.nodeStartedAt && r.capacityShare(a.node, now) < 1
}

// mayStillWrite reports whether the node of a write is the believed primary or, while there is none, may be it: it has
// not shown since the decision that it isn't.
func (r *Router) mayStillWrite(a *attempt, now int64) bool {
	n := a.node
	if n.shard.primary == n {
		return true
	}
	return r.primaryMissing(n.shard, now) && (n.role != Replica || a.nodeRole == Replica)
}

// attemptsUsed returns the number of attempts that count towards the limit.
func (req *request) attemptsUsed() int { return len(req.attempts) - req.withdrawn }
