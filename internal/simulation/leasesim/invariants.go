package leasesim

import "fmt"

// notHeld replaces the time in heldSince for a lease without a holder.
const notHeld = -1

// leaseState is the actual state of a lease, independent of what any process believes. Times are true times in us.
type leaseState struct {
	name        string
	highestTerm uint64 // highest term under which it was held
	lastHolder  string
	actors      []actor // processes that may act under the lease, and until when
	heldSince   int64   // when the current holder acquired it, or notHeld
	heldTotal   int64
	freeSince   int64   // when its last holder's lease ended, 0 if never
	takeovers   []int64 // durations without a holder, us
}

// actor is a process that may act under a lease.
type actor struct {
	process string // process.id
	until   int64
}

// recordAcquired records a new holder and checks that no other process can still act.
func (s *Simulation) recordAcquired(p *process, l int, term uint64, until int64) {
	state := s.leases[l]
	s.trace("%s acquired %s under term %d until %d", p.name, state.name, term, p.trueTime(until))
	s.hash(hashedAcquired, p.index, int64(term), until)
	if term <= state.highestTerm {
		s.reportViolation("%s acquired %s under term %d, but %s already held it under term %d", p.name, state.name, term, state.lastHolder, state.highestTerm)
	}
	state.highestTerm = term
	state.lastHolder = p.name
	p.localLeases[l] = localLease{term: term, until: until}
	s.checkExclusive(p, l, until)
	s.result.Acquisitions++
	if state.heldSince != notHeld {
		return
	}
	state.heldSince = s.Now
	if state.freeSince > 0 {
		state.takeovers = append(state.takeovers, s.Now-state.freeSince)
	}
}

// recordExtended records that a holder's lease was extended, possibly under a later term.
func (s *Simulation) recordExtended(p *process, l int, term uint64, until int64) {
	s.hash(hashedExtended, p.index, int64(l), until)
	state := s.leases[l]
	if term != p.localLeases[l].term { // carried over to a later term
		s.trace("%s carried %s over to term %d", p.name, state.name, term)
		if term <= state.highestTerm {
			s.reportViolation("%s carried %s over to term %d, but %s already held it under term %d", p.name, state.name, term, state.lastHolder, state.highestTerm)
		}
		state.highestTerm = term
		state.lastHolder = p.name
		p.localLeases[l].term = term
		s.result.CarryOvers++
	}
	p.localLeases[l].until = until
	s.checkExclusive(p, l, until)
}

// checkExclusive checks that no other process can act under a lease at any time from now until its expiry, and records
// this process as an actor. A killed process still counts until the expiry of its lease, because actions that it started
// may continue without it.
func (s *Simulation) checkExclusive(p *process, l int, until int64) {
	state := s.leases[l]
	own := actor{process: p.id(), until: p.trueTime(until)}
	if s.PlantedMistake == NoClock { // it acts until it is told that the lease is lost
		own.until = s.Now + 10*s.Length
	}
	others := state.actors[:0]
	for _, other := range state.actors {
		if other.until <= s.Now || other.process == own.process {
			continue
		}
		if overlap := min(other.until, own.until) - s.Now; overlap > 0 {
			s.reportViolation("%s and %s can both act under %s for another %d us", own.process, other.process, state.name, overlap)
		}
		others = append(others, other)
	}
	state.actors = append(others, own)
}

// reportViolation records an invariant violation. Only the first one is kept.
func (s *Simulation) reportViolation(format string, args ...any) {
	if s.Violation == "" {
		s.Violation = fmt.Sprintf("%.3f s: ", float64(s.Now)/1e6) + fmt.Sprintf(format, args...)
		s.trace("INVARIANT VIOLATED %s", s.Violation)
	}
}

// recordLost records that a process learned that its lease is lost. Its actions ended when the lease expired.
func (s *Simulation) recordLost(p *process, l int, reason string) {
	s.trace("%s lost %s: %s", p.name, s.leases[l].name, reason)
	s.hash(hashedLost, p.index, int64(l), 0)
	s.result.Losses++
	s.endHold(p, l)
	if s.PlantedMistake == NoClock {
		s.endActions(p, l, s.Now)
	}
	p.localLeases[l].term = 0
}

// endHold records that a lease has no holder since its holder's lease expired, or since now if it has not expired yet.
func (s *Simulation) endHold(p *process, l int) {
	state := s.leases[l]
	own := p.localLeases[l]
	if own.term == 0 || own.term != state.highestTerm || state.heldSince == notHeld {
		return
	}
	end := min(s.Now, max(state.heldSince, p.trueTime(own.until)))
	state.heldTotal += end - state.heldSince
	state.heldSince = notHeld
	state.freeSince = end
}

// release makes a process release a lease after its actions under it have ended.
func (s *Simulation) release(p *process, l int, next string) {
	if p.localLeases[l].term == 0 {
		return
	}
	s.hash(hashedRelease, p.index, int64(l), 0)
	s.endHold(p, l)
	actionsEnd := s.Now
	if s.PlantedMistake == EarlyFree {
		actionsEnd += s.Length / 4 // the action continues for a while
	}
	s.endActions(p, l, actionsEnd)
	p.localLeases[l].term = 0
	p.candidate.Release(p.clock(s.Now), s.leases[l].name, next)
}

// endActions records that a running process does not act under a lease after the given time.
func (s *Simulation) endActions(p *process, l int, until int64) {
	id := p.id()
	actors := s.leases[l].actors
	for i := range actors {
		if actors[i].process == id {
			actors[i].until = min(actors[i].until, until)
		}
	}
}
