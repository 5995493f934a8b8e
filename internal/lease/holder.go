package lease

import "slices"

// pendingRelease is a release that is still being sent to the voters.
type pendingRelease struct {
	released   ReleasedLease
	sendCount  int // times sent
	nextSendAt int64
}

const (
	// renewalsPerLength is the number of renewals per lease length: two in a row may be lost before the lease is.
	renewalsPerLength = 4
	// releaseSends is how often a release is sent. It is not acknowledged, and a voter that misses all of them keeps
	// the lease from other candidates until its grant expires.
	releaseSends = 3
	// releaseResendInterval is the time between the sends of a release, in us.
	releaseResendInterval = 50_000
)

// Reasons for losing or yielding a lease.
const (
	reasonTimeRanOut        = "it ran out before enough votes came"
	reasonHigherPriority    = "somebody of a higher priority waits"
	reasonYieldAfterReached = "it had its turn"
)

// HeldTerm returns the term under which a lease is held and until when, on this process's clock; 0 if it is not held.
func (c *Candidate) HeldTerm(lease string) (term uint64, until int64) {
	r := c.find(lease)
	if r == nil || r.phase != holding {
		return 0, 0
	}
	return r.term, r.majorityValidUntil
}

// renewIfDue asks all voters to extend their full grants. shortest is the length of the shortest held lease, 0 if none
// is held.
func (c *Candidate) renewIfDue(now, shortest int64) {
	if shortest == 0 || now < c.nextRenewalAt {
		return
	}
	c.nextRenewalAt = now + shortest/renewalsPerLength
	for i := range c.voters {
		if c.inKnownSet(i) {
			c.send(i, &RenewRequest{RequestHeader: c.newRequestHeader(now, i)})
		}
	}
}

// handleRenewal handles a voter's response that it extended all its full grants to this process. sentAt is when the
// request was sent. A vote counts as extended only if the voter must still have had the grant:
//
//   - the same voter process under the same voter set responds, since another one has lost or dropped the grant;
//   - the voter's count of ended grants is unchanged, so that none of this process's grants ended in between;
//   - the generation is unchanged, since grants of others are not extended;
//   - the grant was received before the renewal request was sent.
func (c *Candidate) handleRenewal(now int64, voter int, sentAt int64, m *RenewResponse) {
	for _, r := range c.requests {
		if r == nil || !r.active() {
			continue
		}
		v := &r.votes[voter]
		if !r.ownsTerm(v.term) || !v.full || v.generation != m.Generation {
			continue
		}
		if v.voterIncarnation != m.Incarnation || v.endedGrants != m.EndedGrants || v.setNumber != m.SetNumber {
			v.full = false // requested by name again
			v.nextRequestAt = min(v.nextRequestAt, now)
			continue
		}
		if v.receivedAt <= sentAt {
			v.validUntil = max(v.validUntil, sentAt+UsableLength(v.length, c.maxDrift))
			c.countVotes(now, r)
		}
	}
	for _, wanted := range m.Waiting {
		c.yieldIfDue(now, wanted)
	}
}

// yieldIfDue decides whether a holder yields to the first in the queue, at most once per tenure: to a higher priority
// at once, to others after Request.YieldAfter.
func (c *Candidate) yieldIfDue(now int64, wanted WaitingLease) {
	r := c.find(wanted.Lease)
	if r == nil || r.phase != holding || r.term != wanted.Term || r.yieldRequested {
		return
	}
	reason := ""
	switch {
	case wanted.Priority > r.Priority:
		reason = reasonHigherPriority
	case r.YieldAfter > 0 && now-r.heldSince >= r.YieldAfter:
		reason = reasonYieldAfterReached
	default:
		return
	}
	r.yieldRequested = true
	c.addAction(YieldRequested{Lease: wanted.Lease, Term: wanted.Term, Next: wanted.First, Reason: reason})
}

// carryOver asks all voters to continue the lease under a later term. A voter that restarted, or that granted a trial
// to another candidate, can't vote for the current term any more. Once a majority had restarted one by one, the lease
// would be lost although its holder was never cut off.
func (c *Candidate) carryOver(now int64, r *request) {
	c.highestTerm += termStep
	r.carryOverTerm = c.highestTerm
	for i := range r.votes {
		r.votes[i].nextRequestAt = min(r.votes[i].nextRequestAt, now)
	}
}

// finishCarryOver switches to the later term once a majority votes for it while the lease is still held.
func (c *Candidate) finishCarryOver(now int64, r *request) bool {
	if r.carryOverTerm == 0 || r.phase != holding || now >= r.majorityValidUntil {
		return false
	}
	for _, set := range c.sets {
		n := 0
		for _, name := range set.names {
			v := &r.votes[c.voterIndex[name]]
			if v.term == r.carryOverTerm && v.setNumber == set.number && v.validUntil > now {
				n++
			}
		}
		if n >= set.majority() {
			r.term = r.carryOverTerm
			r.carryOverTerm = 0
			return true
		}
	}
	return false
}

// loseLease ends a lease that could not be extended. No release is sent: the voters keep their grants until they
// expire, so that an operation that exceeds its time limit has as long as possible to end before another process
// acquires the lease.
func (c *Candidate) loseLease(now int64, r *request) {
	c.addAction(Lost{Lease: r.Lease, Term: r.term, Reason: reasonTimeRanOut})
	c.startNewGeneration(now)
	r.phase = waiting
	r.majorityValidUntil = 0
	r.nextAttemptAt = now + firstBackoff + c.jitter(firstBackoff)
	r.ticket = c.highestTerm
}

// startNewGeneration makes the voters' existing grants to this process expire unless requested in full again. It is
// called when a voter may keep a grant for a lease that is no longer held here: renewal requests would extend it
// together with all others indefinitely.
func (c *Candidate) startNewGeneration(now int64) {
	c.generation++
	for _, r := range c.requests {
		if r == nil || !r.active() {
			continue
		}
		for i := range r.votes {
			if v := &r.votes[i]; v.full {
				v.full = false
				v.nextRequestAt = min(v.nextRequestAt, now)
			}
		}
	}
}

// Release hands a lease over to a member, or to the first in the queue if next is "". What ran under the lease must
// have ended. The request stays, behind the other waiting candidates.
func (c *Candidate) Release(now int64, lease, next string) {
	r := c.find(lease)
	if r == nil {
		return
	}
	c.endTerm(now, r, next)
	r.phase = waiting
	r.nextAttemptAt = now + 2*reservationLength + c.jitter(reservationLength)
	r.failures = 0
	r.ticket = c.highestTerm
}

// endTerm ends a request's current term and sends releases of it to the voters.
func (c *Candidate) endTerm(now int64, r *request, next string) {
	if !r.active() {
		return
	}
	r.majorityValidUntil = 0
	voted := slices.ContainsFunc(r.votes, func(v vote) bool { return v.term == r.term })
	if !voted && r.phase == requesting {
		return // no voter is known to have granted; an unknown trial grant expires after maxTrialLength at most
	}
	c.addRelease(now, r.Lease, r.term, next)
	if r.carryOverTerm > 0 {
		c.addRelease(now, r.Lease, r.carryOverTerm, next)
	}
	r.carryOverTerm = 0
	c.sendReleases(now)
}

func (c *Candidate) addRelease(now int64, lease string, term uint64, next string) {
	c.releases = append(c.releases, pendingRelease{released: ReleasedLease{Lease: lease, Term: term, Next: next}, nextSendAt: now})
}

// sendReleases sends the releases that are due, each several times.
func (c *Candidate) sendReleases(now int64) {
	var due []ReleasedLease
	pending := c.releases[:0]
	for _, release := range c.releases {
		if now >= release.nextSendAt {
			due = append(due, release.released)
			release.sendCount++
			release.nextSendAt = now + releaseResendInterval
		}
		if release.sendCount < releaseSends {
			pending = append(pending, release)
		}
	}
	c.releases = pending
	if len(due) == 0 {
		return
	}
	for i := range c.voters {
		if !c.inKnownSet(i) {
			continue
		}
		for _, part := range splitBySize(due, func(released ReleasedLease) int { return len(released.Lease) + len(released.Next) }) {
			c.send(i, &Release{RequestHeader: c.newRequestHeader(now, i), Leases: part})
		}
	}
}
