// Package frontend is the client side: it accepts connections, reads commands, and gives each command its one answer, in
// the order in which the commands came on their connection. It knows nothing of nodes; requests go to an inflight.Intake,
// and come back through the methods of inflight.Client.
//
// A session is one connection. Its phases, and what leads from one to the next:
//
//	phaseNew      no command has come yet; also while it starts up
//	phaseBusy     a command is in flight
//	phaseIdle     it has had commands, and all of them have their answers
//	phaseClosing  the router's side has ended, or ends after the answers that are queued
//
//	new -> busy -> idle -> busy -> ...   a command arrives; the last answer is written
//	any -> closing                       a fatal error, a limit, the drain before the router ends, or the client's end
//
// A place, one of the connections that may be open at once, is freed for newcomers in this order (see limits.go): ended
// connections that are still read, connections that never sent a command, connections that have long been idle. None
// with a command in flight is ever closed for another.
package frontend
