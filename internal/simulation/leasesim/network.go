package leasesim

import (
	"time"

	"cairntiller/internal/lease"
)

// link is the one-way connection from one process to another.
type link struct {
	cut      bool
	maxDelay int64 // maximum extra delay of each message, us
}

// maxPausedInbox limits the messages buffered for a paused process, like a socket's receive buffer.
const maxPausedInbox = 10_000

func (s *Simulation) link(from, to int) *link { return &s.links[from*len(s.processes)+to] }

// Cut cuts or restores the link from one process to another.
func (s *Simulation) Cut(from, to int, cut bool) { s.link(from, to).cut = cut }

// scheduleHeal schedules the restoration of a process's links after the given time (us).
func (s *Simulation) scheduleHeal(i int, span int64) {
	p := s.processes[i]
	p.cutUntil = max(p.cutUntil, s.Now+span)
	s.schedule(p.cutUntil, event{kind: healEvent, process: i})
}

// healLinks restores a process's links, except those to processes whose links must stay cut for longer.
func (s *Simulation) healLinks(i int) {
	if s.Now < s.processes[i].cutUntil {
		return
	}
	for j, other := range s.processes {
		if s.Now >= other.cutUntil {
			s.Cut(i, j, false)
			s.Cut(j, i, false)
		}
	}
}

// send sends a message, which may be lost, duplicated or delayed.
func (s *Simulation) send(p *process, to string, m Message) {
	i, known := s.processIndex[to]
	if !known {
		return
	}
	s.result.Messages++
	if s.MessageSize != nil {
		s.result.Bytes += int64(s.MessageSize(m))
	}
	s.hash(hashedSend, p.index, int64(i), hashOf(m))
	arrival := event{kind: arrivalEvent, process: i, message: m}
	if i == p.index { // messages to itself skip the network
		s.schedule(s.Now+1, arrival)
		return
	}
	route := s.link(p.index, i)
	if route.cut || s.rng.Float64() < s.lossRate {
		return
	}
	s.recordRequestSet(p, to, m)
	s.schedule(s.Now+s.randomDelay(route), arrival)
	if s.rng.Float64() < s.duplicateRate {
		at := s.Now + s.randomDelay(route)
		if s.rng.IntN(4) == 0 { // a very late duplicate
			at = s.Now + s.rng.Int64N(60_000_000)
		}
		s.schedule(at, arrival)
	}
	if _, is := m.(*lease.GrantResponse); is && !s.NoFaults && s.rng.IntN(400) == 0 { // kill a voter between its vote and the arrival of its response
		s.Kill(p.index, s.rng.Int64N(2*s.Length))
	}
}

// hashOf returns the part of a message that goes into the hash of the run: its type, as a number that recorded hashes
// depend on, and its request ID.
func hashOf(message Message) int64 {
	kind := 0
	requestID := uint64(0)
	switch m := message.(type) {
	case *lease.GrantRequest:
		kind = 1
		requestID = m.RequestID
	case *lease.RenewRequest:
		kind = 2
		requestID = m.RequestID
	case *lease.Release:
		kind = 3
		requestID = m.RequestID
	case *lease.GrantResponse:
		kind = 4
		requestID = m.RequestID
	case *lease.RenewResponse:
		kind = 5
		requestID = m.RequestID
	case *lease.ReservationNotice:
		kind = 6
	case *lease.VoterStatus:
		kind = 7
	}
	return int64(kind)<<40 | int64(requestID)
}

// randomDelay returns the delay of a message, in us.
func (s *Simulation) randomDelay(route *link) int64 {
	delay := 1 + s.rng.Int64N(s.maxDelay) + s.rng.Int64N(route.maxDelay+1)
	if !s.NoFaults && s.rng.IntN(50) == 0 {
		delay *= 20
	}
	return delay
}

// arrive delivers a message to the current process, or buffers it if the process is paused.
func (s *Simulation) arrive(p *process, m Message) {
	if !p.up {
		return
	}
	if p.paused {
		if len(p.inbox) < maxPausedInbox {
			p.inbox = append(p.inbox, m)
		}
		return
	}
	s.hash(hashedArrival, p.index, hashOf(m), int64(m.CommonHeader().Incarnation))
	s.applyMistake(p, m)
	defer s.measure(p, time.Now())
	own := p.clock(s.Now)
	if lease.ForVoter(m) {
		p.voter.Receive(own, m)
	} else {
		p.candidate.Receive(own, m)
		p.candidate.Tick(own)
	}
	s.carryOutActions(p)
}
