package routing

// What is admitted: tenants' quotas, and the shedding of reads under an overload that no node shows to one router alone.

const (
	// quotaBurst is how many requests a tenant may save up at least: where routers are many, its part of the quota at one
	// of them may be a fraction of a request a second.
	quotaBurst = 3.0
	// ownShardGain is what an answer in time adds to its shard's admission probability: closed ones open in seconds.
	ownShardGain = 0.06
	// otherShardGain is what it adds to all other shards': what strikes one shard mostly strikes the fleet, and one
	// shard alone shows itself to a router among hundreds too seldom.
	otherShardGain = 0.02
	// lateAnswerWeight is how many times as much a late answer takes, times the present probability: about one answer in
	// five may be late before reads are shed.
	lateAnswerWeight = 4.0
	// leastAdmitProbability is the share of reads that is always admitted: only their answers show that the overload is
	// over.
	leastAdmitProbability = 0.05
)

// tenant is one tenant's quota at this router: a token bucket.
type tenant struct {
	quota    float64 // requests a second over all routers, 0 for no quota
	tokens   float64 // requests that it may still send
	tokensAt int64   // when that was last brought up to date
}

// tenantAt is the tenant with a number, nil where there is none.
func (r *Router) tenantAt(number int) *tenant {
	if number < 0 || number >= len(r.tenants) {
		return nil
	}
	return r.tenants[number]
}

// admit is the stage that a request passes once. A request over its tenant's quota loses weight: it waits behind the
// rest and may use only a part of a node. This holds against a tenant's flood; a tenant whose requests come unevenly by
// router can meet it too. A read is then admitted with its shard's probability, or rejected at once.
func (r *Router) admit(req *request, now int64) decision {
	if req.admitted {
		return proceed
	}
	req.admitted = true
	req.weight = req.group.Weight
	r.chargeQuota(req, now)
	if !req.group.needsPrimary() && !req.shard.admitsRead() {
		r.giveUp(req)
		return stop
	}
	return proceed
}

// chargeQuota takes a request out of its tenant's quota, or cuts its weight where nothing is left.
func (r *Router) chargeQuota(req *request, now int64) {
	t := req.tenant
	if t == nil || t.quota <= 0 {
		return
	}
	rate := t.quota / float64(r.config.Routers)
	t.tokens = min(max(rate, quotaBurst), t.tokens+rate*float64(now-t.tokensAt)/1e6)
	t.tokensAt = now
	if t.tokens < 1 {
		req.weight *= r.config.OverQuotaWeight
		return
	}
	t.tokens--
	req.tookQuota = true
}

// refundQuota gives an unsent request's part back, for the client's next attempt.
func (req *request) refundQuota() {
	if len(req.attempts) == 0 && req.tookQuota {
		req.tenant.tokens++
	}
}

// admitsRead admits reads evenly, as many as the shard's probability says.
func (s *shard) admitsRead() bool {
	s.admitCredit += s.admitProbability
	if s.admitCredit < 1 {
		return false
	}
	s.admitCredit--
	return true
}

// adjustAdmission is the stage that moves the shards' admission probabilities by the outcome of a read: up by an answer
// in time, down by one past its latency objective, or by a client that left while it waited. It does so only where this
// router seldom uses the node; else the node's concurrency limit holds against overload, and more closely.
func (r *Router) adjustAdmission(a *attempt, outcome Outcome, took, now int64) {
	group := a.request.group
	_, seldomUsed := r.limitInUse(a.node, group, now)
	if group.Consistency == Write || !seldomUsed {
		return
	}
	late := outcome == Canceled && a.request.clientGone
	if outcome == Answered || outcome == TimedOut {
		late = took > group.LatencyObjective
	}
	if !late && outcome != Answered {
		return
	}
	for _, s := range r.shards {
		gain := otherShardGain
		if s == a.request.shard {
			gain = ownShardGain
		}
		if late {
			gain *= -lateAnswerWeight * s.admitProbability
		}
		s.admitProbability = min(1, max(leastAdmitProbability, s.admitProbability+gain))
	}
}
