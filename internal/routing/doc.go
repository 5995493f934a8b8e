// Package routing decides what becomes of every request: whether it is admitted, which node serves it, how long it may
// wait, when it is retried, hedged or given up, and what is believed of each node meanwhile.
//
// The package is a deterministic state machine. It does no I/O, reads no clock, starts no goroutine, and draws chance
// from a seed, so the same events give the same actions. Its caller reports each event by one method of Router, with
// the time of the event, and carries out what the Router asks for through Actions. All times are whole microseconds of
// Unix time, all spans whole microseconds, unless a comment says otherwise. A Router isn't safe for concurrent use.
//
// # Life of a request
//
// A request passes these stages in order (Router.Start). Each lets it proceed, puts it into its shard's queue, or
// stops it with a final answer:
//
//	checkDeadline    deadlines.go           gives up what can't be answered in time any more
//	admit            admission.go           tenant quota and the shard's admission probability, once a request
//	routeToPrimary   primary.go             writes, and reads of the latest data, go to the believed primary
//	selectReplica    replica_selection.go   other reads go to the best replica that is fresh enough
//	startAttempt     retry.go               sends it
//
// A queued request goes through all stages again after each event that may let it proceed (dispatchWaiting in
// request.go). The outcome of an attempt passes the stages in the opposite order:
//
//	closeAttempt           request.go              the node has one attempt fewer in flight
//	recordOutcome          outlier_detection.go    pace, errors, concurrency limit, cool-down
//	recordWritePosition    consistency.go          the session's token
//	adjustAdmission        admission.go            the shard's admission probability
//	handleAttemptFailure   retry.go                another attempt, or the final answer
//
// A request has exactly one final answer: an answer of a node, Actions.RejectWithRetry (sending it again is harmless),
// Actions.Fail (it may have been executed, and a repeat could do harm), or none because its client left.
//
//	arrived -> queued <-> in flight (one attempt, or two while hedged) -> final answer -> gone once no attempt is open
//
// # States of a node
//
//	listed up     may be used (Router.usable), subject to what follows
//	draining      gets nothing new; only an "up" entry of the endpoint list opens it again
//	removed       gets nothing new, unless Config.UseVanishedNodes; forgotten after removedNodeRetention
//	suspected     nothing came back for too long (outlier_detection.go); an answer or a health check ends it
//	cooling down  rejected work, refused a connection, or has a concurrency limit under one; ends by itself
//	warming up    started lately and may do only a part of its work (slow_start.go)
//	lagging       a replica too far behind the primary; used only where the others have no capacity
package routing
