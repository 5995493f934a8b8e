package lease

import "slices"

// vote is one voter's grant of one lease, and what else it answered. Times are on the candidate's clock.
type vote struct {
	term             uint64
	setNumber        uint64
	voterIncarnation uint64
	validUntil       int64
	length           int64
	full             bool   // for the whole length under the present generation: a renewal request extends it
	endedGrants      uint64 // the voter's count when it granted
	generation       uint64 // under which it was asked for
	receivedAt       int64
	askAgainAt       int64
	heldByOtherUntil int64 // until when the voter said at the most that another process has the lease, 0 for not
}

const (
	// maxTrial is the longest trial grant, in us. It is how long a split vote, in which no candidate gets a majority,
	// keeps a lease from everybody.
	maxTrial = 400_000
	// minTrial is the shortest trial grant, in us: a few round trips of a slow network, so that it can be won.
	minTrial = 200_000
	// askAgainAfter is when a voter that has not answered is asked again, in us.
	askAgainAfter = 60_000
	// maxAskInterval is the longest time between requests of a candidate that waits, in us. It is under half of
	// waiterLifetime, after which a voter takes it out of the line.
	maxAskInterval = 5_000_000
	// askTogetherEvery is the time, in us, to the next multiple of which the requests of waiting candidates are delayed, so
	// that one message carries many of them. This delays nobody's turn, because the voter gives notice of a turn.
	askTogetherEvery = 200_000
	// firstBackoff is doubled with each attempt in a row that fails, the first one included, for the wait before the next
	// attempt, in us. A random part makes the wait up to half longer or shorter, so that candidates whose votes split
	// don't ask at the same time again.
	firstBackoff = 100_000
	// maxBackoffDoublings bounds the growth of that wait: 6.4 s, so that a lease which nobody holds is asked for soon.
	maxBackoffDoublings = 6
)

// ownsTerm reports whether a term is the one of this attempt or tenure, or the one to which it is being carried over. What
// a voter granted under either binds it to this process alone.
func (r *request) ownsTerm(term uint64) bool {
	return term > 0 && (term == r.term || term == r.carryOverTerm)
}

// trialLength is for how long votes are asked for at first, in us.
func (r *request) trialLength() int64 {
	return min(max(r.Length/renewalsPerLength, minTrial), maxTrial)
}

// beginAttempt starts to ask all voters for trial grants under a new term.
func (c *Candidate) beginAttempt(now int64, r *request) {
	c.highestTerm += termStep
	r.phase = requesting
	r.term = c.highestTerm
	r.carryOverTerm = 0
	r.majorityUntil = 0
	r.yieldRequested = false
	r.attemptEndsAt = now + r.trialLength()
	for i := range r.votes {
		r.votes[i] = vote{askAgainAt: now}
	}
}

// askMissingVotes queues requests to the voters whose votes are missing, or can't be extended together with all others.
func (c *Candidate) askMissingVotes(now int64, r *request) {
	full := r.phase == holding || r.majorityUntil > now // it is held, or its trial is won
	term := max(r.term, r.carryOverTerm)
	for i := range r.votes {
		v := &r.votes[i]
		valid := v.term == term && v.validUntil > now && (v.full || !full)
		if valid || now < v.askAgainAt || !c.inKnownSet(i) {
			continue
		}
		v.askAgainAt = now + askAgainAfter
		if r.phase == holding {
			v.askAgainAt = now + r.Length/renewalsPerLength
		}
		length := r.Length
		if !full {
			length = r.trialLength()
		}
		c.voters[i].queue = append(c.voters[i].queue, WantedLease{
			Lease:     r.Lease,
			Term:      term,
			CarryOver: r.carryOverTerm > 0,
			Length:    length,
			Full:      full,
			Priority:  r.Priority,
			Ticket:    r.ticket,
		})
	}
}

// failAttempt ends an attempt that brought no majority. If a majority is not free because voters named a holder, the next
// attempt begins when the holder's grants may have ended; else it begins after a growing wait with jitter, so that
// candidates whose votes split don't ask at the same time again.
func (c *Candidate) failAttempt(now int64, r *request) {
	c.announceRelease(now, r, "")
	r.phase = waiting
	r.failures++
	backoff := int64(firstBackoff) << min(r.failures, maxBackoffDoublings)
	r.requestAt = now + backoff/2 + c.jitter(backoff)
	if free := c.mayBeFreeAt(r); free > now {
		free = min(free, now+maxAskInterval)
		// Up to 50 ms at random, for the same reason as above: less than askTogetherEvery, so that requests still go
		// together.
		r.requestAt = free - free%askTogetherEvery + askTogetherEvery + c.jitter(firstBackoff)/2
		r.failures = 0
	}
}

// mayBeFreeAt returns when a majority of the newest set's voters may have the lease free, by what they answered. It
// returns 0 if a majority of the voters did not name another holder.
func (c *Candidate) mayBeFreeAt(r *request) int64 {
	newest := c.sets[len(c.sets)-1]
	var busyUntil []int64
	for _, name := range newest.names {
		if until := r.votes[c.voterIndex[name]].heldByOtherUntil; until > 0 {
			busyUntil = append(busyUntil, until)
		}
	}
	free := len(newest.names) - len(busyUntil)
	if free >= newest.majority() {
		return 0
	}
	slices.Sort(busyUntil)
	return busyUntil[newest.majority()-free-1]
}

// handleTurnNotice requests leases that a voter says are free for this process. One voter's notice is not enough while a
// majority may still have granted the lease to another process: a voter that restarted does not know of the present
// holder and may send a notice too early.
func (c *Candidate) handleTurnNotice(now int64, voter int, m *TurnNotice) {
	for _, free := range m.Leases {
		c.highestTerm = max(c.highestTerm, free.Term)
		r := c.find(free.Lease)
		if r == nil || r.phase != waiting {
			continue
		}
		r.votes[voter].heldByOtherUntil = 0
		if c.mayBeFreeAt(r) <= now {
			r.requestAt = now
		}
	}
}

// handleVerdict handles a voter's verdict on one lease. sentAt is when the request went out.
func (c *Candidate) handleVerdict(now int64, voter int, sentAt int64, m *GrantResponse, answer LeaseVerdict) {
	c.highestTerm = max(c.highestTerm, answer.Term)
	r := c.find(answer.Lease)
	if r == nil || !r.active() {
		return
	}
	if r.ticket == 0 {
		r.ticket = c.highestTerm
	}
	v := &r.votes[voter]
	switch answer.Verdict {
	case Granted:
		c.countGrant(now, r, v, sentAt, m, answer)
	case TermTooLow:
		if r.phase == requesting && answer.Term >= r.term { // what was granted under the present term is of no use
			c.announceRelease(now, r, "")
			c.beginAttempt(now, r)
		} else if r.phase == holding && answer.Term >= max(r.term, r.carryOverTerm) && v.term != answer.Term {
			c.carryOver(now, r)
		}
	case HeldByOther, OtherGoesFirst:
		v.heldByOtherUntil = now + answer.Wait
		v.askAgainAt = now + max(answer.Wait, askAgainAfter)
	case Abstaining, CoolingDown:
		v.askAgainAt = now + max(answer.Wait, askAgainAfter)
	case OtherVoterSet:
		v.askAgainAt = now + askAgainAfter
		if !c.inSet(m.SetNumber, m.From) {
			v.askAgainAt = now + maxAskInterval
		}
	case OutOfBounds, NoCapacity:
		// Nothing to note: askMissingVotes asks this voter again, as one that did not answer. Other voters may still be a
		// majority, and the voter has capacity again once it forgets leases.
	}
}

// countGrant counts a vote from when it was asked for, never from its answer: the voter may have granted it at once, and
// the answer may have come late.
func (c *Candidate) countGrant(now int64, r *request, v *vote, sentAt int64, m *GrantResponse, answer LeaseVerdict) {
	if !r.ownsTerm(answer.Term) {
		return
	}
	validUntil := sentAt + UsableLength(answer.Length, c.maxDrift)
	if r.ownsTerm(v.term) {
		validUntil = max(validUntil, v.validUntil)
	}
	*v = vote{
		term:             answer.Term,
		setNumber:        m.SetNumber,
		voterIncarnation: m.Incarnation,
		validUntil:       validUntil,
		length:           answer.Length,
		full:             answer.Full && m.Generation == c.generation,
		endedGrants:      m.EndedGrants,
		generation:       m.Generation,
		receivedAt:       now,
	}
	c.countVotes(now, r)
}

// countVotes finds until when a majority's votes are good, and acquires or extends the lease by it. Only votes under one
// set's number from voters of it count together: majorities of one set, or of two sets in a row, have a voter in common,
// which is bound to one process. What was earned once stays, because the voters keep to it.
func (c *Candidate) countVotes(now int64, r *request) {
	until := r.majorityUntil
	var validUntil [MaxVoters]int64
	for _, set := range c.sets {
		n := 0
		for _, name := range set.names {
			v := &r.votes[c.voterIndex[name]]
			if r.ownsTerm(v.term) && v.setNumber == set.number {
				validUntil[n] = v.validUntil
				n++
			}
		}
		if need := set.majority(); n >= need {
			slices.Sort(validUntil[:n])
			until = max(until, validUntil[n-need])
		}
	}
	carriedOver := c.finishCarryOver(now, r)
	if until <= r.majorityUntil && !carriedOver {
		return
	}
	r.majorityUntil = until
	switch {
	case r.phase == holding:
		c.addAction(Extended{Lease: r.Lease, Term: r.term, Until: until})
	case until-now >= r.Length/2:
		// These are votes for the whole length. Trials last at most maxTrial, 0.4 s, which is less than half of the shortest
		// lease: leaseservice refuses lengths under minLeaseLength, 1 s.
		r.phase = holding
		r.heldSince = now
		r.failures = 0
		c.addAction(Acquired{Lease: r.Lease, Term: r.term, Until: until})
	case until > now: // the trial is won: all voters are asked for the whole length at once
		r.attemptEndsAt = now + r.trialLength()
		for i := range r.votes {
			if v := &r.votes[i]; !v.full {
				v.askAgainAt = min(v.askAgainAt, now)
			}
		}
	}
}
