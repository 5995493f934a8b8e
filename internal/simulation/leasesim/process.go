package leasesim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cairntiller/internal/lease"
)

// process is one instance; a new start under its name gets a new candidate, voter and incarnation.
type process struct {
	name        string
	index       int
	up          bool
	stopped     bool
	starts      int // counts up
	incarnation uint64
	candidate   *lease.Candidate
	voter       *lease.Voter
	rate        float64 // of its clock against the true time
	clockZero   int64   // its clock at true time 0
	wallOffset  int64   // of its wall clock
	setNumber   uint64  // of the voter set that its file names
	cutUntil    int64   // until when faults keep its links cut
	inbox       []Message
	tenures     []tenure // by lease

	// What it stored, which outlives it.
	storedGrants map[string]lease.GrantRecord
	storedFloor  uint64
	storedSet    uint64

	// What the planted mistake FormerVoter takes for what a voter's process said, by pair.
	toldEndedGrants map[string]uint64
	toldIncarnation map[string]uint64
}

// tenure is a process's own view of a lease: what its guard goes by.
type tenure struct {
	term  uint64 // 0 where it does not hold it
	until int64  // on its clock
}

// clock is a process's clock at a true time; trueTime is the other way round.
func (p *process) clock(now int64) int64    { return p.clockZero + int64(float64(now)*p.rate) }
func (p *process) trueTime(own int64) int64 { return int64(float64(own-p.clockZero) / p.rate) }

// holds reports whether its guard would let an act begin now.
func (p *process) holds(l int, now int64) bool {
	return p.up && p.tenures[l].term != 0 && p.clock(now) < p.tenures[l].until
}

// id names one process among all that had its name.
func (p *process) id() string { return fmt.Sprint(p.name, "/", p.starts) }

// start starts a process, or starts it anew, knowing what it stored and no more.
func (s *Simulation) start(p *process) {
	p.starts++
	p.up = true
	p.stopped = false
	p.inbox = nil
	s.incarnations++
	if p.incarnation == 0 || s.PlantedMistake != SameProcess {
		p.incarnation = s.incarnations
	}
	if p.rate == 0 { // the machine's clock goes on through restarts of the process
		s.drawClock(p)
	}
	own := p.clock(s.Now)
	drift := s.Drift
	if s.PlantedMistake == NoMargin {
		drift = 0
	}
	number := p.setNumber
	if s.Lasting {
		number = max(number, p.storedSet)
	}
	voters := s.voterSet(number)
	p.candidate = lease.NewCandidate(p.name, p.incarnation, drift, voters.Number, voters.Names)
	p.tenures = make([]tenure, s.Leases)
	p.toldEndedGrants = map[string]uint64{}
	p.toldIncarnation = map[string]uint64{}
	for l, truth := range s.leases {
		if s.Wanted == 0 || (p.index+l)%len(s.processes) < s.Wanted {
			p.candidate.RequestLease(own, s.request(l, truth))
		}
	}
	s.startVoter(p, own, voters) // one that is in no set answers nothing, and may be in the next one
	s.hash(hashedStart, p.index, int64(p.incarnation), own)
	s.schedule(s.Now+s.rng.Int64N(tickInterval), event{kind: tickEvent, process: p.index, start: p.starts})
}

// drawClock draws the rate and the reading of a machine's clock.
func (s *Simulation) drawClock(p *process) {
	bound := float64(s.TrueDrift) / 1e6
	p.rate = 1 + (s.rng.Float64()*2-1)*float64(s.TrueDrift)/1e6
	if p.index < s.Voters && s.rng.IntN(3) == 0 { // often at the bound
		p.rate = 1 + bound
	} else if s.rng.IntN(3) == 0 {
		p.rate = 1 - bound
	}
	p.clockZero = s.rng.Int64N(day)
}

// startVoter gives a process its voter.
func (s *Simulation) startVoter(p *process, own int64, voters lease.VoterSet) {
	longest := s.Length
	floor := uint64(wallStart + s.Now + p.wallOffset + longest)
	startedAt := own
	var stored []lease.GrantRecord
	if s.Lasting {
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

// request is how a process wants a lease.
func (s *Simulation) request(l int, truth *leaseTruth) lease.Request {
	r := lease.Request{Lease: truth.name, Length: s.Length}
	if !s.Calm && l%3 == 1 {
		r.YieldAfter = 4 * s.Length
	}
	return r
}

// tickIfUp ticks a process's modules, and schedules its next tick.
func (s *Simulation) tickIfUp(p *process, start int) {
	if !p.up || p.starts != start {
		return
	}
	if !p.stopped {
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
	if number, _ := p.voter.CurrentSet(); number < p.setNumber && s.rng.IntN(20) == 0 { // the operator looks after who is behind
		p.voter.SetVoters(own, s.voterSet(number+1))
	}
	s.carryOutActions(p)
}

// measure adds the real time that a process's modules took.
func (s *Simulation) measure(p *process, began time.Time) {
	if s.Measure {
		s.ModuleTime[p.index] += time.Since(began)
	}
}

// carryOutActions does what a process's modules ask for. A voter's records are stored before its answers go out; one
// that is killed between does no more.
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
		if s.Lasting {
			p.storedGrants[a.Lease] = a.GrantRecord
			p.storedFloor = max(p.storedFloor, p.voter.TermFloor())
		}
	case lease.DeleteGrant:
		delete(p.storedGrants, a.Lease)
		p.storedFloor = max(p.storedFloor, p.voter.TermFloor())
	case lease.StoreVoterSet:
		if s.Lasting {
			p.storedSet = a.Number
		}
	case lease.Acquired:
		s.acquired(p, s.leaseIndex[a.Lease], a.Term, a.Until)
	case lease.Extended:
		s.extended(p, s.leaseIndex[a.Lease], a.Term, a.Until)
	case lease.Lost:
		s.lost(p, s.leaseIndex[a.Lease], a.Reason)
	case lease.YieldRequested:
		s.trace("%s is to yield %s to %s: %s", p.name, a.Lease, a.Next, a.Reason)
		s.release(p, s.leaseIndex[a.Lease], a.Next)
	}
}

// Kill ends a process at once; it starts anew after a while, in us, or not where that is negative.
func (s *Simulation) Kill(i int, after int64) {
	p := s.processes[i]
	if !p.up {
		return
	}
	s.trace("%s is killed", p.name)
	s.hash(hashedKill, i, after, 0)
	p.up = false
	for l := range s.leases {
		s.endTenure(p, l) // it acts no more; what it had started may go on until its time
		p.tenures[l].term = 0
	}
	if after >= 0 {
		s.schedule(s.Now+after, event{kind: startEvent, process: i})
	}
}

// Stop holds a process still for a while, in us.
func (s *Simulation) Stop(i int, span int64) {
	p := s.processes[i]
	if !p.up || p.stopped {
		return
	}
	s.trace("%s is stopped for %d us", p.name, span)
	s.hash(hashedStop, i, span, 0)
	p.stopped = true
	s.schedule(s.Now+span, event{kind: continueEvent, process: i})
}

// Continue lets a stopped process go on; what came meanwhile is read first, as from a socket.
func (s *Simulation) Continue(i int) {
	p := s.processes[i]
	if !p.up || !p.stopped {
		return
	}
	s.trace("%s goes on", p.name)
	p.stopped = false
	inbox := p.inbox
	p.inbox = nil
	for _, m := range inbox {
		s.arrive(p, m)
	}
}

// takeFile gives a process the new operator's file; where it is down it reads it at its next start.
func (s *Simulation) takeFile(p *process, number uint64) {
	p.setNumber = max(p.setNumber, number)
	if !p.up {
		return
	}
	if p.stopped { // the signal waits for it
		s.schedule(s.Now+tickInterval, event{kind: fileEvent, process: p.index, set: number})
		return
	}
	own := p.clock(s.Now)
	voters := s.voterSet(number)
	if slices.Contains(voters.Names, p.name) || s.rng.IntN(3) > 0 { // those without a vote are forgotten at times; voters tell them
		p.candidate.SetVoters(number, voters.Names)
	}
	if s.PlantedMistake == TwoAtOnce { // it adopts any file, as a voter that starts anew and asks nobody would
		voters.Previous = nil
		s.startVoter(p, own, voters)
	} else {
		p.voter.SetVoters(own, voters)
	}
	s.carryOutActions(p)
}
