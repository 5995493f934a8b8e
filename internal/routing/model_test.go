package routing

import (
	"fmt"
	"testing"
)

// world plays the Router's caller, and is the slow, plain model of the rules: it keeps of every request and node what
// the rules need, and fails the test at the first action that they don't allow.
type world struct {
	t   testing.TB
	r   *Router
	now int64 // us

	// What the model knows of the nodes, by name.
	draining     map[string]bool
	started      map[string]int64
	pos          map[string]int64   // highest position told
	leads        map[string]bool    // told to be the primary, and not told otherwise since
	shard        map[string]int     // number of its shard
	warmingSends map[string][]int64 // times of attempts sent to a node that warms up

	// What it knows of the requests.
	requests   map[string]*modelRequest // all that the present Router ever took
	inFlight   []modelAttempt
	ending     bool  // the process is about to be ended, so even what is in flight is given up
	remembered bool  // the Router keeps session tokens; the model has one session
	token      int64 // what a write of the session that ended was at, at the latest

	// What the Router asked for.
	checks      []string // nodes whose health was asked for
	timers      []int64
	idleClosed  []string // nodes whose idle connections were closed
	stopped     []string // nodes at which nothing more may begin
	startWithin int64    // the last attempt's bound
}

// modelRequest is a request that the Router took.
type modelRequest struct {
	idempotency     Idempotency
	consistency     Consistency
	shard           int
	arrived         int64
	deadline        int64
	required        int64 // position that it must see
	sent            int   // attempts started
	open            int   // attempts in flight
	mayHaveExecuted bool
	firstExecuted   int64 // start of the first attempt that may have executed it
	answered        bool  // by a node
	finished        bool  // by the Router, or its client left
}

// modelAttempt is one attempt in flight.
type modelAttempt struct {
	request, node string
	n             int // its number within the request
	sent          int64
	due           int64 // when a node that works answers it
	canceled      bool
}

const (
	modelWindow = 3_000_000  // us for which a shard knows a key
	modelBound  = 1_000_000  // us that a bounded read's data may be old
	modelCold   = 10_000_000 // us that warming up takes
	modelFrom   = 0.2        // share of its capacity that a node starts with
	modelFall   = 2_000_000  // us within which a node that warms up breaks
	modelAnswer = 100_000    // us that an answer is on its way at most
	modelRate   = 50.0       // requests a second that a warm node of the model can do
	modelStep   = 5_000      // us to which times are rounded
)

// The command groups of the model, by number.
const (
	eventualRead = iota
	boundedRead
	sessionRead
	latestRead
	keyedWrite
	plainWrite
	longRead
)

// modelGroups are their settings.
func modelGroups() []CommandGroupConfig {
	groups := []CommandGroupConfig{
		eventualRead: {Idempotency: Idempotent, Consistency: Eventual, Timeout: 1e6},
		boundedRead:  {Idempotency: Idempotent, Consistency: BoundedStaleness, Timeout: 1e6},
		sessionRead:  {Idempotency: Idempotent, Consistency: ReadYourWrites, Timeout: 1e6},
		latestRead:   {Idempotency: Idempotent, Consistency: Latest, Timeout: 1e6},
		keyedWrite:   {Idempotency: IdempotentWithKey, Consistency: Write, Timeout: 4e6},
		plainWrite:   {Idempotency: NotIdempotent, Consistency: Write, Timeout: 4e6},
		longRead:     {Idempotency: Idempotent, Consistency: Eventual, Timeout: 6e6},
	}
	for i := range groups {
		g := &groups[i]
		g.MaxStaleness = modelBound
		g.IdempotencyWindow = modelWindow
		g.LatencyObjective = g.Timeout / 4
		g.Weight = 1
		g.LateWeight = 0.5
	}
	return groups
}

// newWorld is a world without nodes.
func newWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t:        t,
		now:      1_000_000_000,
		draining: map[string]bool{},
		started:  map[string]int64{},
		shard:    map[string]int{},
	}
	w.restart(seed)
	return w
}

// newShard is a world of one shard.
func newShard(t testing.TB, seed uint64, members int) *world {
	w := newWorld(t, seed)
	w.list(1, members)
	return w
}

// remember lets the Router keep the session's token.
func (w *world) remember() {
	w.remembered = true
	w.r.config.ClientsCarryTokens = false
}

// restart replaces the Router; what the old one had in hand is no longer its duty.
func (w *world) restart(seed uint64) {
	w.requests = map[string]*modelRequest{}
	w.inFlight = nil
	w.checks = nil
	w.timers = nil
	w.token = 0
	w.pos = map[string]int64{}
	w.leads = map[string]bool{}
	w.warmingSends = map[string][]int64{}
	w.r = New(seed, w)
	w.r.Configure(Config{
		Zone:               "here",
		Routers:            1,
		TimeResolution:     modelStep,
		CommandGroups:      modelGroups(),
		Attempts:           AttemptConfig{Max: 6, Cancelable: true, Hedging: seed%2 == 0},
		HealthChecks:       HealthCheckConfig{Enabled: true, ReportsPosition: true, ReportsRole: true},
		ClientsCarryTokens: !w.remembered,
		SlowStart: SlowStartConfig{Duration: modelCold, InitialCapacity: modelFrom, OverloadMultiple: 2,
			OverloadWindow: modelFall},
	})
	w.r.Start(w.now)
}

// known is what the Router keeps of a node.
func (w *world) known(name string) *node {
	n := w.r.nodeByName[name]
	if n == nil {
		w.t.Fatalf("%s is not known", name)
	}
	return n
}

// primary is the name of the node that the Router believes to be a shard's primary; empty for none.
func (w *world) primary(shard int) string {
	if p := w.r.shards[shard].primary; p != nil {
		return p.name
	}
	return ""
}

// list tells the full endpoint list: nodes n0, n1, ... of each shard, the first marked as its primary.
func (w *world) list(shards, members int) {
	w.r.BeginEndpointList(w.now, true)
	for s := range shards {
		for m := range members {
			name := fmt.Sprintf("g%dn%d", s, m)
			w.shard[name] = s
			w.entry(name, m == 0)
		}
	}
	w.r.EndEndpointList(w.now)
}

// entry tells one entry of a list that has begun.
func (w *world) entry(name string, primary bool) {
	e := endpoint(name, w.shard[name], Up)
	if w.draining[name] {
		e.State = Draining
	}
	e.Primary = primary
	e.StartedAt = w.started[name]
	w.r.UpdateEndpoint(w.now, e)
}

// endpoint is an entry without a mark.
func endpoint(name string, shard int, state EndpointState) Endpoint {
	return Endpoint{Name: name, Zone: "here", MachineKind: "kind", Shard: shard, State: state}
}

// change tells one changed entry.
func (w *world) change(name string) {
	w.r.BeginEndpointList(w.now, false)
	w.entry(name, false)
	w.r.EndEndpointList(w.now)
}

// arrive lets a request come; since is how long ago its session wrote, 0 for never.
func (w *world) arrive(id string, group, shard int, left, since int64) *modelRequest {
	settings := modelGroups()[group]
	c := &modelRequest{
		idempotency: settings.Idempotency,
		consistency: settings.Consistency,
		shard:       shard,
		arrived:     w.now,
		deadline:    w.now + left,
	}
	if c.consistency == ReadYourWrites && since > 0 && !w.remembered {
		c.required = w.now - since
	}
	w.requests[id] = c
	w.r.RequestArrived(w.now, Request{ID: id, Group: group, Tenant: -1, Session: "s", TimeLeft: left, Shard: shard,
		SinceWrite: since})
	return c
}

// answer ends the attempt at an index; role and pos are what the node tells of itself.
func (w *world) answer(i int, o Outcome, role Role, pos int64) {
	a := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
	c := w.requests[a.request]
	c.open--
	c.mayHaveExecuted = c.mayHaveExecuted || !o.NotExecuted()
	if c.consistency == Write && !o.NotExecuted() {
		at := w.now
		if o == Answered && pos > 0 && role != RoleUnknown {
			at = pos
		}
		w.token = max(w.token, at)
	}
	done := c.finished || c.answered
	if o == Answered && !done {
		c.answered = true
		done = true
	}
	if o != TimedOut && o != ConnectFailed && o != ConnectionLost && o != Canceled && o != NotSent {
		w.seen(a.node, role, pos)
	}
	w.r.AttemptEnded(w.now, AttemptResult{RequestID: a.request, Attempt: a.n, Outcome: o, Took: w.now - a.sent,
		RequestDone: done})
}

// seen tells the model and the Router what a node said of itself in an answer.
func (w *world) seen(node string, role Role, pos int64) {
	w.tell(node, role, pos)
	w.r.ObserveReply(w.now, node, role, pos)
}

// tell tells the model alone.
func (w *world) tell(node string, role Role, pos int64) {
	w.pos[node] = max(w.pos[node], pos)
	if role != RoleUnknown {
		w.leads[node] = role == Primary
	}
}

// step lets time pass, fires timers and checks that no request is overdue.
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
	for i := len(w.inFlight) - 1; i >= 0; i-- {
		if i < len(w.inFlight) && w.now >= w.requests[w.inFlight[i].request].deadline {
			w.answer(i, TimedOut, RoleUnknown, 0)
		}
	}
	for id, c := range w.requests {
		if !c.answered && !c.finished && w.now > c.deadline+20_000 {
			w.t.Fatalf("lost: %s unanswered %d us after its timeout: %+v", id, w.now-c.deadline, c)
		}
	}
}

// sweeps lets some of the Router's sweeps pass, each in time.
func (w *world) sweeps(n int) {
	for range n {
		w.step(20_000)
	}
}

// serve answers all that is in flight, each replica telling its position behind the present.
func (w *world) serve(lag map[string]int64) {
	for len(w.inFlight) > 0 {
		n := w.inFlight[0].node
		if w.leads[n] {
			w.answer(0, Answered, Primary, 0)
		} else {
			w.answer(0, Answered, Replica, w.now-lag[n])
		}
	}
}

// sentTo is the node of the only attempt in flight.
func (w *world) sentTo() string {
	if len(w.inFlight) == 1 {
		return w.inFlight[0].node
	}
	return fmt.Sprint(len(w.inFlight), " attempts")
}

// final checks that a final answer by the Router is the only one, and promises nothing that may be wrong.
func (w *world) final(id string, rejected bool) {
	c := w.requests[id]
	if c == nil || c.finished || c.answered {
		w.t.Fatalf("lost: second final answer for %s", id)
	}
	for _, a := range w.inFlight {
		if a.request == id && !a.canceled && !w.ending {
			w.t.Fatalf("given up: %s with attempt %d in flight at %s, %d us before its deadline", id, a.n, a.node, c.deadline-w.now)
		}
	}
	if rejected && c.idempotency != Idempotent && (c.mayHaveExecuted || c.open > 0) {
		w.t.Fatalf("effect: %s rejected though it may have been executed", id)
	}
	c.finished = true
}

// StartAttempt implements Actions; it checks every rule on sending.
func (w *world) StartAttempt(id, node string, _, startWithin int64) {
	c := w.requests[id]
	w.startWithin = startWithin
	repeat := c != nil && (c.mayHaveExecuted || c.open > 0)
	switch {
	case c == nil || c.finished || c.answered:
		w.t.Fatalf("lost: %s sent after its end", id)
	case w.shard[node] != c.shard:
		w.t.Fatalf("%s sent outside its shard", id)
	case w.draining[node]:
		w.t.Fatalf("drain: %s sent to %s", id, node)
	case c.open > 0 && !w.r.config.Attempts.Hedging:
		w.t.Fatalf("effect: %s hedged", id)
	case c.idempotency == NotIdempotent && repeat:
		w.t.Fatalf("effect: %s, not idempotent, sent twice", id)
	case c.idempotency == IdempotentWithKey && repeat && w.now > c.firstExecuted+modelWindow:
		w.t.Fatalf("effect: %s, with a key, sent after its window", id)
	case c.idempotency == IdempotentWithKey && repeat &&
		(startWithin <= 0 || w.now+startWithin > c.firstExecuted+modelWindow):
		w.t.Fatalf("effect: %s, with a key, may begin within %d us, after its window", id, startWithin)
	}
	if !w.freshEnough(c, node) {
		w.t.Fatalf("stale: %s sent to %s, proven to %d, needs %d", id, node, w.pos[node], c.required)
	}
	w.checkWarming(node)
	w.inFlight = append(w.inFlight, modelAttempt{request: id, node: node, n: c.sent, sent: w.now, due: w.now + 20_000})
	if !repeat {
		c.firstExecuted = w.now
	}
	c.sent++
	c.open++
}

// freshEnough reports whether a node may serve a request by what it told.
func (w *world) freshEnough(c *modelRequest, node string) bool {
	switch c.consistency {
	case Eventual, Write:
		return true
	case ReadYourWrites:
		if w.remembered { // each write in flight may have been answered, but for the last moment
			c.required = w.token
			for _, a := range w.inFlight {
				if w.requests[a.request].consistency == Write && w.now-a.sent > modelAnswer {
					c.required = max(c.required, w.now-modelAnswer)
				}
			}
		}
		return w.leads[node] || c.required == 0 || w.pos[node] >= c.required
	case BoundedStaleness:
		return w.leads[node] || w.pos[node] >= w.now-modelBound
	}
	return w.leads[node]
}

// checkWarming checks that a node that warms up is sent no more than it can do.
func (w *world) checkWarming(node string) {
	started := w.started[node]
	if started <= 0 || w.now >= started+modelCold {
		return
	}
	w.warmingSends[node] = append(w.warmingSends[node], w.now)
	n, warmth := 0, modelFrom+(1-modelFrom)*float64(w.now-started)/modelCold
	for _, at := range w.warmingSends[node] {
		if at > w.now-modelFall {
			n++
		}
	}
	if float64(n) > 2*warmth*modelRate*modelFall/1e6 {
		w.t.Fatalf("cold: %d sent to %s in a window at warmth %.2f", n, node, warmth)
	}
}

// RejectWithRetry implements Actions.
func (w *world) RejectWithRetry(id string, _ int64) { w.final(id, true) }

// Fail implements Actions.
func (w *world) Fail(id string) { w.final(id, false) }

// CancelAttempt implements Actions.
func (w *world) CancelAttempt(id string, n int) {
	w.checkCancel(id, n)
	for i := range w.inFlight {
		if w.inFlight[i].request == id && w.inFlight[i].n == n {
			w.inFlight[i].canceled = true
		}
	}
}

// checkCancel checks that a request that is owed an answer can still get one after an attempt is canceled: from another in
// flight, or from one to come.
func (w *world) checkCancel(id string, n int) {
	c := w.requests[id]
	if c.finished || c.answered {
		return
	}
	for _, a := range w.inFlight {
		if a.request == id && a.n != n && !a.canceled {
			return
		}
	}
	windowOver := c.idempotency == IdempotentWithKey && w.now >= c.firstExecuted+modelWindow
	if c.sent >= w.r.config.Attempts.Max || w.now >= c.deadline-deadlineMargin || windowOver {
		w.t.Fatalf("canceled: attempt %d of %s, the last that may be answered, %d us before its deadline", n, id, c.deadline-w.now)
	}
}

// SetTimer implements Actions.
func (w *world) SetTimer(delay int64) { w.timers = append(w.timers, w.now+delay) }

// CheckHealth implements Actions.
func (w *world) CheckHealth(node string) { w.checks = append(w.checks, node) }

// CloseIdleConnections implements Actions.
func (w *world) CloseIdleConnections(node string) { w.idleClosed = append(w.idleClosed, node) }

// StopNewAttempts implements Actions.
func (w *world) StopNewAttempts(node string) { w.stopped = append(w.stopped, node) }

// ForgetNode implements Actions.
func (w *world) ForgetNode(node string) {
	for _, a := range w.inFlight {
		if a.node == node {
			w.t.Fatalf("%s forgotten with %s in flight", node, a.request)
		}
	}
}

// WatchEndpoints implements Actions.
func (w *world) WatchEndpoints() {}
