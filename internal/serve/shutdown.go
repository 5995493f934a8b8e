package serve

import (
	"log/slog"
	"os"
	"time"

	"cairntiller/internal/metrics"
)

// The platform sends SIGKILL min(longest client timeout, maxKillDelay) + killGrace after SIGTERM. Requests that are still
// open answerMargin before that are aborted.
const (
	maxKillDelay = 3 * time.Second
	killGrace    = 700 * time.Millisecond
	answerMargin = 250 * time.Millisecond // time to send the last answers

	// acceptWait is how long new clients may still connect: the platform redirects them to other routers within 0.4 s.
	acceptWait = 500 * time.Millisecond
	// readWait is how long clients have to read their last answers.
	readWait = 300 * time.Millisecond
	// handoverWait bounds the wait until leases are released and the other routers are notified.
	handoverWait = 2 * time.Second
)

// shutdown stops the router gracefully: other routers take over its leases while it answers the requests in flight, then it
// closes each session and stops. It accepts connections until the end, so that a client that connects during the shutdown
// gets an answer.
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

// answerAll waits until all requests are answered. At the deadline it aborts the requests still open, and half of
// answerMargin later it aborts them again and returns.
func (r *router) answerAll(deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	for r.engine.Unanswered() > 0 {
		select {
		case <-r.engine.AllAnswered():
		case <-timer.C:
			late := time.Since(deadline) >= answerMargin/2
			r.engine.AbortRequests()
			if late {
				return
			}
			timer.Reset(answerMargin / 2)
		}
	}
}
