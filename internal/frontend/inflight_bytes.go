package frontend

import "cairntiller/internal/pgwire"

// Bytes in flight: those of a command from its arrival until its answer is known, and those of an answer from then on
// until the kernel has accepted them, or until the client has disconnected; each with what its state takes besides. Answers that are held back behind a slow
// command are therefore in flight, although none of their bytes is on the connection yet.
//
// Commands over the limit are rejected. The answers to those that were accepted before may still exceed it: a session
// that has more than an equal share in flight then gets an error in place of a large value. If it goes on to send
// commands, it is closed once even their rejections take too much.

// outOfMemoryError answers a command whose value may not be held. It may have been executed.
var outOfMemoryError = pgwire.AppendError(nil, false, pgwire.CodeOutOfMemory, "too many bytes of answers wait for this client", 0)

const (
	// commandOverhead is what an accepted command takes in memory besides its bytes, in bytes: its request, its state in
	// the routing module, its attempts and their timers.
	commandOverhead = 1 << 10
	// answerOverhead is the same for an answer that is known.
	answerOverhead = 1 << 7
)

// cost returns the bytes that a pending answer, or the command that it is for, counts as in flight.
func (a *answer) cost() int {
	if a.known() {
		return len(a.bytes) + answerOverhead
	}
	return a.request.Command.Size() + commandOverhead
}

// addCommands adds to the commands without an answer, or subtracts from them.
func (c *session) addCommands(count int64) {
	c.commands.Add(count)
	mostCommands.RaiseTo(c.server.commands.Add(count))
}

// overCommandLimit reports whether too many commands have no answer yet for the session to have another one.
func (c *session) overCommandLimit() bool {
	s := c.server
	total := s.commands.Load()
	return total >= s.limits.commands || total >= s.limits.sharedCommands && c.commands.Load() > s.limits.equalShare(s.limits.commands)
}

// addInFlight adds to the bytes in flight, or subtracts from them.
func (c *session) addInFlight(bytes int) {
	c.inFlightBytes.Add(int64(bytes))
	mostInFlightBytes.RaiseTo(c.server.inFlightBytes.Add(int64(bytes)))
}

// overInFlightLimit reports whether the session may not have another command in flight.
func (c *session) overInFlightLimit() bool {
	return c.overCommandLimit() || c.server.inFlightBytes.Load() >= c.server.limits.inFlightBytes || c.overInFlightShare()
}

// overInFlightShare reports whether the session has more than an equal share of the bytes in flight, while the part of
// them that such sessions may use for commands and answers is used up.
func (c *session) overInFlightShare() bool { return c.overShareAbove(c.server.limits.sharedBytes) }

// overRejectionShare is the same for the rejections of commands. They may use more, so that a session which is over
// its share for commands is still told that its commands are rejected.
func (c *session) overRejectionShare() bool { return c.overShareAbove(c.server.limits.rejectionBytes) }

// overShareAbove reports whether the session has more than an equal share of the bytes in flight, while at least bound
// are.
func (c *session) overShareAbove(bound int64) bool {
	s := c.server
	return s.inFlightBytes.Load() >= bound && c.inFlightBytes.Load() > s.limits.equalShare(s.limits.inFlightBytes)
}
