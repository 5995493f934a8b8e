package routing

import (
	"fmt"
	"slices"
	"testing"
)

// A replica's position never decreases, so a position gossiped with a delay is still valid, and the replica may serve a
// read that waits for it.
func TestGossipedPositionMakesReplicaEligible(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	h.observeReply("g0n1", Replica, h.now-300_000)
	h.observeReply("g0n0", Primary, 0)
	h.sendRequest("c", sessionRead, 0, 1e6, 250_000)
	required := h.requests["c"].required
	h.recordReply("g0n1", Replica, required)
	h.router.GossipReceived(h.now, GossipUpdate{Node: "g0n1", LearnedAt: h.now - 40_000, Position: required, Role: Replica,
		Alive: true})
	if h.soleTarget() != "g0n1" {
		t.Fatal("read not sent to the replica with the required position, but to:", h.soleTarget())
	}
	h.router.GossipReceived(h.now, GossipUpdate{Node: "unknown", LearnedAt: h.now, Position: 7, Role: Primary, Alive: true})
}

// Guards against gossip from before a failover: a gossiped role must not override a recent answer, or an answer that is
// newer than the gossip, and it proves nothing about data.
func TestGossipedRoleIsOnlyAHint(t *testing.T) {
	h := newShardHarness(t, 1, 3)
	h.observeReply("g0n0", Primary, 0)
	gossip := func(name string, at int64, role Role) {
		h.router.GossipReceived(h.now, GossipUpdate{Node: name, LearnedAt: at, Role: role, Alive: true})
	}
	gossip("g0n1", h.now, Primary)
	gossip("g0n0", h.now+1, Replica)
	if p := h.primary(0); p != "g0n0" {
		t.Fatalf("gossip overrode a recent answer: primary is %q", p)
	}
	h.advance(observedRoleTTL + 1)
	h.observeReply("g0n2", Replica, h.now)
	gossip("g0n2", h.now-1_000_000, Primary)
	if p := h.primary(0); p != "g0n0" {
		t.Fatalf("gossip older than the last answer was used: primary is %q", p)
	}
	gossip("g0n1", h.now-1_000_000, Primary)
	if p := h.primary(0); p != "g0n1" {
		t.Fatalf("gossip was ignored without a recent answer: primary is %q", p)
	}
	h.sendRequest("c", latestRead, 0, 1e6, 0)
	if len(h.inFlight) != 0 {
		t.Fatal("read of the latest data sent to a primary known only from gossip")
	}
	gossip("g0n1", h.now, Replica)
	if p := h.primary(0); p != "" {
		t.Fatalf("later gossip did not revoke the primary: primary is %q", p)
	}
}

// Guards against a disconnected peer taking nodes out of service: if another router gets no answer from a node, the
// node is only ranked behind the others, not suspected.
func TestGossipedSilenceOnlyRanksNodeLast(t *testing.T) {
	h := newShardHarness(t, 1, 3)
	h.observeReply("g0n0", Primary, 0)
	h.router.GossipReceived(h.now, GossipUpdate{Node: "g0n1", LearnedAt: h.now - 100_000, Silent: true})
	for i := range 4 {
		h.sendRequest(fmt.Sprint("c", i), eventualRead, 0, 1e6, 0)
	}
	if silent, other := h.node("g0n1").inFlight, h.node("g0n2").inFlight; silent != 0 || other != 4 {
		t.Fatal("reads sent to the silent node:", silent, "to the other node:", other)
	}
	for i := range 8 {
		h.sendRequest(fmt.Sprint("d", i), eventualRead, 0, 1e6, 0)
	}
	if h.node("g0n1").inFlight == 0 {
		t.Fatal("silent node got no reads although no other node has capacity")
	}
	h.answerAll(nil)
	if h.sendRequest("e", eventualRead, 0, 1e6, 0); h.node("g0n1").peerSilentAt > h.node("g0n1").lastReplyAt {
		t.Fatal("an answer of the node did not end its silence")
	}
}

// While another router checks a suspected node, this one doesn't. Once the other router reaches the node, this one must
// check it too, because only its own check shows whether it reaches the node.
func TestNodeCheckedByPeerIsNotCheckedTwice(t *testing.T) {
	h := newShardHarness(t, 1, 3)
	h.router.SetCheckedByPeer("g0n0", true)
	h.router.SetCheckedByPeer("unknown", true)
	for j := range 2 {
		h.sendRequest(fmt.Sprint("c", j), keyedWrite, 0, 4e6, 0)
	}
	for range 200 {
		h.runSweeps(1)
		h.healthChecks = removeNames(h.healthChecks, "g0n1", "g0n2")
	}
	if !h.node("g0n0").suspected || len(h.healthChecks) != 0 {
		t.Fatal("suspected:", h.node("g0n0").suspected, "health checks:", h.healthChecks)
	}
	h.router.GossipReceived(h.now, GossipUpdate{Node: "g0n0", LearnedAt: h.now - 100_000, Alive: true})
	if len(h.healthChecks) != 1 || !h.node("g0n0").suspected {
		t.Fatal("want one health check and the node still suspected; checks:", h.healthChecks)
	}
	h.router.HealthChecked(h.now, "g0n0", Answered)
	if h.node("g0n0").suspected {
		t.Fatal("node still suspected after a health check by this router")
	}
}

func removeNames(all []string, some ...string) []string {
	return slices.DeleteFunc(all, func(one string) bool { return slices.Contains(some, one) })
}
