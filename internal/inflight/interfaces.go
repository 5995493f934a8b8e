package inflight

import (
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

// Client receives the final answer of a request. Its methods are called on the engine's goroutine and must not block.
type Client interface {
	// Answer sends the client a node's value unchanged.
	Answer(request *Request, value []byte)
	// Reject tells the client that it may send the command again after retryAfter us.
	// Either nothing ran, or a repeat has no further effect.
	Reject(request *Request, retryAfter int64)
	// Fail tells the client that the command failed; it may have run.
	Fail(request *Request)
	// Connected reports whether the client is known to be connected. If it has disconnected, RequestHandler.ClientGone is
	// called for all of its requests.
	Connected() bool
}

// RequestHandler receives requests and cancellations from clients. Its methods may be called from any goroutine; at is
// the time of the event, us.
type RequestHandler interface {
	Submit(at int64, request *Request)
	ClientGone(at int64, request *Request)
}

// NodeConnections sends attempts and health checks to the nodes. Its methods are called on the engine's goroutine and
// must not block.
type NodeConnections interface {
	// SetAddress sets the address at which a node listens.
	SetAddress(node, address string)
	// Send starts an attempt. Its outcome is reported to AttemptHandler.AttemptEnded unless it is cancelled.
	Send(attempt *Attempt)
	// Cancel ends an attempt without reporting an outcome; its connection has been shut down when Cancel returns. It
	// returns whether the node may have received the attempt.
	Cancel(attempt *Attempt) (mayHaveRun bool)
	// CheckHealth requests a node's load report; the outcome is reported to AttemptHandler.HealthCheckEnded.
	CheckHealth(check HealthCheck)
	// CloseIdle closes the idle connections to a node.
	CloseIdle(node string)
	// RecheckWaiting ends the attempts that wait for a connection to a node and that AttemptHandler.MayStart no longer
	// permits with the outcome Withdrawn. Health checks keep waiting, and connections that are being opened are kept.
	RecheckWaiting(now int64, node string)
	// Remove closes the idle connections to a node and removes its address. Queries in progress run to their end.
	Remove(node string)
}

// AttemptHandler decides on attempts, and receives the outcomes of attempts and health checks, on the engine's goroutine.
// reply is nil if the node sent no usable reply, and never nil with routing.Answered; load is empty if the node sent no
// load report.
type AttemptHandler interface {
	// MayStart reports whether an attempt that has waited for a connection may still be sent to its node. It changes
	// nothing.
	MayStart(now int64, attempt *Attempt) bool
	AttemptEnded(now int64, attempt *Attempt, outcome routing.Outcome, reply *pgwire.Reply)
	HealthCheckEnded(now int64, check HealthCheck, outcome routing.Outcome, load string)
}

// HealthCheck is a request for a node's load report.
type HealthCheck struct {
	Node  string
	Shard int // the shard that the node belonged to when the check began; 0 if the node was unknown
}
