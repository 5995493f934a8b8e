package routing

import (
	"fmt"
	"testing"
)

// The only replica lags past the rotation bound and the primary is full. The replica still serves reads that take any
// data: they would be rejected otherwise.
func TestLaggingReplicaServesEventualReads(t *testing.T) {
	w := newShard(t, 1, 2)
	w.seen("g0n0", Primary, 0)
	w.seen("g0n1", Replica, w.now-9_000_000)
	for i := range 20 {
		w.arrive(fmt.Sprint("c", i), eventualRead, 0, 1e6, 0)
	}
	if at := w.known("g0n1").inFlight; at < 3 {
		t.Fatalf("the lagging replica got %d reads", at)
	}
}

// Every replica lags past a bounded read's bound, and none can catch up in time. To wait would be pointless, so the
// primary takes the read at once.
func TestBoundedReadDoesNotWaitForLaggingReplicas(t *testing.T) {
	w := newShard(t, 1, 2)
	for i, role := range []Role{Primary, Replica} {
		w.seen(fmt.Sprint("g0n", i), role, w.now-9_000_000)
	}
	w.arrive("c", boundedRead, 0, 1e6, 0)
	if w.sentTo() != "g0n0" {
		t.Fatal("not sent to the primary but", w.sentTo())
	}
}

// All replicas lag, so the primary serves reads. They may have all of its limit but one place, which a write still
// finds. With half of it the primary stood half idle while reads were rejected.
func TestReadsLeavePrimaryCapacityForAWrite(t *testing.T) {
	w := newShard(t, 1, 2)
	for i, role := range []Role{Primary, Replica} {
		w.seen(fmt.Sprint("g0n", i), role, w.now-9_000_000)
	}
	w.known("g0n0").limit = 4
	for i := range 9 {
		w.arrive(fmt.Sprint("c", i), boundedRead, 0, 1e6, 0)
	}
	if reads := len(w.inFlight); reads != 3 {
		t.Errorf("%d reads at a primary's limit of 4", reads)
	}
	w.arrive("w", plainWrite, 0, 4e6, 0)
	if last := w.inFlight[len(w.inFlight)-1]; last.request != "w" {
		t.Error("no capacity for a write")
	}
}
