package lease

import (
	"encoding/binary"
	"hash/crc32"
)

// Candidate is one process's part: it requests leases, and holds those that a majority of voters granted. This file is how
// it is called; acquisition.go is the way to a lease, holder.go what happens while it is held, candidate_voters.go what it
// knows of the voters.
type Candidate struct {
	name        string
	incarnation uint64
	maxDrift    int64  // by how many parts of a million a clock's rate may be off
	randomSeed  uint64 // of the jitter
	randomDraws uint64 // so far

	sets       []adoptedSet // known voter sets, at most two, the newest last
	voters     []*voterView // every member that was in a known set, in the order in which they became known
	voterIndex map[string]int

	lastRequestID   uint64
	requestSentAt   map[uint64]int64 // by request ID, of those whose answers still count
	oldestRequestID uint64           // of those in requestSentAt
	highestTerm     uint64           // told by any voter, or used
	renewAt         int64            // of the next renewal requests

	// generation is that of this process's grants: voters let run out what was not asked for in full under the present
	// one. See newGeneration.
	generation uint64

	requests     []*request // nil at indexes whose request was withdrawn; a new one takes the index that was freed last
	freeIndexes  []int
	requestIndex map[string]int
	releases     []pendingRelease
	actions      []Action
}

// Request is a lease that a process wants. Times are in microseconds.
type Request struct {
	Lease      string
	Length     int64
	YieldAfter int64 // time held after which it yields to others of its priority who wait, 0 for never
	Priority   int8  // who waits with a higher one goes first, and takes the lease over
}

// phase is how far a request has come.
type phase uint8

const (
	waiting phase = iota
	requesting
	holding
)

// request is one lease that this process wants or holds. It is no message; those are GrantRequest and RenewRequest.
type request struct {
	Request
	phase          phase
	term           uint64
	carryOverTerm  uint64 // later term to which the lease is being carried over while it is held, 0 for none
	requestAt      int64  // waiting: when it is requested next
	attemptEndsAt  int64  // requesting: when this attempt has failed
	ticket         uint64 // place in line at the voters
	failures       int    // attempts without a majority in a row
	majorityUntil  int64  // until when a majority's votes are good, trials included
	heldSince      int64
	yieldRequested bool
	votes          []vote // by the index of the voter
}

// active reports whether votes for this request count, that is, whether it is being requested or held.
func (r *request) active() bool { return r.phase != waiting }

const (
	// maxConcurrentAttempts is how many leases are requested at a time. If voters have little processor time, answers to
	// more of them come after their trials are over, and all attempts begin anew.
	maxConcurrentAttempts = 128
	// maxMessagesPerTick is how many grant requests go to one voter in one tick: about 25 kB, which fits a socket's
	// buffer. The rest goes with the next tick.
	maxMessagesPerTick = 24
	// termStep is how far above the highest known term a new one is.
	termStep = 1
)

// NewCandidate makes a process's part. incarnation is a random number that tells this process from others of its name;
// maxDrift is in parts of a million; setNumber and setNames are the voter set that the operator's file names.
func NewCandidate(name string, incarnation uint64, maxDrift int64, setNumber uint64, setNames []string) *Candidate {
	c := &Candidate{
		name:            name,
		incarnation:     incarnation,
		maxDrift:        maxDrift,
		randomSeed:      incarnation,
		voterIndex:      map[string]int{},
		requestSentAt:   map[uint64]int64{},
		oldestRequestID: 1,
		requestIndex:    map[string]int{},
	}
	c.SetVoters(setNumber, setNames)
	return c
}

// TakeActions returns what is to be done since the last call, in order.
func (c *Candidate) TakeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Candidate) addAction(a Action) { c.actions = append(c.actions, a) }

// LastRequestID returns the number of the newest request to a voter. Only the simulation calls it, to plant a mistake.
func (c *Candidate) LastRequestID() uint64 { return c.lastRequestID }

// jitter draws a number below limit. It is seeded by the incarnation, so that equal calls give equal actions.
func (c *Candidate) jitter(limit int64) int64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], c.randomSeed)
	binary.LittleEndian.PutUint64(b[8:], c.randomDraws)
	c.randomDraws++
	return int64(crc32.ChecksumIEEE(b[:])) % max(limit, 1)
}

// find returns the request for a lease, or nil if there is none.
func (c *Candidate) find(lease string) *request {
	index, known := c.requestIndex[lease]
	if !known {
		return nil
	}
	return c.requests[index]
}

// RequestLease begins to request a lease; for one that is requested already only priority and YieldAfter change.
func (c *Candidate) RequestLease(now int64, wanted Request) {
	if r := c.find(wanted.Lease); r != nil {
		r.Priority = wanted.Priority
		r.YieldAfter = wanted.YieldAfter
		return
	}
	r := &request{
		Request:   wanted,
		requestAt: now,
		ticket:    c.highestTerm,
		votes:     make([]vote, len(c.voters)),
	}
	index := len(c.requests)
	if last := len(c.freeIndexes) - 1; last >= 0 {
		index = c.freeIndexes[last]
		c.freeIndexes = c.freeIndexes[:last]
		c.requests[index] = r
	} else {
		c.requests = append(c.requests, r)
	}
	c.requestIndex[wanted.Lease] = index
}

// Withdraw ends a request and gives up what is held. What ran under the lease must have ended.
func (c *Candidate) Withdraw(now int64, lease string) {
	index, known := c.requestIndex[lease]
	if !known {
		return
	}
	c.announceRelease(now, c.requests[index], "")
	delete(c.requestIndex, lease)
	c.requests[index] = nil
	c.freeIndexes = append(c.freeIndexes, index)
}

// Abandon ends a request without telling the voters: what is held runs out there, because what ran under the lease may
// not have ended.
func (c *Candidate) Abandon(now int64, lease string) {
	r := c.find(lease)
	if r == nil {
		return
	}
	if r.active() {
		c.newGeneration(now)
	}
	r.phase = waiting // so that nothing is announced
	c.Withdraw(now, lease)
}

// Tick requests, renews and gives up what is due. It is called several times a second, and after messages.
func (c *Candidate) Tick(now int64) {
	c.forgetOldRequests(now)
	attempts := 0
	for _, r := range c.requests {
		if r != nil && r.phase == requesting {
			attempts++
		}
	}
	shortest := int64(0) // length of a held lease, 0 if none is held
	for _, r := range c.requests {
		if r == nil {
			continue
		}
		switch r.phase {
		case waiting:
			if now >= r.requestAt && attempts < maxConcurrentAttempts {
				c.beginAttempt(now, r)
				attempts++
			}
		case requesting:
			if now >= r.attemptEndsAt {
				c.failAttempt(now, r)
			}
		case holding:
			if now >= r.majorityUntil {
				c.lose(now, r)
			} else if shortest == 0 || r.Length < shortest {
				shortest = r.Length
			}
		}
		if r.active() {
			c.askMissingVotes(now, r)
		}
	}
	c.renewIfDue(now, shortest)
	c.sendQueued(now)
	c.sendReleases(now)
}

// sendQueued sends the queued grant requests, as many messages as one tick may send; the others are asked for with the
// next tick.
func (c *Candidate) sendQueued(now int64) {
	for i, voter := range c.voters {
		if len(voter.queue) == 0 {
			continue
		}
		parts := splitBySize(voter.queue, func(wanted WantedLease) int { return len(wanted.Lease) })
		voter.queue = nil
		sent := min(len(parts), maxMessagesPerTick)
		for _, part := range parts[:sent] {
			c.send(i, &GrantRequest{RequestHeader: c.newRequestHeader(now, i), Leases: part})
		}
		for _, part := range parts[sent:] {
			for _, wanted := range part {
				if r := c.find(wanted.Lease); r != nil {
					r.votes[i].askAgainAt = now
				}
			}
		}
	}
}

// newRequestHeader returns the header of a request to a voter, under a new ID and the number of the voter set that the voter goes
// by.
func (c *Candidate) newRequestHeader(now int64, voter int) RequestHeader {
	c.lastRequestID++
	c.requestSentAt[c.lastRequestID] = now
	return RequestHeader{
		Header:     Header{From: c.name, Incarnation: c.incarnation, SetNumber: c.voters[voter].setNumber},
		RequestID:  c.lastRequestID,
		Generation: c.generation,
	}
}

func (c *Candidate) send(voter int, m Message) {
	c.addAction(Send{To: c.voters[voter].name, Message: m})
}

// Receive handles a voter's message.
func (c *Candidate) Receive(now int64, m Message) {
	voter, known := c.voterIndex[m.Common().From]
	if !known {
		return
	}
	switch m := m.(type) {
	case *TurnNotice:
		c.voters[voter].setNumber = m.SetNumber
		c.handleTurnNotice(now, voter, m)
	case *GrantResponse:
		sentAt, counts := c.handleResponse(now, voter, &m.ResponseHeader)
		if !counts {
			return
		}
		for _, answer := range m.Leases {
			c.handleVerdict(now, voter, sentAt, m, answer)
		}
	case *RenewResponse:
		sentAt, counts := c.handleResponse(now, voter, &m.ResponseHeader)
		if !counts {
			return
		}
		c.checkRenewedCount(now, voter, m)
		c.handleRenewal(now, voter, sentAt, m)
	}
}

// handleResponse handles what every response carries, and returns when its request went out. counts is false if the response
// is to a former process of this name, or to a request that is too old.
func (c *Candidate) handleResponse(now int64, voter int, m *ResponseHeader) (sentAt int64, counts bool) {
	if m.Requester != c.incarnation {
		return 0, false
	}
	if len(m.SetNames) > 0 {
		c.SetVoters(m.SetNumber, m.SetNames)
	}
	c.voters[voter].setNumber = m.SetNumber
	sentAt, counts = c.requestSentAt[m.RequestID]
	if counts {
		c.compareClocks(c.voters[voter], clockReading{requestSentAt: sentAt, receivedAt: now, voterClock: m.VoterClock})
	}
	return sentAt, counts
}
