package routing

import (
	"cmp"
	"slices"
)

// Request is a request as received from a client.
type Request struct {
	ID      string
	Group   int    // index in Config.CommandGroups
	Tenant  int    // index in Config.Tenants; any other number for a tenant without quota
	Session string // empty if none
	// TimeLeft is how much longer the client waits, in microseconds.
	TimeLeft int64
	Shard    int // number of the shard that holds its data
	// SinceWrite is the time, in microseconds, since the session's last write was answered; 0 if there was none. It is
	// used only if Config.ClientsCarryTokens is set.
	SinceWrite int64
}

// AttemptResult describes the end of an attempt.
type AttemptResult struct {
	RequestID string
	Attempt   int // its number, in the order of Actions.StartAttempt calls
	Outcome   Outcome
	Took      int64 // duration in microseconds
	// Position is the position that the node reported in the answer to this attempt: for a write, its commit. It is 0 if
	// the answer contained none, or was cut off before it.
	Position int64
	// RequestDone reports that the request has its final answer or its client disconnected, so no further attempt may
	// start.
	RequestDone bool
}

// request is a request that has no final answer yet, or still has attempts in flight.
type request struct {
	id      string
	group   *commandGroup
	tenant  *tenant // nil if none
	shard   *shard
	session string // empty if none

	arrivedAt  int64
	deadline   int64 // when its client stops waiting
	sendBefore int64 // if sent later, it will probably miss the latency objective
	queueUntil int64 // given up from then on, unless an attempt is in flight or may have executed it

	weight                float64 // priority weight; the queue is ordered by descending weight
	sessionPosition       int64   // position of its session's last write, required by ReadYourWrites; 0 if none
	possiblyAnsweredWrite bool    // a write of its session is in flight and may have been answered already
	admitted              bool    // it has passed the admission stage
	quotaCharged          bool    // it was charged to its tenant's quota
	late                  bool    // sendBefore has passed and its weight was reduced
	queued                bool
	clientGone            bool // its client disconnected before the final answer
	done                  bool // it has its final answer, or its client disconnected

	target         *node // node of the next attempt
	attempts       []*attempt
	inlineAttempts [2]*attempt // initial backing array of attempts, which avoids an allocation for most requests
	inFlight       int         // attempts that have not ended
	withdrawn      int         // attempts that ended as Withdrawn
	decidedAgain   bool        // it passes the stages because an attempt was withdrawn

	mayHaveExecuted bool  // an attempt that ended may have executed it
	firstExecutedAt int64 // start of the earliest such attempt
}

// attempt is one transmission of a request to a node.
type attempt struct {
	request   *request
	number    int // within the request, from 0
	node      *node
	startedAt int64
	ended     bool
	canceled  bool // cancellation was requested
	lost      bool // considered lost after a long time without an answer; no longer counted as in flight at its node

	// What was known when its node was chosen (start_check.go).
	nodeRole         Role
	nodeStartedAt    int64 // when its node's process had started
	requiredPosition int64 // position that its node must have reached

	reportedPosition int64 // AttemptResult.Position once it has ended
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

// hasOtherPending reports whether an attempt other than except is in flight and not canceled.
func (req *request) hasOtherPending(except *attempt) bool {
	for _, a := range req.attempts {
		if a != except && !a.ended && !a.canceled {
			return true
		}
	}
	return false
}

// runStages passes a request through the stages until one of them doesn't return proceed.
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

// enqueue inserts a request into the shard's queue, ordered by descending weight and, for equal weights, latest arrival
// first. With the oldest first, every request would be sent just too late for its objective under overload.
func (s *shard) enqueue(req *request) {
	req.queued = true
	at, _ := slices.BinarySearchFunc(s.queue, req, compareQueued)
	s.queue = slices.Insert(s.queue, at, req)
}

// compareQueued returns a negative number if a queued request stays ahead of a new one, and a positive number
// otherwise.
func compareQueued(queued, added *request) int {
	return cmp.Or(cmp.Compare(added.weight, queued.weight), cmp.Compare(added.arrivedAt, queued.arrivedAt), -1)
}

// dispatchQueued passes the queued requests of a shard through the stages again, in queue order.
func (r *Router) dispatchQueued(s *shard, now int64) {
	queue := s.queue
	s.queue = nil
	for _, req := range queue {
		req.queued = false
		if !req.done {
			r.runStages(req, now)
		}
	}
}

// dispatchAllQueued calls dispatchQueued for all shards.
func (r *Router) dispatchAllQueued(now int64) {
	for _, s := range r.shards {
		r.dispatchQueued(s, now)
	}
}

// finish marks a request as done and cancels its attempts in flight.
func (r *Router) finish(req *request) {
	req.done = true
	for _, a := range req.attempts {
		r.cancelAttempt(a)
	}
	if req.inFlight == 0 {
		delete(r.requests, req.id)
	}
}

// cancelAttempt requests the cancellation of an attempt once, if attempts are cancelable.
func (r *Router) cancelAttempt(a *attempt) {
	if !r.config.Attempts.Cancelable || a.ended || a.canceled {
		return
	}
	a.canceled = true
	r.actions.CancelAttempt(a.request.id, a.number)
}

// openAttempt records that an attempt of a request is in flight at a node.
func (r *Router) openAttempt(req *request, n *node, now int64) {
	a := &attempt{
		request:          req,
		number:           len(req.attempts),
		node:             n,
		startedAt:        now,
		nodeRole:         n.role,
		nodeStartedAt:    n.startedAt,
		requiredPosition: r.requiredPosition(req, now),
	}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	n.inFlight++
	n.attempts = append(n.attempts, a)
}

// closeAttempt records that an attempt is no longer in flight. While connections are scarce, it closes the node's idle
// connections.
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
	if now < r.connectionsScarceUntil {
		r.actions.CloseIdleConnections(n.name)
	}
}
