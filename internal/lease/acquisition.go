package lease

import "slices"

// vote is one voter's grant of one lease, with the rest of its last answer. Times are on the candidate's clock.
type vote struct {
	term             uint64
	setNumber        uint64
	voterIncarnation uint64
	validUntil       int64
	length           int64
	full             bool   // granted for the full length under the current generation, so that a renewal request extends it
	endedGrants      uint64 // the voter's EndedGrants in the granting response
	generation       uint64 // of the grant request
	receivedAt       int64
	nextRequestAt    int64
	heldByOtherUntil int64 // latest end of another process's grant, as the voter reported it; 0 if it reported none
}

const (
	// maxTrialLength is the longest trial grant, in us. A split vote, in which no candidate gets a majority, makes a
	// lease unavailable for that long.
	maxTrialLength = 400_000
	// minTrialLength is the shortest trial grant, in us: a few round trips on a slow network, so that a trial can
	// succeed.
	minTrialLength = 200_000
	// retryInterval is how long after a request without an answer a voter is asked again, in us.
	retryInterval = 60_000
	// maxRequestInterval is the longest time between requests of a waiting candidate, in us. It is less than half of
	// waiterTimeout, after which a voter removes the candidate from the queue.
	maxRequestInterval = 5_000_000
	// batchInterval rounds up the request times of waiting candidates to its next multiple, in us, so that one message
	// carries many requests. It delays no hand-over, because the voter sends a ReservationNotice.
	batchInterval = 200_000
	// firstBackoff is the base of the wait between attempts, in us. It doubles with each failed attempt in a row, the
	// first one included. Jitter makes the wait up to half longer or shorter, so that candidates whose votes split
	// don't retry at the same time.
	firstBackoff = 100_000
	// maxBackoffDoublings limits the backoff to 6.4 s, so that a free lease is requested again soon.
	maxBackoffDoublings = 6
)

// ownsTerm reports whether a term is that of this attempt or tenure, or the one to which the lease is being carried
// over. A grant under either term binds the voter to this process alone.
func (r *request) ownsTerm(term uint64) bool {
	return term > 0 && (term == r.term || term == r.carryOverTerm)
}

// trialLength returns the length of the trial grants that an attempt requests first, in us.
func (r *request) trialLength() int64 {
	return min(max(r.Length/renewalsPerLength, minTrialLength), maxTrialLength)
}

// beginAttempt starts an attempt: all voters are asked for trial grants under a new term.
func (c *Candidate) beginAttempt(now int64, r *request) {
	c.highestTerm += termStep
	r.phase = requesting
	r.term = c.highestTerm
	r.carryOverTerm = 0
	r.majorityValidUntil = 0
	r.yieldRequested = false
	r.attemptEndsAt = now + r.trialLength()
	for i := range r.votes {
		r.votes[i] = vote{nextRequestAt: now}
	}
}

// requestMissingVotes queues requests to the voters whose vote is missing or is not covered by renewal requests.
func (c *Candidate) requestMissingVotes(now int64, r *request) {
	full := r.phase == holding || r.majorityValidUntil > now // the lease is held, or a majority granted the trial
	term := max(r.term, r.carryOverTerm)
	for i := range r.votes {
		v := &r.votes[i]
		valid := v.term == term && v.validUntil > now && (v.full || !full)
		if valid || now < v.nextRequestAt || !c.inKnownSet(i) {
			continue
		}
		v.nextRequestAt = now + retryInterval
		if r.phase == holding {
			v.nextRequestAt = now + r.Length/renewalsPerLength
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

// failAttempt ends an attempt that got no majority. If too few voters are free because others named a holder, the next
// attempt begins when the holder's grants may have ended; otherwise after an exponential backoff with jitter, so that
// candidates whose votes split don't retry at the same time.
func (c *Candidate) failAttempt(now int64, r *request) {
	c.endTerm(now, r, "")
	r.phase = waiting
	r.failures++
	backoff := int64(firstBackoff) << min(r.failures, maxBackoffDoublings)
	r.nextAttemptAt = now + backoff/2 + c.jitter(backoff)
	if free := c.estimateFreeAt(r); free > now {
		free = min(free, now+maxRequestInterval)
		// Up to 50 ms of jitter, also against split votes. It is less than batchInterval, so that requests still share
		// messages.
		r.nextAttemptAt = free - free%batchInterval + batchInterval + c.jitter(firstBackoff)/2
		r.failures = 0
	}
}

// estimateFreeAt returns when a majority of the newest set's voters may have the lease free, judging by their answers.
// It returns 0 if a majority of the voters reported no other holder.
func (c *Candidate) estimateFreeAt(r *request) int64 {
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

// handleReservationNotice requests leases that a voter reserves for this process. One voter's notice is not enough while a
// majority may still have granted the lease to another process: a voter that restarted does not know the current holder
// and may send its notice too early.
func (c *Candidate) handleReservationNotice(now int64, voter int, m *ReservationNotice) {
	for _, free := range m.Leases {
		c.highestTerm = max(c.highestTerm, free.Term)
		r := c.find(free.Lease)
		if r == nil || r.phase != waiting {
			continue
		}
		r.votes[voter].heldByOtherUntil = 0
		if c.estimateFreeAt(r) <= now {
			r.nextAttemptAt = now
		}
	}
}

// handleVerdict handles a voter's verdict on one lease. sentAt is when the request was sent.
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
		if r.phase == requesting && answer.Term >= r.term { // grants under the current term can no longer become a majority
			c.endTerm(now, r, "")
			c.beginAttempt(now, r)
		} else if r.phase == holding && answer.Term >= max(r.term, r.carryOverTerm) && v.term != answer.Term {
			c.carryOver(now, r)
		}
	case HeldByOther, ReservedForOther:
		v.heldByOtherUntil = now + answer.Wait
		v.nextRequestAt = now + max(answer.Wait, retryInterval)
	case Abstaining, CoolingDown:
		v.nextRequestAt = now + max(answer.Wait, retryInterval)
	case OtherVoterSet:
		v.nextRequestAt = now + retryInterval
		if !c.inSet(m.SetNumber, m.From) {
			v.nextRequestAt = now + maxRequestInterval
		}
	case OutOfBounds, NoCapacity:
		// Nothing to record: requestMissingVotes retries this voter as if it had not answered. The other voters may
		// still be a majority, and the voter has capacity again once it deletes ended leases.
	}
}

// countGrant records a vote. It is valid from when its request was sent, not from when the answer arrived: the voter
// may have granted at once, and the answer may be late.
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

// countVotes computes how long a majority of votes is valid, and acquires or extends the lease accordingly. Votes count
// together only if given under one set's number by voters of that set: two majorities of one set, or of two consecutive
// sets, have a voter in common, which is bound to one process. The result never moves back, because the voters keep
// their grants.
func (c *Candidate) countVotes(now int64, r *request) {
	until := r.majorityValidUntil
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
	if until <= r.majorityValidUntil && !carriedOver {
		return
	}
	r.majorityValidUntil = until
	switch {
	case r.phase == holding:
		c.addAction(Extended{Lease: r.Lease, Term: r.term, Until: until})
	case until-now >= r.Length/2:
		// These are votes for the full length. Trials last at most maxTrialLength, 0.4 s, which is less than half of
		// the shortest lease: leaseservice rejects lengths under minLeaseLength, 1 s.
		r.phase = holding
		r.heldSince = now
		r.failures = 0
		c.addAction(Acquired{Lease: r.Lease, Term: r.term, Until: until})
	case until > now: // the trial succeeded: all voters are asked for the full length at once
		r.attemptEndsAt = now + r.trialLength()
		for i := range r.votes {
			if v := &r.votes[i]; !v.full {
				v.nextRequestAt = min(v.nextRequestAt, now)
			}
		}
	}
}
