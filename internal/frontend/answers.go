package frontend

import (
	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/stream"
)

// answer is a pending answer to the client: it is not known yet, or it is held back until earlier answers are written
// and the connection has room for it.
type answer struct {
	request   *inflight.Request // whose answer is not known yet; nil once it is, or if the router generated the answer
	arrivedAt int64             // us: when its command arrived
	bytes     []byte            // in flight from the moment the answer is known; nil for a last answer without bytes
	submitted bool              // the request has been passed to the request handler
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
		count, size := c.dueAnswers()
		if !c.stream.HasRoom(size) {
			c.noRoomSince.CompareAndSwap(0, c.server.now())
			return
		}
		due := c.answers[:count]
		c.answers = c.answers[count:]
		wrote = true
		last := due[count-1].last
		c.write(due, size)
		if last {
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

// dueAnswers returns how many of the first answers are known and small enough to be written together, at least one, and
// their size. The caller must hold c.mu.
func (c *session) dueAnswers() (count, size int) {
	for _, next := range c.answers {
		together := size + len(next.bytes)
		if !next.known() || count > 0 && together > maxJoinedAnswers {
			break
		}
		count++
		size = together
	}
	return count, size
}

// write queues answers on the connection in one piece; they stay in flight until the kernel has accepted them.
func (c *session) write(due []*answer, size int) {
	bytes := due[0].bytes
	if len(due) > 1 {
		bytes = make([]byte, 0, size)
		for _, next := range due {
			bytes = append(bytes, next.bytes...)
		}
	}
	cost := size + len(due)*answerOverhead
	clear(due) // the slice keeps its array, which must not keep the answers
	if size == 0 {
		c.addInFlight(-cost)
		return
	}
	c.stream.Write(bytes, func(err error) { c.answerWritten(cost, err) })
}

// answerWritten is called once the kernel has accepted answers, which makes room for the next ones, or once their write
// has failed because the connection ends. In the latter case the caller may hold c.mu.
func (c *session) answerWritten(cost int, err error) {
	c.addInFlight(-cost)
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
	c.addInFlight(-pending.cost())
	c.addCommands(-1)
	pending.request = nil // the command is not needed any more
	if len(bytes) > maxKeptAnswer && c.overInFlightShare() {
		answersOverLimits.Add()
		bytes = outOfMemoryError
	}
	pending.bytes = bytes
	c.addInFlight(pending.cost())
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

// closeIfAllAnswered closes the session if it has no pending answers and is not just handling input, in which there may be
// a command that was read and has no answer yet.
func (c *session) closeIfAllAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIfAllAnsweredLocked()
}

func (c *session) closeIfAllAnsweredLocked() {
	if len(c.answers) == 0 && !c.closing && !c.handlingInput {
		c.stopAccepting()
		c.setPhase(phaseClosing)
		c.stream.CloseGracefully()
	}
}

// abandonAnswers discards the pending answers of a client that has disconnected.
func (c *session) abandonAnswers(at int64) {
	c.mu.Lock()
	c.stopAccepting()
	abandoned := c.answers
	c.answers = nil
	c.unsubmitted = 0
	c.mu.Unlock()
	for _, pending := range abandoned {
		c.addInFlight(-pending.cost())
		if pending.known() {
			continue
		}
		c.addCommands(-1)
		if pending.submitted {
			c.server.requests.ClientGone(at, pending.request)
		} else {
			commandsOfGoneClients.Add()
		}
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
// yet. Of a client whose input has been piling up for too long it is not known.
func (c *session) Connected() bool {
	if c.stream.Peer() != stream.PeerGone {
		return !c.fallsBehind()
	}
	c.abandonAnswers(c.server.now())
	return false
}
