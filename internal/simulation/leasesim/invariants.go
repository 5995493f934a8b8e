package leasesim

import "fmt"

// notHeld stands for a lease without a holder, in place of a time.
const notHeld = -1

// leaseTruth is what is true of one lease, whatever any process believes. Times are true ones, in us.
type leaseTruth struct {
	name        string
	highestTerm uint64 // under which it was held
	lastHolder  string
	mayAct      []actor // who could act until when
	heldSince   int64   // by the present holder, or notHeld
	heldTotal   int64
	freeSince   int64 // when it was last without a holder, 0 for never
	takeovers   []int64
}

// actor is a process that could act under a lease.
type actor struct {
	process string // its id
	until   int64
}

// acquired notes a new holder and checks that nobody else can still act.
func (s *Simulation) acquired(p *process, l int, term uint64, until int64) {
	truth := s.leases[l]
	s.trace("%s holds %s at %d until %d", p.name, truth.name, term, p.trueTime(until))
	s.hash(hashedAcquired, p.index, int64(term), until)
	if term <= truth.highestTerm {
		s.violated("%s holds %s under term %d, and %s had it under %d", p.name, truth.name, term, truth.lastHolder, truth.highestTerm)
	}
	truth.highestTerm = term
	truth.lastHolder = p.name
	p.tenures[l] = tenure{term: term, until: until}
	s.checkAlone(p, l, until)
	s.figures.Holds++
	if truth.heldSince != notHeld {
		return
	}
	truth.heldSince = s.Now
	if truth.freeSince > 0 {
		truth.takeovers = append(truth.takeovers, s.Now-truth.freeSince)
	}
}

// extended notes that a holder may act for longer, perhaps under a later term.
func (s *Simulation) extended(p *process, l int, term uint64, until int64) {
	s.hash(hashedExtended, p.index, int64(l), until)
	truth := s.leases[l]
	if term != p.tenures[l].term { // carried over to a later term
		s.trace("%s carries %s over to %d", p.name, truth.name, term)
		if term <= truth.highestTerm {
			s.violated("%s carries %s over to term %d, and %s had it under %d", p.name, truth.name, term, truth.lastHolder, truth.highestTerm)
		}
		truth.highestTerm = term
		truth.lastHolder = p.name
		p.tenures[l].term = term
		s.figures.CarryOvers++
	}
	p.tenures[l].until = until
	s.checkAlone(p, l, until)
}

// checkAlone checks that no other process could act under a lease from now on, up to the end of its time, and notes this
// one's. A process that was killed counts up to its time too: what it started may go on without it.
func (s *Simulation) checkAlone(p *process, l int, until int64) {
	truth := s.leases[l]
	own := actor{process: p.id(), until: p.trueTime(until)}
	if s.PlantedMistake == NoClock { // it acts until it is told that it lost
		own.until = s.Now + 10*s.Length
	}
	others := truth.mayAct[:0]
	for _, other := range truth.mayAct {
		if other.until <= s.Now || other.process == own.process {
			continue
		}
		if both := min(other.until, own.until) - s.Now; both > 0 {
			s.violated("%s and %s can both act on %s, for %d us more", own.process, other.process, truth.name, both)
		}
		others = append(others, other)
	}
	truth.mayAct = append(others, own)
}

// violated notes that a rule was broken; the first one counts.
func (s *Simulation) violated(format string, args ...any) {
	if s.Violation == "" {
		s.Violation = fmt.Sprintf("%.3f s: ", float64(s.Now)/1e6) + fmt.Sprintf(format, args...)
		s.trace("BROKEN %s", s.Violation)
	}
}

// lost notes that a process knows that it holds a lease no more. What it did by its guard ended with its time.
func (s *Simulation) lost(p *process, l int, reason string) {
	s.trace("%s loses %s: %s", p.name, s.leases[l].name, reason)
	s.hash(hashedLost, p.index, int64(l), 0)
	s.figures.Losses++
	s.endTenure(p, l)
	if s.PlantedMistake == NoClock {
		s.endActs(p, l, s.Now)
	}
	p.tenures[l].term = 0
}

// endTenure notes that nobody holds a lease from when its holder's time was over.
func (s *Simulation) endTenure(p *process, l int) {
	truth := s.leases[l]
	own := p.tenures[l]
	if own.term == 0 || own.term != truth.highestTerm || truth.heldSince == notHeld {
		return
	}
	end := min(s.Now, max(truth.heldSince, p.trueTime(own.until)))
	truth.heldTotal += end - truth.heldSince
	truth.heldSince = notHeld
	truth.freeSince = end
}

// release gives a lease up after its acts have ended.
func (s *Simulation) release(p *process, l int, next string) {
	if p.tenures[l].term == 0 {
		return
	}
	s.hash(hashedRelease, p.index, int64(l), 0)
	s.endTenure(p, l)
	actsEnd := s.Now
	if s.PlantedMistake == EarlyFree {
		actsEnd += s.Length / 4 // the act goes on a while
	}
	s.endActs(p, l, actsEnd)
	p.tenures[l].term = 0
	p.candidate.Release(p.clock(s.Now), s.leases[l].name, next)
}

// endActs notes that a process that is up acts under a lease no longer than up to a time.
func (s *Simulation) endActs(p *process, l int, until int64) {
	id := p.id()
	mayAct := s.leases[l].mayAct
	for i := range mayAct {
		if mayAct[i].process == id {
			mayAct[i].until = min(mayAct[i].until, until)
		}
	}
}
