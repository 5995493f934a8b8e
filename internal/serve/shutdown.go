package serve

import (
	"log/slog"
	"os"
	"time"

	"cairntiller/internal/metrics"
)

// SIGKILL follows min(longest client timeout, maxKillDelay) + killGrace after SIGTERM. Requests still open answerMargin
// earlier are given up.
const (
	maxKillDelay = 3 * time.Second
	killGrace    = 700 * time.Millisecond
	answerMargin = 250 * time.Millisecond // for the last answers to leave

	// acceptWait is the time in which clients may still come: the platform moves them away within 0.4 s.
	acceptWait = 500 * time.Millisecond
	// readWait is the time for clients to read their last answers.
	readWait = 300 * time.Millisecond
	// handoverWait is the time for the other routers to be told, if that takes longer than the last answers.
	handoverWait = 2 * time.Second
)

// shutdown ends the router in order: other routers take over its leases while it answers the requests in flight, then it
// closes each session and stops. It keeps accepting connections until the end, so that a client that connects meanwhile is
// answered rather than left waiting.
func (r *router) shutdown() {
	killDelay := min(time.Duration(r.longestClientTimeout)*time.Microsecond, maxKillDelay)
	deadline := time.Now().Add(killDelay + killGrace - answerMargin)
	r.rollouts.leaving.Store(true)
	slog.Info("shutting down", "unanswered", r.engine.Unanswered())
	handedOver := make(chan struct{})
	go func() {
		r.services.leave()
		close(handedOver)
	}()
	time.Sleep(min(acceptWait, time.Until(deadline)))
	r.frontend.BeginDrain()
	select {
	case <-handedOver:
	case <-time.After(min(handoverWait, time.Until(deadline))):
	}
	r.answerAll(deadline)
	r.frontend.WaitClosed(readWait, deadline.Add(answerMargin/2))
	r.engine.Stop()
	slog.Info("shut down")
	metrics.Print(os.Stderr)
}

// answerAll returns once all requests have their answers. At the deadline what is left is given up, and half a margin
// later no more is waited for.
func (r *router) answerAll(deadline time.Time) {
	alarm := time.NewTimer(time.Until(deadline))
	for r.engine.Unanswered() > 0 {
		select {
		case <-r.engine.AllAnswered():
		case <-alarm.C:
			late := time.Since(deadline) >= answerMargin/2
			r.engine.AbortRequests()
			if late {
				return
			}
			alarm.Reset(answerMargin / 2)
		}
	}
}
