package lease

import "slices"

// pendingRelease is a lease that was given up and of which the voters are still being told.
type pendingRelease struct {
	released ReleasedLease
	sent     int // times
	sendAt   int64
}

const (
	// renewalsPerLength is into how many parts a lease's length is divided by renewals: two may be lost in a row before
	// the lease is.
	renewalsPerLength = 4
	// releaseSends is how often a release is sent. It is not answered, and a voter that misses all of them keeps the
	// lease from others until its grant runs out.
	releaseSends = 3
	// releaseResendAfter is the time between them, in us.
	releaseResendAfter = 50_000
)

// Why a holder loses its lease, or is to yield it.
const (
	reasonTimeRanOut     = "it ran out before enough votes came"
	reasonHigherPriority = "somebody of a higher priority waits"
	reasonTurnIsOver     = "it had its turn"
)

// HeldTerm returns the term under which a lease is held and until when, on the own clock; 0 if it is not held.
func (c *Candidate) HeldTerm(lease string) (term uint64, until int64) {
	r := c.find(lease)
	if r == nil || r.phase != holding {
		return 0, 0
	}
	return r.term, r.majorityUntil
}

// renewIfDue asks all voters to extend what they granted in full. shortest is the length of the shortest lease that is
// held, 0 for none.
func (c *Candidate) renewIfDue(now, shortest int64) {
	if shortest == 0 || now < c.renewAt {
		return
	}
	c.renewAt = now + shortest/renewalsPerLength
	for i := range c.voters {
		if c.inKnownSet(i) {
			c.send(i, &RenewRequest{RequestHeader: c.newRequestHeader(now, i)})
		}
	}
}

// handleRenewal handles a voter's answer that it extended all that it granted to this process in full. sentAt is when the
// request went out. A vote counts as extended only if the voter must still have had it granted:
//   - the same voter process under the same voter set answers, since another one has forgotten or dropped the grant;
//   - the voter's count of ended grants is as it was, so that none of this process's ended meanwhile;
//   - the generation is as it was, since others are not extended;
//   - the answer to the grant had come before this request went out.
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
			v.full = false // it is asked for by name again
			v.askAgainAt = min(v.askAgainAt, now)
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

// yieldIfDue decides whether a holder yields to the first in line, once a tenure: to a higher priority at once, to
// others after Request.YieldAfter.
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
		reason = reasonTurnIsOver
	default:
		return
	}
	r.yieldRequested = true
	c.addAction(YieldRequested{Lease: wanted.Lease, Term: wanted.Term, Next: wanted.First, Reason: reason})
}

// carryOver asks all voters to go on under a later term. A voter that came back, or that granted a trial to another
// candidate, can't vote for the present term any more; once a majority has done so, restarted one by one, the lease
// would be lost although its holder was never cut off.
func (c *Candidate) carryOver(now int64, r *request) {
	c.highestTerm += termStep
	r.carryOverTerm = c.highestTerm
	for i := range r.votes {
		r.votes[i].askAgainAt = min(r.votes[i].askAgainAt, now)
	}
}

// finishCarryOver goes over to the later term once a majority votes for it while the lease is still held.
func (c *Candidate) finishCarryOver(now int64, r *request) bool {
	if r.carryOverTerm == 0 || r.phase != holding || now >= r.majorityUntil {
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

// lose ends a lease that could not be extended. The voters are not told: they keep to their grants, so that an act which
// outlasts its bound is over before another holder begins, as far as a lease can see to that.
func (c *Candidate) lose(now int64, r *request) {
	c.addAction(Lost{Lease: r.Lease, Term: r.term, Reason: reasonTimeRanOut})
	c.newGeneration(now)
	r.phase = waiting
	r.majorityUntil = 0
	r.requestAt = now + firstBackoff + c.jitter(firstBackoff)
	r.ticket = c.highestTerm
}

// newGeneration lets run out at the voters what they granted to this process so far, but for what is asked for in full
// once more. It is called when a grant may remain at a voter that is no longer held here: renewal requests would extend
// it for ever together with all others.
func (c *Candidate) newGeneration(now int64) {
	c.generation++
	for _, r := range c.requests {
		if r == nil || !r.active() {
			continue
		}
		for i := range r.votes {
			if v := &r.votes[i]; v.full {
				v.full = false
				v.askAgainAt = min(v.askAgainAt, now)
			}
		}
	}
}

// Release gives a lease up to a member, "" for whoever waits first. What ran under it must have ended. The request stays,
// behind the others that wait.
func (c *Candidate) Release(now int64, lease, next string) {
	r := c.find(lease)
	if r == nil {
		return
	}
	c.announceRelease(now, r, next)
	r.phase = waiting
	r.requestAt = now + 2*turnTime + c.jitter(turnTime)
	r.failures = 0
	r.ticket = c.highestTerm
}

// announceRelease tells the voters that a term is over here.
func (c *Candidate) announceRelease(now int64, r *request, next string) {
	if !r.active() {
		return
	}
	r.majorityUntil = 0
	voted := slices.ContainsFunc(r.votes, func(v vote) bool { return v.term == r.term })
	if !voted && r.phase == requesting {
		return // no voter is known to have granted; one that has, unknown to us, keeps a trial grant for maxTrial at most
	}
	c.addRelease(now, r.Lease, r.term, next)
	if r.carryOverTerm > 0 {
		c.addRelease(now, r.Lease, r.carryOverTerm, next)
	}
	r.carryOverTerm = 0
	c.sendReleases(now)
}

func (c *Candidate) addRelease(now int64, lease string, term uint64, next string) {
	c.releases = append(c.releases, pendingRelease{released: ReleasedLease{Lease: lease, Term: term, Next: next}, sendAt: now})
}

// sendReleases sends the releases that are due, each several times.
func (c *Candidate) sendReleases(now int64) {
	var due []ReleasedLease
	pending := c.releases[:0]
	for _, release := range c.releases {
		if now >= release.sendAt {
			due = append(due, release.released)
			release.sent++
			release.sendAt = now + releaseResendAfter
		}
		if release.sent < releaseSends {
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
