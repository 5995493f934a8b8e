package lease

import "math"

// process is one process that may hold a lease; another start under the same name is another process.
type process struct {
	name        string
	incarnation uint64
}

// session is what one process has been granted.
type session struct {
	endedGrants uint64 // Voter.endedGrants when one of its own grants last ended, or when the session began
	leases      []*leaseGrant
	lastRequest int64
}

// leaseGrant is what the voter knows of one lease. Times are on the voter's clock.
type leaseGrant struct {
	lease         string
	index         int // in Voter.leases
	term          uint64
	holder        process // that has it, or had it last
	granted       bool
	released      bool // its holder gave it up: that term is over
	until         int64
	length        int64 // granted in full: by what a renewal request extends it
	full          bool  // and not only a trial
	generation    uint64
	sessionIndex  int      // in the leases of its holder's session
	line          []waiter // who waits, in order
	reservedUntil int64    // for the first in line, 0 for not
	endedAt       int64
}

// maxWaitersTold is the number of leases for which a renew response says who waits, so that it fits a datagram.
const maxWaitersTold = 24

// session returns the session of a process, and begins one if the process has none.
func (v *Voter) session(now int64, by process) *session {
	s := v.sessions[by]
	if s == nil {
		// Never a count that a former session of the process had: grants of that one would count as still granted.
		s = &session{endedGrants: v.endedGrants}
		v.sessions[by] = s
	}
	s.lastRequest = now
	return s
}

// response returns the header of the answer to a request. sameSet reports whether the candidate asked under the voter set
// that this voter goes by and belongs to; if not, nothing is granted, and the answer names the set.
func (v *Voter) response(now int64, request *RequestHeader) (header ResponseHeader, sameSet bool) {
	header = ResponseHeader{
		Header:     v.header(),
		Requester:  request.Incarnation,
		RequestID:  request.RequestID,
		Generation: request.Generation,
		VoterClock: now,
	}
	sameSet = request.SetNumber == v.set.number && v.IsMember()
	if !sameSet {
		header.SetNames = v.set.names
	}
	return header, sameSet
}

// answerGrantRequest answers each lease that is asked for.
func (v *Voter) answerGrantRequest(now int64, m *GrantRequest) {
	by := process{m.From, m.Incarnation}
	header, sameSet := v.response(now, &m.RequestHeader)
	answer := &GrantResponse{ResponseHeader: header}
	for _, wanted := range m.Leases {
		verdict := LeaseVerdict{WantedLease: wanted, Verdict: OtherVoterSet}
		if sameSet {
			verdict = v.decide(now, by, m.Generation, wanted)
		}
		answer.Leases = append(answer.Leases, verdict)
	}
	if s := v.sessions[by]; s != nil {
		answer.EndedGrants = s.endedGrants
	}
	v.send(m.From, answer)
}

// decide grants, extends or refuses one lease; it is the only way to a grant. There are two ways to Granted: for the
// process that has a live grant, under the same term or carried over to a later one; and if there is no live grant,
// under a term that nobody else had here. A live grant is only ever extended for its holder. A new grant must pass the
// checks of the term, the cool-down and the reservation.
func (v *Voter) decide(now int64, by process, generation uint64, wanted WantedLease) LeaseVerdict {
	answer := LeaseVerdict{WantedLease: wanted}
	switch {
	case now < v.abstainUntil: // what a former process granted may still run
		return refuse(answer, Abstaining, v.abstainUntil-now)
	case len(v.previousNames) > 0:
		// A majority of set number-2 may still go by it, and that majority need not share a voter with one of this set.
		return refuse(answer, Abstaining, statusInterval)
	case answer.Length <= 0 || answer.Length > v.longestLease || answer.Lease == "" || len(answer.Lease) > MaxNameLength:
		return refuse(answer, OutOfBounds, 0)
	}
	g := v.findOrAdd(now, answer.Lease)
	if g == nil {
		return refuse(answer, NoCapacity, 0)
	}
	v.expire(now, g)
	if g.granted {
		return v.decideGranted(now, g, by, generation, answer)
	}
	sameTermAgain := answer.Term == g.term && g.holder == by && !g.released
	if !sameTermAgain && answer.Term <= max(g.term, v.termFloor) {
		answer.Term = max(g.term, v.termFloor)
		return refuse(answer, TermTooLow, 0)
	}
	if left := v.coolDownLeft(now, by.name); left > 0 {
		return refuse(answer, CoolingDown, left)
	}
	// A holder that carries its lease over still has it at other voters, so nobody's turn has come.
	reserved := now < g.reservedUntil && len(g.line) > 0 && g.line[0].name != by.name
	if reserved && !answer.CarryOver {
		v.enterLine(now, g, by, answer.WantedLease)
		return refuse(answer, OtherGoesFirst, g.reservedUntil-now)
	}
	return v.grant(now, g, by, generation, answer)
}

// decideGranted decides on a lease that is granted: only its holder may have more of it. Other attempts wait in line.
func (v *Voter) decideGranted(now int64, g *leaseGrant, by process, generation uint64, answer LeaseVerdict) LeaseVerdict {
	if g.holder == by && answer.Term == g.term {
		return extend(now, g, generation, answer)
	}
	if g.holder == by && answer.CarryOver { // nobody else had it here in between
		if highest := max(g.term, v.termFloor); answer.Term <= highest {
			answer.Term = highest
			return refuse(answer, TermTooLow, 0)
		}
		v.setHolder(g, by, answer.Term)
		return extend(now, g, generation, answer)
	}
	answer.Holder = g.holder.name
	answer.Term = g.term
	v.enterLine(now, g, by, answer.WantedLease)
	return refuse(answer, HeldByOther, g.until-now)
}

// refuse answers that a lease is not granted; wait is in us.
func refuse(answer LeaseVerdict, why Verdict, wait int64) LeaseVerdict {
	answer.Verdict = why
	answer.Wait = max(0, wait)
	return answer
}

// grant grants a lease that nobody has, under a term that nobody else had here.
func (v *Voter) grant(now int64, g *leaseGrant, by process, generation uint64, answer LeaseVerdict) LeaseVerdict {
	s := v.session(now, by)
	v.setHolder(g, by, answer.Term)
	g.granted = true
	g.released = false
	g.until = 0
	g.full = false
	g.generation = 0
	g.reservedUntil = 0
	g.sessionIndex = len(s.leases)
	s.leases = append(s.leases, g)
	g.line = removeWaiter(g.line, by.name)
	return extend(now, g, generation, answer)
}

// setHolder notes a lease's holder and term, and has them stored if they are new.
func (v *Voter) setHolder(g *leaseGrant, by process, term uint64) {
	if g.term != term || g.holder != by {
		v.addAction(StoreGrant{GrantRecord{Lease: g.lease, Holder: by.name, Term: term, Incarnation: by.incarnation}})
	}
	g.term = term
	g.holder = by
}

// extend lets a grant last longer; its end never moves back. A grant's length is that of the first full request of the
// tenure, since a renewal request names none. Its generation never falls: a request that comes late must not take a grant
// out of what its holder believes to be renewed.
func extend(now int64, g *leaseGrant, generation uint64, answer LeaseVerdict) LeaseVerdict {
	if answer.Full {
		if !g.full {
			g.full = true
			g.length = answer.Length
		}
		answer.Length = g.length
		g.generation = max(g.generation, generation)
	}
	g.until = max(g.until, now+answer.Length)
	answer.Verdict = Granted
	return answer
}

// answerRenewRequest extends all that a process has in full under the generation that it names. What it was granted
// before and holds no more, because the release was lost, runs out.
func (v *Voter) answerRenewRequest(now int64, m *RenewRequest) {
	header, sameSet := v.response(now, &m.RequestHeader)
	answer := &RenewResponse{ResponseHeader: header}
	answer.EndedGrants = math.MaxUint64 // for a session that is unknown or not renewed; never equal to a real count
	s := v.sessions[process{m.From, m.Incarnation}]
	if s != nil && sameSet && now >= v.abstainUntil && len(v.previousNames) == 0 {
		v.renewAll(now, s, m.Generation, answer)
		s.lastRequest = now
		answer.EndedGrants = s.endedGrants
	}
	v.send(m.From, answer)
}

// renewAll extends a process's full grants of a generation and notes in the answer how many there were, and which
// candidates wait.
func (v *Voter) renewAll(now int64, s *session, generation uint64, answer *RenewResponse) {
	for i := len(s.leases) - 1; i >= 0; i-- { // from the end: one that has run out leaves the list
		g := s.leases[i]
		v.expire(now, g)
		if !g.granted || !g.full || g.generation != generation {
			continue
		}
		answer.RenewedCount++
		g.until = max(g.until, now+g.length)
		if len(g.line) > 0 && len(answer.Waiting) < maxWaitersTold {
			first := g.line[0]
			answer.Waiting = append(answer.Waiting, WaitingLease{Lease: g.lease, Term: g.term, First: first.name, Priority: first.priority, WaitedFor: now - first.since})
		}
	}
}

// handleRelease ends the grants that their holder gives up; the member that the holder names goes first in line.
func (v *Voter) handleRelease(now int64, m *Release) {
	by := process{m.From, m.Incarnation}
	for _, released := range m.Leases {
		g := v.find(released.Lease)
		if g == nil || g.holder != by || g.term != released.Term {
			continue
		}
		g.released = true
		if released.Next != "" {
			g.putFirst(now, released.Next)
		}
		if g.granted {
			v.endGrant(now, g)
		}
	}
}

// expire ends a grant whose time is over. A holder that let a full grant run out lapsed; a trial that ran out was only a
// vote that split.
func (v *Voter) expire(now int64, g *leaseGrant) {
	if !g.granted || now < g.until {
		return
	}
	if g.full {
		v.noteLapse(now, g.holder.name, g.length, len(g.line) > 0)
	}
	v.endGrant(now, g)
}

// endGrant ends a grant and gives notice to the first in line. The process's count of ended grants changes, so that its
// renewal requests under way don't count for the grant.
func (v *Voter) endGrant(now int64, g *leaseGrant) {
	s := v.sessions[g.holder]
	v.endedGrants++
	s.endedGrants = v.endedGrants
	last := s.leases[len(s.leases)-1]
	s.leases[g.sessionIndex] = last
	last.sessionIndex = g.sessionIndex
	s.leases = s.leases[:len(s.leases)-1]
	g.granted = false
	g.endedAt = now
	v.notifyFirst(now, g)
}
