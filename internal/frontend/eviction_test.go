package frontend

import (
	"bytes"
	"io"
	"testing"
	"time"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/stream"
)

// TestEvictionChoice checks which session is closed for a new connection. Lingering sessions hold descriptors but do
// not count against the session limit; they are kept for as long as there are descriptors, so that their last answer
// arrives.
func TestEvictionChoice(t *testing.T) {
	for name, c := range map[string]struct {
		phases                        []phase // of 32 connections, two of them reserved for lingering sessions; oldest first
		age                           int64
		evict, closeLingering, reject bool
	}{
		"below the limit":           {repeatPhase(29, phaseBusy), 0, false, false, false},
		"all busy":                  {repeatPhase(30, phaseBusy), 0, false, false, true},
		"busy, one lingering":       {append(repeatPhase(30, phaseBusy), phaseClosing), 0, false, false, true},
		"busy, too many lingering":  {append(repeatPhase(30, phaseBusy), phaseClosing, phaseClosing), 0, false, true, true},
		"lingering only":            {repeatPhase(32, phaseClosing), 0, false, true, false},
		"fewer busy, two lingering": {append(repeatPhase(29, phaseBusy), phaseClosing, phaseClosing), 0, false, false, false},
		"new":                       {repeatPhase(30, phaseNew), 0, true, false, false},
		"long idle":                 {repeatPhase(30, phaseIdle), idleTimeout + 1, true, false, false},
		"idle briefly":              {repeatPhase(30, phaseIdle), idleTimeout - 1, false, false, true},
		"long idle, many lingering": {append(repeatPhase(30, phaseIdle), phaseClosing, phaseClosing), idleTimeout + 1, true, true, false},
	} {
		now := int64(10_000_000)
		server := New(func() int64 { return now }, &countingHandler{}, Config{MaxConnections: 32, MemoryLimit: 1 << 20})
		for i, p := range c.phases {
			s := &session{server: server, stream: &stream.Stream{}, number: uint32(i)}
			s.phase.Store(int32(p))
			s.phaseSince.Store(now - c.age + int64(i))
			server.sessions[s.number] = s
		}
		choice := server.chooseEviction()
		if (choice.evict != nil) != c.evict || (choice.closeLingering != nil) != c.closeLingering || choice.rejectNew != c.reject {
			t.Errorf("%s: evict %v, close lingering %v, reject %v", name, choice.evict != nil, choice.closeLingering != nil, choice.rejectNew)
		}
		if choice.evict != nil && choice.evict.number != 0 {
			t.Errorf("%s: evicts number %d, not the oldest", name, choice.evict.number)
		}
	}
}

func repeatPhase(n int, p phase) (all []phase) {
	for range n {
		all = append(all, p)
	}
	return all
}

// waitUntilBlocked waits until the kernel accepts no further bytes of a client that reads nothing.
func waitUntilBlocked(c *session) {
	for last := int64(-1); c.inFlightBytes.Load() != last; time.Sleep(20 * time.Millisecond) {
		last = c.inFlightBytes.Load()
	}
}

// TestLingeringSessionWithUnwrittenAnswersIsKept guards against answers that are lost because a new connection needs a
// descriptor: of the sessions that the router is closing, the oldest was ended although its answers were not written
// yet, while another had been written whole.
func TestLingeringSessionWithUnwrittenAnswersIsKept(t *testing.T) {
	s := startServer(t, 192<<20)
	reading := s.dial(t) // and pauses
	requests := s.send(t, reading, 0, maxPipelined)
	owner := s.onlySession(t)
	answerAll(requests, 2*largestValue)
	owner.sendFatalError(endedTimedOut, pgwire.CodeIdleTimeout, "the last answer")
	for waitUntilBlocked(owner); owner.currentPhase() != phaseClosing; waitUntilBlocked(owner) {
		readAnswer(t, reading) // until the rest is queued on the connection
	}
	if !owner.hasPendingWrites() {
		t.Fatal("all answers are written")
	}
	s.dial(t)
	for _, c := range s.allSessions() {
		if c != owner {
			c.sendFatalError(endedTimedOut, pgwire.CodeIdleTimeout, "written at once")
			eventually(t, "the last error is written", c.stream.WriteSideClosed)
		}
	}
	for range s.limits.sessions + 1 { // the last one needs the descriptor of a lingering session
		s.dial(t)
	}
	rest, err := io.ReadAll(reading)
	if err != nil || !bytes.Contains(rest, []byte("the last answer")) {
		t.Errorf("%d bytes arrived without the last answer, %v", len(rest), err)
	}
}
