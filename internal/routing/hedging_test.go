package routing

import "testing"

// A late request is hedged at another node. Health checks have a budget of the same kind and must stop when no requests
// refill it.
func TestHedgeAndHealthCheckBudget(t *testing.T) {
	h := newShardHarness(t, 2, 3)
	h.router.hedgingBudget = 1
	h.router.groups[eventualRead].avgResponseTime = 20_000
	h.sendRequest("c", eventualRead, 0, 1e6, 0)
	h.runSweeps(7)
	if len(h.inFlight) != 2 || h.inFlight[0].node == h.inFlight[1].node {
		t.Fatal("in flight:", h.inFlight)
	}
	for i := range 30 {
		n := h.router.nodes[i%3]
		h.router.checkHealth(n, h.now, 1)
		n.checkPending = false
	}
	if len(h.healthChecks) > healthCheckBurst {
		t.Fatal("health checks beyond the budget:", len(h.healthChecks))
	}
}

// Guards against counting a lost attempt down repeatedly: a read is hedged in the same sweep in which its first attempt
// is considered lost, because the budget allowed no hedge before. If every later sweep released the attempt's slot
// again, the node would appear to have capacity that it lacks.
func TestHedgedLostAttemptIsCountedOnce(t *testing.T) {
	h := newShardHarness(t, 2, 3)
	h.router.groups[longRead].avgResponseTime = 50_000
	h.runSweeps(1) // the first sweep counts as the end of a stall
	h.sendRequest("c", longRead, 0, 6e6, 0)
	first := h.node(h.soleTarget())
	sent := h.now
	for range 30 {
		if h.now+20_000-sent > 8*50_000 {
			h.router.hedgingBudget = 1
		}
		first.lastReplyAt = h.now // it answers other requests meanwhile
		h.runSweeps(1)
	}
	if len(h.inFlight) != 2 || first.inFlight != 0 {
		t.Fatal("in flight:", len(h.inFlight), "counted as in flight at the first node:", first.inFlight)
	}
	h.answerAll(nil)
	for _, n := range h.router.nodes {
		if n.inFlight != 0 {
			t.Errorf("%d attempts counted as in flight at %s after all have ended", n.inFlight, n.name)
		}
	}
}

// Guards against giving up a read that is late in its last attempt: no attempt is left for a hedge although the budget
// allows one, and the attempt in flight may still be answered before the deadline. In an earlier version the read was
// given up and its attempt canceled.
func TestHedgeDoesNotCancelLastAttempt(t *testing.T) {
	h := newShardHarness(t, 2, 3)
	h.router.config.Attempts.Max = 1
	h.router.groups[eventualRead].avgResponseTime = 20_000
	h.runSweeps(1)
	h.router.hedgingBudget = 1
	h.sendRequest("c", eventualRead, 0, 1e6, 0)
	h.runSweeps(7)
	if len(h.inFlight) != 1 || h.requests["c"].finished || h.inFlight[0].canceled {
		t.Fatalf("in flight: %+v, given up: %v", h.inFlight, h.requests["c"].finished)
	}
}

// Guards against charging the budget for hedges that aren't sent: a late read is queued because no node has capacity
// for its hedge. In an earlier version each such hedge was charged, and the budget was empty when a node could have
// answered.
func TestHedgingBudgetIsChargedWhenSent(t *testing.T) {
	h := newShardHarness(t, 2, 2)
	h.router.groups[eventualRead].avgResponseTime = 20_000
	h.runSweeps(1)
	primary := h.node("g0n0")
	primary.coolDownUntil = h.now + 9e6
	h.router.hedgingBudget = 1
	h.sendRequest("c", eventualRead, 0, 1e6, 0)
	h.runSweeps(7)
	if c := h.requests["c"]; c.started != 1 || h.router.hedgingBudget < 1 {
		t.Fatalf("sent %d times, budget %v, before any node has capacity for the hedge",
			c.started, h.router.hedgingBudget)
	}
	primary.coolDownUntil = 0
	h.runSweeps(1)
	if c := h.requests["c"]; c.started != 2 || h.router.hedgingBudget >= 1 {
		t.Fatalf("sent %d times, budget %v, once a node has capacity for the hedge", c.started, h.router.hedgingBudget)
	}
}

// Guards against queued hedges exceeding the budget: two late reads are queued for a hedge while the budget allows one.
// The second one must keep only its first attempt, however long the hedges were queued.
func TestQueuedHedgesStayWithinBudget(t *testing.T) {
	h := newShardHarness(t, 2, 2)
	h.router.groups[eventualRead].avgResponseTime = 20_000
	h.runSweeps(1)
	primary := h.node("g0n0")
	primary.coolDownUntil = h.now + 9e6
	h.node("g0n1").limit = 8
	h.router.hedgingBudget = 0.5
	h.sendRequest("a", eventualRead, 0, 1e6, 0)
	h.sendRequest("b", eventualRead, 0, 1e6, 0)
	for _, id := range []string{"a", "b"} {
		h.router.requests[id].shard.enqueue(h.router.requests[id])
	}
	h.node("g0n1").suspected = true // no replica can take them, so the primary does
	primary.coolDownUntil = 0
	primary.limit = 8
	h.advance(20_000)
	if sent := h.requests["a"].started + h.requests["b"].started; sent != 3 || h.router.hedgingBudget < 0 {
		t.Fatalf("%d attempts for two reads, budget %v", sent, h.router.hedgingBudget)
	}
}
