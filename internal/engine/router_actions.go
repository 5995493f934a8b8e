package engine

import (
	"cairntiller/internal/inflight"
	"cairntiller/internal/invariant"
	"cairntiller/internal/routing"
)

// routerActions carries out what the routing module asks for. The module calls it on the engine's goroutine, while it
// handles an event.
type routerActions struct{ engine *Engine }

// Actions returns what the routing module is made with.
func (e *Engine) Actions() routing.Actions { return routerActions{e} }

// StartAttempt implements routing.Actions.
func (a routerActions) StartAttempt(cmd, node string, timeout, within int64) {
	e := a.engine
	request := e.requests[cmd]
	if !invariant.That(request != nil && !request.Concluded(), "a command is dispatched before its final answer") {
		return
	}
	attempt := request.StartAttempt(node, e.eventTime, timeout, within)
	e.services.attemptStarted(node)
	e.connections.Send(attempt)
	e.After(attempt.Deadline-e.eventTime, func(int64) { e.abandonAttempt(attempt, routing.TimedOut) })
}

// RejectWithRetry implements routing.Actions.
func (a routerActions) RejectWithRetry(cmd string, retryIn int64) {
	request := a.engine.requests[cmd]
	if invariant.That(request != nil, "a throttled command is in hand") {
		request.Reject(retryIn)
		a.engine.concluded(request)
	}
}

// Fail implements routing.Actions.
func (a routerActions) Fail(cmd string) {
	request := a.engine.requests[cmd]
	if invariant.That(request != nil, "a failed command is in hand") {
		request.Fail()
		a.engine.concluded(request)
	}
}

// CancelAttempt implements routing.Actions.
func (a routerActions) CancelAttempt(cmd string, dispatch int) {
	request := a.engine.requests[cmd]
	if invariant.That(request != nil && dispatch < len(request.Attempts), "a withdrawn dispatch was made") {
		a.engine.abandonAttempt(request.Attempts[dispatch], routing.Canceled)
	}
}

// SetTimer implements routing.Actions.
func (a routerActions) SetTimer(in int64) {
	a.engine.After(in, a.engine.router.TimerFired)
}

// CheckHealth implements routing.Actions.
func (a routerActions) CheckHealth(node string) { a.engine.connections.HealthCheck(node) }

// CloseIdleConnections implements routing.Actions.
func (a routerActions) CloseIdleConnections(node string) { a.engine.connections.CloseIdle(node) }

// StopNewAttempts implements routing.Actions.
func (a routerActions) StopNewAttempts(node string) { a.engine.connections.FailWaiting(node) }

// ForgetNode implements routing.Actions.
func (a routerActions) ForgetNode(node string) { a.engine.connections.Remove(node) }

// WatchEndpoints implements routing.Actions; a router on sockets always follows the endpoint list.
func (routerActions) WatchEndpoints() {}

var _ inflight.Intake = (*Engine)(nil)
var _ inflight.ResultHandler = (*Engine)(nil)
