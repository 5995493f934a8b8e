package routing

// Admission control: tenant quotas and load shedding of reads.

const (
	// quotaBurst is the minimum burst size of a tenant, in requests. With many routers, a router's share of the quota
	// may be a fraction of a request per second.
	quotaBurst = 3.0
	// ownShardGain is added to the admission probability of its shard by an answer in time, so that all reads are
	// admitted again within seconds of an overload.
	ownShardGain = 0.06
	// otherShardGain is added to the other shards' admission probabilities by an answer in time. An overload usually
	// affects the whole fleet, and with hundreds of routers a single shard gives each router too few answers to act on.
	otherShardGain = 0.02
	// lateAnswerWeight multiplies the gain, and the current probability, when a late answer lowers the probability:
	// about one answer in five may be late before reads are shed.
	lateAnswerWeight = 4.0
	// minAdmitProbability is the share of reads that is always admitted, because only their answers show that the
	// overload is over.
	minAdmitProbability = 0.05
)

// tenant holds a tenant's quota at this router as a token bucket.
type tenant struct {
	quota    float64 // requests per second over all routers, 0 for no quota
	tokens   float64 // requests that may still be sent
	tokensAt int64   // when tokens was last updated
}

// tenantAt returns the tenant with the given index, or nil if there is none.
func (r *Router) tenantAt(number int) *tenant {
	if number < 0 || number >= len(r.tenants) {
		return nil
	}
	return r.tenants[number]
}

// admit is the admission stage; each request passes it once.
//
// A request that exceeds its tenant's quota gets a lower weight, so that one tenant's burst can't delay all the others:
// the request queues behind theirs and, if it is a read, may use only lowWeightShare of a replica's limit. Each router
// holds an equal share of the quota, so a tenant whose requests are spread unevenly over the routers can exceed its
// share at one of them early.
//
// A read is then admitted with its shard's admission probability, or rejected immediately (see adjustAdmission).
func (r *Router) admit(req *request, now int64) decision {
	if req.admitted {
		return proceed
	}
	req.admitted = true
	req.weight = req.group.Weight
	r.chargeQuota(req, now)
	if !req.group.needsPrimary() && !req.shard.takeAdmissionCredit() {
		r.giveUp(req)
		return stop
	}
	return proceed
}

// chargeQuota charges a request to its tenant's quota, or lowers its weight if the quota is used up.
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
	req.quotaCharged = true
}

// refundQuota returns the quota of a request that was never sent, for the client's next attempt.
func (req *request) refundQuota() {
	if len(req.attempts) == 0 && req.quotaCharged {
		req.tenant.tokens++
	}
}

// takeAdmissionCredit reports whether the next read is admitted. It spaces admitted reads evenly at the shard's
// admission probability.
func (s *shard) takeAdmissionCredit() bool {
	s.admitCredit += s.admitProbability
	if s.admitCredit < 1 {
		return false
	}
	s.admitCredit--
	return true
}

// adjustAdmission is the outcome function of the admission stage. It adjusts the shards' admission probabilities by the
// outcome of a read: up for an answer in time, down for one past its latency objective or when the client disconnected
// while waiting.
//
// It handles overload caused by hundreds of routers, each of which sends a node too little for a concurrency limit to
// take effect: answers are late although this router has hardly anything in flight. It therefore counts only answers of
// nodes that this router seldom uses; for the others the concurrency limit bounds the load per node.
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
		s.admitProbability = min(1, max(minAdmitProbability, s.admitProbability+gain))
	}
}
