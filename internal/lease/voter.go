package lease

import "slices"

// Voter is one voter's part: what it granted to whom until when. This file is how it is called, and the table of its leases;
// grant.go holds its rules on grants, wait_line.go those on who is next, cooldown.go those on holders that let leases lapse,
// voter_set_change.go those on its voter set.
type Voter struct {
	name         string
	incarnation  uint64
	longestLease int64 // us
	maxLeases    int
	startedAt    int64
	abstainUntil int64
	termFloor    uint64

	set           adoptedSet
	previousNames []string    // the set before, if this process began with the present one and has not seen it in force
	nextSet       *adoptedSet // waits until the present one is in force at a majority for long enough
	peers         map[string]peerStatus
	statusAt      int64 // when it next sends its status to the other voters

	leases      []*leaseGrant // nil at indexes whose lease was forgotten; a new one takes the index that was freed last
	freeIndexes []int
	leaseIndex  map[string]int
	sessions    map[process]*session
	endedGrants uint64 // grants that ended here, of all processes
	lapses      map[string]*lapseHistory
	actions     []Action
}

// GrantRecord is what a voter stores of one lease: the last term that it granted and to which process.
type GrantRecord struct {
	Lease       string
	Holder      string
	Term        uint64
	Incarnation uint64
}

// forgetAfter is how long after its end a lease's own term is remembered, in us; later the term floor covers it. It bounds
// the memory for names that were used once.
const forgetAfter = 600_000_000

// NewVoter makes a voter that has just started. incarnation is its process; longestLease is in us; maxLeases is how many
// leases it keeps. No term up to termFloor is granted anew: the wall clock's microseconds at the end of its abstinence,
// or the stored floor if that is more. stored is what a former process stored, if anything.
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
		statusAt:      now,
		leaseIndex:    map[string]int{},
		sessions:      map[process]*session{},
		lapses:        map[string]*lapseHistory{},
	}
	for _, record := range stored {
		v.termFloor = max(v.termFloor, record.Term) // also if there is no capacity for the lease
		if g := v.findOrAdd(now, record.Lease); g != nil {
			g.term = record.Term
			g.holder = process{record.Holder, record.Incarnation}
		}
	}
	v.addAction(StoreVoterSet{Number: voters.Number})
	return v
}

// TakeActions returns what is to be done since the last call, in order.
func (v *Voter) TakeActions() []Action {
	actions := v.actions
	v.actions = nil
	return actions
}

func (v *Voter) addAction(a Action) { v.actions = append(v.actions, a) }

func (v *Voter) send(to string, m Message) { v.addAction(Send{To: to, Message: m}) }

// header returns the header of a message of this voter.
func (v *Voter) header() Header {
	return Header{From: v.name, Incarnation: v.incarnation, SetNumber: v.set.number}
}

// AbstainsFor returns for how long the voter still abstains because it has just started, in us. It does not cover the time
// in which it abstains until its voter set is settled (previousNames), whose end is not known in advance.
func (v *Voter) AbstainsFor(now int64) int64 { return max(0, v.abstainUntil-now) }

// TermFloor returns the highest term that this voter granted or learned: the higher of its own term floor and the last
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

// LeaseState is what a voter knows of one lease.
type LeaseState struct {
	Lease     string
	Holder    string // "" for nobody
	Term      uint64
	Remaining int64 // us until the grant ends
	Waiting   int   // processes in line
}

// LeaseStates lists the leases that are granted or waited for.
func (v *Voter) LeaseStates(now int64) (states []LeaseState) {
	for _, g := range v.leases {
		if g == nil || !g.granted && len(g.line) == 0 {
			continue
		}
		state := LeaseState{Lease: g.lease, Term: g.term, Waiting: len(g.line)}
		if g.granted {
			state.Holder = g.holder.name
			state.Remaining = max(0, g.until-now)
		}
		states = append(states, state)
	}
	return states
}

// find returns what is known of a lease, or nil if nothing is.
func (v *Voter) find(lease string) *leaseGrant {
	index, known := v.leaseIndex[lease]
	if !known {
		return nil
	}
	return v.leases[index]
}

// findOrAdd returns what is known of a lease, or makes room for it; it returns nil if there is no capacity.
func (v *Voter) findOrAdd(now int64, lease string) *leaseGrant {
	if g := v.find(lease); g != nil {
		return g
	}
	if len(v.leaseIndex) >= v.maxLeases && !v.forgetEnded(now, now) {
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

// forgetEnded forgets leases that ended before a time and reports whether there were any. The term floor rises to their
// terms, so that none is granted twice.
func (v *Voter) forgetEnded(now, before int64) (some bool) {
	if now < v.abstainUntil {
		return false
	}
	for _, g := range v.leases {
		if g == nil || g.granted || g.endedAt >= before || len(g.line) > 0 {
			continue
		}
		v.termFloor = max(v.termFloor, g.term)
		v.addAction(DeleteGrant{Lease: g.lease})
		delete(v.leaseIndex, g.lease)
		v.leases[g.index] = nil
		v.freeIndexes = append(v.freeIndexes, g.index)
		some = true
	}
	return some
}

// Receive handles a message from a candidate or another voter.
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

// Tick ends grants whose time is over, gives notice to those who wait, and sends this voter's status to the others. It is
// called several times a second.
func (v *Voter) Tick(now int64) {
	for _, g := range v.leases {
		switch {
		case g == nil:
		case g.granted:
			v.expire(now, g)
		case g.reservedUntil > 0 && now >= g.reservedUntil && len(g.line) > 0: // the first did not come
			g.line = g.line[1:]
			v.notifyFirst(now, g)
		}
	}
	v.adoptNextSet(now)
	if now < v.statusAt {
		return
	}
	v.statusAt = now + statusInterval
	v.forgetOld(now)
	v.sendStatusToAll(now)
}

// forgetOld forgets leases, sessions and lapses that no longer affect a decision.
func (v *Voter) forgetOld(now int64) {
	v.forgetEnded(now, now-forgetAfter)
	for by, s := range v.sessions {
		if len(s.leases) == 0 && now-s.lastRequest > forgetAfter {
			delete(v.sessions, by)
		}
	}
	v.forgetLapses(now)
}
