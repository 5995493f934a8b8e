package inflight

// Attempt is one try of a request at a node.
type Attempt struct {
	Request     *Request
	Number      int // within the request, from 0
	Node        string
	StartedAt   int64 // us: when it was decided
	Deadline    int64 // us: when the router stops waiting for its end
	LatestStart int64 // us: latest time at which it may go out
	Abandoned   bool  // the router has stopped waiting for it
	Ended       bool
}

// MayStart tells, at the moment at which an attempt has its connection, whether it may still go out: in time, for a
// request that is not concluded, and for a client that is still there. All three held when the attempt was decided, but
// the wait for a connection may have outlasted them: a command sent then would run at a node for nobody, or a second
// time outside of the window in which its repeat is safe.
func (a *Attempt) MayStart(now int64) bool {
	return now <= a.LatestStart && !a.Request.concluded && a.Request.client.Connected()
}
