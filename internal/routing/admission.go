package routing

// What is admitted: tenants' quotas, and load shedding of reads.

const (
	// quotaBurst is how many requests a tenant may save up at least: where routers are many, its part of the quota at one
	// of them may be a fraction of a request a second.
	quotaBurst = 3.0
	// ownShardGain is what an answer in time adds to its shard's admission probability: after an overload clients get all
	// their reads through again within seconds.
	ownShardGain = 0.06
	// otherShardGain is what it adds to the other shards'. An overload mostly hits the whole fleet, and one shard alone
	// gives a router among hundreds too few answers to go by.
	otherShardGain = 0.02
	// lateAnswerWeight is how many times the gain a late answer takes off, times the present probability: about one answer
	// in five may be late before reads are shed.
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

// admit is the stage that a request passes once.
//
// A request over its tenant's quota loses weight. This guards against a tenant whose flood makes all others wait: the
// request then stands behind theirs in the queue, and, as a read, may use only lowWeightShare of a replica's limit. Each router holds
// an equal part of the quota, so a tenant whose requests reach the routers unevenly can meet it early at one of them.
//
// A read is then admitted with its shard's admission probability, or rejected at once (adjustAdmission).
func (r *Router) admit(req *request, now int64) decision {
	if req.admitted {
		return proceed
	}
	req.admitted = true
	req.weight = req.group.Weight
	r.chargeQuota(req, now)
	if !req.group.needsPrimary() && !req.shard.takeAdmission() {
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

// takeAdmission admits reads evenly, as many as the shard's probability says.
func (s *shard) takeAdmission() bool {
	s.admitCredit += s.admitProbability
	if s.admitCredit < 1 {
		return false
	}
	s.admitCredit--
	return true
}

// adjustAdmission is the stage that moves the shards' admission probabilities by the outcome of a read: up by an answer
// in time, down by one past its latency objective, or by a client that left while it waited.
//
// It guards against an overload by hundreds of routers, each of which sends a node too little for a concurrency limit to
// tell on it: answers come late although hardly anything of this router's is in flight. So it counts only answers of
// nodes that this router seldom uses; elsewhere the concurrency limit holds the load down, and node by node.
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
