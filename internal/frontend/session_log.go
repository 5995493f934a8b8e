package frontend

import "cairntiller/internal/eventlog"

// endReason says why a session ended; it is logged.
type endReason string

const (
	endedMalformed      endReason = "malformed message"
	endedTimedOut       endReason = "no complete message in time"
	endedSlowReader     endReason = "answers not read"
	endedEvicted        endReason = "evicted for a new connection"
	endedNoPlace        endReason = "too many connections"
	endedTooMuchPartial endReason = "too many bytes of incomplete messages"
	endedTooManyAnswers endReason = "too many answers owed"
)

var endLog = eventlog.New("client connection closed")

// setEndReason records why the router ends the session. The first reason counts.
func (c *session) setEndReason(reason endReason) { c.endReason.CompareAndSwap(nil, &reason) }

// logEnd logs the end of a session that the router has ended for something that its client did or failed to do.
func (c *session) logEnd(at int64) {
	reason := c.endReason.Load()
	if reason == nil || !endLog.Allow() {
		return
	}
	endLog.Info(
		"session", c.number,
		"peer", c.stream.PeerAddress(),
		"reason", string(*reason),
		"age_ms", (at-c.acceptedAt)/1000,
		"bytes", c.usage.bytes.Load(),
		"messages", c.usage.messages.Load(),
		"commands", c.usage.commands.Load(),
		"handling_us", c.usage.handling.Load(),
	)
}
