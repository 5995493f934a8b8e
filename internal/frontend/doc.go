// Package frontend is the client side: it accepts connections, reads commands, and gives each command its one answer, in
// the order in which the commands came on their connection. It knows nothing of nodes; requests go to an inflight.Intake,
// and come back through the methods of inflight.Client.
//
// A session is one connection. Its phases, and what leads from one to the next:
//
//	phaseNew      no command has been taken yet; also during startup, and after queries that were refused
//	phaseBusy     an answer is owed to a command
//	phaseIdle     it has had commands, and all of them have their answers
//	phaseClosing  the router has ended its side; what the client still sends is read and dropped
//
//	new -> busy            a command is taken
//	busy -> idle -> busy   the last answer owed is written; the next command is taken
//	any -> closing         a fatal error was written, a limit was reached, or the router drains
//
// A session whose client has ended leaves the server's list in whatever phase it is. Between the decision to end a session
// and its last answer nothing more is taken (session.closing).
//
// Where the limit of connections is reached a newcomer needs another's place. Sessions in phaseClosing hold none, only a
// descriptor. Of the others one is closed, in this order: the oldest that had 0.1 s and sent no command, the one that has
// been idle longest if that is over 2 s, the oldest newcomer. A session with a command in flight is never closed for
// another; if there are only such, and ones idle for a moment, the newcomer is rejected. limits.go has the rules.
package frontend
