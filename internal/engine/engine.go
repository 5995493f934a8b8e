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
	mostQueuedEvents = metrics.New("most events in the queue")
)

// lateTimerThreshold is the delay, in us, from which a timer counts as late. A shortage of CPU cores shows in that
// counter long before clients notice it.
const lateTimerThreshold = 5_000

// NewClock returns a clock of Unix time in whole microseconds that never goes backwards: it reads the wall clock once
// and the monotonic clock from then on.
func NewClock() func() int64 {
	start := time.Now()
	startMicros := start.UnixMicro()
	return func() int64 { return startMicros + time.Since(start).Microseconds() }
}

// SharedProbes shares health checks with other routers of the cluster. Its methods are called on the engine's
// goroutine.
type SharedProbes interface {
	// EndpointListed reports one endpoint of a list that the router applies; ListApplied reports the end of the list. A
	// complete list names all existing endpoints.
	EndpointListed(now int64, name string, state routing.EndpointState, started int64)
	ListApplied(now int64, complete bool)
	// HealthCheckEnded reports the outcome of a health check, whoever requested it, with the replicated position (us in
	// Unix time, 0 if unknown) and the role that the node reported. load is its unparsed load report.
	HealthCheckEnded(now int64, node string, outcome routing.Outcome, position int64, role routing.Role, load string)
}

// Engine is the event loop of a router. Create it with New, connect it with Attach, and start it with go Run. Submit,
// ClientGone, Post, Stop, AbortRequests, Unanswered and AllAnswered may be called from any goroutine; all other methods
// must be called on the engine's goroutine, that is from a function passed to Post or After, or before Run.
type Engine struct {
	now          func() int64 // the router's clock, us in Unix time
	router       *routing.Router
	connections  inflight.NodeConnections
	sharedProbes SharedProbes     // nil if health checks are not shared
	services     *clusterServices // nil if rollouts are disabled

	requests   map[string]*inflight.Request // requests in flight, by command id
	deadlines  map[*inflight.Attempt]*timer // of the attempts that have not ended
	unanswered unansweredCount
	queue      eventQueue
	timers     timerQueue
	eventTime  int64 // time of the current event; never goes backwards
}

// New returns an engine that uses the given clock (us in Unix time). Attach must be called before Run.
func New(now func() int64) *Engine {
	return &Engine{
		now:        now,
		requests:   map[string]*inflight.Request{},
		deadlines:  map[*inflight.Attempt]*timer{},
		queue:      eventQueue{posted: make(chan struct{}, 1)},
		unanswered: unansweredCount{reachedZero: make(chan struct{}, 1)},
	}
}

// Attach sets the routing module, which must have been created with the engine's Actions, and the connections to the
// nodes. It must be called before Run.
func (e *Engine) Attach(router *routing.Router, connections inflight.NodeConnections) {
	e.router = router
	e.connections = connections
}

// SetSharedProbes enables sharing health checks with other routers. It must be called before Run.
func (e *Engine) SetSharedProbes(probes SharedProbes) { e.sharedProbes = probes }

// Post queues an event that happened at the given time for the engine's goroutine. It never blocks.
func (e *Engine) Post(at int64, handle func(now int64)) { e.queue.post(event{at, handle}) }

// After calls a function on the engine's goroutine after a delay in us.
func (e *Engine) After(delay int64, handle func(now int64)) { e.addTimer(delay, handle) }

// addTimer is After with the timer as its result.
func (e *Engine) addTimer(delay int64, handle func(now int64)) *timer {
	return e.timers.add(event{max(e.eventTime, e.now()) + delay, handle})
}

// Run handles events and timers until Stop is called.
func (e *Engine) Run() {
	wakeup := time.NewTimer(0)
	for {
		events, stopped := e.queue.take()
		if stopped {
			return
		}
		mostQueuedEvents.RaiseTo(int64(len(events)))
		for _, ev := range events {
			maxEventWaitTime.RaiseTo(e.now() - ev.at)
			e.handle(ev)
		}
		e.fireTimers()
		if len(events) > 0 {
			continue // handle events posted in the meantime before waiting
		}
		if e.timers.Len() > 0 {
			wakeup.Reset(time.Duration(max(0, e.timers.next()-e.now())) * time.Microsecond)
		}
		select {
		case <-e.queue.posted:
		case <-wakeup.C:
		}
	}
}

// fireTimers handles the timers that are due.
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

// handle runs an event. Goroutines may post events out of order, so the event time is raised to the latest time seen:
// the routing module's clock must not go backwards.
func (e *Engine) handle(ev event) {
	e.eventTime = max(e.eventTime, ev.at)
	ev.handle(e.eventTime)
}

// AbortRequests ends every unanswered request: it is rejected if repeating it is harmless, and failed otherwise.
func (e *Engine) AbortRequests() {
	e.Post(e.now(), func(int64) { e.router.Shutdown() })
}

// Stop ends Run. Events posted afterwards are not handled.
func (e *Engine) Stop() { e.queue.stop() }

// Unanswered returns the number of requests without a final answer.
func (e *Engine) Unanswered() int { return e.unanswered.value() }

// AllAnswered returns a channel that receives a value whenever the last unanswered request has been answered.
func (e *Engine) AllAnswered() <-chan struct{} { return e.unanswered.reachedZero }
