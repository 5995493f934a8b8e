package routing

import "testing"

// A request with a key may have been executed and is sent again. It must begin within what is left of its window, counted
// from its first attempt: later its shard would execute it once more.
func TestARepeatBeginsInItsWindow(t *testing.T) {
	w := newShard(t, 1, 1)
	w.seen("g0n0", Primary, 0)
	w.arrive("k", keyedWrite, 0, 4e6, 0)
	if w.startWithin != 0 {
		t.Errorf("a first attempt must begin within %d us", w.startWithin)
	}
	w.step(100_000)
	w.answer(0, ConnectionLost, RoleUnknown, 0)
	w.sweeps(5)
	if len(w.inFlight) != 1 || w.startWithin <= 0 || w.startWithin > modelWindow-100_000 {
		t.Errorf("%d in flight, the repeat must begin within %d us", len(w.inFlight), w.startWithin)
	}
}

// Nothing may be sent any more for a request, and its last attempt is at a node that is slow, silent, or no primary any
// longer. The attempt must go on, for its answer may be on the way. Seen: it is canceled and the request given up.
func TestLastAttemptIsLeftAlone(t *testing.T) {
	goesOn := func(t *testing.T, w *world) {
		t.Helper()
		if len(w.inFlight) != 1 || w.inFlight[0].canceled || w.requests["c"].finished {
			t.Fatalf("in flight: %+v, given up: %v", w.inFlight, w.requests["c"].finished)
		}
	}
	t.Run("no attempt is left", func(t *testing.T) {
		w := newShard(t, 1, 3)
		w.r.config.Attempts.Max = 1
		w.r.groups[eventualRead].usualResponse = 20_000
		w.sweeps(1)
		w.arrive("c", eventualRead, 0, 1e6, 0)
		for range 20 {
			w.known(w.sentTo()).answeredAt = w.now // it answers others, so the attempt is taken to be lost
			w.sweeps(1)
		}
		goesOn(t, w)
		if n := w.known(w.sentTo()); n.inFlight != 0 {
			t.Fatalf("a lost attempt still holds %d of the node's places", n.inFlight)
		}
	})
	t.Run("the deadline is near", func(t *testing.T) {
		w := newShard(t, 1, 3)
		w.r.groups[eventualRead].usualResponse = 60_000 // eight of them end within two sweeps of the deadline
		w.sweeps(1)
		w.arrive("c", eventualRead, 0, 510_000, 0)
		w.sweeps(25)
		goesOn(t, w)
	})
	t.Run("the idempotency window is over", func(t *testing.T) {
		w := newShard(t, 1, 3)
		w.r.groups[keyedWrite].usualResponse = 1e6
		w.seen("g0n0", Primary, 1)
		w.arrive("c", keyedWrite, 0, 4e6, 0)
		w.sweeps(modelWindow/sweepInterval + 2)
		w.seen("g0n1", Primary, 1)
		goesOn(t, w)
	})
}
