package frontend

import "cairntiller/internal/pgwire"

// Memory of incomplete messages. All connections together may hold a part of the memory limit. Beyond it, those whose
// message has been incomplete for the longest are closed: a sound client's message is complete soon after it has begun.
// A closed session releases its memory when its reader gets to run. Until then the memory counts, and if it takes twice
// the limit, whoever reads on is closed at once.

// recordPartial records the bytes of memory that the session's incomplete message takes. It is called on the reader's
// goroutine, and once more after that goroutine has ended.
func (c *session) recordPartial(at, bytes int64) {
	s := c.server
	total := s.partialBytes.Add(bytes - c.partialBytes.Swap(bytes))
	mostPartialBytes.RaiseTo(total)
	if bytes == 0 {
		c.partialSince.Store(0)
		s.releasingBytes.Add(-c.releasingBytes.Swap(0))
		return
	}
	c.partialSince.CompareAndSwap(0, at)
	if total > 2*s.limits.partialBytes && c.overPartialShare() {
		c.closeForPartial()
		return
	}
	for s.partialBytes.Load()-s.releasingBytes.Load() > s.limits.partialBytes {
		oldest := s.oldestPartial()
		if oldest == nil {
			return
		}
		oldest.closeForPartial()
	}
}

// overPartialShare reports whether the session holds more than an equal share of the memory for incomplete messages.
func (c *session) overPartialShare() bool {
	return c.partialBytes.Load() > c.server.limits.equalShare(c.server.limits.partialBytes)
}

// oldestPartial returns the session whose message has been incomplete for the longest, of those that hold more than an
// equal share and are not closed for it yet; nil if there is none.
func (s *Server) oldestPartial() *session {
	var oldest *session
	for _, c := range s.allSessions() {
		since := c.partialSince.Load()
		if since == 0 || !c.overPartialShare() {
			continue
		}
		if oldest == nil || since < oldest.partialSince.Load() {
			oldest = c
		}
	}
	return oldest
}

// closeForPartial closes the session for its incomplete message and makes its reader release the memory.
func (c *session) closeForPartial() {
	connectionsOverLimit.Add()
	c.partialSince.Store(0)
	held := c.partialBytes.Load()
	c.server.releasingBytes.Add(held - c.releasingBytes.Swap(held))
	c.sendFatalError(endedTooMuchPartial, pgwire.CodeRejected, "too much in hand")
	c.stream.InterruptReader()
}
