package lease

import "slices"

// Voter grants leases and tracks its grants. This file has its entry points and the table of leases; grant.go decides
// on grants, wait_queue.go orders waiting candidates, cooldown.go restricts holders that let leases lapse,
// voter_set_change.go changes the voter set.
type Voter struct {
	name         string
	incarnation  uint64
	longestLease int64 // us
	maxLeases    int
	startedAt    int64
	abstainUntil int64
	termFloor    uint64

	set           adoptedSet
	previousNames []string    // the previous set, if this process began with the current one and has not seen it in force
	nextSet       *adoptedSet // adopted once the current set has been in force at a majority for long enough
	peers         map[string]peerStatus
	nextStatusAt  int64 // when the status is sent to the other voters next

	leases      []*leaseGrant // nil at the indexes of deleted leases; a new lease takes the index that was freed last
	freeIndexes []int
	leaseIndex  map[string]int
	sessions    map[process]*session
	endedGrants uint64 // number of grants to any process that have ended
	lapses      map[string]*lapseHistory
	actions     []Action
}

// GrantRecord is what a voter stores of one lease: the last term that it granted, and the process that had it.
type GrantRecord struct {
	Lease       string
	Holder      string
	Term        uint64
	Incarnation uint64
}

// stateRetention is how long a lease's own term is remembered after the lease ended, in us; later the term floor covers
// it. It bounds the memory for names that were used once. It also applies to sessions without grants.
const stateRetention = 600_000_000

// NewVoter returns a voter that has just started. incarnation identifies its process; longestLease is in us; maxLeases
// is how many leases it tracks. No term up to termFloor is granted to a new holder: the floor is the wall clock's
// microseconds at the end of the abstention, or the stored floor if that is higher. stored holds what an earlier
// process stored, if anything.
func NewVoter(now int64, name string, incarnation uint64, longestLease int64, maxLeases int, termFloor uint64, voters VoterSet, stored []GrantRecord) *Voter {
	v := &Voter{
		name:          name,
		incarnation:   incarnation,
		longestLease:  longestLease,
		maxLeases:     maxLeases,
		startedAt:     now,
		abstainUntil:  now + longestLease,
		termFloor:     termFloor,
		set:           adoptedSet{number: voters.Number, names: slices.Clone(voters.Names), adoptedAt: now},
		previousNames: slices.Clone(voters.Previous),
		peers:         map[string]peerStatus{},
		nextStatusAt:  now,
		leaseIndex:    map[string]int{},
		sessions:      map[process]*session{},
		lapses:        map[string]*lapseHistory{},
	}
	for _, record := range stored {
		v.termFloor = max(v.termFloor, record.Term) // even if there is no capacity for the lease
		if g := v.findOrAdd(now, record.Lease); g != nil {
			g.term = record.Term
			g.holder = process{record.Holder, record.Incarnation}
		}
	}
	v.addAction(StoreVoterSet{Number: voters.Number})
	return v
}

// TakeActions returns the actions requested since the last call, in order.
func (v *Voter) TakeActions() []Action {
	actions := v.actions
	v.actions = nil
	return actions
}

func (v *Voter) addAction(a Action) { v.actions = append(v.actions, a) }

func (v *Voter) send(to string, m Message) { v.addAction(Send{To: to, Message: m}) }

// header returns the header of this voter's messages.
func (v *Voter) header() Header {
	return Header{From: v.name, Incarnation: v.incarnation, SetNumber: v.set.number}
}

// AbstainsFor returns for how long the voter still abstains because it has just started, in us. It does not cover the
// time in which the voter abstains until its voter set is in force (previousNames), whose end is not known in advance.
func (v *Voter) AbstainsFor(now int64) int64 { return max(0, v.abstainUntil-now) }

// TermFloor returns the highest term that this voter granted or learned: the maximum of its own term floor and the last
// terms of all its leases. The voter stores it and sends it to the others, whose floors rise to it while they abstain.
func (v *Voter) TermFloor() uint64 {
	highest := v.termFloor
	for _, g := range v.leases {
		if g != nil {
			highest = max(highest, g.term)
		}
	}
	return highest
}

// LeaseState is the state of one lease at a voter.
type LeaseState struct {
	Lease     string
	Holder    string // "" if it is not granted
	Term      uint64
	Remaining int64 // us until the grant ends
	Waiting   int   // number of candidates in the queue
}

// LeaseStates returns the leases that are granted or have waiting candidates.
func (v *Voter) LeaseStates(now int64) (states []LeaseState) {
	for _, g := range v.leases {
		if g == nil || !g.granted && len(g.queue) == 0 {
			continue
		}
		state := LeaseState{Lease: g.lease, Term: g.term, Waiting: len(g.queue)}
		if g.granted {
			state.Holder = g.holder.name
			state.Remaining = max(0, g.validUntil-now)
		}
		states = append(states, state)
	}
	return states
}

// find returns the state of a lease, or nil if it is unknown.
func (v *Voter) find(lease string) *leaseGrant {
	index, known := v.leaseIndex[lease]
	if !known {
		return nil
	}
	return v.leases[index]
}

// findOrAdd returns the state of a lease, which it adds if it is unknown. It returns nil if there is no capacity.
func (v *Voter) findOrAdd(now int64, lease string) *leaseGrant {
	if g := v.find(lease); g != nil {
		return g
	}
	if len(v.leaseIndex) >= v.maxLeases && !v.deleteEndedLeases(now, now) {
		return nil
	}
	g := &leaseGrant{lease: lease, endedAt: now}
	if last := len(v.freeIndexes) - 1; last >= 0 {
		g.index = v.freeIndexes[last]
		v.freeIndexes = v.freeIndexes[:last]
		v.leases[g.index] = g
	} else {
		g.index = len(v.leases)
		v.leases = append(v.leases, g)
	}
	v.leaseIndex[lease] = g.index
	return g
}

// deleteEndedLeases deletes leases that ended before a time and reports whether there were any. The term floor rises to
// their terms, so that none is granted twice.
func (v *Voter) deleteEndedLeases(now, before int64) (deleted bool) {
	if now < v.abstainUntil {
		return false
	}
	for _, g := range v.leases {
		if g == nil || g.granted || g.endedAt >= before || len(g.queue) > 0 {
			continue
		}
		v.termFloor = max(v.termFloor, g.term)
		v.addAction(DeleteGrant{Lease: g.lease})
		delete(v.leaseIndex, g.lease)
		v.leases[g.index] = nil
		v.freeIndexes = append(v.freeIndexes, g.index)
		deleted = true
	}
	return deleted
}

// Receive handles a message from a candidate or from another voter.
func (v *Voter) Receive(now int64, m Message) {
	switch m := m.(type) {
	case *GrantRequest:
		v.answerGrantRequest(now, m)
	case *RenewRequest:
		v.answerRenewRequest(now, m)
	case *Release:
		v.handleRelease(now, m)
	case *VoterStatus:
		v.handleVoterStatus(now, m)
	}
}

// Tick ends expired grants, notifies waiting candidates, and sends this voter's status to the others. It is called
// several times a second.
func (v *Voter) Tick(now int64) {
	for _, g := range v.leases {
		switch {
		case g == nil:
		case g.granted:
			v.expire(now, g)
		case g.reservedUntil > 0 && now >= g.reservedUntil && len(g.queue) > 0: // the first in the queue did not request the lease in time
			g.queue = g.queue[1:]
			v.notifyFirstWaiter(now, g)
		}
	}
	v.adoptNextSet(now)
	if now < v.nextStatusAt {
		return
	}
	v.nextStatusAt = now + statusInterval
	v.deleteExpiredState(now)
	v.sendStatusToAll(now)
}

// deleteExpiredState deletes leases, sessions and lapses that no longer affect a decision.
func (v *Voter) deleteExpiredState(now int64) {
	v.deleteEndedLeases(now, now-stateRetention)
	for holder, s := range v.sessions {
		if len(s.leases) == 0 && now-s.lastRequestAt > stateRetention {
			delete(v.sessions, holder)
		}
	}
	v.deleteExpiredLapses(now)
}
