package leasesim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cairntiller/internal/lease"
)

// process is a simulated process. Each restart gives it a new candidate, voter and incarnation.
type process struct {
	name        string
	index       int
	up          bool
	paused      bool
	starts      int // number of starts so far
	incarnation uint64
	candidate   *lease.Candidate
	voter       *lease.Voter
	rate        float64      // rate of its clock relative to the true time
	clockOffset int64        // reading of its clock at true time 0, us
	wallOffset  int64        // of its wall clock, us
	setNumber   uint64       // number of the voter set in its operator file
	cutUntil    int64        // true time until which its links stay cut
	inbox       []Message    // received while paused
	localLeases []localLease // by lease index

	// Stored state, which survives restarts.
	storedGrants map[string]lease.GrantRecord
	storedFloor  uint64
	storedSet    uint64

	// State of the planted mistake FormerVoter: the last values seen in a voter's responses, by pair of receiver and voter.
	seenEndedGrants map[string]uint64
	seenIncarnation map[string]uint64
}

// localLease is a process's own view of a lease, by which it decides whether it may act.
type localLease struct {
	term  uint64 // 0 if it does not hold the lease
	until int64  // expiry by the process's own clock
}

// clock converts a true time to the process's clock. trueTime is the inverse.
func (p *process) clock(now int64) int64    { return p.clockOffset + int64(float64(now)*p.rate) }
func (p *process) trueTime(own int64) int64 { return int64(float64(own-p.clockOffset) / p.rate) }

// holds reports whether the process may start an action under the lease now.
func (p *process) holds(l int, now int64) bool {
	return p.up && p.localLeases[l].term != 0 && p.clock(now) < p.localLeases[l].until
}

// id identifies one start of the process.
func (p *process) id() string { return fmt.Sprint(p.name, "/", p.starts) }

// start starts or restarts a process. Only its stored state is kept.
func (s *Simulation) start(p *process) {
	p.starts++
	p.up = true
	p.paused = false
	p.inbox = nil
	s.incarnations++
	if p.incarnation == 0 || s.PlantedMistake != SameProcess {
		p.incarnation = s.incarnations
	}
	if p.rate == 0 { // the clock belongs to the machine and survives restarts of the process
		s.randomizeClock(p)
	}
	own := p.clock(s.Now)
	drift := s.Drift
	if s.PlantedMistake == NoMargin {
		drift = 0
	}
	number := p.setNumber
	if s.DurableVoters {
		number = max(number, p.storedSet)
	}
	voters := s.voterSet(number)
	p.candidate = lease.NewCandidate(p.name, p.incarnation, drift, voters.Number, voters.Names)
	p.localLeases = make([]localLease, s.Leases)
	p.seenEndedGrants = map[string]uint64{}
	p.seenIncarnation = map[string]uint64{}
	for l, state := range s.leases {
		if s.RequestersPerLease == 0 || (p.index+l)%len(s.processes) < s.RequestersPerLease {
			p.candidate.RequestLease(own, s.request(l, state))
		}
	}
	s.startVoter(p, own, voters) // every process has one: one outside the voter set answers nothing, but may join a later set
	s.hash(hashedStart, p.index, int64(p.incarnation), own)
	s.schedule(s.Now+s.rng.Int64N(tickInterval), event{kind: tickEvent, process: p.index, start: p.starts})
}

// randomizeClock chooses the drift and the initial reading of a machine's clock.
func (s *Simulation) randomizeClock(p *process) {
	bound := float64(s.TrueDrift) / 1e6
	p.rate = 1 + (s.rng.Float64()*2-1)*float64(s.TrueDrift)/1e6
	if p.index < s.Voters && s.rng.IntN(3) == 0 { // often exactly at the drift bound
		p.rate = 1 + bound
	} else if s.rng.IntN(3) == 0 {
		p.rate = 1 - bound
	}
	p.clockOffset = s.rng.Int64N(day)
}

// startVoter creates the voter of a process, from stored grants if they are kept.
func (s *Simulation) startVoter(p *process, own int64, voters lease.VoterSet) {
	longest := s.Length
	floor := uint64(wallStart + s.Now + p.wallOffset + longest)
	startedAt := own
	var stored []lease.GrantRecord
	if s.DurableVoters {
		floor = max(floor, p.storedFloor)
		for _, name := range slices.Sorted(maps.Keys(p.storedGrants)) {
			stored = append(stored, p.storedGrants[name])
		}
	}
	switch s.PlantedMistake {
	case TermReused:
		floor = 0
		stored = nil
	case Forgets:
		if p.starts > 1 {
			startedAt -= longest
		}
	case ShortAbstinence:
		startedAt -= longest / 2
	}
	p.voter = lease.NewVoter(startedAt, p.name, p.incarnation, longest, 20_000, floor, voters, stored)
}

// request returns a process's request for a lease.
func (s *Simulation) request(l int, state *leaseState) lease.Request {
	r := lease.Request{Lease: state.name, Length: s.Length}
	if !s.NoFaults && l%3 == 1 {
		r.YieldAfter = 4 * s.Length
	}
	return r
}

// tickIfUp ticks a process if it is still the same start, and schedules its next tick.
func (s *Simulation) tickIfUp(p *process, start int) {
	if !p.up || p.starts != start {
		return
	}
	if !p.paused {
		s.tick(p)
	}
	if p.up {
		s.schedule(s.Now+tickInterval/2+s.rng.Int64N(tickInterval), event{kind: tickEvent, process: p.index, start: p.starts})
	}
}

func (s *Simulation) tick(p *process) {
	defer s.measure(p, time.Now())
	own := p.clock(s.Now)
	p.candidate.Tick(own)
	p.voter.Tick(own)
	if number, _ := p.voter.CurrentSet(); number < p.setNumber && s.rng.IntN(20) == 0 { // the operator updates voters that lag behind
		p.voter.SetVoters(own, s.voterSet(number+1))
	}
	s.carryOutActions(p)
}

// measure records the real time spent in a process's candidate and voter.
func (s *Simulation) measure(p *process, began time.Time) {
	if s.Measure {
		s.ModuleTime[p.index] += time.Since(began)
	}
}

// carryOutActions executes the actions of a process's candidate and voter. A voter's records are stored before its
// responses are sent; if it is killed in between, the remaining actions are dropped.
func (s *Simulation) carryOutActions(p *process) {
	for _, action := range p.candidate.TakeActions() {
		s.carryOut(p, action)
	}
	for _, action := range p.voter.TakeActions() {
		if !p.up {
			return
		}
		s.carryOut(p, action)
	}
}

func (s *Simulation) carryOut(p *process, action lease.Action) {
	if s.Observe != nil {
		s.Observe(s.Now, p.name, action)
	}
	switch a := action.(type) {
	case lease.Send:
		s.send(p, a.To, a.Message)
	case lease.StoreGrant:
		if s.DurableVoters {
			p.storedGrants[a.Lease] = a.GrantRecord
			p.storedFloor = max(p.storedFloor, p.voter.TermFloor())
		}
	case lease.DeleteGrant:
		delete(p.storedGrants, a.Lease)
		p.storedFloor = max(p.storedFloor, p.voter.TermFloor())
	case lease.StoreVoterSet:
		if s.DurableVoters {
			p.storedSet = a.Number
		}
	case lease.Acquired:
		s.recordAcquired(p, s.leaseIndex[a.Lease], a.Term, a.Until)
	case lease.Extended:
		s.recordExtended(p, s.leaseIndex[a.Lease], a.Term, a.Until)
	case lease.Lost:
		s.recordLost(p, s.leaseIndex[a.Lease], a.Reason)
	case lease.YieldRequested:
		s.trace("%s is asked to yield %s to %s: %s", p.name, a.Lease, a.Next, a.Reason)
		s.release(p, s.leaseIndex[a.Lease], a.Next)
	}
}

// Kill terminates a process immediately and restarts it after the given time (us), or never if that is negative.
func (s *Simulation) Kill(i int, after int64) {
	p := s.processes[i]
	if !p.up {
		return
	}
	s.trace("%s is killed", p.name)
	s.hash(hashedKill, i, after, 0)
	p.up = false
	for l := range s.leases {
		s.endHold(p, l) // it starts no new actions; those already started may continue until the lease expires
		p.localLeases[l].term = 0
	}
	if after >= 0 {
		s.schedule(s.Now+after, event{kind: startEvent, process: i})
	}
}

// Pause pauses a process for the given time (us).
func (s *Simulation) Pause(i int, span int64) {
	p := s.processes[i]
	if !p.up || p.paused {
		return
	}
	s.trace("%s is paused for %d us", p.name, span)
	s.hash(hashedPause, i, span, 0)
	p.paused = true
	s.schedule(s.Now+span, event{kind: resumeEvent, process: i})
}

// Resume resumes a paused process. It first reads the messages that arrived meanwhile, as from a socket buffer.
func (s *Simulation) Resume(i int) {
	p := s.processes[i]
	if !p.up || !p.paused {
		return
	}
	s.trace("%s resumes", p.name)
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, m := range inbox {
		s.arrive(p, m)
	}
}

// loadConfig makes a process load a new operator file. A process that is down reads it at its next start.
func (s *Simulation) loadConfig(p *process, number uint64) {
	p.setNumber = max(p.setNumber, number)
	if !p.up {
		return
	}
	if p.paused { // the reload signal stays pending
		s.schedule(s.Now+tickInterval, event{kind: configEvent, process: p.index, set: number})
		return
	}
	own := p.clock(s.Now)
	voters := s.voterSet(number)
	if slices.Contains(voters.Names, p.name) || s.rng.IntN(3) > 0 { // sometimes the operator misses processes without a vote; they learn the set from the voters
		p.candidate.SetVoters(number, voters.Names)
	}
	if s.PlantedMistake == TwoAtOnce { // adopts any set, like a restarting voter that does not ask other voters
		voters.Previous = nil
		s.startVoter(p, own, voters)
	} else {
		p.voter.SetVoters(own, voters)
	}
	s.carryOutActions(p)
}
