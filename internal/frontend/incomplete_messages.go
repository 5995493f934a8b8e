package frontend

import "cairntiller/internal/pgwire"

// Memory of incomplete messages. All connections together may hold a part of the memory limit. Beyond it, those whose
// message has been incomplete for the longest are closed: a sound client's message is complete soon after it has begun.

// recordPartial records the bytes of memory that the session's incomplete message takes. It is called on the reader's
// goroutine, and once more after that goroutine has ended.
func (c *session) recordPartial(at, bytes int64) {
	s := c.server
	total := s.partialBytes.Add(bytes - c.partialBytes.Swap(bytes))
	mostPartialBytes.RaiseTo(total)
	if bytes == 0 {
		c.partialSince.Store(0)
		return
	}
	c.partialSince.CompareAndSwap(0, at)
	for total > s.limits.partialBytes {
		oldest := s.oldestPartial()
		if oldest == nil {
			return
		}
		total = oldest.dropPartial()
	}
}

// oldestPartial returns the session whose message has been incomplete for the longest, of those that hold more than an
// equal share; nil if there is none.
func (s *Server) oldestPartial() *session {
	share := s.limits.equalShare(s.limits.partialBytes)
	var oldest *session
	for _, c := range s.allSessions() {
		since := c.partialSince.Load()
		if since == 0 || c.partialBytes.Load() <= share {
			continue
		}
		if oldest == nil || since < oldest.partialSince.Load() {
			oldest = c
		}
	}
	return oldest
}

// dropPartial closes the session for its incomplete message, whose memory its reader releases at once. It returns the
// bytes that are left on all connections.
func (c *session) dropPartial() (left int64) {
	connectionsOverLimit.Add()
	c.partialSince.Store(0)
	left = c.server.partialBytes.Add(-c.partialBytes.Swap(0))
	c.sendFatalError(endedTooMuchPartial, pgwire.CodeRejected, "too much in hand")
	c.stream.InterruptReader()
	return left
}
