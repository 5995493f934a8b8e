package backend

import (
	"errors"

	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
	"cairntiller/internal/stream"
)

// loadStatement is the statement sent by health checks.
const loadStatement = "SHOW load"

// query is an attempt, or a health check if attempt is nil. A connection carries one query at a time.
type query struct {
	attempt       *inflight.Attempt
	check         inflight.HealthCheck // if attempt is nil
	node          *node
	conn          *connection // the connection that carries it; nil while it waits for one
	writeFinished bool        // the write has succeeded or failed
	ended         bool
}

// startQuery sends a query on an idle connection, or queues it until there is one.
func (p *Pool) startQuery(q *query, name string) {
	n := p.nodes[name]
	if n == nil { // the node has no usable address
		q.node = &node{name: name}
		p.postQueryEnd(q, routing.ConnectFailed)
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
	p.after(p.connectTimeout, func(now int64) { p.connectionWaitTimedOut(now, q) })
}

// sendWaiting sends the query that has waited longest on a connection. It gives the connection to the next one if the
// attempt is withdrawn. There must be a waiting query.
func (p *Pool) sendWaiting(now int64, c *connection) {
	q := c.node.takeWaiting()
	if p.withdraw(now, q) {
		p.reuseOrKeepIdle(now, c)
		return
	}
	p.write(c, q)
}

// withdraw ends a waiting query if it is an attempt whose node may no longer serve it: what its decision rested on may have
// changed while it waited. The caller removes it from the waiting ones. An attempt of a concluded request is left to write.
func (p *Pool) withdraw(now int64, q *query) (withdrawn bool) {
	if q.attempt == nil || q.attempt.Request.Concluded() || p.handler.MayStart(now, q.attempt) {
		return false
	}
	p.postQueryEnd(q, routing.Withdrawn)
	return true
}

// connectionWaitTimedOut ends a query that has not got a connection in time.
func (p *Pool) connectionWaitTimedOut(now int64, q *query) {
	if q.conn == nil && !q.ended {
		q.node.removeWaiting(q)
		p.endQuery(now, q, routing.ConnectFailed, nil)
	}
}

// write writes a query to a connection, unless it is an attempt that may no longer start: its client, request or
// deadline may have changed state while it waited for the connection.
func (p *Pool) write(c *connection, q *query) {
	var message []byte
	if q.attempt == nil {
		healthChecksSent.Add()
		message = pgwire.AppendQuery(nil, loadStatement)
		p.after(p.connectTimeout, func(now int64) { p.healthCheckTimedOut(now, c, q) })
	} else {
		now := p.now()
		if !q.attempt.MayStart(now) {
			attemptsTooLate.Add()
			p.postQueryEnd(q, routing.NotSent)
			p.reuseOrKeepIdle(now, c)
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

// healthCheckTimedOut ends a health check that has got no reply in time.
func (p *Pool) healthCheckTimedOut(now int64, c *connection, q *query) {
	if !q.ended {
		p.drop(c)
		p.endQuery(now, q, routing.TimedOut, nil)
	}
}

// writeEnded handles the result of writing a query to the kernel.
func (p *Pool) writeEnded(now int64, c *connection, q *query, err error) {
	q.writeFinished = true
	switch {
	case errors.Is(err, stream.ErrUnwritten):
		p.drop(c)
		p.endQuery(now, q, routing.ConnectFailed, nil)
	case err != nil:
		p.drop(c)
		p.endQuery(now, q, routing.ConnectionLost, nil)
	case c.lostBeforeWriteFinished && c.query == q:
		p.connectionLost(now, c, c.lastReply)
	}
}

// replyReceived ends the query of a connection and starts the connection's quiet period.
func (p *Pool) replyReceived(now int64, c *connection, reply *pgwire.Reply) {
	q := c.query
	c.query = nil
	c.repliesHandled++
	if reply.Fatal || c.state != ready || c.untrusted.Load() {
		p.drop(c)
	} else {
		p.startQuietPeriod(c)
	}
	if q != nil {
		p.endQuery(now, q, outcomeOf(reply), reply)
	}
}

// connectionLost ends the query of a connection that has ended. reply holds what was received; it is used if it is
// complete.
func (p *Pool) connectionLost(now int64, c *connection, reply *pgwire.Reply) {
	p.drop(c)
	q := c.query
	if q == nil {
		return
	}
	if !q.writeFinished { // only the result of the write tells whether the query may have run
		c.lostBeforeWriteFinished = true
		c.lastReply = reply
		return
	}
	c.query = nil
	if reply != nil && (reply.Complete() || reply.Code != "") {
		p.endQuery(now, q, outcomeOf(reply), reply)
	} else {
		p.endQuery(now, q, routing.ConnectionLost, nil)
	}
}

// endQuery reports the outcome of a query, once.
func (p *Pool) endQuery(now int64, q *query, outcome routing.Outcome, reply *pgwire.Reply) {
	if q.ended {
		return
	}
	q.ended = true
	if q.attempt != nil {
		delete(p.attempts, q.attempt)
		p.handler.AttemptEnded(now, q.attempt, outcome, reply)
		return
	}
	load := ""
	if reply != nil && outcome == routing.Answered {
		load = string(reply.Column)
	}
	p.handler.HealthCheckEnded(now, q.check, outcome, load)
}

// postQueryEnd ends a query in a separate event, after the current call has returned: the routing module must not be
// notified of an attempt's end while it is still starting the attempt.
func (p *Pool) postQueryEnd(q *query, outcome routing.Outcome) {
	p.post(p.now(), func(now int64) { p.endQuery(now, q, outcome, nil) })
}

// outcomeOf converts a reply's SQLSTATE to an outcome. An error after part of a row is always Errored: the node had
// begun to answer, so no code proves that nothing ran.
func outcomeOf(reply *pgwire.Reply) routing.Outcome {
	if reply.Code != "" && len(reply.RowMessages) > 0 {
		return routing.Errored
	}
	switch reply.Code {
	case "":
		return routing.Answered
	case pgwire.CodeRejected:
		return routing.Rejected
	case pgwire.CodeNoPrimary, pgwire.CodeSnapshotTooOld:
		return routing.NotPrimary
	}
	return routing.Errored
}
