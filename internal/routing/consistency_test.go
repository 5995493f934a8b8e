package routing

import "testing"

// A session reads what it has just written, and the replica was last heard of before the write. The read waits until the
// replica has told a position behind it.
func TestSessionReadWaitsForProof(t *testing.T) {
	w := newShard(t, 1, 2)
	w.seen("g0n1", Replica, w.now-300_000)
	w.seen("g0n0", Primary, 0)
	w.arrive("c", sessionRead, 0, 1e6, 250_000)
	if len(w.inFlight) != 0 {
		t.Fatal("sent unproven")
	}
	required := w.requests["c"].required
	w.step(1_000)
	w.tell("g0n1", Replica, required)
	w.r.ReportedPosition(w.now, "g0n1", required)
	w.r.HealthChecked(w.now, "g0n1", Answered)
	if w.sentTo() != "g0n1" {
		t.Fatal("not sent to the proven replica but", w.sentTo())
	}
}

// A primary hangs, is replaced, goes on, and answers what it held as a primary. Its data has stood still as well, so a
// bounded read may go there only for a position that it told.
func TestHungPrimaryProvesNothing(t *testing.T) {
	w := newShard(t, 1, 1)
	w.seen("g0n0", Primary, w.now)
	w.arrive("w", plainWrite, 0, 4e6, 0)
	w.sweeps(150)                                  // it hangs for three seconds
	w.answer(0, Errored, Primary, w.now-3_000_000) // and then answers
	w.seen("g0n0", Replica, 0)                     // before it has heard that it is the primary no more
	w.arrive("r", boundedRead, 0, 1e6, 0)
	if w.sweeps(1); len(w.inFlight) > 0 {
		t.Error("sent on no proof")
	}
	w.seen("g0n0", Replica, w.now-100_000)
	if w.sweeps(1); len(w.inFlight) != 1 {
		t.Error("not sent on a proof")
	}
}

// A write's answer is cut off before it told a position. The session's token must then be no earlier than the answer,
// or its next read could miss the write.
func TestWriteWithoutPosition(t *testing.T) {
	w := newShard(t, 1, 1)
	w.r.config.ClientsCarryTokens = false
	w.seen("g0n0", Primary, w.now-500_000)
	w.step(10_000)
	write := &request{group: w.r.groups[plainWrite], session: "s"}
	a := &attempt{request: write, node: w.known("g0n0")}
	if w.r.recordWritePosition(a, Answered, 0, w.now); w.r.sessions.position("s") != w.now {
		t.Errorf("token %d us before the answer", w.now-w.r.sessions.position("s"))
	}
	w.seen("g0n0", Primary, w.now-1_000)
	write.session = "t"
	if w.r.recordWritePosition(a, Answered, 0, w.now); w.r.sessions.position("t") > w.now-1_000 {
		t.Error("the position that its answer told does not count")
	}
}

// The network swallows a write's answer on its way through here, but the client may have had it. A replica that was
// proven before is too old for the session then, until the write has ended and after it.
func TestReadBesideWriteInFlight(t *testing.T) {
	w := newShard(t, 2, 2)
	w.remember()
	w.seen("g0n0", Primary, 0)
	w.seen("g0n1", Replica, w.now-20_000)
	w.arrive("w", keyedWrite, 0, 4e6, 0)
	w.sweeps(4)
	w.arrive("soon", sessionRead, 0, 1e6, 0) // an answer given since may still be on its way
	if n := len(w.inFlight); n != 2 || w.inFlight[1].node != "g0n1" {
		t.Fatalf("beside a write just sent: %+v", w.inFlight)
	}
	w.sweeps(10)
	w.inFlight = w.inFlight[:1]
	w.seen("g0n1", Replica, w.now-120_000)
	w.arrive("late", sessionRead, 0, 1e6, 0)
	if len(w.inFlight) != 1 {
		t.Fatalf("beside a write long sent: %+v", w.inFlight[1])
	}
	w.seen("g0n1", Replica, w.now-10_000)
	if w.sweeps(1); len(w.inFlight) != 2 || w.inFlight[1].node != "g0n1" {
		t.Fatalf("on a proof as new as any answer: %+v", w.inFlight)
	}
	w.inFlight[0].canceled = true
	w.answer(0, ConnectionLost, RoleUnknown, 0)
	if w.token != w.now || w.r.sessions.position("s") != w.now {
		t.Errorf("after a write that may have been executed: token %d us ago", w.now-w.r.sessions.position("s"))
	}
	for len(w.inFlight) > 0 { // its repeat too
		w.answer(0, Answered, RoleUnknown, 0)
	}
	if n := len(w.r.sessions.writing); n > 0 {
		t.Errorf("%d writes are taken to be in flight", n)
	}
}
