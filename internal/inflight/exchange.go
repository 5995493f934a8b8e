// Package inflight holds one command between its client and the nodes: its dispatches and its one final
// answer. Client side and server side meet only here. An exchange belongs to the engine's goroutine.
package inflight

import (
	"cairntiller/internal/invariant"
	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

var (
	answered  = metrics.New("commands answered")
	throttled = metrics.New("commands throttled")
	failed    = metrics.New("commands failed")
	left      = metrics.New("commands left by clients")
	late      = metrics.New("answers after the final one")
)

// Client is where a command's final answer goes.
type Client interface {
	Answer(x *Request, value []byte)
	Reject(x *Request, wait int64)
	Fail(x *Request)
	// Here tells whether the client is still there; where it has gone, Gone is told of all that it is owed.
	Connected() bool
}

// Taker takes what clients bring; its calls may come from any goroutine.
type Intake interface {
	Submit(at int64, x *Request)
	ClientGone(at int64, x *Request)
}

// Nodes carries dispatches and probes. Its calls come from the engine's goroutine and never block.
type NodeConnections interface {
	// Place tells where a node listens.
	SetAddress(node, address string)
	// Send starts a dispatch, which ends in Ended unless it is stopped.
	Send(d *Attempt)
	// Stop gives a dispatch up: its connection is ended when this returns, and nothing more comes of it. It
	// tells whether the node may have it.
	Cancel(d *Attempt) bool
	// Probe asks a node for its report.
	HealthCheck(node string)
	// Release closes the idle connections to a node.
	CloseIdle(node string)
	// Bar ends what waits for a connection to a node as unsent.
	FailWaiting(node string)
	// Forget does so for good.
	Remove(node string)
}

// Ender learns how dispatches and probes ended, on the engine's goroutine.
type ResultHandler interface {
	AttemptEnded(now int64, d *Attempt, o routing.Outcome, r *pgwire.Reply)
	HealthCheckEnded(now int64, node string, took int64, o routing.Outcome, load string)
}

// Exchange is one command.
type Request struct {
	Command       *pgwire.Command
	Group, Tenant int
	Deadline      int64 // us on the router's clock
	Attempts      []*Attempt
	OpenAttempts  int // dispatches that have not ended
	client        Client
	concluded     bool
}

// Dispatch is one try of a command at a node.
type Attempt struct {
	Request     *Request
	Number      int
	Node        string
	StartedAt   int64 // when it was decided
	Deadline    int64 // when the router stops waiting
	LatestStart int64 // latest time at which it may begin
	Abandoned   bool  // the router has given it up
	Ended       bool
}

// New makes an exchange for a command that has just arrived.
func NewRequest(c *pgwire.Command, client Client, group, tenant int, arrived int64) *Request {
	return &Request{Command: c, Group: group, Tenant: tenant, Deadline: arrived + c.Timeout, client: client}
}

// Begin adds a dispatch; 0 for no bound.
func (x *Request) StartAttempt(node string, now, timeout, within int64) *Attempt {
	d := &Attempt{Request: x, Number: len(x.Attempts), Node: node, StartedAt: now, Deadline: x.Deadline}
	if timeout > 0 {
		d.Deadline = min(d.Deadline, now+timeout)
	}
	d.LatestStart = d.Deadline - 1
	if within > 0 {
		d.LatestStart = min(d.LatestStart, now+within)
	}
	x.Attempts = append(x.Attempts, d)
	x.OpenAttempts++
	return d
}

// May tells, at the moment of the act, whether a dispatch may still begin: in time, for a command that is still owed
// an answer, and for a client that is still there. What was true as it was decided may not be after a wait for a
// connection.
func (d *Attempt) MayStart(now int64) bool {
	return now <= d.LatestStart && !d.Request.concluded && d.Request.client.Connected()
}

// Totals are the commands that have had an answer, a failure and a refusal since the start.
func Totals() (done, bad, refused uint64) {
	return uint64(answered.Count()), uint64(failed.Count()), uint64(throttled.Count())
}

// End closes a dispatch; it tells whether that is news.
func (x *Request) EndAttempt(d *Attempt) bool {
	if !invariant.That(!d.Ended, "a dispatch ends once") {
		return false
	}
	d.Ended = true
	x.OpenAttempts--
	return true
}

// Final tells whether the command has had its answer, or needs none any more.
func (x *Request) Concluded() bool { return x.concluded }

// Answer gives the client a node's value; a later one is counted and ends here. It tells whether one was owed.
func (x *Request) Answer(value []byte) bool {
	if x.concluded {
		late.Add()
		return false
	}
	x.concluded = true
	answered.Add()
	x.client.Answer(x, value)
	return true
}

// Throttle tells the client that nothing ran and when to come again.
func (x *Request) Reject(wait int64) {
	if invariant.That(!x.concluded, "a command is throttled before its final answer") {
		x.concluded = true
		throttled.Add()
		x.client.Reject(x, wait)
	}
}

// Fail tells the client nothing but that it failed.
func (x *Request) Fail() {
	if invariant.That(!x.concluded, "a command fails before its final answer") {
		x.concluded = true
		failed.Add()
		x.client.Fail(x)
	}
}

// Leave notes that the client has gone; it tells whether an answer was still owed.
func (x *Request) ClientGone() bool {
	owed := !x.concluded
	if owed {
		left.Add()
	}
	x.concluded = true
	return owed
}
