package engine

import (
	"time"

	"cairntiller/internal/inflight"
	"cairntiller/internal/metrics"
	"cairntiller/internal/routing"
)

var (
	lateTimers       = metrics.New("timers late by 5 ms or more")
	maxTimerDelay    = metrics.New("longest timer delay, us")
	maxEventWaitTime = metrics.New("longest event wait, us")
)

// lateTimerThreshold is how far past its time, in us, a timer is counted as late: a machine without a free core shows
// in that counter long before clients see it.
const lateTimerThreshold = 5_000

// NewClock returns a clock in whole microseconds of Unix time that never goes backwards: it reads Unix time once, and
// the monotonic clock from then on.
func NewClock() func() int64 {
	start := time.Now()
	startMicros := start.UnixMicro()
	return func() int64 { return startMicros + time.Since(start).Microseconds() }
}

// SharedProbes shares health checks with other routers of the cluster. Its methods are called on the engine's
// goroutine.
type SharedProbes interface {
	// EndpointListed reports one endpoint of a list that the router applies, and ListApplied the list's end. A complete list
	// names all endpoints that there are.
	EndpointListed(now int64, name string, state routing.EndpointState, started int64)
	ListApplied(now int64, complete bool)
	// HealthCheckEnded reports the outcome of a health check, whoever asked for it, with the replicated position (us in
	// Unix time, 0 where unknown) and the role that the node reported. load is its load report as it came.
	HealthCheckEnded(now int64, node string, outcome routing.Outcome, position int64, role routing.Role, load string)
}

// Engine runs one router's decisions. Create it with New, wire it with Attach, start it with go Run. Submit, ClientGone,
// Post, Stop, GiveUpAll, Unanswered and AllAnswered may be called from any goroutine; all other methods run on the
// engine's own, that is within a function given to Post or After, or before Run.
type Engine struct {
	now          func() int64 // the router's clock, us in Unix time
	router       *routing.Router
	connections  inflight.NodeConnections
	sharedProbes SharedProbes     // nil where no health checks are shared
	services     *clusterServices // nil where rollouts are off

	requests   map[string]*inflight.Request // in flight, by the id of their command
	unanswered unansweredCount
	queue      eventQueue
	timers     timerQueue
	eventTime  int64 // time of the event that is being handled; never goes backwards
}

// New makes an engine on a clock of microseconds; Attach completes it.
func New(now func() int64) *Engine {
	return &Engine{
		now:        now,
		requests:   map[string]*inflight.Request{},
		queue:      eventQueue{posted: make(chan struct{}, 1)},
		unanswered: unansweredCount{reachedZero: make(chan struct{}, 1)},
	}
}

// Attach sets the routing module, made with the engine's Actions, and the connections to the nodes. It is called before
// Run.
func (e *Engine) Attach(router *routing.Router, connections inflight.NodeConnections) {
	e.router = router
	e.connections = connections
}

// SetSharedProbes lets health checks be shared with other routers. It is called before Run.
func (e *Engine) SetSharedProbes(probes SharedProbes) { e.sharedProbes = probes }

// Post hands an event, which happened at a time, to the engine's goroutine. It never blocks.
func (e *Engine) Post(at int64, handle func(now int64)) { e.queue.post(event{at, handle}) }

// After calls a function on the engine's goroutine once a delay in us has passed.
func (e *Engine) After(delay int64, handle func(now int64)) {
	e.timers.add(event{max(e.eventTime, e.now()) + delay, handle})
}

// Run handles events and timers until Stop.
func (e *Engine) Run() {
	alarm := time.NewTimer(0)
	for {
		events, stopped := e.queue.take()
		if stopped {
			return
		}
		for _, ev := range events {
			maxEventWaitTime.RaiseTo(e.now() - ev.at)
			e.handle(ev)
		}
		e.fireTimers()
		if len(events) > 0 {
			continue // what was posted meanwhile comes before sleep
		}
		if e.timers.Len() > 0 {
			alarm.Reset(time.Duration(max(0, e.timers.next()-e.now())) * time.Microsecond)
		}
		select {
		case <-e.queue.posted:
		case <-alarm.C:
		}
	}
}

// fireTimers handles the timers that are due now.
func (e *Engine) fireTimers() {
	now := e.now()
	for e.timers.Len() > 0 && e.timers.next() <= now {
		timer := e.timers.pop()
		if delay := now - timer.at; delay >= lateTimerThreshold {
			lateTimers.Add()
			maxTimerDelay.RaiseTo(delay)
		}
		e.handle(event{now, timer.handle})
	}
}

// handle gives an event its time. Events of several goroutines may be posted out of order; the routing module's clock
// never goes backwards.
func (e *Engine) handle(ev event) {
	e.eventTime = max(e.eventTime, ev.at)
	ev.handle(e.eventTime)
}

// GiveUpAll ends every request that has no answer yet: rejected where a repeat is harmless, failed otherwise.
func (e *Engine) GiveUpAll() {
	e.Post(e.now(), func(int64) { e.router.Shutdown() })
}

// Stop ends Run; what is posted from then on is not handled.
func (e *Engine) Stop() { e.queue.stop() }

// Unanswered is the number of requests without their final answer.
func (e *Engine) Unanswered() int { return e.unanswered.value() }

// AllAnswered receives a value whenever the last request without an answer has had one.
func (e *Engine) AllAnswered() <-chan struct{} { return e.unanswered.reachedZero }
