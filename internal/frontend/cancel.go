package frontend

import "cairntiller/internal/pgwire"

// cancel ends the next command to be answered on the session with the given cancel key. cancelledAt is the time at
// which the connection of the cancel request was accepted.
func (s *Server) cancel(number, secret uint32, cancelledAt int64) {
	s.mu.Lock()
	c := s.sessions[number]
	s.mu.Unlock()
	if c == nil || c.secret != secret || !c.cancelNext(cancelledAt) {
		cancelsWithoutCommand.Add()
	}
}

// cancelNext ends the first command whose answer is not known yet and returns whether there was one. A command that
// arrived after the cancel's connection is left alone: the cancel was meant for an earlier command, which was answered
// in the meantime.
func (c *session) cancelNext(cancelledAt int64) bool {
	c.mu.Lock()
	next := c.firstUnknown()
	if next == nil || next.arrivedAt >= cancelledAt {
		c.mu.Unlock()
		return false
	}
	request, submitted := next.request, next.submitted
	if !submitted {
		c.unsubmitted--
	}
	c.complete(next, pgwire.AppendError(nil, false, pgwire.CodeCanceled, "canceling statement due to user request", 0))
	c.flush()
	c.mu.Unlock()
	cancelledCommands.Add()
	if submitted {
		c.server.requests.ClientGone(c.server.now(), request)
	}
	return true
}
