// Package engine owns the decision module: one goroutine feeds it events in order, carries out its actions,
// and keeps its timers and clock. Nothing that runs there blocks.
package engine

import (
	"container/heap"
	"strings"
	"sync"
	"time"

	"cairntiller/internal/decimal"
	"cairntiller/internal/discovery"
	"cairntiller/internal/inflight"
	"cairntiller/internal/invariant"
	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

var (
	taken    = metrics.New("commands taken")
	doubles  = metrics.New("commands with an id in hand")
	lateFire = metrics.New("timers late by 5 ms or more")
	latest   = metrics.New("latest timer, us")
	queued   = metrics.New("latest event, us")
	lists    = metrics.New("lists taken")
	untrue   = metrics.New("reports that can't be true")
	outcomes = [...]*metrics.Counter{
		routing.Errored:     metrics.New("dispatches errored"),
		routing.Answered:    metrics.New("dispatches answered"),
		routing.Full:        metrics.New("dispatches turned away"),
		routing.TimedOut:    metrics.New("dispatches timed out"),
		routing.Unconnected: metrics.New("dispatches unconnected"),
		routing.Broken:      metrics.New("dispatches broken"),
		routing.Withdrawn:   metrics.New("dispatches withdrawn"),
		routing.Unsent:      metrics.New("dispatches unsent"),
		routing.Missed:      metrics.New("dispatches missed"),
	}
)

const (
	lateFrom     = 5_000 // us past its time from which a timer is counted as late: a hundredth of a target
	positionStep = 1_000 // us in which positions are told, rounded either way
)

// Clock gives whole microseconds of Unix time that never go backwards: it is tied to Unix time once.
func NewClock() func() int64 {
	start := time.Now()
	zero := start.UnixMicro()
	return func() int64 { return zero + time.Since(start).Microseconds() }
}

// Patrol shares periodic probes with other instances; its calls come on the engine's goroutine.
type SharedProbes interface {
	// Node is one entry of a list, and Listed its end; a whole one names all nodes that there are.
	EndpointListed(now int64, name string, state routing.State, started int64)
	ListApplied(now int64, whole bool)
	// Probed is the end of a probe, whoever asked for it: the position and role that the node told.
	HealthCheckEnded(now int64, node string, o routing.Outcome, pos int64, lead int8, load string)
}

// Engine runs one router's decisions.
type Engine struct {
	now     func() int64
	router  *routing.Router
	nodes   inflight.NodeConnections
	patrol  SharedProbes // nil for none
	company *company     // nil for none
	table   map[string]*inflight.Request
	clock   int64 // time of the event being handled
	timers  timers

	mu    sync.Mutex
	queue []event
	wake  chan struct{}
	stop  bool
	owed  int // commands without their final answer
	idle  chan struct{}
}

type event struct {
	at int64
	do func(now int64)
}

type timers []event

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(event)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*t = old[:len(old)-1]
	return last
}

// New makes an engine; the module and the nodes are set by Join before Run.
func New(now func() int64) *Engine {
	return &Engine{now: now, table: map[string]*inflight.Request{}, wake: make(chan struct{}, 1),
		idle: make(chan struct{}, 1)}
}

// Join sets the module that decides and the nodes that carry.
func (e *Engine) Attach(r *routing.Router, nodes inflight.NodeConnections) {
	e.router, e.nodes = r, nodes
}

// Share lets probes be shared with other instances; it is called before Run.
func (e *Engine) SetSharedProbes(p SharedProbes) { e.patrol = p }

// Post hands an event to the engine's goroutine; it never blocks.
func (e *Engine) Post(at int64, do func(now int64)) {
	e.mu.Lock()
	e.queue = append(e.queue, event{at, do})
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// After asks for a call on the engine's goroutine; it is asked for there or before Run.
func (e *Engine) After(in int64, do func(now int64)) {
	heap.Push(&e.timers, event{max(e.clock, e.now()) + in, do})
}

// Run handles events until Stop.
func (e *Engine) Run() {
	alarm := time.NewTimer(0)
	for {
		e.mu.Lock()
		batch := e.queue
		e.queue = nil
		stop := e.stop
		e.mu.Unlock()
		if stop {
			return
		}
		for _, one := range batch {
			queued.RaiseTo(e.now() - one.at)
			e.handle(one)
		}
		for now := e.now(); len(e.timers) > 0 && e.timers[0].at <= now; {
			one := heap.Pop(&e.timers).(event)
			if by := now - one.at; by >= lateFrom {
				lateFire.Add()
				latest.RaiseTo(by)
			}
			e.handle(event{now, one.do})
		}
		if len(batch) > 0 {
			continue // what has come meanwhile goes before sleep
		}
		if len(e.timers) > 0 {
			alarm.Reset(time.Duration(max(0, e.timers[0].at-e.now())) * time.Microsecond)
		}
		select {
		case <-e.wake:
		case <-alarm.C:
		}
	}
}

// handle gives an event its time; the module's clock never goes backwards.
func (e *Engine) handle(one event) {
	e.clock = max(e.clock, one.at)
	one.do(e.clock)
}

// Leave ends all that is still owed an answer.
func (e *Engine) GiveUpAll() {
	e.Post(e.now(), func(int64) { e.router.Leave() })
}

// Stop ends Run.
func (e *Engine) Stop() {
	e.mu.Lock()
	e.stop = true
	e.mu.Unlock()
	e.Post(0, func(int64) {})
}

// Idle tells whenever no command is owed an answer any more.
func (e *Engine) AllAnswered() <-chan struct{} { return e.idle }

// Owed is the number of commands without their final answer.
func (e *Engine) Unanswered() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owed
}

func (e *Engine) owe(by int) {
	e.mu.Lock()
	e.owed += by
	none := e.owed == 0
	e.mu.Unlock()
	if none {
		select {
		case e.idle <- struct{}{}:
		default:
		}
	}
}

// Take implements inflight.Intake.
func (e *Engine) Submit(at int64, x *inflight.Request) {
	e.owe(1)
	e.Post(at, func(now int64) {
		id := x.Command.ID
		if e.table[id] != nil { // two commands under one id can't be told apart
			doubles.Add()
			x.Fail()
			e.owe(-1)
			return
		}
		taken.Add()
		e.table[id] = x
		since := int64(0)
		if x.Command.LastCommit > 0 {
			since = max(1, now-x.Command.LastCommit)
		}
		e.router.Arrive(now, id, x.Group, x.Tenant, x.Command.Session, x.Deadline-now, x.Command.Shard, since)
	})
}

// Gone implements inflight.Intake.
func (e *Engine) ClientGone(at int64, x *inflight.Request) {
	e.Post(at, func(now int64) {
		if x.ClientGone() {
			e.router.Gone(now, x.Command.ID)
			e.settled(x)
		}
	})
}

// settled notes a final answer; the exchange goes once no dispatch of it is out.
func (e *Engine) settled(x *inflight.Request) {
	e.owe(-1)
	e.forget(x)
}

func (e *Engine) forget(x *inflight.Request) {
	if x.Concluded() && x.OpenAttempts == 0 && e.table[x.Command.ID] == x {
		delete(e.table, x.Command.ID)
	}
}

// Ended implements inflight.ResultHandler.
func (e *Engine) AttemptEnded(now int64, d *inflight.Attempt, o routing.Outcome, r *pgwire.Reply) {
	x := d.Request
	if !x.EndAttempt(d) {
		return
	}
	outcomes[o].Add()
	e.company.ended(x, d.Node, o, now)
	took := now - d.StartedAt
	if o == routing.Answered && x.Answer(r.Value) {
		e.owe(-1)
	}
	if r != nil {
		role := routing.RoleUnknown
		if r.Primary {
			role = routing.Primary
		} else if r.Replica {
			role = routing.Replica
		}
		if !passed(now, r.Position) {
			r.Position = 0
		}
		e.router.Seen(now, d.Node, role, r.Position)
		e.report(now, d.Node, r.Load)
	}
	e.router.Result(now, x.Command.ID, d.Node, d.Number, o, took, x.Concluded())
	e.forget(x)
}

// Probed implements inflight.ResultHandler.
func (e *Engine) HealthCheckEnded(now int64, node string, took int64, o routing.Outcome, load string) {
	pos, lead := e.report(now, node, load)
	e.router.Probed(now, node, took, o)
	if e.patrol != nil {
		e.patrol.HealthCheckEnded(now, node, o, pos, lead, load)
	}
}

// Heard hands the module what a peer learnt of a node; a position that can't be true is left out.
func (e *Engine) ApplyGossip(now int64, node string, at, pos int64, lead int8, silent, alive bool) {
	if !passed(now, pos) {
		pos = 0
	}
	e.router.Heard(now, node, at, pos, lead, silent, alive)
}

// Left tells the module whether a peer looks after a node.
func (e *Engine) DelegateHealthChecks(node string, to bool) { e.router.Left(node, to) }

// report passes on the figures that a node tells of itself, all or none: positions are Unix seconds on sockets. It
// returns the position and whether the node leads, as far as they were told.
func (e *Engine) report(now int64, node, load string) (told int64, role int8) {
	if load == "" {
		return 0, 0
	}
	var pos, lead int64
	for one := range strings.SplitSeq(load, ",") {
		name, value, _ := strings.Cut(one, "=")
		figure, err := decimal.Scaled(value, 6)
		if err != nil {
			untrue.Add()
			return 0, 0
		}
		switch name {
		case "x0":
			pos = figure
		case "x1":
			lead = figure + 1
		}
	}
	if !passed(now, pos) {
		return 0, 0
	}
	if pos > 0 {
		e.router.ReportedPosition(now, node, pos)
	}
	if lead > 0 {
		role = -1
		if lead > 500_000 {
			role = 1
		}
		e.router.ReportedRole(now, node, role > 0)
	}
	return pos, role
}

// passed tells whether a position can be true: none is later than the clock that all machines read.
func passed(now, pos int64) bool {
	if pos > now+positionStep {
		untrue.Add()
		return false
	}
	return true
}

// Listed hands the module a list of nodes, whole or changed entries; it runs on the engine's goroutine.
func (e *Engine) ApplyEndpointList(now int64, l *discovery.EndpointList) {
	lists.Add()
	e.hand(now, l)
}

// hand hands the module a list, with what plans drain as draining.
func (e *Engine) hand(now int64, l *discovery.EndpointList) {
	e.router.ListBegins(now, l.Complete)
	for _, n := range l.Endpoints {
		if n.State == routing.Removed {
			e.nodes.CloseIdle(n.Name)
		} else {
			e.nodes.SetAddress(n.Name, n.Address)
		}
		state := e.company.listed(n)
		e.router.ListNode(now, n.Name, n.Zone, n.Kind, n.Shard, state, n.Primary, n.StartedAt)
		if e.patrol != nil {
			e.patrol.EndpointListed(now, n.Name, state, n.StartedAt)
		}
	}
	e.router.ListEnds(now)
	if e.patrol != nil {
		e.patrol.ListApplied(now, l.Complete)
	}
}

// Dispatch implements routing.Actions.
func (e *Engine) Dispatch(cmd, node string, timeout, within int64) {
	x := e.table[cmd]
	if !invariant.That(x != nil && !x.Concluded(), "a command is dispatched before its final answer") {
		return
	}
	d := x.StartAttempt(node, e.clock, timeout, within)
	e.company.dispatched(node)
	e.nodes.Send(d)
	e.After(d.Deadline-e.clock, func(now int64) {
		e.abandon(d, routing.TimedOut)
	})
}

// abandon stops a dispatch; the module learns it as an event of its own, once the connection has ended.
func (e *Engine) abandon(d *inflight.Attempt, o routing.Outcome) {
	if d.Ended || d.Abandoned {
		return
	}
	d.Abandoned = true
	if !e.nodes.Cancel(d) {
		o = routing.Unsent
	}
	e.Post(e.now(), func(now int64) { e.AttemptEnded(now, d, o, nil) })
}

// Throttle implements routing.Actions.
func (e *Engine) Throttle(cmd string, retryIn int64) {
	if x := e.table[cmd]; invariant.That(x != nil, "a throttled command is in hand") {
		x.Reject(retryIn)
		e.settled(x)
	}
}

// Fail implements routing.Actions.
func (e *Engine) Fail(cmd string) {
	if x := e.table[cmd]; invariant.That(x != nil, "a failed command is in hand") {
		x.Fail()
		e.settled(x)
	}
}

// Withdraw implements routing.Actions.
func (e *Engine) Withdraw(cmd string, dispatch int) {
	x := e.table[cmd]
	if invariant.That(x != nil && dispatch < len(x.Attempts), "a withdrawn dispatch was made") {
		e.abandon(x.Attempts[dispatch], routing.Withdrawn)
	}
}

// Timer implements routing.Actions.
func (e *Engine) Timer(in int64, cookie uint64) {
	e.After(in, func(now int64) { e.router.Timer(now, cookie) })
}

// Probe implements routing.Actions.
func (e *Engine) Probe(node string) { e.nodes.HealthCheck(node) }

// Release implements routing.Actions.
func (e *Engine) Release(node string) { e.nodes.CloseIdle(node) }

// Bar implements routing.Actions.
func (e *Engine) Bar(node string) { e.nodes.FailWaiting(node) }

// Forget implements routing.Actions.
func (e *Engine) Forget(node string) { e.nodes.Remove(node) }

// Follow implements routing.Actions; on sockets the list is always followed.
func (e *Engine) Follow() {}

// Tell implements routing.Actions; routers have no way to talk to each other here.
func (e *Engine) Tell(int, []byte) {}
