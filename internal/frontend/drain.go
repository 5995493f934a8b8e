package frontend

import "time"

// closePoll is the time between looks whether all sessions have ended.
const closePoll = 5 * time.Millisecond

// BeginDrain closes each session as soon as no answer is owed on it. Commands that come after one in flight are
// rejected from now on.
func (s *Server) BeginDrain() {
	s.draining.Store(true)
	for _, c := range s.allSessions() {
		c.closeIfAllAnswered()
	}
}

// WaitClosed returns once clients have ended all connections, but grace after the last answer has left at the latest,
// and never later than a deadline.
func (s *Server) WaitClosed(grace time.Duration, deadline time.Time) {
	graceEnd := time.Now().Add(grace)
	for {
		now := time.Now()
		all := s.allSessions()
		for _, c := range all {
			if c.owesWrites() {
				graceEnd = now.Add(grace)
			}
		}
		if len(all) == 0 || now.After(graceEnd) || now.After(deadline) {
			return
		}
		time.Sleep(closePoll)
	}
}

// owesWrites reports whether something is still to be written. A client that never asked anything is owed nothing.
func (c *session) owesWrites() bool {
	return !c.stream.WriteSideClosed() && c.currentPhase() != phaseNew
}
