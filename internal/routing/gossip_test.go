package routing

import (
	"fmt"
	"slices"
	"testing"
)

// Another router tells a position that it learnt a while ago. A log never goes back, so the replica holds it still and
// may serve the read that waits for it.
func TestGossipedPositionProves(t *testing.T) {
	w := newShard(t, 1, 2)
	w.seen("g0n1", Replica, w.now-300_000)
	w.seen("g0n0", Primary, 0)
	w.arrive("c", sessionRead, 0, 1e6, 250_000)
	required := w.requests["c"].required
	w.tell("g0n1", Replica, required)
	w.r.GossipReceived(w.now, GossipUpdate{Node: "g0n1", LearntAt: w.now - 40_000, Position: required, Role: Replica,
		Alive: true})
	if w.sentTo() != "g0n1" {
		t.Fatal("not sent to the proven replica but", w.sentTo())
	}
	w.r.GossipReceived(w.now, GossipUpdate{Node: "nobody", LearntAt: w.now, Position: 7, Role: Primary, Alive: true})
}

// Another router tells a role, maybe from before a failover. It must not move a belief that an answer made within the
// last seconds or since it was learnt, and it proves no data.
func TestGossipedRoleIsAHint(t *testing.T) {
	w := newShard(t, 1, 3)
	w.seen("g0n0", Primary, 0)
	hear := func(name string, at int64, role Role) {
		w.r.GossipReceived(w.now, GossipUpdate{Node: name, LearntAt: at, Role: role, Alive: true})
	}
	hear("g0n1", w.now, Primary)
	hear("g0n0", w.now+1, Replica)
	if p := w.primary(0); p != "g0n0" {
		t.Fatalf("gossip stood over an answer: %q", p)
	}
	w.step(roleTrustedFor + 1)
	w.seen("g0n2", Replica, w.now)
	hear("g0n2", w.now-1_000_000, Primary)
	if p := w.primary(0); p != "g0n0" {
		t.Fatalf("gossip from before an answer counted: %q", p)
	}
	hear("g0n1", w.now-1_000_000, Primary)
	if p := w.primary(0); p != "g0n1" {
		t.Fatalf("nothing was heard for long, and the hint was passed over: %q", p)
	}
	w.arrive("c", latestRead, 0, 1e6, 0)
	if len(w.inFlight) != 0 {
		t.Fatal("the latest data was read from a node that only another router calls the primary")
	}
	hear("g0n1", w.now, Replica)
	if p := w.primary(0); p != "" {
		t.Fatalf("later gossip did not take the hint back: %q", p)
	}
}

// Another router has no answer of a node; it may be the one that is cut off. The node is then taken after the others,
// and isn't suspected.
func TestGossipedSilenceOnlyPutsNodeLast(t *testing.T) {
	w := newShard(t, 1, 3)
	w.seen("g0n0", Primary, 0)
	w.r.GossipReceived(w.now, GossipUpdate{Node: "g0n1", LearntAt: w.now - 100_000, Silent: true})
	for i := range 4 {
		w.arrive(fmt.Sprint("c", i), eventualRead, 0, 1e6, 0)
	}
	if silent, other := w.known("g0n1").inFlight, w.known("g0n2").inFlight; silent != 0 || other != 4 {
		t.Fatal("reads went to the silent one:", silent, "to the other:", other)
	}
	for i := range 8 {
		w.arrive(fmt.Sprint("d", i), eventualRead, 0, 1e6, 0)
	}
	if w.known("g0n1").inFlight == 0 {
		t.Fatal("it gets nothing though the rest has no capacity")
	}
	w.serve(nil)
	if w.arrive("e", eventualRead, 0, 1e6, 0); w.known("g0n1").peerSilentAt > w.known("g0n1").answeredAt {
		t.Fatal("its own answer did not end it")
	}
}

// Another router checks a suspected node, so this one doesn't, until the other reaches it: then this one checks for
// itself, since only it can tell whether it reaches the node.
func TestPeerChecksSuspectedNode(t *testing.T) {
	w := newShard(t, 1, 3)
	w.r.SetCheckedByPeer("g0n0", true)
	w.r.SetCheckedByPeer("nobody", true)
	for j := range 2 {
		w.arrive(fmt.Sprint("c", j), keyedWrite, 0, 4e6, 0)
	}
	for range 200 {
		w.sweeps(1)
		w.checks = without(w.checks, "g0n1", "g0n2")
	}
	if !w.known("g0n0").suspected || len(w.checks) != 0 {
		t.Fatal("suspected:", w.known("g0n0").suspected, "checks:", w.checks)
	}
	w.r.GossipReceived(w.now, GossipUpdate{Node: "g0n0", LearntAt: w.now - 100_000, Alive: true})
	if len(w.checks) != 1 || !w.known("g0n0").suspected {
		t.Fatal("gossip alone ended the suspicion, or was not looked into:", w.checks)
	}
	w.r.HealthChecked(w.now, "g0n0", Answered)
	if w.known("g0n0").suspected {
		t.Fatal("still suspected after its own check")
	}
}

func without(all []string, some ...string) []string {
	return slices.DeleteFunc(all, func(one string) bool { return slices.Contains(some, one) })
}
