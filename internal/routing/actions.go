package routing

// Actions carries out the Router's decisions. Every call takes effect at the time of the event being handled, and no
// implementation may call back into the Router. Each protocol has its own implementation; the Router has no other
// outputs.
type Actions interface {
	// StartAttempt sends a request to a node. The attempts of a request are numbered from 0 in the order of these
	// calls. A timeout of 0 means the client's deadline. If startWithin isn't 0, the attempt must start within that
	// many microseconds; otherwise it ends as NotSent.
	StartAttempt(requestID, node string, timeout, startWithin int64)
	// RejectWithRetry is a final answer that lets the client send the request again after retryAfter: either no attempt
	// can have executed it, or a repeat has no further effect.
	RejectWithRetry(requestID string, retryAfter int64)
	// Fail is a final answer without a retry hint: the request may have been executed, and repeating it could be
	// harmful.
	Fail(requestID string)
	// CancelAttempt stops waiting for an attempt. The attempt ends as Canceled unless it ends in another way first.
	CancelAttempt(requestID string, attempt int)
	// SetTimer schedules one call of Router.TimerFired after a delay.
	SetTimer(delay int64)
	// CheckHealth requests a load report from a node; Router.HealthChecked receives the result.
	CheckHealth(node string)
	// CloseIdleConnections closes the connections to a node that no attempt uses.
	CloseIdleConnections(node string)
	// RecheckWaiting ends the attempts that wait for a connection to a node and that Router.MayStart no longer permits,
	// as Withdrawn. It takes effect after the event being handled.
	RecheckWaiting(node string)
	// ForgetNode releases the resources kept for a node. The node isn't used again unless the endpoint list adds it
	// again.
	ForgetNode(node string)
	// WatchEndpoints requests the endpoint list and its subsequent changes.
	WatchEndpoints()
}
