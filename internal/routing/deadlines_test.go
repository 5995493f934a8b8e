package routing

import (
	"fmt"
	"testing"
)

// Guards against sending a write too late: a primary is found when a queued write has 50 ms left. Its answer could
// hardly arrive in time, and the client would not know whether the write was executed.
func TestWriteIsNotSentNearItsDeadline(t *testing.T) {
	h := newShardHarness(t, 1, 3)
	h.observeReply("g0n0", Replica, 1)
	h.sendRequest("c", plainWrite, 0, 2e6, 0)
	h.advance(1_950_000)
	h.observeReply("g0n1", Primary, 0)
	h.router.HealthChecked(h.now, "g0n1", Answered)
	if c := h.requests["c"]; c.started != 0 || !c.finished {
		t.Fatal("write sent 50 ms before its deadline")
	}
}

// Guards against queueing a write until its deadline: without a known primary, a write must be rejected while its
// client still has time for another attempt.
func TestUnsentWriteLeavesTimeForAnotherAttempt(t *testing.T) {
	h := newHarness(t, 1)
	h.router.BeginEndpointList(h.now, true)
	h.sendEndpoint("g0n1", false) // no node is the primary
	h.router.EndEndpointList(h.now)
	c := h.sendRequest("w", plainWrite, 0, 4_000_000, 0)
	for h.advance(10_000); !c.finished; h.advance(10_000) {
	}
	if queued := h.now - c.arrivedAt; queued < 1_700_000 || queued > 2_000_000 {
		t.Errorf("write queued for %d us of 4000000 us", queued)
	}
}

// Guards against a permanent rejection of reads: when all responses are slower than the latency objective, rejecting
// every read on arrival would keep the average response time from ever recovering.
func TestSlowResponsesDoNotRejectAllReads(t *testing.T) {
	h := newShardHarness(t, 1, 3)
	for i := range 100 {
		h.sendRequest(fmt.Sprint("c", i), eventualRead, 0, 1e6, 0)
		h.advance(400_000)
		h.answerAll(nil)
	}
	h.advance(100_000)
	h.sendRequest("last", eventualRead, 0, 1e6, 0)
	if len(h.inFlight) != 1 {
		t.Fatal("read not sent to idle nodes")
	}
}

// Guards against mistaking clients' first attempts for later ones. First attempts may arrive with less than the group's
// whole timeout, and last attempts with whatever remains of it; a mistaken first attempt would lose its weight after a
// fraction of its time.
func TestFirstClientAttemptIsRecognized(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	for _, n := range h.router.nodes {
		n.coolDownUntil = h.now + 9e6 // every request is queued
	}
	sendRequestWithTimeLeft := func(id string, left int64) int64 {
		h.sendRequest(id, eventualRead, 0, left, 0)
		return h.router.requests[id].sendBefore - h.now
	}
	first := sendRequestWithTimeLeft("a", 830_000)
	for i, c := range []struct {
		left  int64
		later bool
	}{{830_000, false}, {831_000, false}, {990_000, true}, {830_000, false}, {300_000, true}, {829_000, false}} {
		if got := sendRequestWithTimeLeft(fmt.Sprint("b", i), c.left); got < first != c.later {
			t.Errorf("case %d: %d us left of 1 s: must be sent within %d us, a first attempt within %d us",
				i, c.left, got, first)
		}
	}
	for i := range 40 { // the clients' timeout changes from here on
		sendRequestWithTimeLeft(fmt.Sprint("c", i), 500_000)
	}
	if got := sendRequestWithTimeLeft("d", 500_000); got < first {
		t.Errorf("first attempt after a timeout change taken for a later one: must be sent within %d us, want at least %d us",
			got, first)
	}
}
