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
	Answer(x *Exchange, value []byte)
	Throttle(x *Exchange, wait int64)
	Fail(x *Exchange)
	// Here tells whether the client is still there; where it has gone, Gone is told of all that it is owed.
	Here() bool
}

// Taker takes what clients bring; its calls may come from any goroutine.
type Taker interface {
	Take(at int64, x *Exchange)
	Gone(at int64, x *Exchange)
}

// Nodes carries dispatches and probes. Its calls come from the engine's goroutine and never block.
type Nodes interface {
	// Place tells where a node listens.
	Place(node, address string)
	// Send starts a dispatch, which ends in Ended unless it is stopped.
	Send(d *Dispatch)
	// Stop gives a dispatch up: its connection is ended when this returns, and nothing more comes of it. It
	// tells whether the node may have it.
	Stop(d *Dispatch) bool
	// Probe asks a node for its report.
	Probe(node string)
	// Release closes the idle connections to a node.
	Release(node string)
	// Bar ends what waits for a connection to a node as unsent.
	Bar(node string)
	// Forget does so for good.
	Forget(node string)
}

// Ender learns how dispatches and probes ended, on the engine's goroutine.
type Ender interface {
	Ended(now int64, d *Dispatch, o routing.Outcome, r *pgwire.Reply)
	Probed(now int64, node string, took int64, o routing.Outcome, load string)
}

// Exchange is one command.
type Exchange struct {
	Command       *pgwire.Command
	Group, Tenant int
	Deadline      int64 // us on the router's clock
	Dispatches    []*Dispatch
	Open          int // dispatches that have not ended
	client        Client
	final         bool
}

// Dispatch is one try of a command at a node.
type Dispatch struct {
	Exchange *Exchange
	Number   int
	Node     string
	Sent     int64 // when it was decided
	Deadline int64 // when the router stops waiting
	Until    int64 // latest time at which it may begin
	Stopped  bool  // the router has given it up
	Ended    bool
}

// New makes an exchange for a command that has just arrived.
func New(c *pgwire.Command, client Client, group, tenant int, arrived int64) *Exchange {
	return &Exchange{Command: c, Group: group, Tenant: tenant, Deadline: arrived + c.Timeout, client: client}
}

// Begin adds a dispatch; 0 for no bound.
func (x *Exchange) Begin(node string, now, timeout, within int64) *Dispatch {
	d := &Dispatch{Exchange: x, Number: len(x.Dispatches), Node: node, Sent: now, Deadline: x.Deadline}
	if timeout > 0 {
		d.Deadline = min(d.Deadline, now+timeout)
	}
	d.Until = d.Deadline - 1
	if within > 0 {
		d.Until = min(d.Until, now+within)
	}
	x.Dispatches = append(x.Dispatches, d)
	x.Open++
	return d
}

// May tells, at the moment of the act, whether a dispatch may still begin: in time, for a command that is still owed
// an answer, and for a client that is still there. What was true as it was decided may not be after a wait for a
// connection.
func (d *Dispatch) May(now int64) bool {
	return now <= d.Until && !d.Exchange.final && d.Exchange.client.Here()
}

// Totals are the commands that have had an answer, a failure and a refusal since the start.
func Totals() (done, bad, refused uint64) {
	return uint64(answered.Count()), uint64(failed.Count()), uint64(throttled.Count())
}

// End closes a dispatch; it tells whether that is news.
func (x *Exchange) End(d *Dispatch) bool {
	if !invariant.That(!d.Ended, "a dispatch ends once") {
		return false
	}
	d.Ended = true
	x.Open--
	return true
}

// Final tells whether the command has had its answer, or needs none any more.
func (x *Exchange) Final() bool { return x.final }

// Answer gives the client a node's value; a later one is counted and ends here. It tells whether one was owed.
func (x *Exchange) Answer(value []byte) bool {
	if x.final {
		late.Add()
		return false
	}
	x.final = true
	answered.Add()
	x.client.Answer(x, value)
	return true
}

// Throttle tells the client that nothing ran and when to come again.
func (x *Exchange) Throttle(wait int64) {
	if invariant.That(!x.final, "a command is throttled before its final answer") {
		x.final = true
		throttled.Add()
		x.client.Throttle(x, wait)
	}
}

// Fail tells the client nothing but that it failed.
func (x *Exchange) Fail() {
	if invariant.That(!x.final, "a command fails before its final answer") {
		x.final = true
		failed.Add()
		x.client.Fail(x)
	}
}

// Leave notes that the client has gone; it tells whether an answer was still owed.
func (x *Exchange) Leave() bool {
	owed := !x.final
	if owed {
		left.Add()
	}
	x.final = true
	return owed
}
