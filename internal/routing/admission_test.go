package routing

import "testing"

// Guards against charging a tenant's quota repeatedly: a request passes the admission stage again whenever it leaves
// the queue. A request that was never sent must return its quota, because its client's next attempt needs it.
func TestQuotaIsChargedOncePerRequest(t *testing.T) {
	h := newHarness(t, 1)
	h.router.config.Routers = 200 // this router's share is half a request per second
	h.router.tenants = []*tenant{{quota: 100}}
	h.router.config.OverQuotaWeight = 0.05
	h.sendFullList(1, 2)
	h.advance(1_000_000)
	c := &request{
		id:       "a",
		group:    h.router.groups[eventualRead],
		shard:    h.router.shards[0],
		tenant:   h.router.tenants[0],
		deadline: h.now + 1e6,
	}
	h.requests["a"] = &modelRequest{deadline: h.now + 1e6}
	h.router.admit(c, h.now)
	h.router.admit(c, h.now)
	if h.router.tenants[0].tokens != quotaBurst-1 || c.weight != 1 {
		t.Fatal("quota charged more than once: tokens, weight:", h.router.tenants[0].tokens, c.weight)
	}
	h.router.giveUp(c)
	if h.router.tenants[0].tokens != quotaBurst {
		t.Fatal("quota of an unsent request was not refunded")
	}
}

// Late answers, and clients that disconnect while they wait, must lower the admission probability of all shards. A
// stall of the router or a client's own short timeout says nothing about the nodes and must not lower it.
func TestAdmissionProbability(t *testing.T) {
	for name, c := range map[string]struct {
		happens         func(h *harness)
		lowered, raised bool // neither: must not be lowered
	}{
		"late answer": {happens: func(h *harness) { h.runSweeps(20); h.answerAll(nil) }, lowered: true},
		"client disconnects": {happens: func(h *harness) {
			h.router.ClientGone(h.now, "c")
			h.endAttempt(0, Canceled, RoleUnknown, 0)
		}, lowered: true},
		"client's short timeout": {happens: func(h *harness) { h.endAttempt(0, TimedOut, RoleUnknown, 0) }},
		"answer in time":         {happens: func(h *harness) { h.answerAll(nil) }, raised: true},
		"router stalls":          {happens: func(h *harness) { h.advance(600_000); h.answerAll(nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.router.config.Routers = 200
			h.sendFullList(2, 3)
			h.advance(20_000)
			h.router.shards[1].admitProbability = 0.5
			h.sendRequest("c", eventualRead, 0, 1e6, 0)
			c.happens(h)
			own, other := h.router.shards[0].admitProbability, h.router.shards[1].admitProbability
			lowered := own < 1 && other < 0.5
			if lowered != c.lowered || c.raised && other <= 0.5 {
				t.Error("admission probability of the own shard:", own, "other shard:", other)
			}
		})
	}
}
