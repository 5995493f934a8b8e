package routing

import "testing"

// Guards against a session missing its own write: the replica last reported its position before the write, so the
// session's read must wait until the replica reports a position that includes the write.
func TestSessionReadWaitsForReplicaPosition(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	h.observeReply("g0n1", Replica, h.now-300_000)
	h.observeReply("g0n0", Primary, 0)
	h.sendRequest("c", sessionRead, 0, 1e6, 250_000)
	if len(h.inFlight) != 0 {
		t.Fatal("read sent to a replica before it reported the required position")
	}
	required := h.requests["c"].required
	h.advance(1_000)
	h.recordReply("g0n1", Replica, required)
	h.router.ReportedPosition(h.now, "g0n1", required)
	h.router.HealthChecked(h.now, "g0n1", Answered)
	if h.soleTarget() != "g0n1" {
		t.Fatal("read not sent to the replica with the required position, but to:", h.soleTarget())
	}
}

// Guards against stale bounded reads from a former primary: a primary hangs, is replaced, and answers its pending
// request as the primary when it resumes. Its data is as old as the pause, so it may serve a bounded read only after it
// reports a position.
func TestReplyOfHungPrimaryDoesNotRaisePosition(t *testing.T) {
	h := newShardHarness(t, 1, 1)
	h.observeReply("g0n0", Primary, h.now)
	h.sendRequest("w", plainWrite, 0, 4e6, 0)
	h.runSweeps(150)                                   // it hangs for three seconds
	h.endAttempt(0, Errored, Primary, h.now-3_000_000) // then answers as the primary
	h.observeReply("g0n0", Replica, 0)                 // before it reports that it no longer is
	h.sendRequest("r", boundedRead, 0, 1e6, 0)
	if h.runSweeps(1); len(h.inFlight) > 0 {
		t.Error("read sent before the node reported its position")
	}
	h.observeReply("g0n0", Replica, h.now-100_000)
	if h.runSweeps(1); len(h.inFlight) != 1 {
		t.Error("read not sent after the node reported its position")
	}
}

// Guards against a session token that is too old: if a write's answer was cut off before the node's position, the token
// must not be earlier than the answer, or the session's next read could miss the write. A load report in the same answer,
// and another answer of the node at the same time, tell positions that may be from before the write. The position in the
// answer itself is the token, whatever else the node has reported.
func TestTokenOfWriteWithoutPosition(t *testing.T) {
	const session = "s" // the harness's
	for name, c := range map[string]struct {
		meanwhile func(h *harness) // what else is known at the time of the answer
		answer    Role             // in the answer
		age       int64            // of the position in the answer, -1 for none
		want      int64            // age of the token
	}{
		"nothing reported":                  {func(*harness) {}, RoleUnknown, -1, 0},
		"only the role":                     {func(*harness) {}, Primary, -1, 0},
		"only an older load report":         {func(h *harness) { h.router.ReportedPosition(h.now, "g0n0", h.now-310_000) }, RoleUnknown, -1, 0},
		"the role and an older load report": {func(h *harness) { h.router.ReportedPosition(h.now, "g0n0", h.now-310_000) }, Primary, -1, 0},
		"another answer at the same time":   {func(h *harness) { h.observeReply("g0n0", Primary, h.now-2_000) }, RoleUnknown, -1, 0},
		"its position":                      {func(*harness) {}, Primary, 1_000, 1_000},
		"its position without the role":     {func(*harness) {}, RoleUnknown, 1_000, 1_000},
		"its position, and another answer":  {func(h *harness) { h.observeReply("g0n0", Primary, h.now) }, Primary, 1_000, 1_000},
	} {
		h := newShardHarness(t, 1, 1)
		h.keepTokensInRouter()
		h.observeReply("g0n0", Primary, h.now-500_000)
		h.sendRequest("w", plainWrite, 0, 4e6, 0)
		h.advance(10_000)
		position := int64(0)
		if c.age >= 0 {
			position = h.now - c.age
		}
		c.meanwhile(h)
		if h.endAttempt(0, Answered, c.answer, position); h.now-h.router.sessions.position(hashSession(session)) != c.want {
			t.Errorf("%s: token is %d us older than the answer, want %d", name, h.now-h.router.sessions.position(hashSession(session)), c.want)
		}
	}
}

// Guards against reads that miss a write whose answer was lost on the way to this router but may have reached the
// client. While the write is in flight and after it ended, a replica whose position was fresh enough before is too old
// for the session.
func TestSessionReadDuringWriteInFlight(t *testing.T) {
	h := newShardHarness(t, 2, 2)
	h.keepTokensInRouter()
	h.observeReply("g0n0", Primary, 0)
	h.observeReply("g0n1", Replica, h.now-20_000)
	h.sendRequest("w", keyedWrite, 0, 4e6, 0)
	h.runSweeps(4)
	h.sendRequest("soon", sessionRead, 0, 1e6, 0) // an answer sent meanwhile may still be in transit
	if n := len(h.inFlight); n != 2 || h.inFlight[1].node != "g0n1" {
		t.Fatalf("read shortly after the write was sent: attempts in flight: %+v", h.inFlight)
	}
	h.runSweeps(10)
	h.inFlight = h.inFlight[:1]
	h.observeReply("g0n1", Replica, h.now-120_000)
	h.sendRequest("late", sessionRead, 0, 1e6, 0)
	if len(h.inFlight) != 1 {
		t.Fatalf("read sent to a stale replica during a write: %+v", h.inFlight[1])
	}
	h.observeReply("g0n1", Replica, h.now-10_000)
	if h.runSweeps(1); len(h.inFlight) != 2 || h.inFlight[1].node != "g0n1" {
		t.Fatalf("read after the replica reported a recent position: attempts in flight: %+v", h.inFlight)
	}
	h.inFlight[0].canceled = true
	h.endAttempt(0, ConnectionLost, RoleUnknown, 0)
	if h.sessionToken != h.now || h.router.sessions.position(hashSession("s")) != h.now {
		t.Errorf("token is %d us old after a write that may have been executed", h.now-h.router.sessions.position(hashSession("s")))
	}
	for len(h.inFlight) > 0 { // including the retry of the write
		h.endAttempt(0, Answered, RoleUnknown, 0)
	}
	if n := len(h.router.sessions.writesInFlight); n > 0 {
		t.Errorf("%d sessions still have writes in flight", n)
	}
}
