package routing

import (
	"fmt"
	"testing"
)

// harness calls the Router and implements its Actions. It contains a simple reference model of the rules: it tracks
// every request and node as far as the rules need it, and fails the test at the first action that they don't allow.
type harness struct {
	t      testing.TB
	router *Router
	now    int64 // in microseconds

	// Model of the nodes, by name.
	draining        map[string]bool
	startedAt       map[string]int64
	positions       map[string]int64   // highest position reported
	reportedPrimary map[string]bool    // it reported to be the primary and hasn't contradicted it since
	shardOf         map[string]int     // number of its shard
	slowStartSends  map[string][]int64 // start times of attempts at a node that warms up

	// Model of the requests.
	requests          map[string]*modelRequest // all requests sent to the current Router
	inFlight          []modelAttempt
	shuttingDown      bool  // the process is about to exit, so requests in flight are given up too
	routerKeepsTokens bool  // the Router keeps session tokens; the model has a single session
	sessionToken      int64 // highest position that an ended write of the session may have
	// waitTime draws for how long an attempt waits for a connection, in microseconds; nil if none waits.
	waitTime func() int64

	// Actions of the Router.
	healthChecks []string // nodes to be health-checked
	timers       []int64
	idleClosed   []string // nodes whose idle connections were closed
	rechecked    []string // nodes at which waiting attempts were to be checked again
	startWithin  int64    // limit of the last attempt
}

// modelRequest is a request sent to the Router.
type modelRequest struct {
	idempotency     Idempotency
	consistency     Consistency
	shard           int
	arrivedAt       int64
	deadline        int64
	required        int64 // position that it must see
	started         int   // attempts started
	withdrawn       int   // attempts that ended as Withdrawn, which don't count towards the limit
	inFlight        int   // attempts in flight
	mayHaveExecuted bool
	firstExecuted   int64 // start of the first attempt that may have executed it
	answered        bool  // by a node
	finished        bool  // by the Router, or its client disconnected
}

// modelAttempt is an attempt in flight.
type modelAttempt struct {
	request, node string
	number        int // its number within the request
	sentAt        int64
	dueAt         int64 // when a working node answers it
	canceled      bool
	// While it waits for a connection, it is not at its node.
	waiting  bool
	sendAt   int64 // when its connection is up
	latestAt int64 // latest time at which it may be sent
	required int64 // position that its node had to have when it was chosen
}

const (
	modelIdempotencyWindow = 3_000_000  // time for which a shard remembers a key, in microseconds
	modelMaxStaleness      = 1_000_000  // maximum staleness of a bounded read, in microseconds
	modelWarmUp            = 10_000_000 // warm-up time, in microseconds
	modelInitialCapacity   = 0.2        // share of its capacity that a node starts with
	modelOverloadWindow    = 2_000_000  // window of OverloadMultiple for a node that warms up, in microseconds
	modelReplyTransit      = 100_000    // maximum time that an answer takes to arrive, in microseconds
	modelConnectTimeout    = 250_000    // maximum time for which an attempt waits for a connection, in microseconds
	modelNodeRate          = 50.0       // capacity of a warm node, in requests per second
	modelTimeResolution    = 5_000      // resolution of event times, in microseconds
)

// The command groups of the model, by index.
const (
	eventualRead = iota
	boundedRead
	sessionRead
	latestRead
	keyedWrite
	plainWrite
	longRead
)

// modelGroups returns the settings of the command groups.
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
		g.MaxStaleness = modelMaxStaleness
		g.IdempotencyWindow = modelIdempotencyWindow
		g.LatencyObjective = g.Timeout / 4
		g.Weight = 1
		g.LateWeight = 0.5
	}
	return groups
}

// newHarness returns a harness without nodes.
func newHarness(t testing.TB, seed uint64) *harness {
	h := &harness{
		t:         t,
		now:       1_000_000_000,
		draining:  map[string]bool{},
		startedAt: map[string]int64{},
		shardOf:   map[string]int{},
	}
	h.restart(seed)
	return h
}

// newShardHarness returns a harness with one shard.
func newShardHarness(t testing.TB, seed uint64, members int) *harness {
	h := newHarness(t, seed)
	h.sendFullList(1, members)
	return h
}

// keepTokensInRouter makes the Router keep the session's token.
func (h *harness) keepTokensInRouter() {
	h.routerKeepsTokens = true
	h.router.config.ClientsCarryTokens = false
}

// restart replaces the Router and discards the requests of the old one.
func (h *harness) restart(seed uint64) {
	h.requests = map[string]*modelRequest{}
	h.inFlight = nil
	h.healthChecks = nil
	h.timers = nil
	h.sessionToken = 0
	h.positions = map[string]int64{}
	h.reportedPrimary = map[string]bool{}
	h.slowStartSends = map[string][]int64{}
	h.router = New(seed, h)
	h.router.Configure(Config{
		Zone:               "here",
		Routers:            1,
		TimeResolution:     modelTimeResolution,
		CommandGroups:      modelGroups(),
		Attempts:           AttemptConfig{Max: 6, Cancelable: true, Hedging: seed%2 == 0},
		HealthChecks:       HealthCheckConfig{Enabled: true, ReportsPosition: true, ReportsRole: true},
		ClientsCarryTokens: !h.routerKeepsTokens,
		SlowStart: SlowStartConfig{Duration: modelWarmUp, InitialCapacity: modelInitialCapacity, OverloadMultiple: 2,
			OverloadWindow: modelOverloadWindow},
	})
	h.router.Start(h.now)
}

// node returns the Router's state of a node.
func (h *harness) node(name string) *node {
	n := h.router.nodeByName[name]
	if n == nil {
		h.t.Fatalf("node %s is unknown", name)
	}
	return n
}

// primary returns the name of the node that the Router believes to be a shard's primary, or an empty string.
func (h *harness) primary(shard int) string {
	if p := h.router.shards[shard].primary; p != nil {
		return p.name
	}
	return ""
}

// sendFullList sends a full endpoint list. It contains nodes g0n0, g0n1, ... of shard 0, and so on; the first node of
// each shard is marked as its primary.
func (h *harness) sendFullList(shards, members int) {
	h.router.BeginEndpointList(h.now, true)
	for s := range shards {
		for m := range members {
			name := fmt.Sprintf("g%dn%d", s, m)
			h.shardOf[name] = s
			h.sendEndpoint(name, m == 0)
		}
	}
	h.router.EndEndpointList(h.now)
}

// sendEndpoint sends one entry of a list that has begun.
func (h *harness) sendEndpoint(name string, primary bool) {
	e := endpoint(name, h.shardOf[name], Up)
	if h.draining[name] {
		e.State = Draining
	}
	e.Primary = primary
	e.StartedAt = h.startedAt[name]
	h.router.UpdateEndpoint(h.now, e)
}

// endpoint returns an entry without a primary mark.
func endpoint(name string, shard int, state EndpointState) Endpoint {
	return Endpoint{Name: name, Zone: "here", MachineType: "type", Shard: shard, State: state}
}

// sendListChange sends a list with one changed entry.
func (h *harness) sendListChange(name string) {
	h.router.BeginEndpointList(h.now, false)
	h.sendEndpoint(name, false)
	h.router.EndEndpointList(h.now)
}

// sendRequest sends a request to the Router. The argument since is the time since its session's last write, 0 for none.
func (h *harness) sendRequest(id string, group, shard int, left, since int64) *modelRequest {
	settings := modelGroups()[group]
	c := &modelRequest{
		idempotency: settings.Idempotency,
		consistency: settings.Consistency,
		shard:       shard,
		arrivedAt:   h.now,
		deadline:    h.now + left,
	}
	if c.consistency == ReadYourWrites && since > 0 && !h.routerKeepsTokens {
		c.required = h.now - since
	}
	h.requests[id] = c
	h.router.RequestArrived(h.now, Request{ID: id, Group: group, Tenant: -1, Session: "s", TimeLeft: left, Shard: shard,
		SinceWrite: since})
	return c
}

// endAttempt ends the attempt at index i; role and pos are what the node reports about itself.
func (h *harness) endAttempt(i int, o Outcome, role Role, pos int64) {
	a := h.inFlight[i]
	h.inFlight = append(h.inFlight[:i:i], h.inFlight[i+1:]...)
	c := h.requests[a.request]
	c.inFlight--
	c.mayHaveExecuted = c.mayHaveExecuted || !o.NotExecuted()
	if o == Withdrawn {
		c.withdrawn++
	}
	if c.consistency == Write && !o.NotExecuted() {
		at := h.now
		if o == Answered && pos > 0 {
			at = pos
		}
		h.sessionToken = max(h.sessionToken, at)
	}
	done := c.finished || c.answered
	if o == Answered && !done {
		c.answered = true
		done = true
	}
	if o != TimedOut && o != ConnectFailed && o != ConnectionLost && o != Canceled && o != NotSent && o != Withdrawn {
		h.observeReply(a.node, role, pos)
	}
	h.router.AttemptEnded(h.now, AttemptResult{RequestID: a.request, Attempt: a.number, Outcome: o,
		Took:        h.now - a.sentAt,
		Position:    pos,
		RequestDone: done})
}

// observeReply passes a node's reported role and position to the model and the Router.
func (h *harness) observeReply(node string, role Role, pos int64) {
	h.recordReply(node, role, pos)
	h.router.ObserveReply(h.now, node, role, pos)
}

// recordReply passes a node's reported role and position to the model only.
func (h *harness) recordReply(node string, role Role, pos int64) {
	h.positions[node] = max(h.positions[node], pos)
	if role != RoleUnknown {
		h.reportedPrimary[node] = role == Primary
	}
}

// advance moves the clock, fires due timers and checks that no request is overdue.
func (h *harness) advance(d int64) {
	h.now += d
	fired := 0
	for _, at := range h.timers {
		if at <= h.now {
			fired++
		}
	}
	h.timers = h.timers[fired:]
	for range fired {
		h.router.TimerFired(h.now)
	}
	for i := len(h.inFlight) - 1; i >= 0; i-- {
		if i < len(h.inFlight) && h.now >= h.requests[h.inFlight[i].request].deadline {
			o := TimedOut
			if h.inFlight[i].waiting {
				o = NotSent
			}
			h.endAttempt(i, o, RoleUnknown, 0)
		}
	}
	for id, c := range h.requests {
		if !c.answered && !c.finished && h.now > c.deadline+20_000 {
			h.t.Fatalf("no final answer: %s unanswered %d us after its deadline: %+v", id, h.now-c.deadline, c)
		}
	}
}

// runSweeps runs n sweeps of the Router on time.
func (h *harness) runSweeps(n int) {
	for range n {
		h.advance(20_000)
	}
}

// answerAll answers all attempts in flight. Each replica reports a position that lags by the given time.
func (h *harness) answerAll(lag map[string]int64) {
	for len(h.inFlight) > 0 {
		n := h.inFlight[0].node
		if h.reportedPrimary[n] {
			h.endAttempt(0, Answered, Primary, 0)
		} else {
			h.endAttempt(0, Answered, Replica, h.now-lag[n])
		}
	}
}

// soleTarget returns the node of the only attempt in flight.
func (h *harness) soleTarget() string {
	if len(h.inFlight) == 1 {
		return h.inFlight[0].node
	}
	return fmt.Sprint(len(h.inFlight), " attempts")
}

// checkFinalAnswer checks that the Router's final answer is the only one and that a permitted retry is harmless.
func (h *harness) checkFinalAnswer(id string, rejected bool) {
	c := h.requests[id]
	if c == nil || c.finished || c.answered {
		h.t.Fatalf("second final answer for %s", id)
	}
	for _, a := range h.inFlight {
		if a.request == id && !a.canceled && !h.shuttingDown {
			h.t.Fatalf("%s given up with attempt %d in flight at %s, %d us before its deadline",
				id, a.number, a.node, c.deadline-h.now)
		}
	}
	if rejected && c.idempotency != Idempotent && (c.mayHaveExecuted || c.inFlight > 0) {
		h.t.Fatalf("unsafe retry: %s rejected although it may have been executed", id)
	}
	c.finished = true
}

// StartAttempt implements Actions; it checks all rules on sending.
func (h *harness) StartAttempt(id, node string, _, startWithin int64) {
	c := h.requests[id]
	h.startWithin = startWithin
	repeat := c != nil && (c.mayHaveExecuted || c.inFlight > 0)
	switch {
	case c == nil || c.finished || c.answered:
		h.t.Fatalf("%s sent after its final answer", id)
	case h.shardOf[node] != c.shard:
		h.t.Fatalf("%s sent to a node outside its shard", id)
	case h.draining[node]:
		h.t.Fatalf("%s sent to draining node %s", id, node)
	case c.started-c.withdrawn >= h.router.config.Attempts.Max:
		h.t.Fatalf("%s sent after %d attempts", id, c.started)
	case c.inFlight > 0 && !h.router.config.Attempts.Hedging:
		h.t.Fatalf("%s hedged although hedging is disabled", id)
	case c.idempotency == NotIdempotent && repeat:
		h.t.Fatalf("duplicate execution: non-idempotent request %s sent twice", id)
	case c.idempotency == IdempotentWithKey && repeat && h.now > c.firstExecuted+modelIdempotencyWindow:
		h.t.Fatalf("duplicate execution: %s sent after its idempotency window", id)
	case c.idempotency == IdempotentWithKey && repeat &&
		(startWithin <= 0 || h.now+startWithin > c.firstExecuted+modelIdempotencyWindow):
		h.t.Fatalf("duplicate execution: %s may start within %d us, which is after its idempotency window",
			id, startWithin)
	}
	if !h.freshEnough(c, node) {
		h.t.Fatalf("stale read: %s sent to %s at position %d, requires %d", id, node, h.positions[node], c.required)
	}
	a := modelAttempt{request: id, node: node, number: c.started, sentAt: h.now, dueAt: h.now + 20_000, required: c.required}
	if h.waitTime != nil {
		a.sendAt = h.now + h.waitTime()
		a.waiting = a.sendAt > h.now
		a.latestAt = c.deadline - 1
		if startWithin > 0 {
			a.latestAt = min(a.latestAt, h.now+startWithin)
		}
	}
	if !a.waiting {
		h.checkSlowStart(node)
	}
	h.inFlight = append(h.inFlight, a)
	if !repeat {
		c.firstExecuted = h.now
	}
	c.started++
	c.inFlight++
}

// freshEnough reports whether a node may serve a request according to its reports.
func (h *harness) freshEnough(c *modelRequest, node string) bool {
	switch c.consistency {
	case Eventual, Write:
		return true
	case ReadYourWrites:
		if h.routerKeepsTokens { // any write in flight may have been answered, except in the last modelReplyTransit
			c.required = h.sessionToken
			for _, a := range h.inFlight {
				if h.requests[a.request].consistency == Write && h.now-a.sentAt > modelReplyTransit {
					c.required = max(c.required, h.now-modelReplyTransit)
				}
			}
		}
		return h.reportedPrimary[node] || c.required == 0 || h.positions[node] >= c.required
	case BoundedStaleness:
		return h.reportedPrimary[node] || h.positions[node] >= h.now-modelMaxStaleness
	}
	return h.reportedPrimary[node]
}

// sendWaiting sends an attempt whose connection is up, unless the Router no longer permits it. It checks the rules on
// sending again: what the Router decided on may have changed while the attempt waited.
func (h *harness) sendWaiting(i int) {
	a := &h.inFlight[i]
	c := h.requests[a.request]
	switch {
	case c.finished || c.answered || a.canceled || h.now > a.latestAt:
		h.endAttempt(i, NotSent, RoleUnknown, 0)
		return
	case !h.router.MayStart(h.now, a.request, a.number):
		h.endAttempt(i, Withdrawn, RoleUnknown, 0)
		return
	case h.shardOf[a.node] != c.shard:
		h.t.Fatalf("%s sent to a node that has left its shard", a.request)
	case h.draining[a.node]:
		h.t.Fatalf("%s sent to node %s, which drains since it waited", a.request, a.node)
	case !h.freshEnoughToSend(a, c):
		h.t.Fatalf("stale read: %s sent to %s at position %d after it waited for %d us", a.request, a.node,
			h.positions[a.node], h.now-a.sentAt)
	}
	h.checkSlowStart(a.node)
	a.waiting = false
	a.dueAt = h.now + 20_000
}

// withdrawRechecked ends the waiting attempts that the Router wants to be checked again and no longer permits.
func (h *harness) withdrawRechecked() {
	for len(h.rechecked) > 0 {
		node := h.rechecked[0]
		h.rechecked = h.rechecked[1:]
		for i := len(h.inFlight) - 1; i >= 0; i-- {
			if i >= len(h.inFlight) {
				continue
			}
			a := h.inFlight[i]
			if a.node == node && a.waiting && !h.router.MayStart(h.now, a.request, a.number) {
				h.endAttempt(i, Withdrawn, RoleUnknown, 0)
			}
		}
	}
}

// freshEnoughToSend reports whether a node may serve the request of an attempt that has waited. A session's writes that
// have ended meanwhile count; those in flight counted when the node was chosen.
func (h *harness) freshEnoughToSend(a *modelAttempt, c *modelRequest) bool {
	required := a.required
	switch c.consistency {
	case Eventual, Write:
		return true
	case BoundedStaleness:
		required = h.now - modelMaxStaleness
	case ReadYourWrites:
		if h.routerKeepsTokens {
			required = max(required, h.sessionToken)
		}
	case Latest:
		return h.reportedPrimary[a.node]
	}
	return h.reportedPrimary[a.node] || required == 0 || h.positions[a.node] >= required
}

// checkSlowStart checks that a node that warms up is sent no more than its capacity allows.
func (h *harness) checkSlowStart(node string) {
	started := h.startedAt[node]
	if started <= 0 || h.now >= started+modelWarmUp {
		return
	}
	h.slowStartSends[node] = append(h.slowStartSends[node], h.now)
	n, capacityShare := 0, modelInitialCapacity+(1-modelInitialCapacity)*float64(h.now-started)/modelWarmUp
	for _, at := range h.slowStartSends[node] {
		if at > h.now-modelOverloadWindow {
			n++
		}
	}
	if float64(n) > 2*capacityShare*modelNodeRate*modelOverloadWindow/1e6 {
		h.t.Fatalf("slow start: %d requests sent to %s in one window at capacity share %.2f", n, node, capacityShare)
	}
}

// RejectWithRetry implements Actions.
func (h *harness) RejectWithRetry(id string, _ int64) { h.checkFinalAnswer(id, true) }

// Fail implements Actions.
func (h *harness) Fail(id string) { h.checkFinalAnswer(id, false) }

// CancelAttempt implements Actions.
func (h *harness) CancelAttempt(id string, n int) {
	h.checkCancel(id, n)
	for i := range h.inFlight {
		if h.inFlight[i].request == id && h.inFlight[i].number == n {
			h.inFlight[i].canceled = true
		}
	}
}

// checkCancel checks that a request without a final answer can still be answered after an attempt is canceled: by
// another attempt in flight or by a later one.
func (h *harness) checkCancel(id string, n int) {
	c := h.requests[id]
	if c.finished || c.answered {
		return
	}
	for _, a := range h.inFlight {
		if a.request == id && a.number != n && !a.canceled {
			return
		}
	}
	windowOver := c.idempotency == IdempotentWithKey && h.now >= c.firstExecuted+modelIdempotencyWindow
	if c.started-c.withdrawn >= h.router.config.Attempts.Max || h.now >= c.deadline-deadlineMargin || windowOver {
		h.t.Fatalf("attempt %d of %s canceled although no other can be answered, %d us before its deadline",
			n, id, c.deadline-h.now)
	}
}

// SetTimer implements Actions.
func (h *harness) SetTimer(delay int64) { h.timers = append(h.timers, h.now+delay) }

// CheckHealth implements Actions.
func (h *harness) CheckHealth(node string) { h.healthChecks = append(h.healthChecks, node) }

// CloseIdleConnections implements Actions.
func (h *harness) CloseIdleConnections(node string) { h.idleClosed = append(h.idleClosed, node) }

// RecheckWaiting implements Actions.
func (h *harness) RecheckWaiting(node string) { h.rechecked = append(h.rechecked, node) }

// ForgetNode implements Actions.
func (h *harness) ForgetNode(node string) {
	for _, a := range h.inFlight {
		if a.node == node {
			h.t.Fatalf("node %s forgotten with request %s in flight", node, a.request)
		}
	}
}

// WatchEndpoints implements Actions.
func (h *harness) WatchEndpoints() {}
