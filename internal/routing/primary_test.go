package routing

import "testing"

// The primary hangs with a write in flight. It must get no more writes: they are queued, members are asked for the
// successor, and the successor gets them.
func TestSuspectedPrimaryGetsNoWrites(t *testing.T) {
	w := newShard(t, 1, 3)
	w.seen("g0n0", Primary, 0)
	w.arrive("trapped", plainWrite, 0, 4e6, 0)
	w.sweeps(110)
	w.arrive("held", plainWrite, 0, 4e6, 0)
	if w.requests["held"].sent != 0 || len(w.checks) == 0 {
		t.Fatal("sent to a suspected primary, or no one asked for the next")
	}
	w.seen("g0n2", Primary, 0)
	w.r.HealthChecked(w.now, "g0n2", Answered)
	if c := w.requests["held"]; c.sent != 1 || w.inFlight[len(w.inFlight)-1].node != "g0n2" {
		t.Fatal("not sent to the successor")
	}
}

// A primary cools down between writes because its limit paces them. It is known all the same. Without that, hundreds of
// routers checked their whole shards every 50 ms, and requests paid for it.
func TestCoolingPrimaryIsNotLookedFor(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(r *Router, now int64)
		checks  bool
	}{
		"cools down": {func(r *Router, now int64) { r.nodes[0].coolDownUntil = now + 2e6 }, false},
		"not reached": {func(r *Router, now int64) {
			r.nodes[0].coolDownUntil = now + 2e6
			r.nodes[0].refusedSince = now
		}, true},
		"suspected":       {func(r *Router, now int64) { r.nodes[0].suspected = true }, true},
		"nobody is known": {func(r *Router, now int64) { r.shards[0].primary = nil }, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newShard(t, 1, 3)
			for _, n := range w.r.nodes {
				n.checkedByPeer = true // no checks but a write's own
			}
			c.prepare(w.r, w.now)
			w.arrive("w", plainWrite, 0, 4e6, 0)
			w.sweeps(50)
			if len(w.checks) > 0 != c.checks || len(w.inFlight) > 0 {
				t.Error("checks:", len(w.checks), "in flight:", len(w.inFlight))
			}
		})
	}
}
