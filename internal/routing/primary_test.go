package routing

import "testing"

// Guards against sending writes to a hung primary: with a write in flight at it, further writes must be queued, the
// other members queried, and the new primary must receive the writes.
func TestSuspectedPrimaryReceivesNoWrites(t *testing.T) {
	h := newShardHarness(t, 1, 3)
	h.observeReply("g0n0", Primary, 0)
	h.sendRequest("first", plainWrite, 0, 4e6, 0)
	h.runSweeps(110)
	h.sendRequest("queued", plainWrite, 0, 4e6, 0)
	if h.requests["queued"].started != 0 || len(h.healthChecks) == 0 {
		t.Fatal("write sent to a suspected primary, or no member queried for the new one")
	}
	h.observeReply("g0n2", Primary, 0)
	h.router.HealthChecked(h.now, "g0n2", Answered)
	if c := h.requests["queued"]; c.started != 1 || h.inFlight[len(h.inFlight)-1].node != "g0n2" {
		t.Fatal("write not sent to the new primary")
	}
}

// Guards against searching for a primary that is only cooling down because its limit requires pauses between writes. In
// an earlier version hundreds of routers checked all members of their shards every 50 ms, at the expense of requests.
func TestCoolingDownPrimaryIsNotQueried(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(r *Router, now int64)
		checks  bool
	}{
		"cools down": {func(r *Router, now int64) { r.nodes[0].coolDownUntil = now + 2e6 }, false},
		"connections fail": {func(r *Router, now int64) {
			r.nodes[0].coolDownUntil = now + 2e6
			r.nodes[0].connectFailingSince = now
		}, true},
		"suspected":       {func(r *Router, now int64) { r.nodes[0].suspected = true }, true},
		"primary unknown": {func(r *Router, now int64) { r.shards[0].primary = nil }, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newShardHarness(t, 1, 3)
			for _, n := range h.router.nodes {
				n.checkedByPeer = true // only checks for a write remain
			}
			c.prepare(h.router, h.now)
			h.sendRequest("w", plainWrite, 0, 4e6, 0)
			h.runSweeps(50)
			if len(h.healthChecks) > 0 != c.checks || len(h.inFlight) > 0 {
				t.Error("health checks:", len(h.healthChecks), "in flight:", len(h.inFlight))
			}
		})
	}
}
