package inflight

import (
	"cairntiller/internal/invariant"
	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
)

var (
	answeredRequests  = metrics.New("commands answered")
	rejectedRequests  = metrics.New("commands rejected")
	failedRequests    = metrics.New("commands failed")
	abandonedRequests = metrics.New("commands abandoned by clients")
	lateAnswers       = metrics.New("answers after the final one")
)

// Request is a client's command, from its arrival until its last attempt has ended.
type Request struct {
	Command       *pgwire.Command
	Group, Tenant int        // numbers used by the routing module; Tenant is -1 for none
	Deadline      int64      // us on the router's clock: when the client times out
	Attempts      []*Attempt // indexed by Attempt.Number
	OpenAttempts  int        // attempts that have not ended
	client        Client
	concluded     bool
}

// NewRequest returns a request for a command. arrived is its arrival time, us on the router's clock.
func NewRequest(command *pgwire.Command, client Client, group, tenant int, arrived int64) *Request {
	return &Request{Command: command, Group: group, Tenant: tenant, Deadline: arrived + command.Timeout, client: client}
}

// ArrivedAt returns when the request's command arrived, us on the router's clock.
func (r *Request) ArrivedAt() int64 { return r.Deadline - r.Command.Timeout }

// StartAttempt adds an attempt at a node. timeout is how long the router waits for the outcome, and startWithin how
// long the attempt may wait before it is sent, both in us; if one is 0, only the request's deadline applies.
func (r *Request) StartAttempt(node string, now, timeout, startWithin int64) *Attempt {
	deadline := r.Deadline
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	latestStart := deadline - 1
	if startWithin > 0 {
		latestStart = min(latestStart, now+startWithin)
	}
	attempt := &Attempt{
		Request:     r,
		Number:      len(r.Attempts),
		Node:        node,
		StartedAt:   now,
		Deadline:    deadline,
		LatestStart: latestStart,
	}
	r.Attempts = append(r.Attempts, attempt)
	r.OpenAttempts++
	return attempt
}

// EndAttempt marks an attempt of the request as ended. It returns false if the attempt had already ended.
func (r *Request) EndAttempt(attempt *Attempt) bool {
	if !invariant.Check(!attempt.Ended, "an attempt ends once") {
		return false
	}
	attempt.Ended = true
	r.OpenAttempts--
	return true
}

// Concluded reports whether the client has received its final answer or no longer needs one.
func (r *Request) Concluded() bool { return r.concluded }

// Answer sends the client a node's value and returns whether the request was still open. A later value from another
// attempt is counted and dropped.
func (r *Request) Answer(value []byte) bool {
	if r.concluded {
		lateAnswers.Add()
		return false
	}
	r.concluded = true
	answeredRequests.Add()
	r.client.Answer(r, value)
	return true
}

// Reject tells the client that it may send the command again after retryAfter us.
func (r *Request) Reject(retryAfter int64) {
	if invariant.Check(!r.concluded, "a request is rejected before it is concluded") {
		r.concluded = true
		rejectedRequests.Add()
		r.client.Reject(r, retryAfter)
	}
}

// Fail tells the client that the command failed, without details.
func (r *Request) Fail() {
	if invariant.Check(!r.concluded, "a request fails before it is concluded") {
		r.concluded = true
		failedRequests.Add()
		r.client.Fail(r)
	}
}

// ClientGone records that the client has disconnected or cancelled. It returns whether the client was still waiting for
// an answer.
func (r *Request) ClientGone() (waited bool) {
	if r.concluded {
		return false
	}
	r.concluded = true
	abandonedRequests.Add()
	return true
}

// Totals counts the requests concluded since the process started, except those abandoned by their clients.
type Totals struct{ Answered, Failed, Rejected uint64 }

// ReadTotals returns the current totals.
func ReadTotals() Totals {
	return Totals{
		Answered: uint64(answeredRequests.Count()),
		Failed:   uint64(failedRequests.Count()),
		Rejected: uint64(rejectedRequests.Count()),
	}
}
