// Package engine runs the event loop of a router. A single goroutine, Engine.Run, passes events to the routing module
// in order, carries out the actions that it requests, and holds the timers and the requests in flight. Nothing on that
// goroutine waits for the network or a disk: sockets, files and dialing belong to other packages, which report back
// through Engine.Post. Only log lines are written synchronously.
//
// The package makes no routing decisions: package routing decides which node gets a request, when it is retried and
// when it is rejected.
//
// The path of a command from the client to its answer:
//
//	frontend  --Submit-->                    requests.go        --RequestArrived-->  routing
//	routing   --StartAttempt-->              router_actions.go  --Send-->            backend
//	backend   --AttemptEnded-->              requests.go        --AttemptEnded-->    routing
//	routing   --RejectWithRetry or Fail-->   router_actions.go  --Reject or Fail-->  frontend
//
// The first answer of an attempt is sent to the client at once, before the routing module is notified.
package engine
