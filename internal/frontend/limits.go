package frontend

import (
	"cmp"
	"slices"
	"time"

	"cairntiller/internal/pgwire"
)

// Limits of what clients may hold, and who is closed where they are reached.

const (
	// maxQueryBytes bounds one message: a value of 64 KiB in hex, and a statement around it.
	maxQueryBytes = 160_000
	// maxStartupBytes bounds the first message of a connection, as PostgreSQL does.
	maxStartupBytes = 10_000
	// maxPipelined bounds the commands in flight on one connection: some clients send many before they read.
	maxPipelined = 64
	// maxQueuedAnswers bounds the answers owed on one connection, including errors of the router's own. Without it a
	// client could pile up errors in memory after one slow command; beyond it the connection is closed.
	maxQueuedAnswers = 128

	// The parts of the memory limit, one in so many, for commands and answers in flight and for messages that have begun
	// to arrive. The rest is left for the nodes' answers and the garbage collector.
	inFlightMemoryPart = 8
	partialMemoryPart  = 16

	// firstCommandTimeout, us, is the time in which a connection must send its first command, and in which a message that
	// has begun must arrive completely. The protocol allows closing a client after 2 s without a command, and asks that one
	// which never sends any is closed within 3 s.
	firstCommandTimeout = 2_200_000
	// newcomerGrace, us, is the time in which a normal client's first command has arrived, even if this router had no CPU
	// core for a moment.
	newcomerGrace = 100_000
	// idleTimeout, us, is the time without a command after which a connection may be closed.
	idleTimeout = 2_000_000

	// idlePart is the part of the places, one in so many, that may stay idle for longer than idleTimeout. Without it
	// clients that send one command and keep their connection would hold all places here, and all the connections that
	// their own limits allow, while the router does nothing.
	idlePart = 16
	// endedPart is the part of the connections, one in so many, that is for those that have ended and are still read, so
	// that what was last written to them arrives.
	endedPart = 16

	// sweepInterval is the time between looks for sessions that are past their time: a twentieth of the shortest one.
	sweepInterval = 100 * time.Millisecond
)

// limits are a server's limits, from its share of descriptors and memory.
type limits struct {
	sessions      int   // that have not ended
	endedSessions int   // more connections, for those that have ended and are still read
	idleSessions  int   // that may stand idle for longer than idleTimeout
	inFlightBytes int64 // of commands and answers on all connections
	partialBytes  int64 // of messages that have begun to arrive, on all connections
}

func newLimits(connections int, memory int64) limits {
	ended := connections / endedPart
	return limits{
		sessions:      connections - ended,
		endedSessions: ended,
		idleSessions:  connections / idlePart,
		inFlightBytes: memory / inFlightMemoryPart,
		partialBytes:  memory / partialMemoryPart,
	}
}

// room is how a newcomer has its place.
type room struct {
	closeEnded *session // has ended, and its descriptor is needed; may be nil
	evict      *session // must end for the newcomer; may be nil
	none       bool     // there is no place: the newcomer is rejected
}

// findRoom chooses which session makes room for one more: the oldest of the lowest eviction rank. Sessions that have
// ended hold a descriptor, not a place; they are still read for as long as there are descriptors, so that the last bytes
// written to them arrive. Called with the server's lock held.
func (s *Server) findRoom() room {
	if len(s.sessions) < s.limits.sessions {
		return room{}
	}
	now := s.now()
	living := 0
	lowest := rankNever
	var candidate, oldestEnded *session
	for _, c := range s.sessions {
		if c.currentPhase() == phaseClosing {
			if c.olderThan(oldestEnded) {
				oldestEnded = c
			}
			continue
		}
		living++
		rank := c.evictionRank(now)
		if rank < lowest || rank == lowest && rank != rankNever && c.olderThan(candidate) {
			candidate = c
			lowest = rank
		}
	}
	if len(s.sessions) < s.limits.sessions+s.limits.endedSessions {
		oldestEnded = nil
	}
	if living < s.limits.sessions {
		return room{closeEnded: oldestEnded}
	}
	return room{closeEnded: oldestEnded, evict: candidate, none: candidate == nil}
}

// olderThan reports whether a session has been in its phase for longer than another; nil is the youngest.
func (c *session) olderThan(other *session) bool {
	return other == nil || c.phaseSince.Load() < other.phaseSince.Load()
}

// evictionRank is how soon a session makes room for another; the lowest goes first.
type evictionRank int

const (
	rankNoFirstCommand evictionRank = iota // it had its time for a first command
	rankLongIdle
	rankNewcomer // after the long idle ones, or newcomers would evict one another while idle sessions keep all other places
	rankNever    // it has a command in flight, or had one a moment ago
)

func (c *session) evictionRank(now int64) evictionRank {
	age := now - c.phaseSince.Load()
	switch c.currentPhase() {
	case phaseNew:
		if age > newcomerGrace {
			return rankNoFirstCommand
		}
		return rankNewcomer
	case phaseIdle:
		if age > idleTimeout {
			return rankLongIdle
		}
	}
	return rankNever
}

// evict ends the session for another, unless a command has come meanwhile.
func (c *session) evict() {
	switch c.currentPhase() {
	case phaseNew:
		c.sendFatalError(pgwire.CodeRejected, "too many connections")
	case phaseIdle:
		c.closeIfAllAnswered()
	}
}

// sweep ends the sessions that are past their time: those without a first command, those with a message that does not
// arrive completely, and the longest idle ones if too many are idle.
func (s *Server) sweep() {
	now := s.now()
	var idle []*session
	for _, c := range s.allSessions() {
		if c.pastFirstCommandTimeout(now) {
			timedOutConnections.Add()
			c.partialSince.Store(0)
			c.sendFatalError(pgwire.CodeIdle, "nothing whole came in time")
		} else if c.currentPhase() == phaseIdle && now-c.phaseSince.Load() > idleTimeout {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *session) int { return cmp.Compare(a.phaseSince.Load(), b.phaseSince.Load()) })
	surplus := max(0, len(idle)-s.limits.idleSessions)
	for _, c := range idle[:surplus] {
		idleClosedConnections.Add()
		c.closeIfAllAnswered()
	}
}

// pastFirstCommandTimeout reports whether the session's first command, or the rest of a message, is overdue.
func (c *session) pastFirstCommandTimeout(now int64) bool {
	phase := c.currentPhase()
	if phase == phaseNew && now-c.phaseSince.Load() > firstCommandTimeout {
		return true
	}
	partialSince := c.partialSince.Load()
	return phase != phaseClosing && partialSince > 0 && now-partialSince > firstCommandTimeout
}

// notePartial notes how many bytes of an incomplete message have arrived. If such bytes are too many on all connections
// together, a session that holds more than an equal part of the limit is ended. Called on the reader's goroutine, and once
// more after that has ended.
func (c *session) notePartial(at, bytes int64) {
	s := c.server
	all := s.partialBytes.Add(bytes - c.partialBytes)
	c.partialBytes = bytes
	if bytes == 0 {
		c.partialSince.Store(0)
		return
	}
	c.partialSince.CompareAndSwap(0, at)
	evenPart := s.limits.partialBytes / int64(s.limits.sessions)
	if all > s.limits.partialBytes && bytes > evenPart {
		connectionsOverLimit.Add()
		c.sendFatalError(pgwire.CodeRejected, "too much in hand")
		c.notePartial(at, 0)
	}
}
