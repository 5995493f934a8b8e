package routing

import (
	"cmp"
	"slices"
)

// Request is a request as its client sent it.
type Request struct {
	ID      string
	Group   int    // index in Config.CommandGroups
	Tenant  int    // index in Config.Tenants; any other number for a tenant without quota
	Session string // empty for none
	// TimeLeft is how long, us, the client still waits.
	TimeLeft int64
	Shard    int // number of the shard that holds its data
	// SinceWrite is how long ago, us, the session's last write was answered; 0 for none. Read only where
	// Config.ClientsCarryTokens.
	SinceWrite int64
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	RequestID string
	Attempt   int // its number, in the order of Actions.StartAttempt
	Outcome   Outcome
	Took      int64 // us from its start to its end
	// RequestDone tells that the request has its final answer, or its client has left: nothing more may be started.
	RequestDone bool
}

// request is one request that is owed a final answer, or that still has attempts in flight after it.
type request struct {
	id      string
	group   *commandGroup
	tenant  *tenant // nil for none
	shard   *shard
	session string // empty for none

	arrivedAt  int64
	deadline   int64 // when its client stops waiting
	sendBefore int64 // sent later, its answer will probably miss the latency objective
	queueUntil int64 // given up from then on, unless an attempt is in flight or may have executed it

	weight          float64 // priority weight: greater ones leave the queue first
	sessionPosition int64   // position of its session's last write, which a ReadYourWrites read must see; 0 for none
	unsureWrite     bool    // a write of its session is in flight that may have been answered already
	admitted        bool    // it has passed the admission stage
	tookQuota       bool    // it counts against its tenant's quota
	late            bool    // sendBefore has passed and its weight was cut
	queued          bool
	clientGone      bool // its client left before its final answer
	done            bool // it has its final answer, or its client left

	chosen       *node // where the next attempt goes
	attempts     []*attempt
	attemptSpace [2]*attempt // where attempts begins, so that most requests need no list of their own
	inFlight     int         // attempts that have not ended

	mayHaveExecuted bool  // some attempt that ended may have executed it
	firstExecutedAt int64 // when the earliest such attempt was started
}

// attempt is one sending of a request to a node.
type attempt struct {
	request   *request
	number    int // within the request, from 0
	node      *node
	startedAt int64
	ended     bool
	canceled  bool // the caller was asked to stop waiting for it
	lost      bool // unanswered for so long that it is taken to be lost: it no longer counts as in flight at its node
}

// inFlightAt reports whether an attempt of the request is in flight at a node.
func (req *request) inFlightAt(n *node) bool {
	for _, a := range req.attempts {
		if a.node == n && !a.ended {
			return true
		}
	}
	return false
}

// awaitsOther reports whether another attempt of the request is in flight and not canceled.
func (req *request) awaitsOther(than *attempt) bool {
	for _, a := range req.attempts {
		if a != than && !a.ended && !a.canceled {
			return true
		}
	}
	return false
}

// runStages takes a request through the stages until one doesn't let it proceed.
func (r *Router) runStages(req *request, now int64) {
	for _, s := range r.stages {
		d := s.request(req, now)
		if d == enqueue {
			req.shard.enqueue(req)
		}
		if d != proceed {
			return
		}
	}
}

// enqueue puts a request into the shard's queue: the greatest weight first, among equals the latest arrival. With the
// oldest first, under overload every request would be sent just too late for its objective.
func (s *shard) enqueue(req *request) {
	req.queued = true
	at, _ := slices.BinarySearchFunc(s.queue, req, compareQueued)
	s.queue = slices.Insert(s.queue, at, req)
}

// compareQueued tells that a queued request stands before a new one (negative) or behind it (positive).
func compareQueued(queued, added *request) int {
	return cmp.Or(cmp.Compare(added.weight, queued.weight), cmp.Compare(added.arrivedAt, queued.arrivedAt), -1)
}

// dispatchWaiting takes the queued requests of a shard through the stages again, in their order.
func (r *Router) dispatchWaiting(s *shard, now int64) {
	waiting := s.queue
	s.queue = nil
	for _, req := range waiting {
		req.queued = false
		if !req.done {
			r.runStages(req, now)
		}
	}
}

// dispatchAllWaiting does so for all shards.
func (r *Router) dispatchAllWaiting(now int64) {
	for _, s := range r.shards {
		r.dispatchWaiting(s, now)
	}
}

// finish notes that a request needs nothing more; its attempts in flight are canceled.
func (r *Router) finish(req *request) {
	req.done = true
	for _, a := range req.attempts {
		r.cancelAttempt(a)
	}
	if req.inFlight == 0 {
		delete(r.requests, req.id)
	}
}

// cancelAttempt asks once to stop waiting for an attempt, where that is possible.
func (r *Router) cancelAttempt(a *attempt) {
	if !r.config.Attempts.Cancelable || a.ended || a.canceled {
		return
	}
	a.canceled = true
	r.actions.CancelAttempt(a.request.id, a.number)
}

// openAttempt notes that an attempt of a request is in flight at a node.
func (r *Router) openAttempt(req *request, n *node, now int64) {
	a := &attempt{request: req, number: len(req.attempts), node: n, startedAt: now}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	n.inFlight++
	n.attempts = append(n.attempts, a)
}

// closeAttempt notes that an attempt is in flight no longer. While connections are scarce the one it used isn't kept.
func (r *Router) closeAttempt(a *attempt, _ Outcome, _, now int64) {
	a.ended = true
	a.request.inFlight--
	n := a.node
	if i := slices.Index(n.attempts, a); i >= 0 {
		n.attempts = slices.Delete(n.attempts, i, i+1)
		if !a.lost {
			n.inFlight--
		}
	}
	if now < r.scarceUntil {
		r.actions.CloseIdleConnections(n.name)
	}
}
