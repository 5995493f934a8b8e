package backend

import (
	"sync/atomic"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/stream"
)

const (
	// replyQuietPeriod, us, is how long a connection is left unused after a reply before it may carry the next query.
	// It is much longer than the gap between two writes of a process, so that trailing bytes have arrived, and much
	// shorter than any response time.
	replyQuietPeriod = 1_000
	// A reply that has begun must be complete within the connect timeout divided by replyTimeoutDivisor.
	replyTimeoutDivisor = 4
)

// connectionState is the state of a connection's life cycle; the package comment describes it.
type connectionState int

const (
	connecting connectionState = iota
	ready                      // idle, in its quiet period, or with a query
	dropped                    // not to be used again
)

// connection is one connection to a node.
type connection struct {
	node   *node
	pool   *Pool
	stream *stream.Stream

	// Used only on the engine's goroutine.
	query                   *query
	state                   connectionState
	closed                  bool  // its descriptor has been released
	idleSince               int64 // us
	repliesHandled          int64
	lostBeforeWriteFinished bool          // it ended before the result of writing its query was known
	lastReply               *pgwire.Reply // what had been received by then

	queriesWritten atomic.Int64
	streamEnded    atomic.Bool
	untrusted      atomic.Bool // it violated the protocol or timed out; further input is ignored

	// Used only on the reader's goroutine.
	frames             *pgwire.FrameDecoder
	startup            *pgwire.StartupReply // nil once the startup has ended
	reply              *pgwire.Reply        // the reply being assembled
	repliesRead        int64
	partialReplyNumber int64 // number of the latest reply that has a timeout

	startupEnded chan startup // holds the result of the startup
}

func newConnection(n *node, p *Pool, s *stream.Stream) *connection {
	return &connection{
		node:         n,
		pool:         p,
		stream:       s,
		frames:       pgwire.NewFrameDecoder(maxReplyBytes, false),
		startup:      &pgwire.StartupReply{},
		reply:        &pgwire.Reply{},
		startupEnded: make(chan startup, 1),
	}
}

// usable reports whether the connection may carry a query: it is open, has not been idle for too long, and has no
// unread bytes, which would be mistaken for the reply.
func (c *connection) usable(now int64) bool {
	return c.state == ready && !c.streamEnded.Load() && !c.untrusted.Load() && now-c.idleSince < c.pool.idleTimeout && c.stream.Idle()
}

// startQuietPeriod keeps a connection unused for a short time after a reply. If its node's idle connections are closed
// in the meantime, it is closed too.
func (p *Pool) startQuietPeriod(c *connection) {
	n := c.node
	n.inQuietPeriod++
	idleClosings := n.idleCloseCount
	p.after(replyQuietPeriod, func(now int64) {
		n.inQuietPeriod--
		if n.idleCloseCount == idleClosings {
			p.reuseOrKeepIdle(now, c)
		} else {
			p.drop(c)
		}
		p.openForWaiting(n)
	})
}

// startReplyTimeout closes the connection if a reply that has begun is not complete in time, since its query would
// otherwise wait until the client's deadline. If there are unread bytes, this router is the slow side, and the timeout
// is extended.
func (p *Pool) startReplyTimeout(c *connection, number int64) {
	p.after(p.connectTimeout/replyTimeoutDivisor, func(int64) {
		switch {
		case c.repliesHandled >= number || c.state != ready:
		case c.stream.Idle():
			untrustedConnections.Add()
			c.untrusted.Store(true)
			c.stream.Close() // this also ends its query
		default:
			p.startReplyTimeout(c, number)
		}
	})
}

// receive assembles replies from the received bytes and passes on complete ones.
func (c *connection) receive(p []byte) {
	if c.untrusted.Load() {
		return
	}
	at := c.pool.now()
	c.frames.Feed(p)
	for !c.untrusted.Load() {
		frame, complete, err := c.frames.Next()
		if err == nil && !complete {
			c.recordPartialReply(at)
			return
		}
		refused := false
		switch {
		case err != nil:
		case c.startup != nil:
			refused, err = c.receiveStartup(frame)
		default:
			err = c.receiveReply(at, frame)
		}
		if err != nil {
			c.closeUntrusted(at, err)
			return
		}
		if refused {
			return
		}
	}
}

// recordPartialReply starts the timeout of a reply that has begun, once per reply.
func (c *connection) recordPartialReply(at int64) {
	number := c.repliesRead + 1
	begun := c.frames.Buffered() > 0 || c.reply.Started()
	if c.startup != nil || c.partialReplyNumber == number || !begun {
		return
	}
	c.partialReplyNumber = number
	c.pool.post(at, func(int64) { c.pool.startReplyTimeout(c, number) })
}

// receiveStartup handles a message of the startup; refused reports that the node has rejected the connection.
func (c *connection) receiveStartup(frame pgwire.Frame) (refused bool, err error) {
	done, err := c.startup.Add(frame)
	if !done || err != nil {
		return false, err
	}
	code := c.startup.Code
	c.endStartup(startup{code: code})
	c.startup = nil
	if code != "" {
		c.stream.Close()
	}
	return code != "", nil
}

// endStartup reports the result of the startup to connect; only the first result is used.
func (c *connection) endStartup(result startup) {
	select {
	case c.startupEnded <- result:
	default:
	}
}

// receiveReply handles a message of a reply and passes on the reply once it is complete. An unsolicited reply is an
// error. A status that is reported while no query is in flight belongs to no reply and is dropped.
func (c *connection) receiveReply(at int64, frame pgwire.Frame) error {
	unsolicited := c.repliesRead == c.queriesWritten.Load()
	done, err := c.reply.Add(frame)
	if err != nil {
		return err
	}
	if unsolicited {
		if done || c.reply.Started() {
			return pgwire.ErrUnexpectedMessage
		}
		*c.reply = pgwire.Reply{}
		return nil
	}
	if !done {
		return nil
	}
	c.repliesRead++
	reply := c.reply
	c.reply = &pgwire.Reply{}
	if c.frames.Buffered() > 0 { // the reply is valid, but the trailing bytes must not be read as the next one
		repliesWithTrailingBytes.Add()
		c.untrusted.Store(true)
	}
	c.pool.post(at, func(now int64) { c.pool.replyReceived(now, c, reply) })
	return nil
}

// closeUntrusted closes a connection that violated the protocol. Its query may have run.
func (c *connection) closeUntrusted(at int64, err error) {
	untrustedConnections.Add()
	c.untrusted.Store(true)
	c.endStartup(startup{err: err})
	c.reply = &pgwire.Reply{}
	c.stream.Close()
	c.pool.post(at, func(now int64) { c.pool.connectionLost(now, c, nil) })
}

// handleStreamEnd is called once the connection has ended. A row or an error that was received completely before that
// is still used.
func (c *connection) handleStreamEnd() {
	c.streamEnded.Store(true)
	c.endStartup(startup{err: errEnded})
	reply := c.reply
	c.pool.post(c.pool.now(), func(now int64) {
		c.pool.markClosed(c)
		c.pool.connectionLost(now, c, reply)
	})
}
