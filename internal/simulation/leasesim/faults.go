package leasesim

import (
	"slices"

	"cairntiller/internal/lease"
)

// drawFault draws the next thing that goes wrong, and when the one after it does.
func (s *Simulation) drawFault() {
	n := len(s.processes)
	i := s.rng.IntN(n)
	if s.rng.IntN(3) == 0 { // rare states lie near the voters
		i = s.rng.IntN(s.Voters)
	}
	l := s.rng.IntN(s.Leases)
	if holder := s.Holder(l); holder >= 0 && s.rng.IntN(3) == 0 { // and near a holder
		i = holder
	}
	span := s.rng.Int64N(3 * s.Length)
	switch s.rng.IntN(17) {
	case 0, 1:
		if s.rng.IntN(3) == 0 {
			span = s.rng.Int64N(100_000)
		}
		s.Kill(i, span)
	case 2, 3:
		s.Stop(i, span)
	case 4:
		s.cutOneWay(i, span)
	case 5:
		s.cutOff(i, span)
	case 6: // one pair, one way
		j := s.rng.IntN(n)
		s.Cut(i, j, i != j)
		s.keepCut(i, span)
	case 7:
		s.part(span)
	case 8:
		if s.rng.IntN(3) == 0 {
			s.killAll()
		}
	case 9:
		s.lossRate = s.rng.Float64() * 0.4
		s.duplicateRate = s.rng.Float64() * 0.5
		s.maxDelay = 1 + s.rng.Int64N(s.Length/4)
	case 10:
		s.lossRate = 0.01
		s.duplicateRate = 0.05
		s.maxDelay = 1 + s.rng.Int64N(10_000)
	case 11, 12:
		s.releaseByHolder(l)
	case 13:
		s.changeVoterSet()
	case 14: // it comes back at once, and again
		for k := range int64(3) {
			s.schedule(s.Now+k*s.Length/4, event{kind: flapEvent, process: i})
		}
	case 15: // one pair's links are slower than a lease is long
		j := s.rng.IntN(n)
		s.link(i, j).maxDelay = s.rng.Int64N(s.Length)
		s.link(j, i).maxDelay = s.rng.Int64N(s.Length)
	case 16:
		for k := range s.links {
			s.links[k].maxDelay = 0
		}
	}
	s.schedule(s.Now+s.rng.Int64N(s.Length), event{kind: faultEvent})
}

// cutOneWay cuts a process's links one way: it hears and isn't heard, or the other way round.
func (s *Simulation) cutOneWay(i int, span int64) {
	outgoing := s.rng.IntN(2) == 0
	for j := range s.processes {
		if outgoing {
			s.Cut(i, j, i != j)
		} else {
			s.Cut(j, i, i != j)
		}
	}
	s.keepCut(i, span)
}

// cutOff cuts a process's links both ways.
func (s *Simulation) cutOff(i int, span int64) {
	for j := range s.processes {
		s.Cut(i, j, i != j)
		s.Cut(j, i, i != j)
	}
	s.keepCut(i, span)
}

// part cuts the links between one half of the processes and the other.
func (s *Simulation) part(span int64) {
	n := len(s.processes)
	for a := range n {
		for b := range n {
			if (a < n/2) != (b < n/2) {
				s.Cut(a, b, true)
			}
		}
	}
	for a := range n {
		s.keepCut(a, span)
	}
}

// killAll kills all processes, and so all voters, at once.
func (s *Simulation) killAll() {
	for i := range s.processes {
		s.Kill(i, s.rng.Int64N(s.Length))
	}
}

// releaseByHolder lets a lease's holder be done with it, and hand it over to somebody or to nobody.
func (s *Simulation) releaseByHolder(l int) {
	i := s.Holder(l)
	if i < 0 || s.processes[i].stopped {
		return
	}
	next := ""
	if s.rng.IntN(2) == 0 {
		next = s.processes[s.rng.IntN(len(s.processes))].name
	}
	s.release(s.processes[i], l, next)
	s.carryOutActions(s.processes[i])
}

// changeVoterSet makes the next set of voters, which differs by one, and brings the file to every process within a while.
// An operator waits until the one before is everywhere.
func (s *Simulation) changeVoterSet() {
	if s.Now < s.setChangeAt {
		return
	}
	was := s.voterSets[len(s.voterSets)-1].Names
	now := s.drawVoterSet(was)
	if slices.Equal(now, was) {
		return
	}
	number := uint64(len(s.voterSets) + 1)
	s.voterSets = append(s.voterSets, lease.VoterSet{Number: number, Names: now, Previous: was})
	s.setChangeAt = s.Now + 6*s.Length
	for i := range s.processes {
		s.schedule(s.Now+s.rng.Int64N(2*s.Length), event{kind: fileEvent, process: i, set: number})
	}
	s.trace("voters number %d: %v", number, now)
}

// drawVoterSet draws a set that differs from another by one voter, or by two where that mistake is planted.
func (s *Simulation) drawVoterSet(was []string) []string {
	now := slices.Clone(was)
	if len(now) > 2 && s.rng.IntN(2) == 0 {
		k := s.rng.IntN(len(now))
		now = slices.Delete(now, k, k+1)
		if s.PlantedMistake == TwoAtOnce {
			now = s.addVoter(now)
		}
		return now
	}
	now = s.addVoter(now)
	if s.PlantedMistake == TwoAtOnce && len(now) > 2 {
		now = now[1:]
	}
	return now
}

// addVoter adds a process to a set of voters, where it is not in it and there is room.
func (s *Simulation) addVoter(names []string) []string {
	name := s.processes[s.rng.IntN(len(s.processes))].name
	if len(names) < lease.MaxVoters && !slices.Contains(names, name) {
		names = append(names, name)
	}
	return names
}
