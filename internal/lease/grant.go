package lease

import "math"

// process identifies a process that may hold a lease. A restart under the same name is another process.
type process struct {
	name        string
	incarnation uint64
}

// session holds the grants of one process.
type session struct {
	endedGrants   uint64 // Voter.endedGrants when one of the session's grants last ended, or when the session began
	leases        []*leaseGrant
	lastRequestAt int64
}

// leaseGrant is a voter's state of one lease. Times are on the voter's clock.
type leaseGrant struct {
	lease         string
	index         int // in Voter.leases
	term          uint64
	holder        process // current holder, or the last one
	granted       bool
	released      bool // by its holder, so that the term is over
	validUntil    int64
	length        int64 // of a full grant: a renewal request extends it by this
	full          bool  // not only a trial
	generation    uint64
	sessionIndex  int      // in session.leases of the holder
	queue         []waiter // waiting candidates, in order
	reservedUntil int64    // for the first in the queue, 0 if not reserved
	endedAt       int64
}

// maxReportedWaiters limits the leases for which a renew response reports a waiting candidate, so that the response
// fits a datagram.
const maxReportedWaiters = 24

// session returns the session of a process, and begins one if the process has none.
func (v *Voter) session(now int64, holder process) *session {
	s := v.sessions[holder]
	if s == nil {
		// A new session must not reuse the count of an earlier session of the process: grants of that one would count
		// as valid.
		s = &session{endedGrants: v.endedGrants}
		v.sessions[holder] = s
	}
	s.lastRequestAt = now
	return s
}

// response returns the header of the response to a request. sameSet reports whether the candidate used the number of
// the voter set that this voter has adopted and belongs to; if not, nothing is granted, and the response names the set.
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

// answerGrantRequest answers a request with a verdict on each lease.
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

// decide grants, extends or refuses one lease; nothing else grants a lease. It does so in two cases: for the process
// that holds an unexpired grant, under the same term or carried over to a later one; and if there is no unexpired
// grant, under a term that no other process had at this voter. An unexpired grant is only ever extended for its holder.
// A new grant must pass the checks of the term, the cool-down and the reservation.
func (v *Voter) decide(now int64, requester process, generation uint64, wanted WantedLease) LeaseVerdict {
	answer := LeaseVerdict{WantedLease: wanted}
	switch {
	case now < v.abstainUntil: // grants of an earlier process may not have expired
		return refusal(answer, Abstaining, v.abstainUntil-now)
	case len(v.previousNames) > 0:
		// A majority of set number-2 may still use that set, and it need not share a voter with a majority of this set.
		return refusal(answer, Abstaining, statusInterval)
	case answer.Length <= 0 || answer.Length > v.longestLease || answer.Lease == "" || len(answer.Lease) > MaxNameLength:
		return refusal(answer, OutOfBounds, 0)
	}
	g := v.findOrAdd(now, answer.Lease)
	if g == nil {
		return refusal(answer, NoCapacity, 0)
	}
	v.expire(now, g)
	if g.granted {
		return v.decideGranted(now, g, requester, generation, answer)
	}
	sameTermAgain := answer.Term == g.term && g.holder == requester && !g.released
	if !sameTermAgain && answer.Term <= max(g.term, v.termFloor) {
		answer.Term = max(g.term, v.termFloor)
		return refusal(answer, TermTooLow, 0)
	}
	if left := v.remainingCoolDown(now, requester.name); left > 0 {
		return refusal(answer, CoolingDown, left)
	}
	// A holder that carries its lease over still holds it at other voters, so the reservation does not apply.
	reserved := now < g.reservedUntil && len(g.queue) > 0 && g.queue[0].name != requester.name
	if reserved && !answer.CarryOver {
		v.enqueueWaiter(now, g, requester, answer.WantedLease)
		return refusal(answer, ReservedForOther, g.reservedUntil-now)
	}
	return v.grant(now, g, requester, generation, answer)
}

// decideGranted decides on a lease that is granted: only its holder may extend it. Other candidates are queued.
func (v *Voter) decideGranted(now int64, g *leaseGrant, requester process, generation uint64, answer LeaseVerdict) LeaseVerdict {
	if g.holder == requester && answer.Term == g.term {
		return extend(now, g, generation, answer)
	}
	if g.holder == requester && answer.CarryOver { // no other process held it here in between
		if highest := max(g.term, v.termFloor); answer.Term <= highest {
			answer.Term = highest
			return refusal(answer, TermTooLow, 0)
		}
		v.setHolder(g, requester, answer.Term)
		return extend(now, g, generation, answer)
	}
	answer.Holder = g.holder.name
	answer.Term = g.term
	v.enqueueWaiter(now, g, requester, answer.WantedLease)
	return refusal(answer, HeldByOther, g.validUntil-now)
}

// refusal returns a verdict that refuses a lease; wait is in us.
func refusal(answer LeaseVerdict, reason Verdict, wait int64) LeaseVerdict {
	answer.Verdict = reason
	answer.Wait = max(0, wait)
	return answer
}

// grant grants a free lease, under a term that no other process had here.
func (v *Voter) grant(now int64, g *leaseGrant, requester process, generation uint64, answer LeaseVerdict) LeaseVerdict {
	s := v.session(now, requester)
	v.setHolder(g, requester, answer.Term)
	g.granted = true
	g.released = false
	g.validUntil = 0
	g.full = false
	g.generation = 0
	g.reservedUntil = 0
	g.sessionIndex = len(s.leases)
	s.leases = append(s.leases, g)
	g.queue = removeWaiter(g.queue, requester.name)
	return extend(now, g, generation, answer)
}

// setHolder sets a lease's holder and term, and has them stored if they changed.
func (v *Voter) setHolder(g *leaseGrant, holder process, term uint64) {
	if g.term != term || g.holder != holder {
		v.addAction(StoreGrant{GrantRecord{Lease: g.lease, Holder: holder.name, Term: term, Incarnation: holder.incarnation}})
	}
	g.term = term
	g.holder = holder
}

// extend extends a grant; its end never moves back. The length of a grant is that of the tenure's first full request,
// since a renewal request names none. Its generation never decreases: a delayed request must not exclude a grant from
// the renewals that its holder counts on.
func extend(now int64, g *leaseGrant, generation uint64, answer LeaseVerdict) LeaseVerdict {
	if answer.Full {
		if !g.full {
			g.full = true
			g.length = answer.Length
		}
		answer.Length = g.length
		g.generation = max(g.generation, generation)
	}
	g.validUntil = max(g.validUntil, now+answer.Length)
	answer.Verdict = Granted
	return answer
}

// answerRenewRequest extends all full grants of a process under the generation in the request. A grant that the process
// no longer holds, because its release was lost, expires once the process has started a new generation.
func (v *Voter) answerRenewRequest(now int64, m *RenewRequest) {
	header, sameSet := v.response(now, &m.RequestHeader)
	answer := &RenewResponse{ResponseHeader: header}
	answer.EndedGrants = math.MaxUint64 // the session is unknown or was not renewed; never equal to a real count
	s := v.sessions[process{m.From, m.Incarnation}]
	if s != nil && sameSet && now >= v.abstainUntil && len(v.previousNames) == 0 {
		v.renewAll(now, s, m.Generation, answer)
		s.lastRequestAt = now
		answer.EndedGrants = s.endedGrants
	}
	v.send(m.From, answer)
}

// renewAll extends a process's full grants of a generation, and adds their number and the waiting candidates to the
// response.
func (v *Voter) renewAll(now int64, s *session, generation uint64, answer *RenewResponse) {
	for i := len(s.leases) - 1; i >= 0; i-- { // in reverse, because an expired grant is removed from the list
		g := s.leases[i]
		v.expire(now, g)
		if !g.granted || !g.full || g.generation != generation {
			continue
		}
		answer.RenewedCount++
		g.validUntil = max(g.validUntil, now+g.length)
		if len(g.queue) > 0 && len(answer.Waiting) < maxReportedWaiters {
			first := g.queue[0]
			answer.Waiting = append(answer.Waiting, WaitingLease{Lease: g.lease, Term: g.term, First: first.name, Priority: first.priority, WaitedFor: now - first.waitingSince})
		}
	}
}

// handleRelease ends grants that their holder releases. The member that the holder names is put at the front of the
// queue.
func (v *Voter) handleRelease(now int64, m *Release) {
	by := process{m.From, m.Incarnation}
	for _, released := range m.Leases {
		g := v.find(released.Lease)
		if g == nil || g.holder != by || g.term != released.Term {
			continue
		}
		g.released = true
		if released.Next != "" {
			g.enqueueFirst(now, released.Next)
		}
		if g.granted {
			v.endGrant(now, g)
		}
	}
}

// expire ends a grant whose time is over. Only a full grant counts as a lapse of its holder; an expired trial was a
// split vote.
func (v *Voter) expire(now int64, g *leaseGrant) {
	if !g.granted || now < g.validUntil {
		return
	}
	if g.full {
		v.recordLapse(now, g.holder.name, g.length, len(g.queue) > 0)
	}
	v.endGrant(now, g)
}

// endGrant ends a grant and notifies the first in the queue. It changes the session's count of ended grants, so that
// the holder does not count renewal requests in flight for this grant.
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
	v.notifyFirstWaiter(now, g)
}
