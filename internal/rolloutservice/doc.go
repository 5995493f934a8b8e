// Package rolloutservice carries what internal/rollout decides: it moves messages between the instances, notifies the
// router's own engine which nodes are drained, lets the router leave for its supervisor to start it again, and takes
// operators' commands. It decides nothing.
//
// A Service is one instance's part. Its leader, member and voter run on one goroutine of its own, which owns all their
// state; other goroutines hand it events by post. A second goroutine competes for the lease
// "releases".
//
//   - service.go: the service's life, its goroutines, and what is done each tick
//   - dispatch.go: messages in, actions out
//   - operator_api.go: the admin socket's requests; plan_file.go: an operator's plan
//   - messages.go, codec.go, wire_form.go: messages, and their bytes; settings.go: the operator's file
package rolloutservice
