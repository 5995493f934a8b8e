package leaseservice

import (
	"log/slog"
	"time"

	"cairntiller/internal/lease"
)

// minCandidateTick is the least time between ticks that messages cause, in us. An answer has its effect at once, and many
// answers that come together cause one tick.
const minCandidateTick = 5_000

// runCandidate runs the candidate until the end.
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
		if now := s.clock(); due || now-lastTick >= minCandidateTick {
			s.candidate.Tick(now)
			lastTick = now
		}
		for _, action := range s.candidate.TakeActions() {
			s.carryOutForCandidate(action)
		}
	}
}

// carryOutForCandidate carries out an action of the candidate, and notifies the lease's guard of a change.
func (s *Service) carryOutForCandidate(action lease.Action) {
	switch a := action.(type) {
	case lease.Send:
		s.sendMessage(a.To, a.Message)
	case lease.Acquired:
		leasesAcquired.Add()
		slog.Info("lease held", "lease", a.Lease, "term", a.Term, "left_us", a.Until-s.clock())
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
		slog.Info("lease wanted", "lease", a.Lease, "term", a.Term, "by", a.Next, "why", a.Reason)
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

// requestYield asks the holder of a lease on this instance to give it up, if it holds it under a term that is meant; it
// never blocks.
func (s *Service) requestYield(lease string, meant termFilter, reason string) {
	ask := func(int64) {
		term, _ := s.candidate.HeldTerm(lease)
		guard := s.guards[lease]
		if guard == nil || term == 0 {
			return
		}
		if !meant(guard, term) {
			yieldsRefused.Add()
			slog.Warn("lease not given up: the request is for an earlier holder, or names no term", "lease", lease, "term", term, "why", reason)
			return
		}
		guard.yield(term, "", reason)
	}
	select {
	case s.candidateCalls <- ask:
	default:
		messagesDropped.Add()
	}
}
