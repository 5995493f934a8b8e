package routing

import (
	"fmt"
	"slices"
	"testing"
)

// With UseRemovedNodes, removed nodes stay in use, so an empty list must not stop all work. A node that drained before
// it was removed must stay unused.
func TestDrainedNodeStaysUnusedAfterRemoval(t *testing.T) {
	h := newHarness(t, 1)
	h.router.config.UseRemovedNodes = true
	h.sendFullList(1, 3)
	for _, state := range []EndpointState{Draining, Removed} {
		h.router.BeginEndpointList(h.now, false)
		h.router.UpdateEndpoint(h.now, endpoint("g0n1", 0, state))
		h.router.EndEndpointList(h.now)
	}
	h.draining["g0n1"] = true
	h.router.BeginEndpointList(h.now, true)
	h.router.EndEndpointList(h.now)
	for i := range 12 {
		h.sendRequest(fmt.Sprint("c", i), eventualRead, 0, 1e6, 0)
	}
	if len(h.inFlight) == 0 {
		t.Fatal("no requests sent after an empty list")
	}
}

// Guards against unbounded growth when a shard's nodes are continually replaced under new names. The state kept must
// not grow with the number of names, and the primary must be found among the current nodes without delay.
func TestReplacedNodesAreForgotten(t *testing.T) {
	h := newHarness(t, 1)
	for i := range 300 {
		h.router.BeginEndpointList(h.now, i%2 == 0)
		for j := max(0, i-3); j <= i; j++ {
			state := Up
			if j == i-2 {
				state = Draining
			} else if j == i-3 {
				state = Removed
			}
			if i%2 > 0 || state != Removed {
				h.router.UpdateEndpoint(h.now, endpoint(fmt.Sprint("n", j), 0, state))
			}
		}
		h.router.EndEndpointList(h.now)
		for range 100 {
			h.advance(20_000)
		}
	}
	if slots, members := len(h.router.nodes), len(h.router.shards[0].members); slots > 8 || members > 8 {
		t.Errorf("got %d slots and %d members for three nodes", slots, members)
	}
	h.shardOf["n299"] = 0
	h.healthChecks = nil
	h.sendRequest("a", plainWrite, 0, 4e6, 0)
	for range 2 { // one query for each current node
		h.runSweeps(3)
		for _, n := range h.healthChecks {
			h.recordReply(n, RoleUnknown, 0)
			h.router.ReportedRole(h.now, n, n == "n299")
			h.router.HealthChecked(h.now, n, Answered)
		}
		h.healthChecks = nil
	}
	if h.soleTarget() != "n299" {
		t.Error("write not sent to the current primary, but to:", h.soleTarget())
	}
}

// Guards against attempts that start at a node after the list disallowed it: an attempt may wait for a connection while
// its node drains, is removed, or is missing from a full list. The Router must call RecheckWaiting exactly once.
func TestNewAttemptsStopWhenNodeIsDisallowed(t *testing.T) {
	for name, happens := range map[string]func(h *harness){
		"node drains": func(h *harness) { h.draining["g0n1"] = true; h.sendListChange("g0n1"); h.sendListChange("g0n1") },
		"node is removed": func(h *harness) {
			h.router.BeginEndpointList(h.now, false)
			h.router.UpdateEndpoint(h.now, endpoint("g0n1", 0, Removed))
			h.router.EndEndpointList(h.now)
		},
		"node is missing from a full list": func(h *harness) { h.sendFullList(1, 1); h.sendFullList(1, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newShardHarness(t, 1, 2)
			if len(h.rechecked) > 0 {
				t.Errorf("RecheckWaiting called before the list changed: %v", h.rechecked)
			}
			if happens(h); !slices.Equal(h.rechecked, []string{"g0n1"}) {
				t.Errorf("RecheckWaiting called for %v, want one call for g0n1", h.rechecked)
			}
		})
	}
}

// Guards against reusing a node's position and primary role after the list moves it to another shard: both applied to
// the other shard's data.
func TestNodeMovedToAnotherShardLosesState(t *testing.T) {
	h := newHarness(t, 1)
	h.sendFullList(2, 2)
	h.observeReply("g0n1", Replica, h.now)
	h.observeReply("g0n0", Primary, 0)
	for _, name := range []string{"g0n0", "g0n1"} {
		h.shardOf[name] = 1
		h.positions[name] = 0
		h.reportedPrimary[name] = false
		h.sendListChange(name)
	}
	h.sendRequest("a", boundedRead, 0, 1e6, 0) // the shard has no nodes left
	h.sendRequest("b", boundedRead, 1, 1e6, 0) // no node has reported a position here; the model would fail the test
	if h.runSweeps(4); len(h.inFlight) > 0 {
		t.Errorf("read sent to %s", h.inFlight[0].node)
	}
	if p := h.primary(0); p != "" {
		t.Errorf("%s is still the primary of its former shard", p)
	}
}

// Guards against applying what was learned about a node before the list moved it to another shard: another router's
// observation, and a miss of an attempt that began there. Both tell nothing of the shard that it belongs to now.
func TestObservationsBeforeMoveAreIgnored(t *testing.T) {
	h := newHarness(t, 1)
	h.sendFullList(2, 2)
	h.observeReply("g0n0", Primary, 0)
	h.sendRequest("w", plainWrite, 0, 4e6, 0)
	learnedAt := h.now
	h.advance(1_000)
	h.shardOf["g0n0"] = 1
	h.sendListChange("g0n0")
	h.positions["g0n0"] = 0
	h.router.GossipReceived(h.now, GossipUpdate{Node: "g0n0", LearnedAt: learnedAt, Position: learnedAt, Role: Primary})
	if n := h.node("g0n0"); n.position != 0 || n.shard.primary == n {
		t.Errorf("position %d, primary %v from before the move", n.position, n.shard.primary == n)
	}
	h.router.GossipReceived(h.now, GossipUpdate{Node: "g0n0", LearnedAt: h.now + 1, Position: 7})
	if n := h.node("g0n0"); n.position != 7 {
		t.Errorf("position %d, want the one learned after the move", n.position)
	}
	h.observeReply("g0n0", Primary, 0)
	h.router.AttemptEnded(h.now, AttemptResult{RequestID: "w", Outcome: NotPrimary})
	if p := h.primary(1); p != "g0n0" {
		t.Errorf("the primary of its shard is %q after a miss of an attempt for the former one", p)
	}
}
