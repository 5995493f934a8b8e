package routing

import (
	"fmt"
	"testing"
)

// world is the slow, plain model of the rules: a protocol that complains of what they do not allow.
type world struct {
	t       testing.TB
	r       *Router
	now     int64
	drained map[string]bool
	started map[string]int64
	pos     map[string]int64  // highest position told
	leads   map[string]bool   // told to be primary, and not told otherwise since
	shard   map[string]int    // of each node
	cmds    map[string]*taken // all commands ever taken by the present instance
	open    []flight
	probes  []string
	timers  []int64
	cold    map[string][]int64 // sends to a cold node
	dropped []string           // nodes whose idle connections were released
	barred  []string           // nodes at which nothing more may begin
	within  int64              // the last dispatch's bound

	remembered bool  // the module keeps the session's token; the model has one session
	token      int64 // what a write of it that ended was at, at the latest
}

type taken struct {
	effect          Idempotency
	level           Consistency
	shard           int
	arrived         int64
	deadline        int64
	need            int64
	sent            int
	open            int
	ran             bool
	firstRun        int64
	answered, given bool
}

type flight struct {
	cmd, node string
	n         int
	sent      int64
	due       int64
	withdrawn bool
}

const (
	modelWindow = 3_000_000
	modelBound  = 1_000_000
	modelCold   = 10_000_000
	modelFrom   = 0.2
	modelFall   = 2_000_000
	modelAnswer = 100_000
	modelRate   = 50.0 // commands a second that a warm node of the model can do
)

// The command groups of the model, by number.
const (
	gAny = iota
	gBounded
	gSession
	gFresh
	gKeyed
	gMutating
	gLong
)

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{t: t, now: 1_000_000_000,
		drained: map[string]bool{}, started: map[string]int64{}, pos: map[string]int64{},
		leads: map[string]bool{}, shard: map[string]int{}}
	w.restart(seed)
	return w
}

// remember lets the module keep the session's token.
func (w *world) remember() {
	w.remembered = true
	w.r.carried = false
}

// restart replaces the instance; what the old one held is no longer its duty.
func (w *world) restart(seed uint64) {
	w.cmds, w.open, w.probes, w.timers, w.token = map[string]*taken{}, nil, nil, nil, 0
	w.pos, w.leads, w.cold = map[string]int64{}, map[string]bool{}, map[string][]int64{}
	r := New(seed, w)
	var groups []CommandGroupConfig
	for _, g := range []struct {
		e Idempotency
		l Consistency
		t int64
	}{{Idempotent, Eventual, 1e6}, {Idempotent, BoundedStaleness, 1e6}, {Idempotent, ReadYourWrites, 1e6}, {Idempotent, Latest, 1e6},
		{IdempotentWithKey, Write, 4e6}, {NotIdempotent, Write, 4e6}, {Idempotent, Eventual, 6e6}} {
		groups = append(groups, CommandGroupConfig{Idempotency: g.e, Consistency: g.l, MaxStaleness: modelBound,
			IdempotencyWindow: modelWindow, LatencyObjective: g.t / 4, Timeout: g.t, Weight: 1, LateWeight: 0.5})
	}
	r.Configure(Config{
		Zone:               "here",
		Routers:            1,
		TimeResolution:     5_000,
		CommandGroups:      groups,
		Attempts:           AttemptConfig{Max: 6, Cancelable: true, Hedging: seed%2 == 0},
		HealthChecks:       HealthCheckConfig{Enabled: true, ReportsPosition: true, ReportsRole: true},
		ClientsCarryTokens: !w.remembered,
		SlowStart: SlowStartConfig{Duration: modelCold, InitialCapacity: modelFrom, OverloadMultiple: 2,
			OverloadWindow: modelFall},
	})
	w.r = r
	r.Start(w.now)
}

// group is a world of one node group.
func group(t testing.TB, seed uint64, members int) *world {
	w := newWorld(t, seed)
	w.list(1, members)
	return w
}

// list tells the whole list: nodes n0, n1, ... of each group, the first marked as its primary.
func (w *world) list(groups, members int) {
	w.r.BeginEndpointList(w.now, true)
	for g := range groups {
		for m := range members {
			id := fmt.Sprintf("g%dn%d", g, m)
			w.shard[id] = g
			w.node(id, m == 0)
		}
	}
	w.r.EndEndpointList(w.now)
}

func (w *world) node(id string, lead bool) {
	state := Up
	if w.drained[id] {
		state = Draining
	}
	w.r.UpdateEndpoint(w.now, Endpoint{id, "here", "kind", w.shard[id], state, lead, w.started[id]})
}

// change tells one changed entry.
func (w *world) change(id string) {
	w.r.BeginEndpointList(w.now, false)
	w.node(id, false)
	w.r.EndEndpointList(w.now)
}

func (w *world) arrive(id string, group, shard int, left, since int64) *taken {
	effects := []Idempotency{Idempotent, Idempotent, Idempotent, Idempotent, IdempotentWithKey, NotIdempotent, Idempotent}
	levels := []Consistency{Eventual, BoundedStaleness, ReadYourWrites, Latest, Write, Write, Eventual}
	c := &taken{effect: effects[group], level: levels[group], shard: shard, arrived: w.now,
		deadline: w.now + left}
	if c.level == ReadYourWrites && since > 0 && !w.remembered {
		c.need = w.now - since
	}
	w.cmds[id] = c
	w.r.RequestArrived(w.now, Request{ID: id, Group: group, Tenant: -1, Session: "s", TimeLeft: left, Shard: shard,
		SinceWrite: since})
	return c
}

// answer ends the flight at an index; pos and role are what the node tells of itself.
func (w *world) answer(i int, o Outcome, role Role, pos int64) {
	f := w.open[i]
	w.open = append(w.open[:i:i], w.open[i+1:]...)
	c := w.cmds[f.cmd]
	c.open--
	c.ran = c.ran || !o.NotExecuted()
	if c.level == Write && !o.NotExecuted() {
		at := w.now
		if o == Answered && pos > 0 && role != RoleUnknown {
			at = pos
		}
		w.token = max(w.token, at)
	}
	final := c.given || c.answered
	if o == Answered && !final {
		c.answered, final = true, true
	}
	if o != TimedOut && o != ConnectFailed && o != ConnectionLost && o != Canceled && o != NotSent {
		w.seen(f.node, role, pos)
	}
	w.r.AttemptEnded(w.now, AttemptResult{f.cmd, f.n, o, w.now - f.sent, final})
}

// seen tells the model and the module what a node said of itself in an answer.
func (w *world) seen(node string, role Role, pos int64) {
	w.tell(node, role, pos)
	w.r.ObserveReply(w.now, node, role, pos)
}

func (w *world) tell(node string, role Role, pos int64) {
	w.pos[node] = max(w.pos[node], pos)
	if role != RoleUnknown {
		w.leads[node] = role == Primary
	}
}

// step lets time pass, fires timers and checks that nothing is overdue.
func (w *world) step(d int64) {
	w.now += d
	fired := 0
	for _, at := range w.timers {
		if at <= w.now {
			fired++
		}
	}
	w.timers = w.timers[fired:]
	for range fired {
		w.r.TimerFired(w.now)
	}
	for i := len(w.open) - 1; i >= 0; i-- {
		if i < len(w.open) && w.now >= w.cmds[w.open[i].cmd].deadline {
			w.answer(i, TimedOut, RoleUnknown, 0)
		}
	}
	for id, c := range w.cmds {
		if !c.answered && !c.given && w.now > c.deadline+20_000 {
			w.t.Fatalf("lost: %s unanswered %d us after its timeout: %+v", id, w.now-c.deadline, c)
		}
	}
}

// beats lets some of the module's beats pass, each in time.
func (w *world) beats(n int) {
	for range n {
		w.step(20_000)
	}
}

func (w *world) final(id string, throttled bool) {
	c := w.cmds[id]
	if c == nil || c.given || c.answered {
		w.t.Fatalf("lost: second final answer for %s", id)
	}
	if throttled && c.effect != Idempotent && (c.ran || c.open > 0) {
		w.t.Fatalf("effect: %s throttled though it may have run", id)
	}
	c.given = true
}

// StartAttempt implements Actions.
func (w *world) StartAttempt(id, node string, _, within int64) {
	c := w.cmds[id]
	w.within = within
	switch {
	case c == nil || c.given || c.answered:
		w.t.Fatalf("lost: %s dispatched after its end", id)
	case w.shard[node] != c.shard:
		w.t.Fatalf("%s sent outside its group", id)
	case w.drained[node]:
		w.t.Fatalf("drain: %s sent to %s", id, node)
	case c.open > 0 && !w.r.copies:
		w.t.Fatalf("effect: second copy of %s", id)
	case c.effect == NotIdempotent && (c.ran || c.open > 0):
		w.t.Fatalf("effect: mutating %s sent twice", id)
	case c.effect == IdempotentWithKey && (c.ran || c.open > 0) && w.now > c.firstRun+modelWindow:
		w.t.Fatalf("effect: keyed %s sent after its window", id)
	case c.effect == IdempotentWithKey && (c.ran || c.open > 0) && (within <= 0 || w.now+within > c.firstRun+modelWindow):
		w.t.Fatalf("effect: keyed %s may begin within %d us, after its window", id, within)
	}
	fresh := w.leads[node]
	switch c.level {
	case Eventual, Write:
		fresh = true
	case ReadYourWrites:
		if w.remembered { // each write that is out may have been answered, but for the last moment
			c.need = w.token
			for _, f := range w.open {
				if w.cmds[f.cmd].level == Write && w.now-f.sent > modelAnswer {
					c.need = max(c.need, w.now-modelAnswer)
				}
			}
		}
		fresh = fresh || c.need == 0 || w.pos[node] >= c.need
	case BoundedStaleness:
		fresh = fresh || w.pos[node] >= w.now-modelBound
	}
	if !fresh {
		w.t.Fatalf("stale: %s sent to %s, proven to %d, needs %d", id, node, w.pos[node], c.need)
	}
	if s := w.started[node]; s > 0 && w.now < s+modelCold {
		w.cold[node] = append(w.cold[node], w.now)
		n, warm := 0, modelFrom+(1-modelFrom)*float64(w.now-s)/modelCold
		for _, at := range w.cold[node] {
			if at > w.now-modelFall {
				n++
			}
		}
		if float64(n) > 2*warm*modelRate*modelFall/1e6 {
			w.t.Fatalf("cold: %d sent to %s in a window at warmth %.2f", n, node, warm)
		}
	}
	w.open = append(w.open, flight{cmd: id, node: node, n: c.sent, sent: w.now, due: w.now + 20_000})
	if c.open == 0 && !c.ran {
		c.firstRun = w.now
	}
	c.sent++
	c.open++
}

// RejectWithRetry implements Actions.
func (w *world) RejectWithRetry(id string, _ int64) { w.final(id, true) }

// Fail implements Actions.
func (w *world) Fail(id string) { w.final(id, false) }

// CancelAttempt implements Actions.
func (w *world) CancelAttempt(id string, n int) {
	for i := range w.open {
		if w.open[i].cmd == id && w.open[i].n == n {
			w.open[i].withdrawn = true
		}
	}
}

// SetTimer implements Actions.
func (w *world) SetTimer(in int64) { w.timers = append(w.timers, w.now+in) }

// CheckHealth implements Actions.
func (w *world) CheckHealth(node string) { w.probes = append(w.probes, node) }

// CloseIdleConnections implements Actions.
func (w *world) CloseIdleConnections(node string) { w.dropped = append(w.dropped, node) }

// StopNewAttempts implements Actions.
func (w *world) StopNewAttempts(node string) { w.barred = append(w.barred, node) }

// ForgetNode implements Actions.
func (w *world) ForgetNode(node string) {
	for _, f := range w.open {
		if f.node == node {
			w.t.Fatalf("%s forgotten with %s out", node, f.cmd)
		}
	}
}

// WatchEndpoints implements Actions.
func (w *world) WatchEndpoints() {}
