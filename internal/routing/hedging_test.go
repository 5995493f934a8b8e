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

// A late read finds no node for its hedge, because none has capacity, and is queued. Only a hedge that is sent may be paid
// for: seen, each of them took one out of the budget, which was empty when a node could have answered.
func TestHedgeIsPaidForWhenSent(t *testing.T) {
	w := newShard(t, 2, 2)
	w.r.groups[eventualRead].usualResponse = 20_000
	w.sweeps(1)
	primary := w.known("g0n0")
	primary.coolDownUntil = w.now + 9e6
	w.r.hedgingBudget = 1
	w.arrive("c", eventualRead, 0, 1e6, 0)
	w.sweeps(7)
	if c := w.requests["c"]; c.sent != 1 || w.r.hedgingBudget < 1 {
		t.Fatalf("sent %d times, budget %v, before any node can take the hedge", c.sent, w.r.hedgingBudget)
	}
	primary.coolDownUntil = 0
	w.sweeps(1)
	if c := w.requests["c"]; c.sent != 2 || w.r.hedgingBudget >= 1 {
		t.Fatalf("sent %d times, budget %v, once a node can take the hedge", c.sent, w.r.hedgingBudget)
	}
}

// Two late reads are queued for a hedge while the budget allows one. The second stays with its first attempt: the budget
// bounds what hedges cost, however long they were queued.
func TestQueuedHedgesStayWithinTheBudget(t *testing.T) {
	w := newShard(t, 2, 2)
	w.r.groups[eventualRead].usualResponse = 20_000
	w.sweeps(1)
	primary := w.known("g0n0")
	primary.coolDownUntil = w.now + 9e6
	w.known("g0n1").limit = 8
	w.r.hedgingBudget = 0.5
	w.arrive("a", eventualRead, 0, 1e6, 0)
	w.arrive("b", eventualRead, 0, 1e6, 0)
	for _, id := range []string{"a", "b"} {
		w.r.requests[id].shard.enqueue(w.r.requests[id])
	}
	w.known("g0n1").suspected = true // no replica will take them, so the primary does
	primary.coolDownUntil = 0
	primary.limit = 8
	w.step(20_000)
	if sent := w.requests["a"].sent + w.requests["b"].sent; sent != 3 || w.r.hedgingBudget < 0 {
		t.Fatalf("%d attempts of two reads, budget %v", sent, w.r.hedgingBudget)
	}
}
