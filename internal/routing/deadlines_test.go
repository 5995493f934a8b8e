package routing

import (
	"fmt"
	"testing"
)

// A primary is found when a queued write has 50 ms left. The write isn't sent: its answer could hardly come in time, and
// its client would not know whether it was executed.
func TestWriteIsNotSentJustBeforeItsDeadline(t *testing.T) {
	w := newShard(t, 1, 3)
	w.seen("g0n0", Replica, 1)
	w.arrive("c", plainWrite, 0, 2e6, 0)
	w.step(1_950_000)
	w.seen("g0n1", Primary, 0)
	w.r.HealthChecked(w.now, "g0n1", Answered)
	if c := w.requests["c"]; c.sent != 0 || !c.finished {
		t.Fatal("sent with 50 ms left")
	}
}

// No primary is known, so a write is queued. It is rejected while its client still has time for another attempt: queued
// nearly to its end, it would leave none.
func TestUnsentWriteLeavesTimeForAnotherAttempt(t *testing.T) {
	w := newWorld(t, 1)
	w.r.BeginEndpointList(w.now, true)
	w.entry("g0n1", false) // nobody is the primary
	w.r.EndEndpointList(w.now)
	c := w.arrive("w", plainWrite, 0, 4_000_000, 0)
	for w.step(10_000); !c.finished; w.step(10_000) {
	}
	if queued := w.now - c.arrived; queued < 1_700_000 || queued > 2_000_000 {
		t.Errorf("queued for %d of 4000000 us", queued)
	}
}

// All responses are slower than the latency objective. That must not reject every read on arrival: nothing would be
// learnt again.
func TestSlowResponsesDoNotRejectAll(t *testing.T) {
	w := newShard(t, 1, 3)
	for i := range 100 {
		w.arrive(fmt.Sprint("c", i), eventualRead, 0, 1e6, 0)
		w.step(400_000)
		w.serve(nil)
	}
	w.step(100_000)
	w.arrive("last", eventualRead, 0, 1e6, 0)
	if len(w.inFlight) != 1 {
		t.Fatal("an idle fleet rejected a read")
	}
}

// Clients' first attempts leave less than their group's whole timeout, and last ones all that is left of it. First
// attempts that were taken for later ones would be worth nothing after a fraction of their time.
func TestFirstAttemptsAreTheMost(t *testing.T) {
	w := newShard(t, 1, 2)
	for _, n := range w.r.nodes {
		n.coolDownUntil = w.now + 9e6 // all are queued
	}
	sendWithin := func(id string, left int64) int64 {
		w.arrive(id, eventualRead, 0, left, 0)
		return w.r.requests[id].sendBefore - w.now
	}
	first := sendWithin("a", 830_000)
	for i, c := range []struct {
		left  int64
		later bool
	}{{830_000, false}, {831_000, false}, {990_000, true}, {830_000, false}, {300_000, true}, {829_000, false}} {
		if got := sendWithin(fmt.Sprint("b", i), c.left); got < first != c.later {
			t.Errorf("%d: %d us left of a second: to be sent within %d us, a first attempt %d", i, c.left, got, first)
		}
	}
	for i := range 40 { // clients that leave another time, from here on
		sendWithin(fmt.Sprint("c", i), 500_000)
	}
	if got := sendWithin("d", 500_000); got < first {
		t.Errorf("what most leave is still taken for a later attempt: %d us, a first one %d", got, first)
	}
}
