package backend

import (
	"log/slog"
	"time"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
	"cairntiller/internal/stream"
)

// maxReplyBytes limits the size of a message from a node: a value of 64 KiB, with room for its text encoding.
const maxReplyBytes = 1 << 17

// connectError is the reason why a connection could not be established.
type connectError string

// Error implements error.
func (e connectError) Error() string { return string(e) }

const (
	errRefused connectError = "the node refused the connection"
	errTimeout connectError = "the node did not complete the connection in time"
	errEnded   connectError = "the connection ended"
)

// needsConnection reports whether there are more waiting queries than connections that are being opened or are in their
// quiet period.
func (n *node) needsConnection() bool { return len(n.waiting) > n.connecting+n.inQuietPeriod }

// openForWaiting opens connections until each waiting query can expect one. If no descriptor is left and no idle
// connection can be closed to free one, the most recent query is ended.
func (p *Pool) openForWaiting(n *node) {
	for n.needsConnection() {
		if p.descriptors.hasRoom() || p.closeOldestIdle() {
			p.open(n)
			continue
		}
		attemptsWithoutDescriptor.Add()
		last := len(n.waiting) - 1
		p.postQueryEnd(n.waiting[last], routing.ConnectFailed)
		n.waiting = n.waiting[:last]
	}
}

// open opens a connection on a new goroutine.
func (p *Pool) open(n *node) {
	n.connecting++
	p.descriptors.open++
	go func() {
		c, code, err := connect(n, p)
		p.post(p.now(), func(now int64) {
			n.connecting--
			if err != nil {
				p.connectFailed(now, n, c, code, err)
				return
			}
			openedConnections.Add()
			if c.state == connecting {
				c.state = ready
			}
			p.reuseOrKeepIdle(now, c)
		})
	}()
}

// connectFailed ends the query that has waited longest, unless enough other connections are being opened. c is nil if
// dialing failed; code is the node's SQLSTATE if it sent one.
func (p *Pool) connectFailed(now int64, n *node, c *connection, code string, err error) {
	if c == nil {
		p.descriptors.open--
	} else {
		p.markDropped(c)
	}
	failedConnections.Add()
	slog.Debug("connecting to a node failed", "node", n.name, "err", err, "code", code)
	if !n.needsConnection() {
		return
	}
	outcome := routing.ConnectFailed
	if code == pgwire.CodeRejected {
		outcome = routing.Rejected
	}
	p.endQuery(now, n.takeWaiting(), outcome, nil)
}

// reuseOrKeepIdle gives a connection the query that has waited longest, or else adds it to the idle connections. An
// unusable connection is dropped.
func (p *Pool) reuseOrKeepIdle(now int64, c *connection) {
	n := c.node
	c.query = nil
	c.idleSince = now
	switch {
	case !c.usable(now):
		p.drop(c)
	case len(n.waiting) > 0:
		p.sendWaiting(now, c)
	case p.nodes[n.name] != n: // the node's address has changed in the meantime
		p.drop(c)
	default:
		n.idle = append(n.idle, c)
	}
}

// startup is the result of a connection's startup; code is the node's SQLSTATE, "" if it accepted the connection.
type startup struct {
	code string
	err  error
}

// connect opens a connection to a node and completes the startup, or fails within the connect timeout. It blocks.
func connect(n *node, p *Pool) (c *connection, code string, err error) {
	began := time.Now()
	timeout := time.Duration(p.connectTimeout) * time.Microsecond
	conn, err := stream.Dial(n.address, timeout)
	if err != nil {
		return nil, "", err
	}
	c = newConnection(n, p, stream.New(conn))
	c.stream.Start(stream.Events{Received: c.receive, Closed: c.handleStreamEnd})
	c.stream.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database), nil)
	timer := time.NewTimer(timeout - time.Since(began))
	defer timer.Stop()
	select {
	case result := <-c.startupEnded:
		code = result.code
		err = result.err
		if err == nil && code != "" {
			err = errRefused
		}
	case <-timer.C:
		err = errTimeout
	}
	if err != nil {
		c.stream.Close()
		return c, code, err
	}
	c.stream.WaitHandled() // until then the connection is not idle
	return c, code, nil
}
