package routing

import "testing"

// A request passes the admission stage again whenever it leaves the queue. Its tenant's quota is charged once, and given
// back where it was never sent: its client's next attempt needs it.
func TestQuotaIsChargedOnce(t *testing.T) {
	w := newWorld(t, 1)
	w.r.config.Routers = 200 // half a request a second is this router's part
	w.r.tenants = []*tenant{{quota: 100}}
	w.r.config.OverQuotaWeight = 0.05
	w.list(1, 2)
	w.step(1_000_000)
	c := &request{
		id:       "a",
		group:    w.r.groups[eventualRead],
		shard:    w.r.shards[0],
		tenant:   w.r.tenants[0],
		deadline: w.now + 1e6,
	}
	w.requests["a"] = &modelRequest{deadline: w.now + 1e6}
	w.r.admit(c, w.now)
	w.r.admit(c, w.now)
	if w.r.tenants[0].tokens != quotaBurst-1 || c.weight != 1 {
		t.Fatal("the quota was charged more than once", w.r.tenants[0].tokens, c.weight)
	}
	w.r.giveUp(c)
	if w.r.tenants[0].tokens != quotaBurst {
		t.Fatal("an unsent request kept its part of the quota")
	}
}

// Late answers, and clients that leave while they wait, lower the admission probability of all shards. A standstill of
// the router, and a client's own short timeout, say nothing of the nodes and don't.
func TestAdmissionProbability(t *testing.T) {
	for name, c := range map[string]struct {
		happens         func(w *world)
		lowered, raised bool // neither: not lowered
	}{
		"late answer": {happens: func(w *world) { w.sweeps(20); w.serve(nil) }, lowered: true},
		"client leaves": {happens: func(w *world) {
			w.r.ClientGone(w.now, "c")
			w.answer(0, Canceled, RoleUnknown, 0)
		}, lowered: true},
		"client's short timeout": {happens: func(w *world) { w.answer(0, TimedOut, RoleUnknown, 0) }},
		"answer in time":         {happens: func(w *world) { w.serve(nil) }, raised: true},
		"router stands still":    {happens: func(w *world) { w.step(600_000); w.serve(nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.r.config.Routers = 200
			w.list(2, 3)
			w.step(20_000)
			w.r.shards[1].admitProbability = 0.5
			w.arrive("c", eventualRead, 0, 1e6, 0)
			c.happens(w)
			own, other := w.r.shards[0].admitProbability, w.r.shards[1].admitProbability
			lowered := own < 1 && other < 0.5
			if lowered != c.lowered || c.raised && other <= 0.5 {
				t.Error("own shard:", own, "other shard:", other)
			}
		})
	}
}
