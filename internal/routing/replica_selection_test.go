package routing

import (
	"fmt"
	"testing"
)

// The only replica lags by more than maxNormalLag and the primary is full. The replica must still serve eventual reads,
// which would be rejected otherwise.
func TestLaggingReplicaServesEventualReads(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	h.observeReply("g0n0", Primary, 0)
	h.observeReply("g0n1", Replica, h.now-9_000_000)
	for i := range 20 {
		h.sendRequest(fmt.Sprint("c", i), eventualRead, 0, 1e6, 0)
	}
	if at := h.node("g0n1").inFlight; at < 3 {
		t.Fatalf("lagging replica got %d reads, want at least 3", at)
	}
}

// Every replica lags by more than the maximum staleness of a bounded read and can't catch up in time. Waiting would be
// useless, so the primary must serve the read immediately.
func TestBoundedReadDoesNotWaitForLaggingReplicas(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	for i, role := range []Role{Primary, Replica} {
		h.observeReply(fmt.Sprint("g0n", i), role, h.now-9_000_000)
	}
	h.sendRequest("c", boundedRead, 0, 1e6, 0)
	if h.soleTarget() != "g0n0" {
		t.Fatal("read not sent to the primary, but to:", h.soleTarget())
	}
}

// All replicas lag, so the primary serves reads. They may use its limit except for one slot, which must remain for a
// write. With half of the limit, the primary was half idle while reads were rejected.
func TestReadsLeavePrimaryCapacityForAWrite(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	for i, role := range []Role{Primary, Replica} {
		h.observeReply(fmt.Sprint("g0n", i), role, h.now-9_000_000)
	}
	h.node("g0n0").limit = 4
	for i := range 9 {
		h.sendRequest(fmt.Sprint("c", i), boundedRead, 0, 1e6, 0)
	}
	if reads := len(h.inFlight); reads != 3 {
		t.Errorf("%d reads sent to a primary with a limit of 4, want 3", reads)
	}
	h.sendRequest("w", plainWrite, 0, 4e6, 0)
	if last := h.inFlight[len(h.inFlight)-1]; last.request != "w" {
		t.Error("no capacity left for the write")
	}
}
