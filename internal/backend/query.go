package backend

import (
	"errors"

	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
	"cairntiller/internal/stream"
)

// loadStatement is what a health check asks.
const loadStatement = "SHOW load"

// query is what a connection carries, one at a time: an attempt, or a health check if attempt is nil.
type query struct {
	attempt      *inflight.Attempt
	node         *node
	conn         *connection // that carries it, nil while it waits for one
	writeSettled bool        // it is known whether the kernel took all of it
	ended        bool
}

// begin gives a query an idle connection, or lets it wait for one.
func (p *Pool) begin(q *query, name string) {
	n := p.nodes[name]
	if n == nil { // it is listed without a usable address
		q.node = &node{name: name}
		p.endLater(q, routing.ConnectFailed)
		return
	}
	q.node = n
	for c := n.takeIdle(); c != nil; c = n.takeIdle() {
		if c.usable(p.now()) {
			p.write(c, q)
			return
		}
		p.drop(c)
	}
	n.waiting = append(n.waiting, q)
	p.openForWaiting(n)
	p.after(p.connectTimeout, func(now int64) { p.giveUpWaiting(now, q) })
}

// giveUpWaiting ends a query that has had no connection in time.
func (p *Pool) giveUpWaiting(now int64, q *query) {
	if q.conn == nil && !q.ended {
		q.node.removeWaiting(q)
		p.end(now, q, routing.ConnectFailed, nil)
	}
}

// write writes a query to a connection, unless it is an attempt that may not start any more: much may have changed while
// it waited for the connection.
func (p *Pool) write(c *connection, q *query) {
	var message []byte
	if q.attempt == nil {
		healthChecksSent.Add()
		message = pgwire.AppendQuery(nil, loadStatement)
		p.after(p.connectTimeout, func(now int64) { p.timeOut(now, c, q) })
	} else {
		now := p.now()
		if !q.attempt.MayStart(now) {
			attemptsTooLate.Add()
			p.endLater(q, routing.NotSent)
			p.useOrKeep(now, c)
			return
		}
		attemptsSent.Add()
		message = q.attempt.Request.Command.AppendQuery(nil, q.attempt.Deadline-now)
	}
	q.conn = c
	c.query = q
	c.queriesWritten.Add(1)
	c.stream.Write(message, func(err error) {
		p.post(p.now(), func(now int64) { p.writeEnded(now, c, q, err) })
	})
}

// timeOut ends a health check that has had no answer in time.
func (p *Pool) timeOut(now int64, c *connection, q *query) {
	if !q.ended {
		p.drop(c)
		p.end(now, q, routing.TimedOut, nil)
	}
}

// writeEnded learns whether the kernel took all of a query.
func (p *Pool) writeEnded(now int64, c *connection, q *query, err error) {
	q.writeSettled = true
	switch {
	case errors.Is(err, stream.ErrUnwritten):
		p.drop(c)
		p.end(now, q, routing.ConnectFailed, nil)
	case err != nil:
		p.drop(c)
		p.end(now, q, routing.ConnectionLost, nil)
	case c.lostBeforeWritten && c.query == q:
		p.lost(now, c, c.lastReply)
	}
}

// replied ends the query of a connection and lets the connection rest before its next one.
func (p *Pool) replied(now int64, c *connection, reply *pgwire.Reply) {
	q := c.query
	c.query = nil
	c.repliesHandled++
	if reply.Fatal || c.state != ready || c.distrusted.Load() {
		p.drop(c)
	} else {
		p.rest(c)
	}
	if q != nil {
		p.end(now, q, outcomeOf(reply), reply)
	}
}

// lost ends the query of a connection that has ended. reply is what had arrived; it counts if it is complete.
func (p *Pool) lost(now int64, c *connection, reply *pgwire.Reply) {
	p.drop(c)
	q := c.query
	if q == nil {
		return
	}
	if !q.writeSettled { // whether it may have run is known once its write has ended
		c.lostBeforeWritten = true
		c.lastReply = reply
		return
	}
	c.query = nil
	if reply != nil && (reply.Complete() || reply.Code != "") {
		p.end(now, q, outcomeOf(reply), reply)
	} else {
		p.end(now, q, routing.ConnectionLost, nil)
	}
}

// end reports how a query ended, once.
func (p *Pool) end(now int64, q *query, outcome routing.Outcome, reply *pgwire.Reply) {
	if q.ended {
		return
	}
	q.ended = true
	if q.attempt != nil {
		delete(p.attempts, q.attempt)
		p.results.AttemptEnded(now, q.attempt, outcome, reply)
		return
	}
	load := ""
	if reply != nil && outcome == routing.Answered {
		load = string(reply.Column)
	}
	p.results.HealthCheckEnded(now, q.node.name, outcome, load)
}

// endLater ends a query in an event of its own, after the current call has returned: the routing module must not hear of
// an attempt's end while it is still starting it.
func (p *Pool) endLater(q *query, outcome routing.Outcome) {
	p.post(p.now(), func(now int64) { p.end(now, q, outcome, nil) })
}

// outcomeOf translates a reply's error code. After part of a row no code proves that nothing ran: the node had begun to
// answer.
func outcomeOf(reply *pgwire.Reply) routing.Outcome {
	if reply.Code != "" && len(reply.RowMessages) > 0 {
		return routing.Errored
	}
	switch reply.Code {
	case "":
		return routing.Answered
	case pgwire.CodeRejected:
		return routing.Rejected
	case pgwire.CodeNoPrimary, pgwire.CodeTooOld:
		return routing.NotPrimary
	}
	return routing.Errored
}
