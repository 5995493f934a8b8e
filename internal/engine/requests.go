package engine

import (
	"cairntiller/internal/inflight"
	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

// Request events: a request arrives, its client disconnects or cancels, one of its attempts ends.

var (
	commandsAccepted = metrics.New("commands accepted")
	duplicateIDs     = metrics.New("commands with a duplicate id")
	attemptOutcomes  = [...]*metrics.Counter{
		routing.Errored:        metrics.New("attempts errored"),
		routing.Answered:       metrics.New("attempts answered"),
		routing.Rejected:       metrics.New("attempts rejected"),
		routing.TimedOut:       metrics.New("attempts timed out"),
		routing.ConnectFailed:  metrics.New("attempts connect failed"),
		routing.ConnectionLost: metrics.New("attempts connection lost"),
		routing.Canceled:       metrics.New("attempts canceled"),
		routing.NotSent:        metrics.New("attempts not sent"),
		routing.NotPrimary:     metrics.New("attempts not primary"),
		routing.Withdrawn:      metrics.New("attempts withdrawn"),
	}
)

// Submit implements inflight.RequestHandler.
func (e *Engine) Submit(at int64, request *inflight.Request) {
	e.unanswered.add(1)
	e.Post(at, func(now int64) { e.startRequest(now, request) })
}

// startRequest passes a request to the routing module. A command with the id of one in flight is failed: the module
// identifies requests by id and could not distinguish the two.
func (e *Engine) startRequest(now int64, request *inflight.Request) {
	command := request.Command
	if e.requests[command.ID] != nil {
		duplicateIDs.Add()
		request.Fail()
		logConcluded(failedLog, request, reasonDuplicateID, now)
		e.unanswered.add(-1)
		return
	}
	commandsAccepted.Add()
	e.requests[command.ID] = request
	sinceCommit := int64(0) // us since the session's last commit, 0 if none
	if command.LastCommit > 0 {
		sinceCommit = max(1, now-command.LastCommit)
	}
	e.router.RequestArrived(now, routing.Request{
		ID:         command.ID,
		Group:      request.Group,
		Tenant:     request.Tenant,
		Session:    command.Session,
		TimeLeft:   request.Deadline - now,
		Shard:      command.Shard,
		SinceWrite: sinceCommit,
	})
}

// ClientGone implements inflight.RequestHandler.
func (e *Engine) ClientGone(at int64, request *inflight.Request) {
	e.Post(at, func(now int64) {
		if request.ClientGone() {
			e.router.ClientGone(now, request.Command.ID)
			e.requestConcluded(request)
		}
	})
}

// MayStart implements inflight.AttemptHandler.
func (e *Engine) MayStart(now int64, attempt *inflight.Attempt) bool {
	return e.router.MayStart(now, attempt.Request.Command.ID, attempt.Number)
}

// AttemptEnded implements inflight.AttemptHandler. The client gets its answer first; then the routing module gets the
// status that came with the reply, and after that the outcome of the attempt.
func (e *Engine) AttemptEnded(now int64, attempt *inflight.Attempt, outcome routing.Outcome, reply *pgwire.Reply) {
	request := attempt.Request
	if !request.EndAttempt(attempt) {
		return
	}
	e.timers.remove(e.deadlines[attempt])
	delete(e.deadlines, attempt)
	attempt.Outcome = outcome
	attemptOutcomes[outcome].Add()
	e.services.attemptEnded(attempt, outcome, now)
	elapsed := now - attempt.StartedAt
	position := int64(0)
	if outcome == routing.Answered && request.Answer(reply.RowMessages) {
		e.unanswered.add(-1)
	}
	if reply != nil && e.router.InShard(attempt.Node, request.Command.Shard) {
		position = e.applyReplyStatus(now, attempt.Node, reply)
	}
	e.router.AttemptEnded(now, routing.AttemptResult{
		RequestID:   request.Command.ID,
		Attempt:     attempt.Number,
		Outcome:     outcome,
		Took:        elapsed,
		Position:    position,
		RequestDone: request.Concluded(),
	})
	e.removeIfDone(request)
}

// abandonAttempt stops waiting for an attempt. The routing module is notified in a separate event, after the attempt's
// connection has been shut down, so that no second attempt can reach a node while the first is open.
func (e *Engine) abandonAttempt(attempt *inflight.Attempt, outcome routing.Outcome) {
	if attempt.Ended || attempt.Abandoned {
		return
	}
	attempt.Abandoned = true
	if mayHaveRun := e.connections.Cancel(attempt); !mayHaveRun {
		outcome = routing.NotSent
	}
	e.Post(e.now(), func(now int64) { e.AttemptEnded(now, attempt, outcome, nil) })
}

// requestConcluded updates the engine's state once a request has its final answer or needs none.
func (e *Engine) requestConcluded(request *inflight.Request) {
	e.unanswered.add(-1)
	e.removeIfDone(request)
}

// removeIfDone removes a request that is concluded and has no open attempts.
func (e *Engine) removeIfDone(request *inflight.Request) {
	id := request.Command.ID
	if request.Concluded() && request.OpenAttempts == 0 && e.requests[id] == request {
		delete(e.requests, id)
	}
}
