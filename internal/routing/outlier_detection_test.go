package routing

import (
	"fmt"
	"testing"
)

// The network swallows two writes' answers while the node answers others. They must not hold capacity there for ever,
// and the one with a key is sent again.
func TestLostAttemptIsSentAgain(t *testing.T) {
	w := newShard(t, 1, 2)
	w.seen("g0n0", Primary, 0)
	w.arrive("keyed", keyedWrite, 0, 4e6, 0)
	w.arrive("plain", plainWrite, 0, 4e6, 0)
	for i := range 120 {
		w.arrive(fmt.Sprint("c", i), keyedWrite, 0, 4e6, 0)
		w.step(20_000)
		for j := len(w.inFlight) - 1; j >= 0; j-- {
			switch a := w.inFlight[j]; {
			case a.canceled:
				w.answer(j, Canceled, RoleUnknown, 0)
			case a.n > 0 || a.request != "keyed" && a.request != "plain":
				w.answer(j, Answered, Primary, 0)
			}
		}
	}
	keyed, plain, inFlight := w.requests["keyed"], w.requests["plain"], w.known("g0n0").inFlight
	if !keyed.answered || plain.sent != 1 || inFlight != 0 {
		t.Fatal("keyed answered:", keyed.answered, "plain sent:", plain.sent, "counted as in flight:", inFlight)
	}
}

// One request outlives four usual responses, as a large one may: that makes no node suspected. With two in flight and
// nothing back it is suspected, until it answers a health check.
func TestOneSlowAttemptMakesNoSuspect(t *testing.T) {
	w := newShard(t, 1, 2)
	for i, requests := range []int{1, 2} {
		for j := range requests {
			w.arrive(fmt.Sprint("c", i, j), keyedWrite, 0, 4e6, 0)
		}
		w.sweeps(55)
		if n := w.known("g0n0"); n.suspected != (i == 1) {
			t.Fatal("with", len(n.attempts), "in flight, suspected:", n.suspected)
		}
	}
	w.r.HealthChecked(w.now, "g0n0", Answered)
	if w.sweeps(1); w.known("g0n0").suspected {
		t.Fatal("still suspected after a health check")
	}
}

// A node that refuses is left alone for a moment. If it refuses connections again and yet answers a health check, it has
// no places left, and no idle connections are kept. A single connection that was reset by chance must not cost every
// request a handshake for seconds.
func TestRefusingNodeCoolsDown(t *testing.T) {
	for _, outcomes := range [][]Outcome{{Rejected, Rejected}, {ConnectFailed}, {ConnectFailed, ConnectFailed}} {
		t.Run(fmt.Sprint(outcomes), func(t *testing.T) {
			w := newShard(t, 1, 2)
			w.arrive("a", plainWrite, 0, 4e6, 0)
			for _, o := range outcomes {
				w.answer(0, o, RoleUnknown, 0)
				if len(w.inFlight) > 0 {
					t.Fatal("asked again at once")
				}
				w.r.HealthChecked(w.now, "g0n0", Answered)
				w.idleClosed = nil
				w.step(200_000)
			}
			w.serve(nil)
			scarce := len(outcomes) == 2 && outcomes[1] == ConnectFailed
			if w.known("g0n0").suspected || !w.requests["a"].answered || len(w.idleClosed) == 1 != scarce {
				t.Fatal("suspected:", w.known("g0n0").suspected, "idle connections closed at:", w.idleClosed)
			}
		})
	}
}

// A node is cut off and comes back. It had places for connections all the time, so idle ones are kept.
func TestReturningNodeIsNoScarcity(t *testing.T) {
	w := newShard(t, 1, 2)
	w.arrive("a", plainWrite, 0, 4e6, 0)
	w.answer(0, ConnectFailed, RoleUnknown, 0)
	w.r.HealthChecked(w.now, "g0n0", ConnectFailed)
	w.step(300_000)
	w.r.HealthChecked(w.now, "g0n0", Answered)
	if w.known("g0n0").suspected || len(w.idleClosed) > 0 || len(w.inFlight) != 1 {
		t.Fatal("suspected:", w.known("g0n0").suspected, "idle connections closed at:", w.idleClosed,
			"in flight:", len(w.inFlight))
	}
}
