package frontend

import "time"

// closePollInterval is the interval between checks whether all sessions have ended.
const closePollInterval = 5 * time.Millisecond

// BeginDrain closes each session as soon as it has no pending answers. From then on, commands that arrive after the
// first one of their session are rejected.
func (s *Server) BeginDrain() {
	s.draining.Store(true)
	for _, c := range s.allSessions() {
		c.closeIfAllAnswered()
	}
}

// WaitClosed returns once clients have closed all connections, at the latest when the grace period after the last
// written answer has passed, and never after the deadline.
func (s *Server) WaitClosed(grace time.Duration, deadline time.Time) {
	graceEnd := time.Now().Add(grace)
	for {
		now := time.Now()
		all := s.allSessions()
		for _, c := range all {
			if c.hasPendingWrites() {
				graceEnd = now.Add(grace)
			}
		}
		if len(all) == 0 || now.After(graceEnd) || now.After(deadline) {
			return
		}
		time.Sleep(closePollInterval)
	}
}

// hasPendingWrites reports whether answers may still have to be written. It is false for a session that has sent no
// command.
func (c *session) hasPendingWrites() bool {
	return !c.stream.WriteSideClosed() && c.currentPhase() != phaseNew
}
