package frontend

import (
	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
)

// answer is a pending answer to the client: it is not known yet, or it is held back until earlier answers are written
// and the connection has room for it.
type answer struct {
	request   *inflight.Request // whose answer is not known yet; nil once it is, or if the router generated the answer
	arrivedAt int64             // us: when its command arrived
	bytes     []byte            // in flight from the moment the answer is known; nil for a last answer without bytes
	rejected  bool              // the bytes are the answers to consecutive commands that were rejected on arrival
	last      bool              // the session is closed after it
}

// known reports whether the answer may be written as soon as its turn comes.
func (a *answer) known() bool { return a.request == nil }

// flush writes the answers that are known, in order, up to the first one that is not, or for which the connection has
// no room: many answers may become due at once behind a slow command, and the client can't have read any of them yet.
// answerWritten then goes on. While the router drains, a session is closed once its last pending answer is written. The
// reply to the startup does not count as an answer: a client may send its first command in the same segment as its
// startup. The caller must hold c.mu.
func (c *session) flush() {
	wrote := false
	for len(c.answers) > 0 && c.answers[0].known() {
		next := c.answers[0]
		if !c.stream.HasRoom(len(next.bytes)) {
			c.noRoomSince.CompareAndSwap(0, c.server.now())
			return
		}
		c.answers[0] = nil // the slice keeps its array, which must not keep the answer
		c.answers = c.answers[1:]
		wrote = true
		if next.bytes != nil {
			c.write(next.bytes)
		}
		if next.last {
			c.setPhase(phaseClosing)
			c.stream.CloseGracefully()
			return
		}
	}
	if len(c.answers) == 0 && c.currentPhase() == phaseBusy {
		c.setPhase(phaseIdle)
	}
	if wrote && c.server.draining.Load() {
		c.closeIfAllAnsweredLocked()
	}
}

// write queues bytes on the connection; they stay in flight until the kernel has accepted them.
func (c *session) write(bytes []byte) {
	c.stream.Write(bytes, func(err error) { c.answerWritten(len(bytes), err) })
}

// answerWritten is called once the kernel has accepted an answer, which makes room for the next ones, or once its write
// has failed because the connection ends. In the latter case the caller may hold c.mu.
func (c *session) answerWritten(size int, err error) {
	c.addInFlight(-size)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noRoomSince.Store(0)
	c.flush()
}

// completeAnswer sets the answer to a request and writes the answers that are due.
func (c *session) completeAnswer(request *inflight.Request, bytes []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pending := range c.answers {
		if pending.request == request {
			c.complete(pending, bytes)
		}
	}
	c.flush()
}

// complete sets a pending answer. If the session may not hold its bytes, the client gets an error in their place; small
// answers are kept. The caller must hold c.mu.
func (c *session) complete(pending *answer, bytes []byte) {
	c.addInFlight(-pending.request.Command.Size())
	pending.request = nil // the command is not needed any more
	if len(bytes) > maxKeptAnswer && c.overInFlightShare() {
		answersOverLimits.Add()
		bytes = outOfMemoryError
	}
	c.addInFlight(len(bytes))
	pending.bytes = bytes
}

// firstUnknown returns the first pending answer that is not known yet, nil for none. The caller must hold c.mu.
func (c *session) firstUnknown() *answer {
	for _, pending := range c.answers {
		if !pending.known() {
			return pending
		}
	}
	return nil
}

// closeIfAllAnswered closes the session if it has no pending answers.
func (c *session) closeIfAllAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIfAllAnsweredLocked()
}

func (c *session) closeIfAllAnsweredLocked() {
	if len(c.answers) == 0 && !c.closing {
		c.closing = true
		c.setPhase(phaseClosing)
		c.stream.CloseGracefully()
	}
}

// abandonAnswers discards the pending answers of a client that has disconnected.
func (c *session) abandonAnswers(at int64) {
	c.mu.Lock()
	c.closing = true
	abandoned := c.answers
	c.answers = nil
	c.mu.Unlock()
	for _, pending := range abandoned {
		if pending.known() {
			c.addInFlight(-len(pending.bytes))
			continue
		}
		c.addInFlight(-pending.request.Command.Size())
		c.server.requests.ClientGone(at, pending.request)
	}
}

// Answer implements inflight.Client.
func (c *session) Answer(request *inflight.Request, value []byte) {
	c.completeAnswer(request, pgwire.AppendReadyForQuery(value))
}

// Reject implements inflight.Client. The message is specified by the protocol but promises too much: an idempotent
// command may have run, and it is only certain that repeating it is harmless.
func (c *session) Reject(request *inflight.Request, retryAfter int64) {
	c.completeAnswer(request, pgwire.AppendError(nil, false, pgwire.CodeRejected, "not now; nothing was done", retryAfter))
}

// Fail implements inflight.Client.
func (c *session) Fail(request *inflight.Request) {
	c.completeAnswer(request, pgwire.AppendError(nil, false, pgwire.CodeSystemError, "the command failed", 0))
}

// Connected implements inflight.Client. It asks the kernel, since the end of the client's stream may not have been read
// yet.
func (c *session) Connected() bool {
	if c.stream.PeerPresent() {
		return true
	}
	c.abandonAnswers(c.server.now())
	return false
}
