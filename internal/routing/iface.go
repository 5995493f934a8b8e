package routing

// Actions is how the module acts. Every call takes effect at the time of the event being handled.
// A protocol puts its own implementation behind it; the module knows no other way out.
type Actions interface {
	// StartAttempt starts the next dispatch of a command; timeout 0 means until the client gives up. It must not begin
	// later than within, 0 for no such bound; one that does not begin ends as NotSent.
	StartAttempt(cmd, node string, timeout, within int64)
	// RejectWithRetry answers finally that the command had no effect and may be tried again after retryIn.
	RejectWithRetry(cmd string, retryIn int64)
	// Fail answers finally and promises nothing.
	Fail(cmd string)
	// CancelAttempt stops waiting for one dispatch, by its number within the command.
	CancelAttempt(cmd string, dispatch int)
	// SetTimer asks for a TimerFired event after a delay.
	SetTimer(in int64)
	// CheckHealth asks a node for its report.
	CheckHealth(node string)
	// CloseIdleConnections closes the idle connections to a node.
	CloseIdleConnections(node string)
	// StopNewAttempts tells that nothing more may begin at a node; what has not begun there ends as NotSent.
	StopNewAttempts(node string)
	// ForgetNode tells that a node is gone and will not be named again, unless the list names it anew.
	ForgetNode(node string)
	// WatchEndpoints asks for the node list and its changes from now on.
	WatchEndpoints()
}

// Outcome is how a dispatch or a probe ended.
type Outcome uint8

// The outcomes; Rejected, ConnectFailed, NotSent and NotPrimary prove that the command never ran.
const (
	Errored Outcome = iota
	Answered
	Rejected
	TimedOut
	ConnectFailed
	ConnectionLost
	Canceled
	NotSent
	NotPrimary
)

// NotExecuted tells whether the outcome proves that nothing was executed.
func (o Outcome) NotExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == NotPrimary
}

// Idempotency tells how far a command may be repeated.
type Idempotency uint8

// The effects; an IdempotentWithKey command carries a mark by which its node group knows a repeat.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NotIdempotent
)

// Consistency is how new the data answering a command must be.
type Consistency uint8

// The read levels; Write commands run on the primary alone.
const (
	Eventual Consistency = iota
	BoundedStaleness
	ReadYourWrites
	Latest
	Write
)

// Role is what a node says it is.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// EndpointState is what the node list says of a node.
type EndpointState uint8

// The list states.
const (
	Up EndpointState = iota
	Draining
	Removed
)
