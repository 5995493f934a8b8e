package inflight

import (
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

// Client is where a request's final answer goes. Its methods are called on the engine's goroutine and never block.
type Client interface {
	// Answer gives the client a node's value, as it came.
	Answer(request *Request, value []byte)
	// Reject tells the client that it may send the command again, and after how many us.
	// Either nothing ran, or a repeat has no further effect.
	Reject(request *Request, retryAfter int64)
	// Fail tells the client that the command failed; it may have run.
	Fail(request *Request)
	// Connected reports whether the client is still there. Where it is not, Intake.ClientGone is called for all its
	// requests.
	Connected() bool
}

// Intake takes what clients bring. Its methods may be called from any goroutine; at is when it happened, us.
type Intake interface {
	Submit(at int64, request *Request)
	ClientGone(at int64, request *Request)
}

// NodeConnections carries attempts and health checks to the nodes. Its methods are called on the engine's goroutine and
// never block.
type NodeConnections interface {
	// SetAddress tells where a node listens.
	SetAddress(node, address string)
	// Send starts an attempt. Its end is told to ResultHandler.AttemptEnded, unless it is cancelled.
	Send(attempt *Attempt)
	// Cancel gives an attempt up: its connection is shut when this returns, and nothing more is told of it. It returns
	// whether the node may have received it.
	Cancel(attempt *Attempt) (mayHaveRun bool)
	// CheckHealth asks a node for its load report, and tells the outcome to ResultHandler.HealthCheckEnded.
	CheckHealth(node string)
	// CloseIdle closes the idle connections to a node.
	CloseIdle(node string)
	// FailWaiting ends the attempts that wait for a connection to a node, as not sent. Health checks go on waiting, and
	// connections that are being opened are kept.
	FailWaiting(node string)
	// Remove closes the idle connections to a node and forgets its address; what is under way ends by itself.
	Remove(node string)
}

// ResultHandler learns how attempts and health checks ended, on the engine's goroutine. reply is nil where the node sent none
// that counts, and never with routing.Answered; load is empty where the node sent no report.
type ResultHandler interface {
	AttemptEnded(now int64, attempt *Attempt, outcome routing.Outcome, reply *pgwire.Reply)
	HealthCheckEnded(now int64, node string, outcome routing.Outcome, load string)
}
