package frontend

import (
	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
)

// answer is one answer owed to the client: still unknown, or waiting for the ones before it.
type answer struct {
	request   *inflight.Request // nil for an answer of the router's own
	arrivedAt int64             // us: when its command came
	bytes     []byte            // nil until it is known
	last      bool              // the session ends after it
}

// sendError answers with an error of the router's own; the session goes on.
func (c *session) sendError(code, message string) {
	c.queue(pgwire.AppendError(nil, false, code, message, 0))
}

// sendFatalError answers with an error of the router's own, after which the session ends.
func (c *session) sendFatalError(code, message string) {
	c.queueLast(pgwire.AppendError(nil, true, code, message, 0))
}

// queue adds an answer of the router's own after the answers already owed. If too many are owed the session is ended
// instead.
func (c *session) queue(bytes []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return
	}
	if len(c.answers) >= maxQueuedAnswers {
		connectionsOverLimit.Add()
		c.appendLast(pgwire.AppendError(nil, true, pgwire.CodeRejected, "too many answers owed", 0))
		return
	}
	c.answers = append(c.answers, &answer{bytes: bytes})
	c.flush()
}

// queueLast adds an answer of the router's own after the answers already owed, and ends the session once it is written.
// With nil nothing is written.
func (c *session) queueLast(bytes []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.appendLast(bytes)
	}
}

// appendLast queues the last answer of the session. Called with the lock held.
func (c *session) appendLast(bytes []byte) {
	c.closing = true
	if len(c.answers) == 0 {
		c.enter(phaseClosing)
	}
	c.answers = append(c.answers, &answer{bytes: bytes, last: true})
	c.flush()
}

// flush writes the answers that are next in order. While the router drains, a session is closed once its last owed
// answer is written. The welcome does not count as one: a client may send its first command in the same segment as its
// startup. Called with the lock held.
func (c *session) flush() {
	wrote := false
	for len(c.answers) > 0 && (c.answers[0].bytes != nil || c.answers[0].last) {
		next := c.answers[0]
		c.answers = c.answers[1:]
		wrote = true
		if next.bytes != nil {
			c.write(next.bytes)
		}
		if next.last {
			c.enter(phaseClosing)
			c.stream.CloseGracefully()
			return
		}
	}
	if len(c.answers) == 0 && c.currentPhase() == phaseBusy {
		c.enter(phaseIdle)
	}
	if wrote && c.server.draining.Load() {
		c.closeIfAllAnsweredLocked()
	}
}

// write hands bytes to the connection; they count as in flight until the kernel has them.
func (c *session) write(bytes []byte) {
	size := int64(len(bytes))
	c.server.inFlightBytes.Add(size)
	c.stream.Write(bytes, func(error) { c.server.inFlightBytes.Add(-size) })
}

// fill puts a request's answer in its place.
func (c *session) fill(request *inflight.Request, bytes []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range c.answers {
		if one.request == request && one.bytes == nil {
			one.bytes = bytes
			c.releaseCommand(request)
		}
	}
	c.flush()
}

// releaseCommand counts a request's command as in flight no more.
func (c *session) releaseCommand(request *inflight.Request) {
	c.server.inFlightBytes.Add(-int64(request.Command.Size()))
}

// closeIfAllAnswered ends the session if no answer is owed on it.
func (c *session) closeIfAllAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIfAllAnsweredLocked()
}

func (c *session) closeIfAllAnsweredLocked() {
	if len(c.answers) == 0 && !c.closing {
		c.closing = true
		c.enter(phaseClosing)
		c.stream.CloseGracefully()
	}
}

// abandonAnswers gives up the answers that are owed: the client has gone.
func (c *session) abandonAnswers(at int64) {
	c.mu.Lock()
	c.closing = true
	owed := c.answers
	c.answers = nil
	c.mu.Unlock()
	for _, one := range owed {
		if one.request == nil {
			continue
		}
		if one.bytes == nil {
			c.releaseCommand(one.request)
		}
		c.server.intake.ClientGone(at, one.request)
	}
}

// Answer implements inflight.Client.
func (c *session) Answer(request *inflight.Request, value []byte) {
	c.fill(request, pgwire.AppendReady(value))
}

// Reject implements inflight.Client. The message, which the protocol's page gives, says a little more than is sure: an idempotent
// command may have run, and only sending it again is harmless.
func (c *session) Reject(request *inflight.Request, retryAfter int64) {
	c.fill(request, pgwire.AppendError(nil, false, pgwire.CodeRejected, "not now; nothing was done", retryAfter))
}

// Fail implements inflight.Client.
func (c *session) Fail(request *inflight.Request) {
	c.fill(request, pgwire.AppendError(nil, false, pgwire.CodeFailed, "the command failed", 0))
}

// Connected implements inflight.Client. It asks the kernel, for nobody may have read the client's end yet.
func (c *session) Connected() bool {
	if c.stream.PeerPresent() {
		return true
	}
	c.abandonAnswers(c.server.now())
	return false
}
