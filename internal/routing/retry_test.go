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
