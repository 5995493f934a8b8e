package backend

import (
	"slices"

	"cairntiller/internal/inflight"
	"cairntiller/internal/routing"
)

const (
	// idleMargin, us, is how long before a node's idle limit a connection is closed: two sweeps. Where the limit is
	// short, half of it is left.
	idleMargin = 1_000_000
	// sweepInterval, us, is the time between looks for connections that have been idle for too long.
	sweepInterval = 500_000
)

// Post hands what happened at a time, us, to the engine's goroutine; it never blocks.
type Post func(at int64, handle func(now int64))

// After calls a function on the engine's goroutine once a delay in us has passed.
type After func(delay int64, handle func(now int64))

// Pool holds the connections to all nodes. It implements inflight.NodeConnections.
type Pool struct {
	now            func() int64 // the router's clock, us
	post           Post
	after          After
	results        inflight.ResultHandler
	connectTimeout int64 // us in which a connection must be up, and a health check answered
	idleTimeout    int64 // us after which a connection without a query is closed
	descriptors    descriptorBudget
	nodes          map[string]*node             // by name
	attempts       map[*inflight.Attempt]*query // those that have not ended
}

// node is one node's connections, and the queries that wait for one. A node whose address changes is followed by a new
// one under its name.
type node struct {
	name, address string
	idle          []*connection // the latest used last
	waiting       []*query      // the oldest first
	connecting    int           // connections that are being opened
	resting       int           // connections that have just brought a reply
	idleClosings  int           // how often the idle connections were closed: one that rests meanwhile is closed too
}

// Config is what a pool is made with.
type Config struct {
	ConnectTimeout int64 // us in which a connection must be up, and a health check answered
	IdleLimit      int64 // us after which nodes close idle connections
	MaxConnections int   // to all nodes together
}

// New makes a pool on the router's clock, us. Its methods are called on the goroutine that runs what is posted.
func New(now func() int64, post Post, after After, results inflight.ResultHandler, config Config) *Pool {
	p := &Pool{
		now:            now,
		post:           post,
		after:          after,
		results:        results,
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
// ended; queries that wait for one go on at the new address.
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
	n.idleClosings++
	for _, c := range n.idle {
		p.drop(c)
	}
	n.idle = nil
}

// FailWaiting implements inflight.NodeConnections.
func (p *Pool) FailWaiting(name string) {
	n := p.nodes[name]
	if n == nil {
		return
	}
	for _, q := range n.waiting {
		if q.attempt != nil {
			p.endLater(q, routing.NotSent)
		}
	}
	n.waiting = slices.DeleteFunc(n.waiting, func(q *query) bool { return q.attempt != nil })
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
	p.begin(q, attempt.Node)
}

// CheckHealth implements inflight.NodeConnections.
func (p *Pool) CheckHealth(name string) { p.begin(&query{}, name) }

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

// sweep closes the connections that have been idle for too long, before their nodes do: a query that is written while the
// node closes the connection counts as one that may have run.
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

// takeWaiting removes the query that has waited longest; there must be one.
func (n *node) takeWaiting() *query {
	first := n.waiting[0]
	n.waiting = n.waiting[1:]
	return first
}

// takeIdle removes and returns the connection used last, or returns nil. Taking the latest lets surplus connections grow
// old and be closed by sweep.
func (n *node) takeIdle() *connection {
	last := len(n.idle) - 1
	if last < 0 {
		return nil
	}
	c := n.idle[last]
	n.idle = n.idle[:last]
	return c
}
