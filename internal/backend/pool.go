package backend

import (
	"slices"

	"cairntiller/internal/inflight"
)

const (
	// idleMargin, us, is how long before a node's idle limit the router closes a connection: two sweep intervals. If
	// the limit is short, connections are closed after half of it.
	idleMargin = 1_000_000
	// sweepInterval, us, is the interval between checks for connections that have been idle for too long.
	sweepInterval = 500_000
)

// Post queues an event that happened at the given time, us, for the engine's goroutine. It never blocks.
type Post func(at int64, handle func(now int64))

// After calls a function on the engine's goroutine after a delay in us.
type After func(delay int64, handle func(now int64))

// Pool holds the connections to all nodes. It implements inflight.NodeConnections.
type Pool struct {
	now            func() int64 // the router's clock, us
	post           Post
	after          After
	handler        inflight.AttemptHandler
	connectTimeout int64 // us: for establishing a connection, and for the reply to a health check
	idleTimeout    int64 // us: a connection idle for longer is closed
	descriptors    descriptorBudget
	nodes          map[string]*node             // by name
	attempts       map[*inflight.Attempt]*query // attempts that have not ended
}

// node holds the connections to a node and the queries that wait for one. When the address of a node changes, a new
// value replaces it under the same name.
type node struct {
	name, address  string
	idle           []*connection // the most recently used last
	waiting        []*query      // the oldest first
	connecting     int           // connections that are being opened
	inQuietPeriod  int           // connections that are in the quiet period after a reply
	idleCloseCount int           // how often the idle connections were closed; used to close those in their quiet period too
}

// Config configures a pool.
type Config struct {
	ConnectTimeout int64 // us: for establishing a connection, and for the reply to a health check
	IdleLimit      int64 // us: nodes close connections that are idle for longer
	MaxConnections int   // total over all nodes
}

// New returns a pool that uses the router's clock, us. Its methods must be called on the goroutine that runs posted
// events.
func New(now func() int64, post Post, after After, handler inflight.AttemptHandler, config Config) *Pool {
	p := &Pool{
		now:            now,
		post:           post,
		after:          after,
		handler:        handler,
		connectTimeout: config.ConnectTimeout,
		idleTimeout:    max(config.IdleLimit-idleMargin, config.IdleLimit/2),
		descriptors:    newDescriptorBudget(config.MaxConnections),
		nodes:          map[string]*node{},
		attempts:       map[*inflight.Attempt]*query{},
	}
	p.after(sweepInterval, p.sweep)
	return p
}

// SetAddress implements inflight.NodeConnections. Connections to a former address are closed once their queries have
// ended; waiting queries are sent to the new address.
func (p *Pool) SetAddress(name, address string) {
	former := p.nodes[name]
	if former != nil && former.address == address {
		return
	}
	current := &node{name: name, address: address}
	if former != nil {
		p.CloseIdle(name)
		for _, q := range former.waiting {
			q.node = current
			current.waiting = append(current.waiting, q)
		}
		former.waiting = nil
		p.openForWaiting(current)
	}
	p.nodes[name] = current
}

// CloseIdle implements inflight.NodeConnections.
func (p *Pool) CloseIdle(name string) {
	n := p.nodes[name]
	if n == nil {
		return
	}
	n.idleCloseCount++
	for _, c := range n.idle {
		p.drop(c)
	}
	n.idle = nil
}

// RecheckWaiting implements inflight.NodeConnections.
func (p *Pool) RecheckWaiting(now int64, name string) {
	n := p.nodes[name]
	if n == nil {
		return
	}
	n.waiting = slices.DeleteFunc(n.waiting, func(q *query) bool { return p.withdraw(now, q) })
}

// Remove implements inflight.NodeConnections.
func (p *Pool) Remove(name string) {
	p.CloseIdle(name)
	delete(p.nodes, name)
}

// Send implements inflight.NodeConnections.
func (p *Pool) Send(attempt *inflight.Attempt) {
	q := &query{attempt: attempt}
	p.attempts[attempt] = q
	p.startQuery(q, attempt.Node)
}

// CheckHealth implements inflight.NodeConnections.
func (p *Pool) CheckHealth(check inflight.HealthCheck) {
	p.startQuery(&query{check: check}, check.Node)
}

// Cancel implements inflight.NodeConnections.
func (p *Pool) Cancel(attempt *inflight.Attempt) (mayHaveRun bool) {
	q := p.attempts[attempt]
	if q == nil {
		return true
	}
	delete(p.attempts, attempt)
	q.ended = true
	if q.conn == nil {
		q.node.removeWaiting(q)
		return false
	}
	p.markDropped(q.conn)
	q.conn.stream.ShutdownNow()
	return true
}

// sweep closes the connections that have been idle for too long before their nodes do: a query written while the node
// closes the connection would count as one that may have run.
func (p *Pool) sweep(now int64) {
	for _, n := range p.nodes {
		kept := n.idle[:0]
		for _, c := range n.idle {
			if c.usable(now) {
				kept = append(kept, c)
			} else {
				p.drop(c)
			}
		}
		clear(n.idle[len(kept):])
		n.idle = kept
	}
	p.after(sweepInterval, p.sweep)
}

func (n *node) removeWaiting(q *query) {
	if i := slices.Index(n.waiting, q); i >= 0 {
		n.waiting = slices.Delete(n.waiting, i, i+1)
	}
}

// takeWaiting removes and returns the query that has waited longest; there must be one.
func (n *node) takeWaiting() *query {
	first := n.waiting[0]
	n.waiting[0] = nil // the array must not keep the query
	n.waiting = n.waiting[1:]
	return first
}

// takeIdle removes and returns the most recently used idle connection, or returns nil. This order leaves surplus
// connections unused until sweep closes them.
func (n *node) takeIdle() *connection {
	last := len(n.idle) - 1
	if last < 0 {
		return nil
	}
	c := n.idle[last]
	n.idle = n.idle[:last]
	return c
}
