package routing

const (
	// hedgesPerRequest is what each request adds to the hedging budget; beyond this, hedged attempts cost nodes more
	// than they gain.
	hedgesPerRequest = 0.3
	// hedgingBurst is the maximum hedging budget: enough for the requests in flight at one node that stops answering.
	hedgingBurst = 10.0
)

// hedge passes a late request through the stages again to send a second attempt next to the first; the stages may also
// queue it. Hedging covers answers lost on the network and nodes that stopped answering: without it their requests
// would wait until the node is suspected and miss their objective. Under overload all requests are late and hedges
// would add to the load, so none are sent while the shard sheds reads or has queued requests, and never more than the
// budget allows.
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

// mayHedge reports whether a second attempt may still start next to the first: within the budget, in time for the
// latency objective, and within the idempotency window. The window applies to idempotent requests too, so a group
// without one is never hedged. A queued hedge is checked again when it could be sent.
func (r *Router) mayHedge(req *request, now int64) bool {
	return r.hedgingBudget >= 1 && now < min(req.sendBefore, req.attempts[0].startedAt+r.retryWindow(req.group))
}
