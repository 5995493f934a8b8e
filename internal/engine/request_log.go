package engine

import (
	"cairntiller/internal/eventlog"
	"cairntiller/internal/inflight"
)

var (
	failedLog   = eventlog.New("command failed")
	rejectedLog = eventlog.New("command rejected")
)

// maxLoggedID is how much of a command's id is logged, in bytes.
const maxLoggedID = 64

// Where it was decided that a command ends without a value.
const (
	reasonDuplicateID = "an id that is in flight"
	reasonRouting     = "routing"
)

// logConcluded logs a command that ended without a value: how it was tried and how its last attempt ended.
func logConcluded(log *eventlog.Log, request *inflight.Request, reason string, now int64) {
	if !log.Allow() {
		return
	}
	id := request.Command.ID
	lastNode, lastOutcome := "", ""
	if attempts := request.Attempts; len(attempts) > 0 {
		last := attempts[len(attempts)-1]
		lastNode = last.Node
		lastOutcome = "in flight"
		if last.Ended {
			lastOutcome = last.Outcome.String()
		}
	}
	log.Info(
		"id", id[:min(len(id), maxLoggedID)],
		"class", request.Command.Group,
		"shard", request.Command.Shard,
		"reason", reason,
		"age_ms", (now-request.ArrivedAt())/1000,
		"attempts", len(request.Attempts),
		"last_node", lastNode,
		"last_outcome", lastOutcome,
	)
}
