package leasesim

import (
	"slices"

	"cairntiller/internal/lease"
)

// injectFault injects a random fault and schedules the next one.
func (s *Simulation) injectFault() {
	n := len(s.processes)
	i := s.rng.IntN(n)
	if s.rng.IntN(3) == 0 { // faults of voters reach more rare states
		i = s.rng.IntN(s.Voters)
	}
	l := s.rng.IntN(s.Leases)
	if holder := s.Holder(l); holder >= 0 && s.rng.IntN(3) == 0 { // and so do faults of holders
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
		s.Pause(i, span)
	case 4:
		s.cutOneWay(i, span)
	case 5:
		s.isolate(i, span)
	case 6: // the link of one pair in one direction
		j := s.rng.IntN(n)
		s.Cut(i, j, i != j)
		s.scheduleHeal(i, span)
	case 7:
		s.partition(span)
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
	case 14: // crash loop with fast restarts
		for k := range int64(3) {
			s.schedule(s.Now+k*s.Length/4, event{kind: flapEvent, process: i})
		}
	case 15: // delays between one pair of up to the lease length
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

// cutOneWay cuts either all incoming or all outgoing links of a process.
func (s *Simulation) cutOneWay(i int, span int64) {
	outgoing := s.rng.IntN(2) == 0
	for j := range s.processes {
		if outgoing {
			s.Cut(i, j, i != j)
		} else {
			s.Cut(j, i, i != j)
		}
	}
	s.scheduleHeal(i, span)
}

// isolate cuts all links of a process in both directions.
func (s *Simulation) isolate(i int, span int64) {
	for j := range s.processes {
		s.Cut(i, j, i != j)
		s.Cut(j, i, i != j)
	}
	s.scheduleHeal(i, span)
}

// partition splits the network into two halves.
func (s *Simulation) partition(span int64) {
	n := len(s.processes)
	for a := range n {
		for b := range n {
			if (a < n/2) != (b < n/2) {
				s.Cut(a, b, true)
			}
		}
	}
	for a := range n {
		s.scheduleHeal(a, span)
	}
}

// killAll kills all processes at the same time, including all voters.
func (s *Simulation) killAll() {
	for i := range s.processes {
		s.Kill(i, s.rng.Int64N(s.Length))
	}
}

// releaseByHolder makes the holder of a lease release it, with or without a designated next holder.
func (s *Simulation) releaseByHolder(l int) {
	i := s.Holder(l)
	if i < 0 || s.processes[i].paused {
		return
	}
	next := ""
	if s.rng.IntN(2) == 0 {
		next = s.processes[s.rng.IntN(len(s.processes))].name
	}
	s.release(s.processes[i], l, next)
	s.carryOutActions(s.processes[i])
}

// changeVoterSet creates the next voter set, which differs by one voter, and rolls the operator file out to every process
// within two lease lengths. Like an operator, it waits until the previous set has reached all processes.
func (s *Simulation) changeVoterSet() {
	if s.Now < s.setChangeAt {
		return
	}
	previous := s.voterSets[len(s.voterSets)-1].Names
	now := s.randomVoterSet(previous)
	if slices.Equal(now, previous) {
		return
	}
	number := uint64(len(s.voterSets) + 1)
	s.voterSets = append(s.voterSets, lease.VoterSet{Number: number, Names: now, Previous: previous})
	s.setChangeAt = s.Now + 6*s.Length
	for i := range s.processes {
		s.schedule(s.Now+s.rng.Int64N(2*s.Length), event{kind: configEvent, process: i, set: number})
	}
	s.trace("voter set %d: %v", number, now)
}

// randomVoterSet returns a set that differs from another by one voter, or by two if the mistake TwoAtOnce is planted.
func (s *Simulation) randomVoterSet(previous []string) []string {
	now := slices.Clone(previous)
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

// addVoter adds a random process to a voter set, unless it is already a member or the set is full.
func (s *Simulation) addVoter(names []string) []string {
	name := s.processes[s.rng.IntN(len(s.processes))].name
	if len(names) < lease.MaxVoters && !slices.Contains(names, name) {
		names = append(names, name)
	}
	return names
}
