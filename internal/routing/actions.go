package routing

// Actions is how the Router acts. Every call takes effect at the time of the event being handled, and none calls back
// into the Router. Each protocol implements it; the Router knows no other way out.
type Actions interface {
	// StartAttempt sends a request to a node. A request's attempts are numbered from 0 in the order of these calls. A
	// timeout of 0 means until the client's deadline. The attempt must begin within startWithin, where that isn't 0;
	// one that does not begin ends as NotSent.
	StartAttempt(requestID, node string, timeout, startWithin int64)
	// RejectWithRetry is a final answer: the client may send the request again after retryAfter, because no attempt can have
	// executed it, or because a repeat has no further effect.
	RejectWithRetry(requestID string, retryAfter int64)
	// Fail is a final answer that promises nothing: the request may have been executed, and a repeat could do harm.
	Fail(requestID string)
	// CancelAttempt stops waiting for one attempt of a request, which ends as Canceled unless it ends otherwise first.
	CancelAttempt(requestID string, attempt int)
	// SetTimer asks for one call of Router.TimerFired after a delay.
	SetTimer(delay int64)
	// CheckHealth asks a node for its load report; Router.HealthChecked gets its end.
	CheckHealth(node string)
	// CloseIdleConnections closes the connections to a node that no attempt uses.
	CloseIdleConnections(node string)
	// StopNewAttempts keeps attempts that have not begun at a node from beginning there; they end as NotSent.
	StopNewAttempts(node string)
	// ForgetNode releases what is kept of a node. It is not named again, unless the endpoint list names it anew.
	ForgetNode(node string)
	// WatchEndpoints asks for the endpoint list, and for its changes from now on.
	WatchEndpoints()
}
