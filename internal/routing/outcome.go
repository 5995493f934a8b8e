package routing

import "strconv"

// Outcome describes how an attempt or a health check ended.
type Outcome uint8

// The outcomes.
const (
	// Errored: the node answered with an error; the request may have been executed.
	Errored Outcome = iota
	// Answered: the node answered.
	Answered
	// Rejected: the node rejected the request without executing it, because it is full or draining.
	Rejected
	// TimedOut: no answer arrived before the request's deadline; it may have been executed.
	TimedOut
	// ConnectFailed: connecting to the node failed; nothing was sent.
	ConnectFailed
	// ConnectionLost: the connection closed after the request was sent; it may have been executed.
	ConnectionLost
	// Canceled: the router or the client stopped waiting; the request may have been executed.
	Canceled
	// NotSent: the attempt ended before anything was sent.
	NotSent
	// NotPrimary: the node rejected the request without executing it because it isn't the primary, or because its data
	// is too old for the request. In both cases it is not the primary.
	NotPrimary
	// Withdrawn: the attempt waited for a connection, and before anything was sent its node became unsuitable (see
	// Router.MayStart). It doesn't count as one of the request's attempts.
	Withdrawn
)

// NotExecuted reports whether the outcome proves that the request was not executed.
func (o Outcome) NotExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == NotPrimary || o == Withdrawn
}

// nodeReplied reports whether the outcome shows that the node's process works.
func (o Outcome) nodeReplied() bool {
	return o == Answered || o == Errored || o == NotPrimary || o == Rejected
}

var outcomeNames = [...]string{
	Errored:        "errored",
	Answered:       "answered",
	Rejected:       "rejected",
	TimedOut:       "timed out",
	ConnectFailed:  "connect failed",
	ConnectionLost: "connection lost",
	Canceled:       "canceled",
	NotSent:        "not sent",
	NotPrimary:     "not primary",
	Withdrawn:      "withdrawn",
}

// String returns the outcome's name, for logs and tests.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "outcome " + strconv.Itoa(int(o))
}
