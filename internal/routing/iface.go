package routing

// Actions is how the module acts. Every call takes effect at the time of the event being handled.
// A protocol puts its own implementation behind it; the module knows no other way out.
type Actions interface {
	// Dispatch starts the next dispatch of a command; timeout 0 means until the client gives up. It must not begin
	// later than within, 0 for no such bound; one that does not begin ends as Unsent.
	Dispatch(cmd, node string, timeout, within int64)
	// Throttle answers finally that the command had no effect and may be tried again after retryIn.
	Throttle(cmd string, retryIn int64)
	// Fail answers finally and promises nothing.
	Fail(cmd string)
	// Withdraw stops waiting for one dispatch, by its number within the command.
	Withdraw(cmd string, dispatch int)
	// Timer asks for a Timer event after a delay.
	Timer(in int64, cookie uint64)
	// Probe asks a node for its report.
	Probe(node string)
	// Release closes the idle connections to a node.
	Release(node string)
	// Bar tells that nothing more may begin at a node; what has not begun there ends as Unsent.
	Bar(node string)
	// Forget tells that a node is gone and will not be named again, unless the list names it anew.
	Forget(node string)
	// Follow asks for the node list and its changes from now on.
	Follow()
	// Tell sends a short note to one peer, or to all where peer is negative.
	Tell(peer int, note []byte)
}

// Outcome is how a dispatch or a probe ended.
type Outcome uint8

// The outcomes; Full, Unconnected, Unsent and Missed prove that the command never ran.
const (
	Errored Outcome = iota
	Answered
	Full
	TimedOut
	Unconnected
	Broken
	Withdrawn
	Unsent
	Missed
)

// NeverRan tells whether the outcome proves that nothing was executed.
func (o Outcome) NeverRan() bool {
	return o == Full || o == Unconnected || o == Unsent || o == Missed
}

// Effect tells how far a command may be repeated.
type Effect uint8

// The effects; a Keyed command carries a mark by which its node group knows a repeat.
const (
	Replayable Effect = iota
	Keyed
	Mutating
)

// Read is how new the data answering a command must be.
type Read uint8

// The read levels; Write commands run on the primary alone.
const (
	Any Read = iota
	Bounded
	Session
	Fresh
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

// State is what the node list says of a node.
type State uint8

// The list states.
const (
	Up State = iota
	Draining
	Removed
)
