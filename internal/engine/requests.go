package engine

import (
	"cairntiller/internal/inflight"
	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

// Events of requests: one arrives, its client goes, one of its attempts ends.

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
	}
)

// Submit implements inflight.Intake.
func (e *Engine) Submit(at int64, request *inflight.Request) {
	e.unanswered.add(1)
	e.Post(at, func(now int64) { e.arrive(now, request) })
}

// arrive hands a request to the routing module. A second command under the id of one in flight is failed: the module
// knows requests by their id, so the two could not be told apart.
func (e *Engine) arrive(now int64, request *inflight.Request) {
	command := request.Command
	if e.requests[command.ID] != nil {
		duplicateIDs.Add()
		request.Fail()
		e.unanswered.add(-1)
		return
	}
	commandsAccepted.Add()
	e.requests[command.ID] = request
	sinceCommit := int64(0) // us since the session's last commit, 0 for none
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

// ClientGone implements inflight.Intake.
func (e *Engine) ClientGone(at int64, request *inflight.Request) {
	e.Post(at, func(now int64) {
		if request.ClientGone() {
			e.router.ClientGone(now, request.Command.ID)
			e.concluded(request)
		}
	})
}

// AttemptEnded implements inflight.ResultHandler. The client has its answer, and the routing module what the node
// reported beside it, before the module hears the attempt's outcome.
func (e *Engine) AttemptEnded(now int64, attempt *inflight.Attempt, outcome routing.Outcome, reply *pgwire.Reply) {
	request := attempt.Request
	if !request.EndAttempt(attempt) {
		return
	}
	attemptOutcomes[outcome].Add()
	e.services.attemptEnded(attempt, outcome, now)
	elapsed := now - attempt.StartedAt
	if outcome == routing.Answered && request.Answer(reply.RowMessages) {
		e.unanswered.add(-1)
	}
	if reply != nil {
		e.applyReplyStatus(now, attempt.Node, reply)
	}
	e.router.AttemptEnded(now, routing.AttemptResult{
		RequestID:   request.Command.ID,
		Attempt:     attempt.Number,
		Outcome:     outcome,
		Took:        elapsed,
		RequestDone: request.Concluded(),
	})
	e.removeIfDone(request)
}

// abandonAttempt stops waiting for an attempt. The routing module learns of it as an event of its own, after the end
// of the attempt's connection, so that no second attempt can reach a node while the first is open.
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

// concluded notes a request's final answer, or that none is needed any more.
func (e *Engine) concluded(request *inflight.Request) {
	e.unanswered.add(-1)
	e.removeIfDone(request)
}

// removeIfDone forgets a request that is concluded, once none of its attempts is open.
func (e *Engine) removeIfDone(request *inflight.Request) {
	id := request.Command.ID
	if request.Concluded() && request.OpenAttempts == 0 && e.requests[id] == request {
		delete(e.requests, id)
	}
}
