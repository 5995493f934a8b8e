package routing

import "slices"

// Primary tracking: which node of a shard is believed to be its primary, and which requests go there.
//
// Answers are authoritative: a node that answers as the primary is believed immediately, and one that answers as a
// replica no longer is. Delayed information (marks of the endpoint list, load reports, gossip) is only a hint, which
// counts if no recent answer has shown the role. A hint proves nothing about data: reads of the latest data wait for an
// answer. A node's own load report counts as an answer as long as no answer has shown its role (see ReportedRole).

const (
	// observedRoleTTL is the time, in microseconds, for which a role shown in an answer overrides any hint, because
	// lists and reports lag behind a failover by a few seconds. Correct hints are ignored for as long.
	observedRoleTTL = 5e6
	// primaryQueryInterval is the interval, in microseconds, between two queries for a shard's unknown primary. Only
	// one member is queried at a time, and yet the whole shard is covered before clients time out.
	primaryQueryInterval = 50_000
	// primaryQueryAttemptDivisor limits how a write may search for the primary: it may go to a member that may not be
	// the primary only until half of its attempts are used. The rest is reserved for the primary itself.
	primaryQueryAttemptDivisor = 2
)

// Role is the role that a node reports for itself.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// String returns the role's name, for logs and tests.
func (role Role) String() string {
	return enumName([]string{"unknown", "primary", "replica"}, int(role))
}

// ObserveReply processes the role and the position in a node's answer: RoleUnknown if it contained no role, 0 if it
// contained no position. Answering as the primary doesn't raise the position: a primary that hung still answers as one
// when it resumes, with data that is as old as the pause.
func (r *Router) ObserveReply(now int64, name string, role Role, position int64) {
	n := r.nodeByName[name]
	if n == nil || role == RoleUnknown {
		return
	}
	r.observeRole(n, role, now)
	r.observePosition(n, position, now)
}

// observeRole updates the believed primary of a shard from an answer. Requests with a key at a former primary are
// canceled so that they can be sent to the new one (see cancelRetriable).
func (r *Router) observeRole(n *node, role Role, now int64) {
	n.role = role
	n.roleAt = now
	s := n.shard
	if role != Primary {
		if s.primary == n {
			r.setPrimary(s, nil)
		}
		return
	}
	s.primarySeenAt = now
	former := s.primary
	if former == n {
		return
	}
	n.lag = 0
	if former != nil {
		former.role = Replica
	}
	r.setPrimary(s, n)
	if former != nil {
		r.cancelRetriable(former, now)
	}
}

// setPrimary sets the believed primary of a shard, nil if none. Attempts that wait at the former one were decided on
// another belief.
func (r *Router) setPrimary(s *shard, n *node) {
	former := s.primary
	s.primary = n
	if former != nil && former != n {
		r.actions.RecheckWaiting(former.name)
	}
}

// ReportedRole processes the role in a load report. It is a hint, and sets the node's role only if no answer has shown
// one.
func (r *Router) ReportedRole(now int64, name string, primary bool) {
	n := r.nodeByName[name]
	if n == nil {
		return
	}
	if !primary {
		r.applyNotPrimaryHint(n, now)
		return
	}
	if n.role == RoleUnknown {
		n.role = Primary
	}
	r.applyPrimaryHint(n, now)
}

// applyPrimaryHint processes an unconfirmed hint that a node is the primary. It ignores lists and reports that lag
// behind a failover or are no longer updated, which would send writes back to the former primary.
func (r *Router) applyPrimaryHint(n *node, now int64) {
	if n.role == Replica && now-n.roleAt < observedRoleTTL {
		return // an answer of the node itself says otherwise
	}
	believed := n.shard.primary
	if believed == nil || believed.roleAt == 0 || now-believed.roleAt > observedRoleTTL || believed.suspected {
		r.setPrimary(n.shard, n)
	}
}

// applyNotPrimaryHint processes an unconfirmed hint that a node isn't the primary.
func (r *Router) applyNotPrimaryHint(n *node, now int64) {
	if n.shard.primary == n && now-n.roleAt > observedRoleTTL {
		r.setPrimary(n.shard, nil)
	}
}

// routeToPrimary is the stage that sends writes, and reads of the latest data, to the believed primary. They are queued
// while there is none or it has no capacity. A read requires a node that has answered as the primary.
func (r *Router) routeToPrimary(req *request, now int64) decision {
	group := req.group
	if !group.needsPrimary() {
		return proceed
	}
	req.target = req.shard.primary
	if r.primaryMissing(req.shard, now) {
		req.target = r.queryForPrimary(req.shard, now)
		if req.target == nil || !r.mayQueryWithWrite(req, req.target, now) {
			return enqueue
		}
	}
	if group.Consistency == Latest && req.target.role != Primary {
		return enqueue
	}
	if !r.usable(req.target, now) || !r.hasCapacity(req.target, 1, group, now) {
		return enqueue
	}
	return proceed
}

// primaryMissing reports whether a shard's primary must be searched for. A primary that only cools down between
// requests is still known; querying it again would cost health checks without benefit.
func (r *Router) primaryMissing(s *shard, now int64) bool {
	p := s.primary
	if p == nil {
		return true
	}
	return !r.usable(p, now) && (!r.listAllows(p) || p.suspected || p.connectFailingSince > 0)
}

// mayQueryWithWrite reports whether a write may be sent to a member that may not be the primary to find out its role: a
// node that isn't the primary rejects it without executing it. Only members that replied recently are queried this way.
func (r *Router) mayQueryWithWrite(req *request, n *node, now int64) bool {
	return req.group.Consistency == Write &&
		primaryQueryAttemptDivisor*req.attemptsUsed() < r.config.Attempts.Max &&
		r.usable(n, now) && now-n.lastReplyAt <= observedRoleTTL
}

// queryForPrimary queries the next member of a shard for its role with a health check, if load reports contain roles.
// Otherwise it returns the member to be queried with a write, or nil.
func (r *Router) queryForPrimary(s *shard, now int64) *node {
	if now-s.primaryQueriedAt < primaryQueryInterval {
		return nil
	}
	candidates := slices.DeleteFunc(slices.Clone(s.members), func(n *node) bool { return !r.listAllows(n) })
	if len(candidates) == 0 {
		return nil
	}
	s.primaryQueriedAt = now
	s.rotation++
	n := candidates[s.rotation%len(candidates)]
	if !r.config.HealthChecks.ReportsRole {
		return n
	}
	r.checkHealth(n, now, 1)
	return nil
}
