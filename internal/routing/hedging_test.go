package routing

import "testing"

// A request is late. It is sent once more, at another node. Health checks, which share their way of being paid for, stop
// when no request pays.
func TestHedgeAndHealthCheckBudget(t *testing.T) {
	w := newShard(t, 2, 3)
	w.r.hedgingBudget = 1
	w.r.groups[eventualRead].usualResponse = 20_000
	w.arrive("c", eventualRead, 0, 1e6, 0)
	w.sweeps(7)
	if len(w.inFlight) != 2 || w.inFlight[0].node == w.inFlight[1].node {
		t.Fatal("in flight:", w.inFlight)
	}
	for i := range 30 {
		n := w.r.nodes[i%3]
		w.r.checkHealth(n, w.now, 1)
		n.checkPending = false
	}
	if len(w.checks) > healthCheckBurst {
		t.Fatal("unpaid health checks:", len(w.checks))
	}
}

// A read is hedged in the very sweep in which its first attempt is taken to be lost, because the budget allowed no hedge
// before. The node must give up its place in flight once: counted down again in each later sweep, it would seem to have
// capacity that it hasn't.
func TestLostAttemptThatIsHedgedCountsOnce(t *testing.T) {
	w := newShard(t, 2, 3)
	w.r.groups[longRead].usualResponse = 50_000
	w.sweeps(1) // the first one counts as the end of a standstill
	w.arrive("c", longRead, 0, 6e6, 0)
	first := w.known(w.sentTo())
	sent := w.now
	for range 30 {
		if w.now+20_000-sent > 8*50_000 {
			w.r.hedgingBudget = 1
		}
		first.answeredAt = w.now // it answers other routers' requests meanwhile
		w.sweeps(1)
	}
	if len(w.inFlight) != 2 || first.inFlight != 0 {
		t.Fatal("in flight:", len(w.inFlight), "counted at the first node:", first.inFlight)
	}
	w.serve(nil)
	for _, n := range w.r.nodes {
		if n.inFlight != 0 {
			t.Errorf("%d counted as in flight at %s after all has ended", n.inFlight, n.name)
		}
	}
}

// A read is late in its last attempt, and the budget allows a hedge. There is no attempt left for one, so the attempt in
// flight must go on: it may be answered within the deadline. Seen: the read is given up and its attempt canceled.
func TestHedgeLeavesLastAttemptAlone(t *testing.T) {
	w := newShard(t, 2, 3)
	w.r.config.Attempts.Max = 1
	w.r.groups[eventualRead].usualResponse = 20_000
	w.sweeps(1)
	w.r.hedgingBudget = 1
	w.arrive("c", eventualRead, 0, 1e6, 0)
	w.sweeps(7)
	if len(w.inFlight) != 1 || w.requests["c"].finished || w.inFlight[0].canceled {
		t.Fatalf("in flight: %+v, given up: %v", w.inFlight, w.requests["c"].finished)
	}
}
