// Package rolloutservice executes the decisions of internal/rollout: it carries messages between the instances, tells
// the router's own engine which nodes are drained, shuts the router down for its supervisor to start it again, and
// accepts operators' commands. It makes no decisions itself.
//
// A Service is the part of one instance. Its leader, member and voter run on one goroutine of its own, which owns all
// their state; other goroutines pass it events by post. A second goroutine competes for the lease "releases".
//
//   - service.go: the service's life cycle, its goroutines, and the work of each tick
//   - dispatch.go: incoming messages and outgoing actions
//   - operator_api.go: the admin socket's requests; plan_file.go: an operator's plan
//   - messages.go, codec.go, wire_form.go: messages and their encoding; settings.go: the operator's file
package rolloutservice
