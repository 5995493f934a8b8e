package leasesim

import "cairntiller/internal/lease"

// requestKey names a request of a process to a voter.
type requestKey struct {
	from, to string
	id       uint64
}

// noteAskedUnder notes under which set a request went out, for the planted mistake OldSet.
func (s *Simulation) noteAskedUnder(p *process, to string, m *Message) {
	isRequest := m.Kind == lease.KindGrantRequest || m.Kind == lease.KindRenewRequest
	if s.PlantedMistake == OldSet && isRequest {
		s.askedUnder[requestKey{p.name, to, m.RequestID}] = m.SetNumber
	}
}

// tamper plants a mistake in a message as it is read, where the scenario says so.
func (s *Simulation) tamper(p *process, m *Message) {
	isGrant := m.Kind == lease.KindGrantResponse
	isRenewal := m.Kind == lease.KindRenewResponse
	switch s.PlantedMistake {
	case FromAnswer: // as if the request had gone out when the answer came: the newest request's ID
		if isGrant || isRenewal {
			m.RequestID = max(m.RequestID, p.candidate.LastRequestID())
		}
	case FormerVoter:
		s.tamperFormerVoter(p, m)
	case OldSet:
		s.tamperOldSet(p, m)
	case ShortVotes:
		if isGrant {
			for i := range m.Items {
				m.Items[i].Length += m.Items[i].Length / 10
			}
		}
	case HalfMajority:
		if isGrant && m.Requester == p.incarnation {
			s.countTwice(p, m)
		}
	case TermReused:
		if m.Kind == lease.KindVoterStatus {
			m.TermFloor = 0
		}
	}
}

// tamperFormerVoter lets every process of a voter speak as the first that was heard.
func (s *Simulation) tamperFormerVoter(p *process, m *Message) {
	pair := p.name + "<" + m.From
	switch m.Kind {
	case lease.KindGrantResponse:
		if told := p.toldIncarnation[pair]; told != 0 {
			m.Incarnation = told
		}
		p.toldEndedGrants[pair] = m.EndedGrants
		p.toldIncarnation[pair] = m.Incarnation
	case lease.KindRenewResponse:
		m.EndedGrants = p.toldEndedGrants[pair]
		m.Incarnation = p.toldIncarnation[pair]
	}
}

// tamperOldSet lets a voter take requests under any set, and its answer count under the set of the request.
func (s *Simulation) tamperOldSet(p *process, m *Message) {
	switch m.Kind {
	case lease.KindGrantRequest, lease.KindRenewRequest:
		m.SetNumber, _ = p.voter.CurrentSet()
	case lease.KindGrantResponse, lease.KindRenewResponse:
		number, known := s.askedUnder[requestKey{p.name, m.From, m.RequestID}]
		if known && m.Requester == p.incarnation {
			m.SetNumber = number
		}
	}
}

// countTwice lets one voter's answer count for two voters.
func (s *Simulation) countTwice(p *process, m *Message) {
	for _, name := range s.voterSet(m.SetNumber).Names {
		if name != m.From {
			other := *m
			other.From = name
			p.candidate.Receive(p.clock(s.Now), &other)
			return
		}
	}
}
