package routing

import (
	"fmt"
	"testing"
)

// Guards against lost answers holding capacity forever: the network drops the answers to two writes while the node
// answers others. Both must stop counting as in flight, and the one with a key must be sent again.
func TestLostAttemptIsRetried(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	h.observeReply("g0n0", Primary, 0)
	h.sendRequest("keyed", keyedWrite, 0, 4e6, 0)
	h.sendRequest("plain", plainWrite, 0, 4e6, 0)
	for i := range 120 {
		h.sendRequest(fmt.Sprint("c", i), keyedWrite, 0, 4e6, 0)
		h.advance(20_000)
		for j := len(h.inFlight) - 1; j >= 0; j-- {
			switch a := h.inFlight[j]; {
			case a.canceled:
				h.endAttempt(j, Canceled, RoleUnknown, 0)
			case a.number > 0 || a.request != "keyed" && a.request != "plain":
				h.endAttempt(j, Answered, Primary, 0)
			}
		}
	}
	keyed, plain, inFlight := h.requests["keyed"], h.requests["plain"], h.node("g0n0").inFlight
	if !keyed.answered || plain.started != 1 || inFlight != 0 {
		t.Fatal("request with key answered:", keyed.answered, "request without key sent:", plain.started,
			"counted as in flight:", inFlight)
	}
}

// A single request may exceed four average response times because it is large, so it must not make the node suspected.
// With two in flight and no answer the node is suspected, until it answers a health check.
func TestOneSlowAttemptDoesNotSuspectNode(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	for i, requests := range []int{1, 2} {
		for j := range requests {
			h.sendRequest(fmt.Sprint("c", i, j), keyedWrite, 0, 4e6, 0)
		}
		h.runSweeps(55)
		if n := h.node("g0n0"); n.suspected != (i == 1) {
			t.Fatal("attempts in flight:", len(n.attempts), "suspected:", n.suspected)
		}
	}
	h.router.HealthChecked(h.now, "g0n0", Answered)
	if h.runSweeps(1); h.node("g0n0").suspected {
		t.Fatal("node still suspected after an answered health check")
	}
}

// A node that rejects a request must cool down. If it fails connections repeatedly and yet answers a health check, it
// has no free connections, and no idle ones are kept. A single connection reset by chance must not cost every request a
// handshake for seconds.
func TestRejectingNodeCoolsDown(t *testing.T) {
	for _, outcomes := range [][]Outcome{{Rejected, Rejected}, {ConnectFailed}, {ConnectFailed, ConnectFailed}} {
		t.Run(fmt.Sprint(outcomes), func(t *testing.T) {
			h := newShardHarness(t, 1, 2)
			h.sendRequest("a", plainWrite, 0, 4e6, 0)
			for _, o := range outcomes {
				h.endAttempt(0, o, RoleUnknown, 0)
				if len(h.inFlight) > 0 {
					t.Fatal("request sent again immediately")
				}
				h.router.HealthChecked(h.now, "g0n0", Answered)
				h.idleClosed = nil
				h.advance(200_000)
			}
			h.answerAll(nil)
			scarce := len(outcomes) == 2 && outcomes[1] == ConnectFailed
			if h.node("g0n0").suspected || !h.requests["a"].answered || len(h.idleClosed) == 1 != scarce {
				t.Fatal("suspected:", h.node("g0n0").suspected, "idle connections closed at:", h.idleClosed)
			}
		})
	}
}

// A node that was unreachable and recovers had free connections all the time, so idle connections must be kept.
func TestRecoveredNodeKeepsIdleConnections(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	h.sendRequest("a", plainWrite, 0, 4e6, 0)
	h.endAttempt(0, ConnectFailed, RoleUnknown, 0)
	h.router.HealthChecked(h.now, "g0n0", ConnectFailed)
	h.advance(300_000)
	h.router.HealthChecked(h.now, "g0n0", Answered)
	if h.node("g0n0").suspected || len(h.idleClosed) > 0 || len(h.inFlight) != 1 {
		t.Fatal("suspected:", h.node("g0n0").suspected, "idle connections closed at:", h.idleClosed,
			"in flight:", len(h.inFlight))
	}
}
