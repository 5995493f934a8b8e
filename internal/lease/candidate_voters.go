package lease

import (
	"fmt"
	"slices"
)

// voterView is what a candidate knows of one voter. It keeps its index when the voter set changes.
type voterView struct {
	name          string
	setNumber     uint64        // of the voter set that it goes by, as far as is known
	clock         clockReading  // the first of the span over which the rates are compared
	clockOff      bool          // its clock's rate was reported to be out of bound
	excessRenewed int           // renewals in a row in which it extended more grants than are known
	queue         []WantedLease // grant requests to go out with this tick
}

// clockReading is one comparison of a voter's clock with the own one, in us.
type clockReading struct {
	requestSentAt int64 // own clock
	receivedAt    int64 // own clock, of the response
	voterClock    int64 // in the response
}

const (
	// requestLifetime is how long the answer to a request counts, in us. A vote counts from its request, so by then it has
	// little time left and was requested again.
	requestLifetime = 60_000_000
	// clockCompareSpan is over which time the rates of two clocks are compared, in us: far over a round trip, whose
	// length blurs the comparison.
	clockCompareSpan = 5_000_000
	// clockTolerance is by how many times the bound on drift two clocks may differ before it is reported. Two machines
	// at opposite bounds differ by twice the bound, but that is rare enough to be worth an operator's look.
	clockTolerance = 1.5
	// maxExcessRenewals is at how many renewals in a row a voter may extend more grants than are known, before all are
	// asked for anew: an answer on its way explains one or two.
	maxExcessRenewals = 3

	million = 1_000_000 // parts of a drift
)

// UsableLength returns how much of a grant's length a candidate may count, in us of its own clock, from before it asked;
// drift is the bound on clocks' rates in parts of a million. With every rate between 1-d and 1+d of the true one, a voter's
// length L takes L/(1+d) of true time at the least, and a candidate's L(1-2d) takes L(1-2d)/(1-d) at the most, which is
// less, since (1-2d)(1+d) < 1-d. So the candidate always stops before the voter may grant the lease to another one.
func UsableLength(length, drift int64) int64 {
	return length - (2*length*drift+million-1)/million
}

// SetVoters hands over a voter set, from the operator's file or from a voter's answer. The two newest are kept, for a
// change takes a while to reach all voters.
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

// addVoter makes room for a voter's votes on each request.
func (c *Candidate) addVoter(name string, setNumber uint64) {
	c.voterIndex[name] = len(c.voters)
	c.voters = append(c.voters, &voterView{name: name, setNumber: setNumber})
	for _, r := range c.requests {
		if r != nil {
			r.votes = append(r.votes, vote{})
		}
	}
}

// VoterNames returns the voters that are asked.
func (c *Candidate) VoterNames() (names []string) {
	for i, voter := range c.voters {
		if c.inKnownSet(i) {
			names = append(names, voter.name)
		}
	}
	return names
}

// inKnownSet reports whether a voter belongs to a voter set that is known.
func (c *Candidate) inKnownSet(voter int) bool {
	for i := range c.sets {
		if c.sets[i].has(c.voters[voter].name) {
			return true
		}
	}
	return false
}

// inSet reports whether a voter set is known and a member votes in it.
func (c *Candidate) inSet(number uint64, name string) bool {
	return slices.ContainsFunc(c.sets, func(s adoptedSet) bool { return s.number == number && s.has(name) })
}

// forgetOldRequests forgets requests whose answers count for nothing any more.
func (c *Candidate) forgetOldRequests(now int64) {
	for c.oldestRequestID <= c.lastRequestID && now-c.requestSentAt[c.oldestRequestID] > requestLifetime {
		delete(c.requestSentAt, c.oldestRequestID)
		c.oldestRequestID++
	}
}

// compareClocks compares how fast a voter's clock goes with the own one, and reports once when the difference is more
// than clockTolerance times the bound. A clock outside the bound breaks what UsableLength rests on: its holder, or its
// voter, may be wrong about the end of a grant, and no message shows it.
func (c *Candidate) compareClocks(voter *voterView, reading clockReading) {
	first := voter.clock
	if first.voterClock > 0 && reading.requestSentAt < first.receivedAt {
		return // a late answer, whose reading overlaps the first one
	}
	if first.voterClock == 0 {
		voter.clock = reading
		return
	}
	if reading.voterClock < first.voterClock {
		c.addAction(Warning{About: voter.name, Text: "its clock went back: its machine has started anew"})
		voter.clock = reading
		return
	}
	if reading.requestSentAt-first.receivedAt < clockCompareSpan {
		return
	}
	longest := reading.receivedAt - first.requestSentAt
	shortest := reading.requestSentAt - first.receivedAt
	advanced := reading.voterClock - first.voterClock
	slack := int64(clockTolerance * float64(c.maxDrift) * float64(longest) / million)
	off := advanced > longest+slack || advanced < shortest-slack
	if off && !voter.clockOff {
		c.addAction(ClockOutOfBound{Voter: voter.name, Text: fmt.Sprintf("its clock went %d us while this one went %d to %d: one is outside the bound on drift",
			advanced, shortest, longest)})
	}
	voter.clockOff = off
	voter.clock = reading
}

// checkRenewedCount finds that a voter extends more grants than are known, again and again: it did not hear that
// something was given up. Such a grant would be extended for ever together with all others, and nobody could have the
// lease; a new generation lets it run out.
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
		status.excessRenewed = 0
		return
	}
	status.excessRenewed++
	if status.excessRenewed < maxExcessRenewals {
		return
	}
	status.excessRenewed = 0
	c.addAction(Warning{About: status.name, Text: fmt.Sprintf("it extends %d grants where %d are known: all are asked for anew", m.RenewedCount, known)})
	c.newGeneration(now)
}
