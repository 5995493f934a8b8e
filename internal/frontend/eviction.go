package frontend

import "cairntiller/internal/pgwire"

// The choice of the sessions that make room for a new connection when the limit on sessions is reached.

// eviction is the decision on how to make room for a new connection.
type eviction struct {
	closeLingering *session // lingering session whose descriptor is needed; may be nil
	evict          *session // active session to close; may be nil
	rejectNew      bool     // no session may be evicted: the new connection is rejected
}

// chooseEviction chooses the session to close for a new connection: the oldest one of the lowest eviction rank.
// Lingering sessions only hold a descriptor and do not count against the session limit. They are read for as long as
// there are descriptors, so that the last bytes written to them arrive; closedBefore chooses among them. The caller must
// hold s.mu.
func (s *Server) chooseEviction() eviction {
	if len(s.sessions) < s.limits.sessions {
		return eviction{}
	}
	now := s.now()
	active := 0
	lowest := rankNever
	var candidate, lingering *session
	for _, c := range s.sessions {
		if c.currentPhase() == phaseClosing {
			if c.closedBefore(lingering) {
				lingering = c
			}
			continue
		}
		active++
		rank := c.evictionRank(now)
		if rank < lowest || rank == lowest && rank != rankNever && c.olderThan(candidate) {
			candidate = c
			lowest = rank
		}
	}
	if len(s.sessions) < s.limits.sessions+s.limits.lingeringSessions {
		lingering = nil
	}
	if active < s.limits.sessions {
		return eviction{closeLingering: lingering}
	}
	return eviction{closeLingering: lingering, evict: candidate, rejectNew: candidate == nil}
}

// closedBefore reports whether the lingering session is closed for a new connection before other: one whose answers are
// all written goes before one that would lose some, and of equal ones the older. Every session goes before nil.
func (c *session) closedBefore(other *session) bool {
	if other == nil {
		return true
	}
	pending := c.hasPendingWrites()
	if pending != other.hasPendingWrites() {
		return !pending
	}
	return c.olderThan(other)
}

// olderThan reports whether the session has been in its phase for longer than other; every session is older than nil.
func (c *session) olderThan(other *session) bool {
	return other == nil || c.phaseSince.Load() < other.phaseSince.Load()
}

// evictionRank orders sessions for eviction; the lowest rank is evicted first.
type evictionRank int

const (
	rankNoFirstCommand evictionRank = iota // no first command within firstCommandGrace
	rankLongIdle
	rankNew   // after rankLongIdle, or new sessions would evict one another while idle ones occupy all others
	rankNever // has a command in flight, or had one within idleTimeout
)

func (c *session) evictionRank(now int64) evictionRank {
	age := now - c.phaseSince.Load()
	switch c.currentPhase() {
	case phaseNew:
		if age > firstCommandGrace {
			return rankNoFirstCommand
		}
		return rankNew
	case phaseIdle:
		if age > idleTimeout {
			return rankLongIdle
		}
	}
	return rankNever
}

// evict closes the session in favor of another one, unless a command has arrived in the meantime.
func (c *session) evict() {
	switch c.currentPhase() {
	case phaseNew:
		c.sendFatalError(endedEvicted, pgwire.CodeRejected, "too many connections")
	case phaseIdle:
		c.closeIfAllAnswered()
	}
}
