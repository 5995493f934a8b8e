package leaseservice

import (
	"log/slog"
	"time"

	"cairntiller/internal/lease"
)

// minTickInterval is the shortest time between ticks triggered by messages, in us. An answer takes effect at once,
// while many answers that arrive together trigger one tick.
const minTickInterval = 5_000

// runCandidate runs the candidate until the service stops.
func (s *Service) runCandidate() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTick := int64(0)
	for {
		due := false
		select {
		case <-s.stopped:
			return
		case m := <-s.candidateInbox:
			s.candidate.Receive(s.clock(), m)
		case call := <-s.candidateCalls:
			call(s.clock())
		case <-ticker.C:
			due = true
		}
		for n := 0; n < maxBatch && len(s.candidateInbox) > 0; n++ {
			s.candidate.Receive(s.clock(), <-s.candidateInbox)
		}
		if now := s.clock(); due || now-lastTick >= minTickInterval {
			s.candidate.Tick(now)
			lastTick = now
		}
		for _, action := range s.candidate.TakeActions() {
			s.executeCandidateAction(action)
		}
	}
}

// executeCandidateAction executes an action of the candidate, and notifies the lease's guard of a change.
func (s *Service) executeCandidateAction(action lease.Action) {
	switch a := action.(type) {
	case lease.Send:
		s.sendMessage(a.To, a.Message)
	case lease.Acquired:
		leasesAcquired.Add()
		slog.Info("lease acquired", "lease", a.Lease, "term", a.Term, "left_us", a.Until-s.clock())
		if guard := s.guards[a.Lease]; guard != nil {
			guard.extend(Acquired, a.Term, a.Until)
		}
	case lease.Extended:
		if guard := s.guards[a.Lease]; guard != nil {
			guard.extend(Extended, a.Term, a.Until)
		}
	case lease.Lost:
		leasesLost.Add()
		slog.Warn("lease lost", "lease", a.Lease, "term", a.Term, "why", a.Reason)
		if guard := s.guards[a.Lease]; guard != nil {
			guard.lose(a.Term, a.Reason)
		}
	case lease.YieldRequested:
		yieldsRequested.Add()
		slog.Info("lease yield requested", "lease", a.Lease, "term", a.Term, "by", a.Next, "why", a.Reason)
		if guard := s.guards[a.Lease]; guard != nil {
			guard.yield(a.Term, a.Next, a.Reason)
		}
	case lease.Warning:
		logWarning(a)
	case lease.ClockOutOfBound:
		clocksOutOfBound.Add()
		slog.Error("a clock is outside the bound that leases rest on", "voter", a.Voter, "note", a.Text)
	}
}

// requestYield asks the holder of a lease on this instance to release it, if it holds the lease under a term that the
// filter matches. It never blocks.
func (s *Service) requestYield(lease string, matches termFilter, reason string) {
	yield := func(int64) {
		term, _ := s.candidate.HeldTerm(lease)
		guard := s.guards[lease]
		if guard == nil || term == 0 {
			return
		}
		if !matches(guard, term) {
			freeRequestsRefused.Add()
			slog.Warn("request to release a lease refused: it is for an earlier term, or names no term", "lease", lease, "term", term, "why", reason)
			return
		}
		guard.yield(term, "", reason)
	}
	select {
	case s.candidateCalls <- yield:
	default:
		messagesDropped.Add()
	}
}
