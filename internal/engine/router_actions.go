package engine

import (
	"cairntiller/internal/inflight"
	"cairntiller/internal/invariant"
	"cairntiller/internal/routing"
)

// routerActions carries out the actions that the routing module requests. The module calls it on the engine's goroutine
// while handling an event.
type routerActions struct{ engine *Engine }

// Actions returns the implementation of routing.Actions with which to create the routing module.
func (e *Engine) Actions() routing.Actions { return routerActions{e} }

// StartAttempt implements routing.Actions.
func (a routerActions) StartAttempt(requestID, node string, timeout, startWithin int64) {
	e := a.engine
	request := e.requests[requestID]
	if !invariant.Check(request != nil && !request.Concluded(), "an attempt starts before its request is concluded") {
		return
	}
	attempt := request.StartAttempt(node, e.eventTime, timeout, startWithin)
	e.services.attemptStarted(node)
	e.connections.Send(attempt)
	e.deadlines[attempt] = e.addTimer(attempt.Deadline-e.eventTime, func(int64) { e.abandonAttempt(attempt, routing.TimedOut) })
}

// RejectWithRetry implements routing.Actions.
func (a routerActions) RejectWithRetry(requestID string, retryAfter int64) {
	request := a.engine.requests[requestID]
	if invariant.Check(request != nil, "a rejected request is in flight") {
		request.Reject(retryAfter)
		logConcluded(rejectedLog, request, reasonRouting, a.engine.eventTime)
		a.engine.requestConcluded(request)
	}
}

// Fail implements routing.Actions.
func (a routerActions) Fail(requestID string) {
	request := a.engine.requests[requestID]
	if invariant.Check(request != nil, "a failed request is in flight") {
		request.Fail()
		logConcluded(failedLog, request, reasonRouting, a.engine.eventTime)
		a.engine.requestConcluded(request)
	}
}

// CancelAttempt implements routing.Actions.
func (a routerActions) CancelAttempt(requestID string, attempt int) {
	request := a.engine.requests[requestID]
	if invariant.Check(request != nil && attempt < len(request.Attempts), "a canceled attempt was started") {
		a.engine.abandonAttempt(request.Attempts[attempt], routing.Canceled)
	}
}

// SetTimer implements routing.Actions.
func (a routerActions) SetTimer(delay int64) {
	a.engine.After(delay, a.engine.router.TimerFired)
}

// CheckHealth implements routing.Actions.
func (a routerActions) CheckHealth(node string) { a.engine.CheckHealth(node) }

// CloseIdleConnections implements routing.Actions.
func (a routerActions) CloseIdleConnections(node string) { a.engine.connections.CloseIdle(node) }

// RecheckWaiting implements routing.Actions. The connections ask the routing module, so they are called in a separate
// event, once the module has handled the present one.
func (a routerActions) RecheckWaiting(node string) {
	e := a.engine
	e.Post(e.eventTime, func(now int64) { e.connections.RecheckWaiting(now, node) })
}

// ForgetNode implements routing.Actions.
func (a routerActions) ForgetNode(node string) { a.engine.connections.Remove(node) }

// WatchEndpoints implements routing.Actions. It does nothing: outside the simulation a router always follows the
// endpoint list.
func (routerActions) WatchEndpoints() {}

var _ inflight.RequestHandler = (*Engine)(nil)
var _ inflight.AttemptHandler = (*Engine)(nil)
