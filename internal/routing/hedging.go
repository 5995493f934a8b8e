package routing

const (
	// hedgesPerRequest is what one request adds to the budget for hedged attempts: with more they cost nodes more than
	// they bring.
	hedgesPerRequest = 0.3
	// hedgingBurst is how many may be saved up: enough for the requests that one node holds when it stops answering.
	hedgingBurst = 10.0
)

// hedge takes a late request through the stages once more, to send it beside its first attempt; they may also queue it. It
// guards against answers that are lost on the network
// and nodes that stopped answering: without it their requests wait until the node is suspected, and miss their
// objective. Under overload all requests are late and hedges would add to the load, so there are none while reads of
// the shard are shed or requests are queued there, and at any time no more than the budget allows.
func (r *Router) hedge(req *request, now int64) {
	if !r.config.Attempts.Hedging || req.group.Idempotency == NotIdempotent {
		return
	}
	if req.inFlight != 1 || req.queued || req.done || !r.mayHedge(req, now) {
		return
	}
	if req.shard.admitProbability != 1 || len(req.shard.queue) > 0 {
		return
	}
	r.runStages(req, now)
}

// mayHedge reports whether a second attempt beside the first may still begin: within the budget, in time for the latency
// objective, and inside the idempotency window. The window counts for idempotent requests too, so a group without one is
// never hedged. A hedge that was queued is looked at again when it could be sent.
func (r *Router) mayHedge(req *request, now int64) bool {
	return r.hedgingBudget >= 1 && now < min(req.sendBefore, req.attempts[0].startedAt+r.usableWindow(req.group))
}
