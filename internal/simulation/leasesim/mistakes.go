package leasesim

import "cairntiller/internal/lease"

// requestKey names a request of a process to a voter.
type requestKey struct {
	from, to string
	id       uint64
}

// noteAskedUnder notes under which set a request went out, for the planted mistake OldSet.
func (s *Simulation) noteAskedUnder(p *process, to string, message Message) {
	if s.PlantedMistake != OldSet {
		return
	}
	switch m := message.(type) {
	case *lease.GrantRequest:
		s.askedUnder[requestKey{p.name, to, m.RequestID}] = m.SetNumber
	case *lease.RenewRequest:
		s.askedUnder[requestKey{p.name, to, m.RequestID}] = m.SetNumber
	}
}

// responseHeader is that of a voter's answer, nil for other messages.
func responseHeader(message Message) *lease.ResponseHeader {
	switch m := message.(type) {
	case *lease.GrantResponse:
		return &m.ResponseHeader
	case *lease.RenewResponse:
		return &m.ResponseHeader
	}
	return nil
}

// tamper plants a mistake in a message as it is read, where the scenario says so. The simulation alone may do this with a
// message that was sent.
func (s *Simulation) tamper(p *process, message Message) {
	switch s.PlantedMistake {
	case FromAnswer: // as if the request had gone out when the answer came: the newest request's ID
		if response := responseHeader(message); response != nil {
			response.RequestID = max(response.RequestID, p.candidate.LastRequestID())
		}
	case FormerVoter:
		s.tamperFormerVoter(p, message)
	case OldSet:
		s.tamperOldSet(p, message)
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

// tamperFormerVoter lets every process of a voter speak as the first that was heard.
func (s *Simulation) tamperFormerVoter(p *process, message Message) {
	pair := p.name + "<" + message.CommonHeader().From
	switch m := message.(type) {
	case *lease.GrantResponse:
		if told := p.toldIncarnation[pair]; told != 0 {
			m.Incarnation = told
		}
		p.toldEndedGrants[pair] = m.EndedGrants
		p.toldIncarnation[pair] = m.Incarnation
	case *lease.RenewResponse:
		m.EndedGrants = p.toldEndedGrants[pair]
		m.Incarnation = p.toldIncarnation[pair]
	}
}

// tamperOldSet lets a voter take requests under any set, and its answer count under the set of the request.
func (s *Simulation) tamperOldSet(p *process, message Message) {
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
	number, known := s.askedUnder[requestKey{p.name, response.From, response.RequestID}]
	if known && response.Requester == p.incarnation {
		response.SetNumber = number
	}
}

// countTwice lets one voter's answer count for two voters.
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
