package frontend

import (
	"bytes"
	"io"
	"testing"
	"time"

	"cairntiller/internal/pgwire"
)

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
	for _, request := range requests {
		request.Answer(value(request.Command.ID, 2*largestValue))
	}
	owner.sendFatalError(pgwire.CodeIdleTimeout, "the last answer")
	for waitUntilBlocked(owner); owner.currentPhase() != phaseClosing; waitUntilBlocked(owner) {
		readAnswer(t, reading) // until the rest is queued on the connection
	}
	if !owner.hasPendingWrites() {
		t.Fatal("all answers are written")
	}
	s.dial(t)
	for _, c := range s.allSessions() {
		if c != owner {
			c.sendFatalError(pgwire.CodeIdleTimeout, "written at once")
			waitFor(t, "the last error is written", c.stream.WriteSideClosed)
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
