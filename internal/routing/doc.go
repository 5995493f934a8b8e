// Package routing decides what happens to every request: whether it is admitted, which node serves it, how long it may
// be queued, and when it is retried, hedged or given up. It also tracks the state of every node.
//
// The package is a deterministic state machine. It does no I/O, reads no clock, starts no goroutines, and derives
// random numbers from a seed, so equal events give equal actions. The caller reports each event by one method of
// Router, with the time of the event, and carries out the decisions through Actions. All times are Unix times in whole
// microseconds and all durations are whole microseconds, unless a comment says otherwise. A Router isn't safe for
// concurrent use.
//
// # Request processing
//
// A request passes these stages in order (Router.Start). Each stage lets it proceed, puts it into its shard's queue, or
// stops it, usually with a final answer:
//
//	checkDeadline    deadlines.go           gives up requests that can no longer be answered in time
//	admit            admission.go           checks tenant quota and admission probability, once per request
//	routeToPrimary   primary.go             sends writes, and reads of the latest data, to the believed primary
//	selectReplica    replica_selection.go   sends other reads to the best replica that is fresh enough
//	startAttempt     retry.go               starts the attempt
//
// A queued request passes all stages again after each event that may let it proceed (dispatchQueued in request.go). The
// outcome of an attempt passes the stages in reverse order:
//
//	closeAttempt           request.go              removes the attempt from those in flight at the node
//	recordOutcome          outlier_detection.go    updates slowdown, error rate, concurrency limit and cool-down
//	recordWritePosition    consistency.go          updates the session's token
//	adjustAdmission        admission.go            updates the admission probabilities
//	handleAttemptFailure   retry.go                starts another attempt or gives the final answer
//
// An attempt may wait for a connection. Before it is sent, the caller asks whether it is still permitted (MayStart in
// start_check.go); if not, it ends as Withdrawn.
//
// A request has exactly one final answer: a node's answer, Actions.RejectWithRetry (sending it again is harmless),
// Actions.Fail (it may have been executed, and a repeat could be harmful), or none because its client disconnected.
//
//	arrived -> queued <-> in flight (one attempt, or two while hedged) -> final answer -> deleted once no attempt is open
//
// # Node states
//
//	listed up     may be used (Router.usable), subject to the states below
//	draining      receives nothing new; only an "up" entry of the endpoint list ends this state
//	removed       receives nothing new, unless Config.UseRemovedNodes; forgotten after removedNodeRetention
//	suspected     gave no answer for too long (outlier_detection.go); an answer or a health check ends this state
//	cooling down  rejected a request, failed a connection, or has a concurrency limit below 1; ends by itself
//	warming up    started recently and may do only a part of its work (slow_start.go)
//	lagging       a replica too far behind the primary; used only if no other has capacity
package routing
