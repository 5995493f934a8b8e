package routing

import "slices"

// Which node of a shard is believed to be its primary, and what goes there.
//
// Answers decide: a node that answers as the primary is believed at once, and one that answers as a replica no longer
// is. What comes late (marks of the endpoint list, load reports, gossip) is a hint, which counts only where no answer has
// shown the role lately. A hint proves no data: reads of the latest data wait for an answer. A node's own load report stands for
// an answer as long as no answer has shown its role (ReportedRole).

const (
	// roleTrustedFor is the time, us, for which a role shown in an answer stands over any hint: lists and reports lag
	// behind a failover by a few seconds. A true hint is passed over for as long.
	roleTrustedFor = 5e6
	// primaryQueryInterval is the time, us, between two questions to a shard's members for an unknown primary: one member
	// at a time, and yet through the shard before a client loses patience.
	primaryQueryInterval = 50_000
	// primaryQueryDivisor bounds the search for a primary by a write: only until half of its attempts are used may it go to
	// a member that may not be the primary, so that the rest is left for the primary itself.
	primaryQueryDivisor = 2
)

// Role is what a node says that it is.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// String names the role for logs and tests.
func (role Role) String() string {
	return enumName([]string{"unknown", "primary", "replica"}, int(role))
}

// ObserveReply takes the role and the position in a node's answer: RoleUnknown where it had no role, 0 where it had no
// position. Answering as the primary raises no position: a primary that hung answers as one when it goes on, with data
// that stood still meanwhile.
func (r *Router) ObserveReply(now int64, name string, role Role, position int64) {
	n := r.nodeByName[name]
	if n == nil || role == RoleUnknown {
		return
	}
	r.observeRole(n, role, now)
	r.observePosition(n, position, now)
}

// observeRole moves the belief in a shard's primary by an answer. Requests with a key at a former primary are canceled, so
// that they can be sent to the new one (cancelRepeatable).
func (r *Router) observeRole(n *node, role Role, now int64) {
	n.role = role
	n.roleAt = now
	s := n.shard
	if role != Primary {
		if s.primary == n {
			s.primary = nil
		}
		return
	}
	s.primarySeenAt = now
	former := s.primary
	if former == n {
		return
	}
	s.primary = n
	n.lag = 0
	if former != nil {
		former.role = Replica
		r.cancelRepeatable(former, now)
	}
}

// ReportedRole takes the role in a load report: a hint, and the node's role only where no answer has shown one.
func (r *Router) ReportedRole(now int64, name string, primary bool) {
	n := r.nodeByName[name]
	if n == nil {
		return
	}
	if !primary {
		r.hintNotPrimary(n, now)
		return
	}
	if n.role == RoleUnknown {
		n.role = Primary
	}
	r.hintPrimary(n, now)
}

// hintPrimary takes an unconfirmed hint that a node is the primary. It guards against lists and reports that lag behind a
// failover or stand still: they would send writes back to the former primary.
func (r *Router) hintPrimary(n *node, now int64) {
	if n.role == Replica && now-n.roleAt < roleTrustedFor {
		return // it said otherwise itself
	}
	believed := n.shard.primary
	if believed == nil || believed.roleAt == 0 || now-believed.roleAt > roleTrustedFor || believed.suspected {
		n.shard.primary = n
	}
}

// hintNotPrimary takes an unconfirmed hint that a node isn't the primary.
func (r *Router) hintNotPrimary(n *node, now int64) {
	if n.shard.primary == n && now-n.roleAt > roleTrustedFor {
		n.shard.primary = nil
	}
}

// routeToPrimary is the stage that sends writes, and reads of the latest data, to the believed primary. They are queued
// while there is none, or while it has no capacity. A read must find a node that answered as the primary.
func (r *Router) routeToPrimary(req *request, now int64) decision {
	group := req.group
	if !group.needsPrimary() {
		return proceed
	}
	req.chosen = req.shard.primary
	if r.primaryMissing(req.shard, now) {
		req.chosen = r.askForPrimary(req.shard, now)
		if req.chosen == nil || !r.mayAskByWrite(req, req.chosen, now) {
			return enqueue
		}
	}
	if group.Consistency == Latest && req.chosen.role != Primary {
		return enqueue
	}
	if !r.usable(req.chosen, now) || !r.hasCapacity(req.chosen, 1, group, now) {
		return enqueue
	}
	return proceed
}

// primaryMissing reports whether a shard's primary must be looked for. One that only cools down between requests is known
// all the same: to ask for it again would cost health checks and bring nothing.
func (r *Router) primaryMissing(s *shard, now int64) bool {
	p := s.primary
	if p == nil {
		return true
	}
	return !r.usable(p, now) && (!r.listAllows(p) || p.suspected || p.refusedSince > 0)
}

// mayAskByWrite reports whether a write may go to a member that may not be the primary, to find out: a node that isn't
// refuses it unexecuted. Only one that showed itself alive lately is asked so.
func (r *Router) mayAskByWrite(req *request, n *node, now int64) bool {
	return req.group.Consistency == Write &&
		primaryQueryDivisor*len(req.attempts) < r.config.Attempts.Max &&
		r.usable(n, now) && now-n.answeredAt <= roleTrustedFor
}

// askForPrimary asks the next member of a shard whether it is the primary, by a health check where load reports tell
// roles. Where they don't, it returns the member to be asked by a write; else nil.
func (r *Router) askForPrimary(s *shard, now int64) *node {
	if now-s.primaryAskedAt < primaryQueryInterval {
		return nil
	}
	candidates := slices.DeleteFunc(slices.Clone(s.members), func(n *node) bool { return !r.listAllows(n) })
	if len(candidates) == 0 {
		return nil
	}
	s.primaryAskedAt = now
	s.turn++
	n := candidates[s.turn%len(candidates)]
	if !r.config.HealthChecks.ReportsRole {
		return n
	}
	r.checkHealth(n, now, 1)
	return nil
}
