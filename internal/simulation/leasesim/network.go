package leasesim

import (
	"time"

	"cairntiller/internal/lease"
)

// link is the way from one process to another.
type link struct {
	cut      bool
	maxDelay int64 // us that each message takes beside, at most
}

// maxStoppedInbox is how many messages wait for a process that is stopped; a socket takes no more either.
const maxStoppedInbox = 10_000

func (s *Simulation) link(from, to int) *link { return &s.links[from*len(s.processes)+to] }

// Cut cuts what goes from one process to another, or mends it.
func (s *Simulation) Cut(from, to int, cut bool) { s.link(from, to).cut = cut }

// keepCut mends a process's links after a while.
func (s *Simulation) keepCut(i int, span int64) {
	p := s.processes[i]
	p.cutUntil = max(p.cutUntil, s.Now+span)
	s.schedule(p.cutUntil, event{kind: mendEvent, process: i})
}

// mendLinks mends a process's links but those to processes that are still to be cut off.
func (s *Simulation) mendLinks(i int) {
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

// send lets a message out, which may be lost, doubled, or late.
func (s *Simulation) send(p *process, to string, m Message) {
	i, known := s.processIndex[to]
	if !known {
		return
	}
	s.figures.Messages++
	if s.MessageSize != nil {
		s.figures.Bytes += int64(s.MessageSize(m))
	}
	s.hash(hashedSend, p.index, int64(i), hashOf(m))
	arrival := event{kind: arrivalEvent, process: i, message: m}
	if i == p.index { // to itself it is no message
		s.schedule(s.Now+1, arrival)
		return
	}
	way := s.link(p.index, i)
	if way.cut || s.rng.Float64() < s.lossRate {
		return
	}
	s.noteAskedUnder(p, to, m)
	s.schedule(s.Now+s.drawDelay(way), arrival)
	if s.rng.Float64() < s.duplicateRate {
		at := s.Now + s.drawDelay(way)
		if s.rng.IntN(4) == 0 { // very late
			at = s.Now + s.rng.Int64N(60_000_000)
		}
		s.schedule(at, arrival)
	}
	if _, is := m.(*lease.GrantResponse); is && !s.Calm && s.rng.IntN(400) == 0 { // a voter killed between its vote and its answer's arrival
		s.Kill(p.index, s.rng.Int64N(2*s.Length))
	}
}

// hashOf is what of a message goes into the hash of the run: its kind, by a number that is part of recorded hashes, and the
// ID of its request.
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

// drawDelay draws how long a message takes, in us.
func (s *Simulation) drawDelay(way *link) int64 {
	delay := 1 + s.rng.Int64N(s.maxDelay) + s.rng.Int64N(way.maxDelay+1)
	if !s.Calm && s.rng.IntN(50) == 0 {
		delay *= 20
	}
	return delay
}

// arrive hands a message to the process that has the name now.
func (s *Simulation) arrive(p *process, m Message) {
	if !p.up {
		return
	}
	if p.stopped {
		if len(p.inbox) < maxStoppedInbox {
			p.inbox = append(p.inbox, m)
		}
		return
	}
	s.hash(hashedArrival, p.index, hashOf(m), int64(m.CommonHeader().Incarnation))
	s.tamper(p, m)
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
