package routing

import (
	"fmt"
	"slices"
	"testing"
)

// The settings say that a list which calls a node gone isn't believed, so an empty list doesn't stop the work. A node
// that drained before stays closed all the same.
func TestRemovedAfterDrainStaysClosed(t *testing.T) {
	w := newWorld(t, 1)
	w.r.config.UseVanishedNodes = true
	w.list(1, 3)
	for _, state := range []EndpointState{Draining, Removed} {
		w.r.BeginEndpointList(w.now, false)
		w.r.UpdateEndpoint(w.now, endpoint("g0n1", 0, state))
		w.r.EndEndpointList(w.now)
	}
	w.draining["g0n1"] = true
	w.r.BeginEndpointList(w.now, true)
	w.r.EndEndpointList(w.now)
	for i := range 12 {
		w.arrive(fmt.Sprint("c", i), eventualRead, 0, 1e6, 0)
	}
	if len(w.inFlight) == 0 {
		t.Fatal("an empty list stopped all work")
	}
}

// A shard's nodes are replaced all day, each by one with a new name. What is kept must not grow with the names that ever
// were, and a primary is found among the present nodes at once.
func TestNodesReplacedAllDay(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 300 {
		w.r.BeginEndpointList(w.now, i%2 == 0)
		for j := max(0, i-3); j <= i; j++ {
			state := Up
			if j == i-2 {
				state = Draining
			} else if j == i-3 {
				state = Removed
			}
			if i%2 > 0 || state != Removed {
				w.r.UpdateEndpoint(w.now, endpoint(fmt.Sprint("n", j), 0, state))
			}
		}
		w.r.EndEndpointList(w.now)
		for range 100 {
			w.step(20_000)
		}
	}
	if slots, members := len(w.r.nodes), len(w.r.shards[0].members); slots > 8 || members > 8 {
		t.Errorf("%d slots and %d members for three nodes", slots, members)
	}
	w.shard["n299"] = 0
	w.checks = nil
	w.arrive("a", plainWrite, 0, 4e6, 0)
	for range 2 { // one question for each present node
		w.sweeps(3)
		for _, n := range w.checks {
			w.tell(n, RoleUnknown, 0)
			w.r.ReportedRole(w.now, n, n == "n299")
			w.r.HealthChecked(w.now, n, Answered)
		}
		w.checks = nil
	}
	if w.sentTo() != "n299" {
		t.Error("no primary found among the present nodes but", w.sentTo())
	}
}

// An attempt waits for its connection while its node drains, ends, or is left out of a full list. What has not begun
// there must not begin any more; that is told once.
func TestAttemptMayWaitWhileItsNodeDrains(t *testing.T) {
	for name, happens := range map[string]func(w *world){
		"it drains": func(w *world) { w.draining["g0n1"] = true; w.change("g0n1"); w.change("g0n1") },
		"it is gone": func(w *world) {
			w.r.BeginEndpointList(w.now, false)
			w.r.UpdateEndpoint(w.now, endpoint("g0n1", 0, Removed))
			w.r.EndEndpointList(w.now)
		},
		"it is not named": func(w *world) { w.list(1, 1); w.list(1, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newShard(t, 1, 2)
			if len(w.stopped) > 0 {
				t.Errorf("stopped at the start: %v", w.stopped)
			}
			if happens(w); !slices.Equal(w.stopped, []string{"g0n1"}) {
				t.Errorf("stopped: %v", w.stopped)
			}
		})
	}
}

// The list puts a node into another shard. What it proved, and that it was the primary, was about the other one's data.
func TestNodeMovesToAnotherShard(t *testing.T) {
	w := newWorld(t, 1)
	w.list(2, 2)
	w.seen("g0n1", Replica, w.now)
	w.seen("g0n0", Primary, 0)
	for _, name := range []string{"g0n0", "g0n1"} {
		w.shard[name] = 1
		w.pos[name] = 0
		w.leads[name] = false
		w.change(name)
	}
	w.arrive("a", boundedRead, 0, 1e6, 0) // nobody is left there
	w.arrive("b", boundedRead, 1, 1e6, 0) // nobody is proven here; the model would complain
	if w.sweeps(4); len(w.inFlight) > 0 {
		t.Errorf("sent to %s", w.inFlight[0].node)
	}
	if p := w.primary(0); p != "" {
		t.Errorf("%s is the primary of a shard that it left", p)
	}
}
