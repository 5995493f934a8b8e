package inflight

import "cairntiller/internal/routing"

// Attempt is one execution of a request at a node.
type Attempt struct {
	Request     *Request
	Number      int // within the request, from 0
	Node        string
	StartedAt   int64 // us: when the routing module decided on it
	Deadline    int64 // us: when the router stops waiting for the outcome
	LatestStart int64 // us: latest time at which it may be sent
	Abandoned   bool  // the router has stopped waiting for it
	Ended       bool
	Outcome     routing.Outcome // valid once it has ended
}

// MayStart reports whether an attempt that has obtained a connection may still be sent: its latest start has not
// passed, its request is not concluded, and its client is still connected. All three held when the routing module
// decided on the attempt, but may have changed while it waited for the connection. Sending it regardless could run a
// command whose result nobody reads, or repeat one after the window in which repeating it is safe.
func (a *Attempt) MayStart(now int64) bool {
	return now <= a.LatestStart && !a.Request.concluded && a.Request.client.Connected()
}
