// Package engine runs one router's decisions. A single goroutine, Engine.Run, feeds the routing module its events in
// order, carries out the actions that it asks for, and keeps the timers and the requests in flight. Nothing on that
// goroutine waits for the network or a disk: sockets, files and dialling live in other packages, which report back through
// Engine.Post. Log lines alone are written synchronously.
//
// The package carries and decides nothing: which node gets a request, when it is retried and what is rejected is
// package routing's.
//
// From a client's command to its answer:
//
//	frontend  --Submit-->                    requests.go        --RequestArrived-->  routing
//	routing   --StartAttempt-->              router_actions.go  --Send-->            backend
//	backend   --AttemptEnded-->              requests.go        --AttemptEnded-->    routing
//	routing   --RejectWithRetry or Fail-->   router_actions.go  --Reject or Fail-->  frontend
//
// An answer goes to the client as soon as the first attempt brings one, before the routing module hears of it.
package engine
