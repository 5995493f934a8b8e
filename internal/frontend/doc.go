// Package frontend is the client side of the router: it accepts connections, reads commands, and sends each command
// exactly one answer, in the order in which the commands arrived on their connection. It has no knowledge of nodes: it
// passes requests to an inflight.RequestHandler and receives the answers through the methods of inflight.Client.
//
// A session is a client connection. Its phases and their transitions:
//
//	phaseNew      no command has been accepted yet; also during startup, and after rejected queries
//	phaseBusy     a command has not been answered yet
//	phaseIdle     all accepted commands have been answered
//	phaseClosing  the router has closed its side; further input is read and discarded
//
//	new -> busy            a command is accepted
//	busy -> idle -> busy   the last pending answer is written; the next command is accepted
//	any -> closing         a fatal error was written, a limit was reached, or the router drains
//
// A session whose client has disconnected is removed from the server's list in any phase. Once the router has decided
// to close a session, no further commands are accepted on it (session.closing), even if answers are still pending.
//
// Input is handled in turns (input_scheduling.go). A command is first admitted, which gives it its place among the answers,
// and at the end of the piece of input submitted, if its client is known to be connected (commands.go).
//
// An answer that is known is held back until those of earlier commands are written and the connection has room for it:
// behind a slow command many may become due at once. The connection of a client that reads too slowly is closed: one
// that has no room, and accepts no answer, for a time. Commands and answers count as in flight until the kernel has
// accepted them, wherever they wait; inflight_bytes.go limits them.
//
// When the limit on sessions is reached, a new connection needs the place of another. Sessions in phaseClosing do not
// count against the limit; they only hold a descriptor. Of the others one is evicted, in this order: the oldest that
// has sent no command within 0.1 s; the one idle the longest, if for more than 2 s; the oldest other new one. A session
// with a command in flight is never evicted. If all sessions have a command in flight or became idle less than 2 s ago,
// the new connection is rejected. eviction.go implements these rules.
package frontend
