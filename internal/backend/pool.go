// Package backend is the server side: connections to nodes, the dispatches and probes they carry, and what
// came of each. A Pool belongs to the engine's goroutine; only dialling, reading and writing run elsewhere,
// and they report back through post.
package backend

import (
	"errors"
	"log/slog"
	"slices"

	"cairntiller/internal/inflight"
	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
	"cairntiller/internal/stream"
)

const (
	idleMargin = 1_000_000 // us before the machine's idle limit at which a connection is closed: two sweeps, or half
	// of a short limit
	sweepEvery = 500_000 // us between looks at idle connections
	settle     = 1_000   // us after a reply in which its connection carries nothing new: far over what lies
	// between two writes of one process, far under any response time
	leastClosing  = 8  // the same, at the least: what is spared for the process covers them
	closingPart   = 16 // of the connections, one in so many, that may be closing beside those in use
	partOfConnect = 4  // of the connect time, one in so many, in which a reply that began must be whole
)

var (
	sent    = metrics.New("dispatches written")
	probed  = metrics.New("probes written")
	dialled = metrics.New("node connections opened")
	refused = metrics.New("node connections failed")
	garbage = metrics.New("node connections untrusted")
	surplus = metrics.New("replies with more behind them")
	crowded = metrics.New("dispatches without descriptor")
	late    = metrics.New("dispatches that may not begin any more")
)

// Post hands what happened at a time to the engine's goroutine.
type Post func(at int64, do func(now int64))

// Pool holds the connections to all nodes.
type Pool struct {
	now     func() int64
	post    Post
	after   func(in int64, do func(now int64))
	ender   inflight.ResultHandler
	connect int64 // us in which a connection must be up, and a probe answered
	idle    int64 // us after which a connection without work is closed
	most    int   // connections to all nodes together
	open    int   // those that are up or being dialled
	closing int   // those that were dropped and still hold a descriptor
	spared  int   // how many may
	nodes   map[string]*node
	at      map[*inflight.Attempt]*job
}

// node is one node's connections: idle ones, the latest used last, and jobs that wait for one.
type node struct {
	name, address string
	idle          []*link
	waiting       []*job
	dialling      int
	settling      int // connections that have just brought a reply
	released      int // how often connections without work were closed
}

// job is one query for a node: a dispatch, or a probe where there is none.
type job struct {
	d        *inflight.Attempt
	node     *node
	began    int64
	link     *link // that carries it, nil while it waits for one
	over     bool
	resolved bool // its write has ended, one way or the other
}

// New makes a pool; its calls come from the goroutine that runs what is posted.
func New(now func() int64, post Post, after func(int64, func(int64)), ender inflight.ResultHandler, connect, idle int64,
	most int) *Pool {
	p := &Pool{now: now, post: post, after: after, ender: ender, connect: connect, idle: max(idle-idleMargin, idle/2),
		most: most - most/closingPart, spared: max(leastClosing, most/closingPart), nodes: map[string]*node{}, at: map[*inflight.Attempt]*job{}}
	p.after(sweepEvery, p.sweep)
	return p
}

// Place implements inflight.NodeConnections; connections to a former address are closed once they have ended their work.
func (p *Pool) SetAddress(name, address string) {
	n := p.nodes[name]
	if n != nil && n.address == address {
		return
	}
	if n != nil {
		p.CloseIdle(name)
	}
	fresh := &node{name: name, address: address}
	if n != nil { // what waits goes on at the new address
		for _, j := range n.waiting {
			j.node = fresh
			fresh.waiting = append(fresh.waiting, j)
		}
		n.waiting = nil
		p.supply(fresh)
	}
	p.nodes[name] = fresh
}

// Release implements inflight.NodeConnections.
func (p *Pool) CloseIdle(name string) {
	if n := p.nodes[name]; n != nil {
		n.released++
		for _, l := range n.idle {
			p.drop(l)
		}
		n.idle = nil
	}
}

// Bar implements inflight.NodeConnections.
func (p *Pool) FailWaiting(name string) {
	if n := p.nodes[name]; n != nil {
		for _, j := range n.waiting {
			if j.d != nil {
				p.later(j, routing.NotSent)
			}
		}
		n.waiting = slices.DeleteFunc(n.waiting, func(j *job) bool { return j.d != nil })
	}
}

// Forget implements inflight.NodeConnections; what is under way ends by itself.
func (p *Pool) Remove(name string) {
	p.CloseIdle(name)
	delete(p.nodes, name)
}

// Send implements inflight.NodeConnections.
func (p *Pool) Send(d *inflight.Attempt) { p.begin(&job{d: d, began: d.StartedAt}, d.Node) }

// Probe implements inflight.NodeConnections.
func (p *Pool) HealthCheck(name string) { p.begin(&job{began: p.now()}, name) }

func (p *Pool) begin(j *job, name string) {
	n := p.nodes[name]
	if j.d != nil {
		p.at[j.d] = j
	}
	if n == nil { // listed without a usable address
		j.node = &node{name: name}
		p.later(j, routing.ConnectFailed)
		return
	}
	j.node = n
	for i := len(n.idle) - 1; i >= 0; i-- {
		l := n.idle[i]
		n.idle = n.idle[:i]
		if l.usable(p.now()) {
			p.give(l, j)
			return
		}
		p.drop(l)
	}
	n.waiting = append(n.waiting, j)
	p.supply(n)
	p.after(p.connect, func(now int64) {
		if j.link == nil && !j.over {
			n := j.node
			n.unwait(j)
			p.end(now, j, routing.ConnectFailed, nil)
		}
	})
}

// short tells whether more jobs wait for a connection than can expect one.
func (n *node) short() bool { return len(n.waiting) > n.dialling+n.settling }

// supply opens connections for the jobs that can expect none.
func (p *Pool) supply(n *node) {
	for n.short() {
		if p.open+max(0, p.closing-p.spared) < p.most || p.spare() {
			p.dial(n)
			continue
		}
		crowded.Add()
		last := len(n.waiting) - 1
		p.later(n.waiting[last], routing.ConnectFailed)
		n.waiting = n.waiting[:last]
	}
}

// later ends a job after the call that began it has returned.
func (p *Pool) later(j *job, o routing.Outcome) {
	p.post(p.now(), func(now int64) { p.end(now, j, o, nil) })
}

// spare closes the connection that has been idle longest.
func (p *Pool) spare() bool {
	var oldest *node
	for _, n := range p.nodes {
		if len(n.idle) > 0 && (oldest == nil || n.idle[0].since < oldest.idle[0].since) {
			oldest = n
		}
	}
	if oldest == nil {
		return false
	}
	p.drop(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

func (p *Pool) dial(n *node) {
	n.dialling++
	p.open++
	go func() {
		l, code, err := connect(n, p.connect, p)
		p.post(p.now(), func(now int64) {
			n.dialling--
			if err == nil {
				dialled.Add()
				l.up = true
				p.free(now, l)
				return
			}
			if l == nil {
				p.open--
			} else {
				p.down(l)
			}
			refused.Add()
			slog.Debug("no connection", "node", n.name, "err", err, "code", code)
			if n.short() {
				j := n.waiting[0]
				n.waiting = n.waiting[1:]
				o := routing.ConnectFailed
				if code == pgwire.CodeRejected {
					o = routing.Rejected
				}
				p.end(now, j, o, nil)
			}
		})
	}()
}

func (n *node) unwait(j *job) {
	for i, one := range n.waiting {
		if one == j {
			n.waiting = append(n.waiting[:i], n.waiting[i+1:]...)
			return
		}
	}
}

// free gives a connection that has no work its next, or puts it aside.
func (p *Pool) free(now int64, l *link) {
	n := l.node
	l.job, l.since = nil, now
	switch {
	case !l.usable(now):
		p.drop(l)
	case len(n.waiting) > 0:
		j := n.waiting[0]
		n.waiting = n.waiting[1:]
		p.give(l, j)
	case p.nodes[n.name] != n: // it has moved meanwhile
		p.drop(l)
	default:
		n.idle = append(n.idle, l)
	}
}

// down notes that a connection is of no more use; it holds its descriptor until it has ended.
func (p *Pool) down(l *link) {
	if !l.dropped {
		l.dropped, l.up = true, false
		p.open--
		if !l.over {
			p.closing++
		}
	}
}

// closed notes that a connection has ended.
func (p *Pool) closed(l *link) {
	l.over = true
	if l.dropped {
		p.closing--
	}
}

func (p *Pool) drop(l *link) {
	p.down(l)
	l.stream.Close()
}

// give writes a job's query to a connection.
func (p *Pool) give(l *link, j *job) {
	var query []byte
	if j.d == nil {
		probed.Add()
		query = pgwire.AppendQuery(nil, "SHOW load")
		p.after(p.connect, func(now int64) {
			if !j.over {
				p.drop(l)
				p.end(now, j, routing.TimedOut, nil)
			}
		})
	} else {
		now := p.now()
		if !j.d.MayStart(now) {
			late.Add()
			p.later(j, routing.NotSent)
			p.free(now, l)
			return
		}
		sent.Add()
		query = j.d.Request.Command.AppendQuery(nil, j.d.Deadline-now)
	}
	j.link, l.job = l, j
	l.asked.Add(1)
	l.stream.Write(query, func(err error) {
		p.post(p.now(), func(now int64) { p.wrote(now, l, j, err) })
	})
}

// wrote learns whether the kernel took a query whole.
func (p *Pool) wrote(now int64, l *link, j *job, err error) {
	j.resolved = true
	switch {
	case errors.Is(err, stream.ErrUnwritten):
		p.drop(l)
		p.end(now, j, routing.ConnectFailed, nil)
	case err != nil:
		p.drop(l)
		p.end(now, j, routing.ConnectionLost, nil)
	case l.lost && l.job == j:
		p.lost(now, l, l.last)
	}
}

// end reports how a job ended, once.
func (p *Pool) end(now int64, j *job, o routing.Outcome, r *pgwire.Reply) {
	if j.over {
		return
	}
	j.over = true
	if j.d != nil {
		delete(p.at, j.d)
		p.ender.AttemptEnded(now, j.d, o, r)
		return
	}
	load := ""
	if r != nil && o == routing.Answered {
		load = string(r.First)
	}
	p.ender.HealthCheckEnded(now, j.node.name, now-j.began, o, load)
}

// Stop implements inflight.NodeConnections.
func (p *Pool) Cancel(d *inflight.Attempt) bool {
	j := p.at[d]
	if j == nil {
		return true
	}
	delete(p.at, d)
	j.over = true
	if j.link == nil {
		j.node.unwait(j)
		return false
	}
	p.down(j.link)
	j.link.stream.ShutdownNow()
	return true
}

// sweep closes connections before the machine's idle limit does.
func (p *Pool) sweep(now int64) {
	for _, n := range p.nodes {
		keep := n.idle[:0]
		for _, l := range n.idle {
			if l.usable(now) {
				keep = append(keep, l)
			} else {
				p.drop(l)
			}
		}
		clear(n.idle[len(keep):])
		n.idle = keep
	}
	p.after(sweepEvery, p.sweep)
}
