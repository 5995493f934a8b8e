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

// Request is one command of a client, from its arrival to its last attempt's end.
type Request struct {
	Command       *pgwire.Command
	Group, Tenant int        // numbers under which the routing module knows them; Tenant is -1 for none
	Deadline      int64      // us on the router's clock: when the client gives up
	Attempts      []*Attempt // by their number
	OpenAttempts  int        // attempts that have not ended
	client        Client
	concluded     bool
}

// NewRequest makes the request of a command that has arrived at a time, us on the router's clock.
func NewRequest(command *pgwire.Command, client Client, group, tenant int, arrived int64) *Request {
	return &Request{Command: command, Group: group, Tenant: tenant, Deadline: arrived + command.Timeout, client: client}
}

// ArrivedAt is when the request's command arrived, us on the router's clock.
func (r *Request) ArrivedAt() int64 { return r.Deadline - r.Command.Timeout }

// StartAttempt adds an attempt at a node. timeout is how long the router waits for its end, and startWithin how long it
// may take to begin, both in us; 0 leaves it to the request's deadline.
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

// EndAttempt closes an attempt of the request. It returns false where the attempt had ended before.
func (r *Request) EndAttempt(attempt *Attempt) bool {
	if !invariant.That(!attempt.Ended, "an attempt ends once") {
		return false
	}
	attempt.Ended = true
	r.OpenAttempts--
	return true
}

// Concluded reports whether the client has had its final answer, or needs none any more.
func (r *Request) Concluded() bool { return r.concluded }

// Answer gives the client a node's value, and returns whether the client still waited for one. A value that comes
// later, from another attempt, is counted and dropped.
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

// Reject tells the client that it may send the command again, and after how many us.
func (r *Request) Reject(retryAfter int64) {
	if invariant.That(!r.concluded, "a request is rejected before it is concluded") {
		r.concluded = true
		rejectedRequests.Add()
		r.client.Reject(r, retryAfter)
	}
}

// Fail tells the client that the command failed, and nothing else.
func (r *Request) Fail() {
	if invariant.That(!r.concluded, "a request fails before it is concluded") {
		r.concluded = true
		failedRequests.Add()
		r.client.Fail(r)
	}
}

// ClientGone notes that the client has left or cancelled. It returns whether it still waited for an answer.
func (r *Request) ClientGone() (waited bool) {
	if r.concluded {
		return false
	}
	r.concluded = true
	abandonedRequests.Add()
	return true
}

// Totals are the requests that were concluded since the process started, but for those whose clients have gone.
type Totals struct{ Answered, Failed, Rejected uint64 }

// ReadTotals reads the totals.
func ReadTotals() Totals {
	return Totals{
		Answered: uint64(answeredRequests.Count()),
		Failed:   uint64(failedRequests.Count()),
		Rejected: uint64(rejectedRequests.Count()),
	}
}
