package lease

import (
	"encoding/binary"
	"hash/crc32"
)

// Candidate requests leases for one process and keeps those that a majority of voters granted. This file has its entry
// points; acquisition.go acquires leases, holder.go renews and releases them, candidate_voters.go tracks the voters.
type Candidate struct {
	name        string
	incarnation uint64
	maxDrift    int64  // bound on a clock's rate error, in parts per million
	randomSeed  uint64 // of the jitter
	randomDraws uint64 // number of jitter values drawn

	sets       []adoptedSet // known voter sets, at most two, newest last
	voters     []*voterView // every member of any known set, in the order in which it became known
	voterIndex map[string]int

	lastRequestID   uint64
	requestSentAt   map[uint64]int64 // by request ID, for requests whose responses are still accepted
	oldestRequestID uint64           // in requestSentAt
	highestTerm     uint64           // reported by any voter, or used
	nextRenewalAt   int64            // when renewal requests are sent next

	// generation is the current generation of this process's grants: voters let grants expire that were not requested
	// in full under it. See startNewGeneration.
	generation uint64

	requests     []*request // nil at the indexes of withdrawn requests; a new request takes the index that was freed last
	freeIndexes  []int
	requestIndex map[string]int
	releases     []pendingRelease
	actions      []Action
}

// Request describes a lease that a process wants. Times are in microseconds.
type Request struct {
	Lease      string
	Length     int64
	YieldAfter int64 // time held after which the holder yields to waiting candidates of the same priority, 0 for never
	Priority   int8  // a waiting candidate with a higher priority goes first, and takes the lease over from its holder
}

// phase is the state of a request.
type phase uint8

const (
	waiting phase = iota
	requesting
	holding
)

// request is the state of one lease that this process wants or holds. It is not a message; those are GrantRequest and
// RenewRequest.
type request struct {
	Request
	phase              phase
	term               uint64
	carryOverTerm      uint64 // later term to which the held lease is being carried over, 0 if none
	nextAttemptAt      int64  // waiting: when the next attempt begins
	attemptEndsAt      int64  // requesting: when this attempt fails
	ticket             uint64 // position in the voters' queues
	failures           int    // attempts in a row without a majority
	majorityValidUntil int64  // how long a majority's votes are valid, trials included
	heldSince          int64
	yieldRequested     bool
	votes              []vote // by voter index
}

// active reports whether the lease is being requested or held, so that votes for it count.
func (r *request) active() bool { return r.phase != waiting }

const (
	// maxConcurrentAttempts limits the leases that are requested at a time. With more of them and voters short of CPU
	// time, answers arrive after their trials have expired, and all attempts start over.
	maxConcurrentAttempts = 128
	// maxMessagesPerTick limits the grant requests sent to one voter in one tick, to about 25 kB, which fits a socket
	// buffer. The rest is sent with the next tick.
	maxMessagesPerTick = 24
	// termStep is the distance of a new term from the highest known one.
	termStep = 1
)

// NewCandidate returns a candidate. incarnation is a random number that distinguishes this process from others of the
// same name; maxDrift is in parts per million; setNumber and setNames are the voter set in the operator's file.
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

// TakeActions returns the actions requested since the last call, in order.
func (c *Candidate) TakeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Candidate) addAction(a Action) { c.actions = append(c.actions, a) }

// LastRequestID returns the ID of the newest request to a voter. Only the simulation calls it, to inject a fault.
func (c *Candidate) LastRequestID() uint64 { return c.lastRequestID }

// jitter returns a pseudo-random number below limit. It is seeded with the incarnation, so that equal calls give equal
// actions.
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

// RequestLease begins to request a lease. If the lease is already requested, only its priority and YieldAfter change.
func (c *Candidate) RequestLease(now int64, wanted Request) {
	if r := c.find(wanted.Lease); r != nil {
		r.Priority = wanted.Priority
		r.YieldAfter = wanted.YieldAfter
		return
	}
	r := &request{
		Request:       wanted,
		nextAttemptAt: now,
		ticket:        c.highestTerm,
		votes:         make([]vote, len(c.voters)),
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

// Withdraw ends a request and releases the lease if it is held. What ran under the lease must have ended.
func (c *Candidate) Withdraw(now int64, lease string) {
	index, known := c.requestIndex[lease]
	if !known {
		return
	}
	c.endTerm(now, c.requests[index], "")
	delete(c.requestIndex, lease)
	c.requests[index] = nil
	c.freeIndexes = append(c.freeIndexes, index)
}

// Abandon ends a request without telling the voters, whose grants expire: what ran under the lease may not have ended.
func (c *Candidate) Abandon(now int64, lease string) {
	r := c.find(lease)
	if r == nil {
		return
	}
	if r.active() {
		c.startNewGeneration(now)
	}
	r.phase = waiting // so that no release is sent
	c.Withdraw(now, lease)
}

// Tick requests, renews and releases leases as they become due. It is called several times a second, and after
// messages.
func (c *Candidate) Tick(now int64) {
	c.deleteExpiredRequests(now)
	attempts := 0
	for _, r := range c.requests {
		if r != nil && r.phase == requesting {
			attempts++
		}
	}
	shortest := int64(0) // shortest length among the held leases, 0 if none is held
	for _, r := range c.requests {
		if r == nil {
			continue
		}
		switch r.phase {
		case waiting:
			if now >= r.nextAttemptAt && attempts < maxConcurrentAttempts {
				c.beginAttempt(now, r)
				attempts++
			}
		case requesting:
			if now >= r.attemptEndsAt {
				c.failAttempt(now, r)
			}
		case holding:
			if now >= r.majorityValidUntil {
				c.loseLease(now, r)
			} else if shortest == 0 || r.Length < shortest {
				shortest = r.Length
			}
		}
		if r.active() {
			c.requestMissingVotes(now, r)
		}
	}
	c.renewIfDue(now, shortest)
	c.sendQueued(now)
	c.sendReleases(now)
}

// sendQueued sends the queued grant requests, up to maxMessagesPerTick messages to each voter. The rest is due again at
// the next tick.
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
					r.votes[i].nextRequestAt = now
				}
			}
		}
	}
}

// newRequestHeader returns the header of a request to a voter, with a new ID and the number of the voter set that the
// voter has adopted.
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
	voter, known := c.voterIndex[m.CommonHeader().From]
	if !known {
		return
	}
	switch m := m.(type) {
	case *ReservationNotice:
		c.voters[voter].setNumber = m.SetNumber
		c.handleReservationNotice(now, voter, m)
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

// handleResponse handles the header of a response, and returns when its request was sent. counts is false if the
// response is to an earlier process of this name, or to a request that has expired.
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
