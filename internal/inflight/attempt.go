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

// MayStart reports whether an attempt that has got its connection may still be sent: it is not too late, its request is
// not concluded, and its client is still connected. All three held when the attempt was decided, but may have changed while
// it waited for the connection. A command sent anyway would run for nobody, or a second time after the window in which
// repeating it is safe.
func (a *Attempt) MayStart(now int64) bool {
	return now <= a.LatestStart && !a.Request.concluded && a.Request.client.Connected()
}
