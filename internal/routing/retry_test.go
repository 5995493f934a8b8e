package routing

import "testing"

// Guards against executing a request with a key twice: a retry must start within the remaining idempotency window,
// counted from the first attempt, because its shard forgets the key afterwards.
func TestRetryStartsWithinIdempotencyWindow(t *testing.T) {
	h := newShardHarness(t, 1, 1)
	h.observeReply("g0n0", Primary, 0)
	h.sendRequest("k", keyedWrite, 0, 4e6, 0)
	if h.startWithin != 0 {
		t.Errorf("first attempt must start within %d us, want no limit", h.startWithin)
	}
	h.advance(100_000)
	h.endAttempt(0, ConnectionLost, RoleUnknown, 0)
	h.runSweeps(5)
	if len(h.inFlight) != 1 || h.startWithin <= 0 || h.startWithin > modelIdempotencyWindow-100_000 {
		t.Errorf("%d attempts in flight, the retry must start within %d us", len(h.inFlight), h.startWithin)
	}
}

// Guards against canceling an attempt that can't be replaced: no further attempt may be sent, and the last one is at a
// node that is slow, silent, or no longer the primary. Its answer may be on the way, so the attempt must continue. In
// an earlier version it was canceled and the request given up.
func TestLastAttemptIsNotCanceled(t *testing.T) {
	requireInFlight := func(t *testing.T, h *harness) {
		t.Helper()
		if len(h.inFlight) != 1 || h.inFlight[0].canceled || h.requests["c"].finished {
			t.Fatalf("in flight: %+v, given up: %v", h.inFlight, h.requests["c"].finished)
		}
	}
	t.Run("no attempts left", func(t *testing.T) {
		h := newShardHarness(t, 1, 3)
		h.router.config.Attempts.Max = 1
		h.router.groups[eventualRead].avgResponseTime = 20_000
		h.runSweeps(1)
		h.sendRequest("c", eventualRead, 0, 1e6, 0)
		for range 20 {
			h.node(h.soleTarget()).lastReplyAt = h.now // the node answers others, so the attempt is considered lost
			h.runSweeps(1)
		}
		requireInFlight(t, h)
		if n := h.node(h.soleTarget()); n.inFlight != 0 {
			t.Fatalf("lost attempt still counted: %d attempts in flight at the node", n.inFlight)
		}
	})
	t.Run("deadline is near", func(t *testing.T) {
		h := newShardHarness(t, 1, 3)
		h.router.groups[eventualRead].avgResponseTime = 60_000 // eight times this ends within two sweeps of the deadline
		h.runSweeps(1)
		h.sendRequest("c", eventualRead, 0, 510_000, 0)
		h.runSweeps(25)
		requireInFlight(t, h)
	})
	t.Run("idempotency window has passed", func(t *testing.T) {
		h := newShardHarness(t, 1, 3)
		h.router.groups[keyedWrite].avgResponseTime = 1e6
		h.observeReply("g0n0", Primary, 1)
		h.sendRequest("c", keyedWrite, 0, 4e6, 0)
		h.runSweeps(modelIdempotencyWindow/sweepInterval + 2)
		h.observeReply("g0n1", Primary, 1)
		requireInFlight(t, h)
	})
}
