package leasesim

import "cairntiller/internal/lease"

// requestKey identifies a request from a process to a voter.
type requestKey struct {
	from, to string
	id       uint64
}

// recordRequestSet records the voter set under which a request was sent, for the planted mistake OldSet.
func (s *Simulation) recordRequestSet(p *process, to string, message Message) {
	if s.PlantedMistake != OldSet {
		return
	}
	switch m := message.(type) {
	case *lease.GrantRequest:
		s.requestSets[requestKey{p.name, to, m.RequestID}] = m.SetNumber
	case *lease.RenewRequest:
		s.requestSets[requestKey{p.name, to, m.RequestID}] = m.SetNumber
	}
}

// responseHeader returns the header of a voter's response, or nil for other messages.
func responseHeader(message Message) *lease.ResponseHeader {
	switch m := message.(type) {
	case *lease.GrantResponse:
		return &m.ResponseHeader
	case *lease.RenewResponse:
		return &m.ResponseHeader
	}
	return nil
}

// applyMistake modifies a message on receipt to simulate the planted mistake. Only the simulation may modify a message
// that was already sent.
func (s *Simulation) applyMistake(p *process, message Message) {
	switch s.PlantedMistake {
	case FromAnswer: // answers the newest request, as if it had been sent when the response arrived
		if response := responseHeader(message); response != nil {
			response.RequestID = max(response.RequestID, p.candidate.LastRequestID())
		}
	case FormerVoter:
		s.applyFormerVoter(p, message)
	case OldSet:
		s.applyOldSet(p, message)
	case ShortVotes:
		if m, is := message.(*lease.GrantResponse); is {
			for i := range m.Leases {
				m.Leases[i].Length += m.Leases[i].Length / 10
			}
		}
	case HalfMajority:
		if m, is := message.(*lease.GrantResponse); is && m.Requester == p.incarnation {
			s.countTwice(p, m)
		}
	case TermReused:
		if m, is := message.(*lease.VoterStatus); is {
			m.TermFloor = 0
		}
	}
}

// applyFormerVoter makes each restarted process of a voter answer as the first one that was seen.
func (s *Simulation) applyFormerVoter(p *process, message Message) {
	pair := p.name + "<" + message.CommonHeader().From
	switch m := message.(type) {
	case *lease.GrantResponse:
		if seen := p.seenIncarnation[pair]; seen != 0 {
			m.Incarnation = seen
		}
		p.seenEndedGrants[pair] = m.EndedGrants
		p.seenIncarnation[pair] = m.Incarnation
	case *lease.RenewResponse:
		m.EndedGrants = p.seenEndedGrants[pair]
		m.Incarnation = p.seenIncarnation[pair]
	}
}

// applyOldSet makes a voter accept requests under any voter set, and its response count for the set of the request.
func (s *Simulation) applyOldSet(p *process, message Message) {
	switch m := message.(type) {
	case *lease.GrantRequest:
		m.SetNumber, _ = p.voter.CurrentSet()
	case *lease.RenewRequest:
		m.SetNumber, _ = p.voter.CurrentSet()
	}
	response := responseHeader(message)
	if response == nil {
		return
	}
	number, known := s.requestSets[requestKey{p.name, response.From, response.RequestID}]
	if known && response.Requester == p.incarnation {
		response.SetNumber = number
	}
}

// countTwice makes the response of one voter count for two voters.
func (s *Simulation) countTwice(p *process, m *lease.GrantResponse) {
	for _, name := range s.voterSet(m.SetNumber).Names {
		if name != m.From {
			other := *m
			other.From = name
			p.candidate.Receive(p.clock(s.Now), &other)
			return
		}
	}
}
