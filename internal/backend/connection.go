package backend

import (
	"sync/atomic"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/stream"
)

const (
	// replyRest, us, is how long a connection rests after a reply before it carries the next query: much longer than the
	// gap between two writes of one process, so that surplus bytes have arrived, and much shorter than any response time.
	replyRest = 1_000
	// replyPart is the part of the connect timeout, one in so many, in which a reply that has begun must be complete.
	replyPart = 4
)

// connectionState is how far a connection has come.
type connectionState int

const (
	connecting connectionState = iota
	ready                      // idle, resting, or with a query
	dropped                    // of no more use
)

// connection is one connection to a node.
type connection struct {
	node   *node
	pool   *Pool
	stream *stream.Stream

	// The engine's goroutine alone uses these.
	query             *query
	state             connectionState
	closed            bool  // it has given its descriptor back
	idleSince         int64 // us
	repliesHandled    int64
	lostBeforeWritten bool          // it ended before it was known whether its query was written
	lastReply         *pgwire.Reply // what had come by then

	queriesWritten atomic.Int64
	hasEnded       atomic.Bool
	distrusted     atomic.Bool // it broke the protocol: nothing more of it is used

	// The reader's goroutine alone uses these.
	frames       *pgwire.Splitter
	startup      *pgwire.StartupReply // nil once the startup has ended
	reply        *pgwire.Reply        // that is being put together
	repliesRead  int64
	partialReply int64 // the last reply that was seen to have begun, by its number

	startupEnded chan startup // holds how the startup ended
}

func newConnection(n *node, p *Pool, s *stream.Stream) *connection {
	return &connection{
		node:         n,
		pool:         p,
		stream:       s,
		frames:       pgwire.NewSplitter(maxReplyBytes, false),
		startup:      &pgwire.StartupReply{},
		reply:        &pgwire.Reply{},
		startupEnded: make(chan startup, 1),
	}
}

// usable reports whether the connection may carry a query: it is alive, has not been idle for too long, and holds no
// unread bytes, which would be taken for the answer.
func (c *connection) usable(now int64) bool {
	return c.state == ready && !c.hasEnded.Load() && !c.distrusted.Load() && now-c.idleSince < c.pool.idleTimeout && c.stream.Quiet()
}

// rest lets a connection rest after a reply. If its node's idle connections were closed meanwhile it is closed too.
func (p *Pool) rest(c *connection) {
	n := c.node
	n.resting++
	idleClosings := n.idleClosings
	p.after(replyRest, func(now int64) {
		n.resting--
		if n.idleClosings == idleClosings {
			p.useOrKeep(now, c)
		} else {
			p.drop(c)
		}
		p.openForWaiting(n)
	})
}

// expectComplete closes the connection if a reply that has begun is not complete in time: it would hold its query until the
// client's deadline. If unread bytes are waiting it was this router that did not read, and the reply gets more time.
func (p *Pool) expectComplete(c *connection, number int64) {
	p.after(p.connectTimeout/replyPart, func(int64) {
		switch {
		case c.repliesHandled >= number || c.state != ready:
		case c.stream.Quiet():
			distrustedConnections.Add()
			c.distrusted.Store(true)
			c.stream.Close() // its query ends with it
		default:
			p.expectComplete(c, number)
		}
	})
}

// receive assembles replies from the bytes that arrive, and passes on complete ones.
func (c *connection) receive(p []byte) {
	if c.distrusted.Load() {
		return
	}
	at := c.pool.now()
	c.frames.Feed(p)
	for !c.distrusted.Load() {
		frame, complete, err := c.frames.Next()
		if err == nil && !complete {
			c.notePartialReply(at)
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
			c.distrust(at, err)
			return
		}
		if refused {
			return
		}
	}
}

// notePartialReply starts the deadline of a reply that has begun, once per reply.
func (c *connection) notePartialReply(at int64) {
	number := c.repliesRead + 1
	begun := c.frames.Buffered() > 0 || c.reply.Begun()
	if c.startup != nil || c.partialReply == number || !begun {
		return
	}
	c.partialReply = number
	c.pool.post(at, func(int64) { c.pool.expectComplete(c, number) })
}

// receiveStartup takes a message of the startup; refused reports that the node has ended it.
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

// endStartup reports the startup's result to connect; only the first one counts.
func (c *connection) endStartup(result startup) {
	select {
	case c.startupEnded <- result:
	default:
	}
}

// receiveReply takes a message of a reply, and passes on a complete one. A reply that nobody asked for is an error.
func (c *connection) receiveReply(at int64, frame pgwire.Frame) error {
	done, err := c.reply.Add(frame)
	if err != nil {
		return err
	}
	if c.repliesRead == c.queriesWritten.Load() && (done || c.reply.Begun()) {
		return pgwire.ErrUnexpectedMessage
	}
	if !done {
		return nil
	}
	c.repliesRead++
	reply := c.reply
	c.reply = &pgwire.Reply{}
	if c.frames.Buffered() > 0 { // the reply is good, but the surplus must not be read as the next one
		repliesWithTrailingBytes.Add()
		c.distrusted.Store(true)
	}
	c.pool.post(at, func(now int64) { c.pool.replied(now, c, reply) })
	return nil
}

// distrust closes a connection that broke the protocol. Its query may have run.
func (c *connection) distrust(at int64, err error) {
	distrustedConnections.Add()
	c.distrusted.Store(true)
	c.endStartup(startup{err: err})
	c.reply = &pgwire.Reply{}
	c.stream.Close()
	c.pool.post(at, func(now int64) { c.pool.lost(now, c, nil) })
}

// ended is called once the connection has ended. A row or an error that arrived completely before that still counts.
func (c *connection) ended() {
	c.hasEnded.Store(true)
	c.endStartup(startup{err: errEnded})
	reply := c.reply
	c.pool.post(c.pool.now(), func(now int64) {
		c.pool.markClosed(c)
		c.pool.lost(now, c, reply)
	})
}
