package lease

import (
	"fmt"
	"slices"
)

// voterView is a candidate's view of one voter. Its index stays the same when the voter set changes.
type voterView struct {
	name            string
	setNumber       uint64        // last known number of the voter set that it has adopted
	firstReading    clockReading  // start of the span over which the rates are compared
	clockOutOfBound bool          // already reported
	excessRenewals  int           // renewals in a row in which it extended more grants than this process knows of
	queue           []WantedLease // grant requests to send with this tick
}

// clockReading pairs a voter's clock with this process's clock, in us.
type clockReading struct {
	requestSentAt int64 // own clock
	receivedAt    int64 // own clock, when the response arrived
	voterClock    int64 // in the response
}

const (
	// requestLifetime is how long a response to a request is accepted, in us. A vote counts from when it was requested,
	// so by then little of it is left and it has been requested again.
	requestLifetime = 60_000_000
	// clockComparisonSpan is the shortest time over which the rates of two clocks are compared, in us. It is much
	// longer than a round trip, whose duration limits the precision.
	clockComparisonSpan = 5_000_000
	// clockTolerance is the multiple of the drift bound by which two clocks may differ before it is reported. Two
	// clocks within the bound can differ by twice the bound, but that is rare enough to be worth reporting.
	clockTolerance = 1.5
	// maxExcessRenewals is the number of renewals in a row in which a voter extends more grants than this process knows
	// of after which all grants are requested again: a response in flight explains one or two.
	maxExcessRenewals = 3

	partsPerMillion = 1_000_000 // unit of drift
)

// UsableLength returns how much of a grant's length a candidate may count, in us of its own clock, from before it sent
// its request; drift is the bound on clock rates in parts per million. With every rate between 1-d and 1+d of true
// time, a length L on the voter's clock lasts at least L/(1+d), and L(1-2d) on the candidate's clock lasts at most
// L(1-2d)/(1-d), which is shorter since (1-2d)(1+d) < 1-d. So the candidate always stops before the voter may grant the
// lease to another process.
func UsableLength(length, drift int64) int64 {
	return length - (2*length*drift+partsPerMillion-1)/partsPerMillion
}

// SetVoters adds a voter set from the operator's file or from a voter's response. The two newest sets are kept, because
// a change takes a while to reach all voters.
func (c *Candidate) SetVoters(number uint64, names []string) {
	if len(names) == 0 || len(names) > MaxVoters {
		return
	}
	if slices.ContainsFunc(c.sets, func(s adoptedSet) bool { return s.number == number }) {
		return
	}
	if len(c.sets) == 2 && number < c.sets[0].number {
		return
	}
	c.sets = append(c.sets, adoptedSet{number: number, names: slices.Clone(names)})
	slices.SortFunc(c.sets, func(a, b adoptedSet) int { return int(int64(a.number - b.number)) })
	if len(c.sets) > 2 {
		c.sets = c.sets[len(c.sets)-2:]
	}
	for _, name := range names {
		if _, known := c.voterIndex[name]; !known {
			c.addVoter(name, number)
		}
	}
}

// addVoter adds a voter, with a vote in each request.
func (c *Candidate) addVoter(name string, setNumber uint64) {
	c.voterIndex[name] = len(c.voters)
	c.voters = append(c.voters, &voterView{name: name, setNumber: setNumber})
	for _, r := range c.requests {
		if r != nil {
			r.votes = append(r.votes, vote{})
		}
	}
}

// VoterNames returns the voters to which requests are sent.
func (c *Candidate) VoterNames() (names []string) {
	for i, voter := range c.voters {
		if c.inKnownSet(i) {
			names = append(names, voter.name)
		}
	}
	return names
}

// inKnownSet reports whether a voter belongs to a known voter set.
func (c *Candidate) inKnownSet(voter int) bool {
	for i := range c.sets {
		if c.sets[i].has(c.voters[voter].name) {
			return true
		}
	}
	return false
}

// inSet reports whether a voter set is known and a member belongs to it.
func (c *Candidate) inSet(number uint64, name string) bool {
	return slices.ContainsFunc(c.sets, func(s adoptedSet) bool { return s.number == number && s.has(name) })
}

// deleteExpiredRequests deletes requests whose responses are no longer accepted.
func (c *Candidate) deleteExpiredRequests(now int64) {
	for c.oldestRequestID <= c.lastRequestID && now-c.requestSentAt[c.oldestRequestID] > requestLifetime {
		delete(c.requestSentAt, c.oldestRequestID)
		c.oldestRequestID++
	}
}

// compareClocks compares the rates of a voter's clock and of this process's clock, and reports once when they differ by
// more than clockTolerance times the bound. UsableLength relies on the bound: with a clock outside it, the candidate or
// the voter may be wrong about when a grant ends, and no message reveals that.
func (c *Candidate) compareClocks(voter *voterView, reading clockReading) {
	first := voter.firstReading
	if first.voterClock > 0 && reading.requestSentAt < first.receivedAt {
		return // a late response, whose reading overlaps the first one
	}
	if first.voterClock == 0 {
		voter.firstReading = reading
		return
	}
	if reading.voterClock < first.voterClock {
		c.addAction(Warning{About: voter.name, Text: "its clock went back: its machine has started anew"})
		voter.firstReading = reading
		return
	}
	if reading.requestSentAt-first.receivedAt < clockComparisonSpan {
		return
	}
	longest := reading.receivedAt - first.requestSentAt
	shortest := reading.requestSentAt - first.receivedAt
	advanced := reading.voterClock - first.voterClock
	slack := int64(clockTolerance * float64(c.maxDrift) * float64(longest) / partsPerMillion)
	off := advanced > longest+slack || advanced < shortest-slack
	if off && !voter.clockOutOfBound {
		c.addAction(ClockOutOfBound{Voter: voter.name, Text: fmt.Sprintf("its clock went %d us while this one went %d to %d: one is outside the bound on drift",
			advanced, shortest, longest)})
	}
	voter.clockOutOfBound = off
	voter.firstReading = reading
}

// checkRenewedCount detects a voter that repeatedly extends more grants than this process knows of, because a release
// did not reach it. Such a grant would be extended together with all others indefinitely, and no other process could
// acquire the lease; a new generation lets it expire.
func (c *Candidate) checkRenewedCount(now int64, voter int, m *RenewResponse) {
	known := 0
	for _, r := range c.requests {
		if r == nil || !r.active() {
			continue
		}
		if v := &r.votes[voter]; r.ownsTerm(v.term) && v.full {
			known++
		}
	}
	status := c.voters[voter]
	if m.Generation != c.generation || m.RenewedCount <= known {
		status.excessRenewals = 0
		return
	}
	status.excessRenewals++
	if status.excessRenewals < maxExcessRenewals {
		return
	}
	status.excessRenewals = 0
	c.addAction(Warning{About: status.name, Text: fmt.Sprintf("it extends %d grants where %d are known: all are asked for anew", m.RenewedCount, known)})
	c.startNewGeneration(now)
}
