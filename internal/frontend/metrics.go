package frontend

import "cairntiller/internal/metrics"

// Counters, in the order in which they are printed.
var (
	acceptedConnections   = metrics.New("client connections")
	failedAccepts         = metrics.New("client connections not accepted")
	evictedConnections    = metrics.New("client connections evicted")
	connectionsOverLimit  = metrics.New("client connections over limit")
	commandsOverLimits    = metrics.New("commands over in-flight limits")
	answersOverLimits     = metrics.New("answers over in-flight limits")
	idleClosedConnections = metrics.New("client connections closed idle")
	timedOutConnections   = metrics.New("client connections timed out")
	malformedStreams      = metrics.New("client streams malformed")
	rejectedQueries       = metrics.New("queries rejected")
	emptyQueries          = metrics.New("empty queries")
	readsAfterClose       = metrics.New("reads after close")
	cancelledCommands     = metrics.New("commands cancelled")
	cancelsWithoutCommand = metrics.New("cancels without a command")
	longestInputWait      = metrics.New("longest wait for an input turn, us")
	commandsFromBehind    = metrics.New("commands over the input rate")
	commandsOfGoneClients = metrics.New("commands of clients that had gone")
	mostSessions          = metrics.New("most client connections")
	mostCommands          = metrics.New("most commands without an answer")
	mostInFlightBytes     = metrics.New("most bytes in flight")
	mostPartialBytes      = metrics.New("most bytes of incomplete messages")
	commandsWhileDraining = metrics.New("commands while draining")
)
