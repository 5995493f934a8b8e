package leaseservice

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"cairntiller/internal/codec"
	"cairntiller/internal/lease"
)

// The form of messages: CBOR arrays (RFC 8949), described in docs/leases.md. A change that others can't read takes
// another version, and a member that can't read a message drops it: to the sender it is as if it were lost.
const (
	messageVersion = 1
	// maxLeases is how many leases a message may name: far over what fits a datagram.
	maxLeases = 128
	// maxTime bounds clocks and waits, in us, so that sums of them don't overflow.
	maxTime = int64(1) << 60
	// maxTerm bounds terms and tickets, so that there is always a later one.
	maxTerm = uint64(1) << 62
)

// The kinds of messages on the wire.
const (
	kindGrantRequest uint8 = iota + 1
	kindRenewRequest
	kindRelease
	kindGrantResponse
	kindRenewResponse
	kindTurnNotice
	kindVoterStatus
)

// Why a member's message is dropped; one that is no message at all gives the decoder's error.
var (
	ErrOutOfBounds    = errors.New("a field out of bounds")
	ErrUnknownVersion = errors.New("unknown version")
)

// wireMessage is every kind of lease.Message as it is sent; the order of the fields is that of the array. A kind leaves the
// fields that it does not have at zero.
type wireMessage struct {
	_            struct{} `cbor:",toarray"`
	Version      int
	Kind         uint8
	Incarnation  uint64
	Requester    uint64
	SetNumber    uint64
	SetNames     []string
	RequestID    uint64
	EndedGrants  uint64
	Generation   uint64
	RenewedCount int
	VoterClock   int64
	TermFloor    uint64
	LongestLease int64
	SetAge       int64
	Leases       []wireLease
}

// wireLease is one lease of a message as it is sent.
type wireLease struct {
	_         struct{} `cbor:",toarray"`
	Lease     string
	Term      uint64
	Length    int64
	Full      bool
	CarryOver bool
	Priority  int8
	Ticket    uint64
	Verdict   uint8
	Holder    string
	Wait      int64
}

var decoding = codec.StrictDecoder(6, maxLeases, 16)

// Encode puts a message on the wire, without its sender, whom the membership names.
func Encode(m lease.Message) []byte {
	return codec.Encode(toWire(m))
}

// Decode reads a member's message, all or nothing: one field out of bounds makes the whole message invalid.
func Decode(from string, raw []byte) (lease.Message, error) {
	if err := checkVersion(raw); err != nil {
		return nil, err
	}
	var w wireMessage
	if err := decoding.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	if !w.inBounds() {
		return nil, ErrOutOfBounds
	}
	return fromWire(from, &w)
}

// toWire returns a message as it is sent. Each kind sends its list of leases, an empty one included.
func toWire(message lease.Message) wireMessage {
	header := message.CommonHeader()
	w := wireMessage{Version: messageVersion, Incarnation: header.Incarnation, SetNumber: header.SetNumber, Leases: []wireLease{}}
	switch m := message.(type) {
	case *lease.GrantRequest:
		w.Kind = kindGrantRequest
		w.setRequest(&m.RequestHeader)
		for i := range m.Leases {
			w.Leases = append(w.Leases, wantedToWire(&m.Leases[i]))
		}
	case *lease.RenewRequest:
		w.Kind = kindRenewRequest
		w.setRequest(&m.RequestHeader)
	case *lease.Release:
		w.Kind = kindRelease
		w.setRequest(&m.RequestHeader)
		for _, released := range m.Leases {
			w.Leases = append(w.Leases, wireLease{Lease: released.Lease, Term: released.Term, Holder: released.Next})
		}
	case *lease.GrantResponse:
		w.Kind = kindGrantResponse
		w.setResponse(&m.ResponseHeader)
		for i := range m.Leases {
			answer := &m.Leases[i]
			one := wantedToWire(&answer.WantedLease)
			one.Verdict = uint8(answer.Verdict)
			one.Holder = answer.Holder
			one.Wait = answer.Wait
			w.Leases = append(w.Leases, one)
		}
	case *lease.RenewResponse:
		w.Kind = kindRenewResponse
		w.setResponse(&m.ResponseHeader)
		w.RenewedCount = m.RenewedCount
		for _, waiting := range m.Waiting {
			w.Leases = append(w.Leases, wireLease{Lease: waiting.Lease, Term: waiting.Term, Holder: waiting.First, Priority: waiting.Priority, Wait: waiting.WaitedFor})
		}
	case *lease.TurnNotice:
		w.Kind = kindTurnNotice
		w.VoterClock = m.VoterClock
		for _, free := range m.Leases {
			w.Leases = append(w.Leases, wireLease{Lease: free.Lease, Term: free.Term})
		}
	case *lease.VoterStatus:
		w.Kind = kindVoterStatus
		w.VoterClock = m.VoterClock
		w.SetNames = m.SetNames
		w.SetAge = m.SetAge
		w.TermFloor = m.TermFloor
		w.LongestLease = m.LongestLease
	}
	return w
}

func (w *wireMessage) setRequest(m *lease.RequestHeader) {
	w.RequestID = m.RequestID
	w.Generation = m.Generation
}

func (w *wireMessage) setResponse(m *lease.ResponseHeader) {
	w.Requester = m.Requester
	w.RequestID = m.RequestID
	w.Generation = m.Generation
	w.EndedGrants = m.EndedGrants
	w.VoterClock = m.VoterClock
	w.SetNames = m.SetNames
}

func wantedToWire(wanted *lease.WantedLease) wireLease {
	return wireLease{
		Lease:     wanted.Lease,
		Term:      wanted.Term,
		Length:    wanted.Length,
		Full:      wanted.Full,
		CarryOver: wanted.CarryOver,
		Priority:  wanted.Priority,
		Ticket:    wanted.Ticket,
	}
}

// fromWire returns the message that a member sent.
func fromWire(from string, w *wireMessage) (lease.Message, error) {
	header := lease.Header{From: from, Incarnation: w.Incarnation, SetNumber: w.SetNumber}
	request := lease.RequestHeader{Header: header, RequestID: w.RequestID, Generation: w.Generation}
	response := lease.ResponseHeader{
		Header:      header,
		Requester:   w.Requester,
		RequestID:   w.RequestID,
		Generation:  w.Generation,
		EndedGrants: w.EndedGrants,
		VoterClock:  w.VoterClock,
		SetNames:    w.SetNames,
	}
	switch w.Kind {
	case kindGrantRequest:
		m := &lease.GrantRequest{RequestHeader: request}
		for i := range w.Leases {
			m.Leases = append(m.Leases, wantedFromWire(&w.Leases[i]))
		}
		return m, nil
	case kindRenewRequest:
		return &lease.RenewRequest{RequestHeader: request}, nil
	case kindRelease:
		m := &lease.Release{RequestHeader: request}
		for _, one := range w.Leases {
			m.Leases = append(m.Leases, lease.ReleasedLease{Lease: one.Lease, Term: one.Term, Next: one.Holder})
		}
		return m, nil
	case kindGrantResponse:
		m := &lease.GrantResponse{ResponseHeader: response}
		for i := range w.Leases {
			one := &w.Leases[i]
			m.Leases = append(m.Leases, lease.LeaseVerdict{WantedLease: wantedFromWire(one), Verdict: lease.Verdict(one.Verdict), Holder: one.Holder, Wait: one.Wait})
		}
		return m, nil
	case kindRenewResponse:
		m := &lease.RenewResponse{ResponseHeader: response, RenewedCount: w.RenewedCount}
		for _, one := range w.Leases {
			m.Waiting = append(m.Waiting, lease.WaitingLease{Lease: one.Lease, Term: one.Term, First: one.Holder, Priority: one.Priority, WaitedFor: one.Wait})
		}
		return m, nil
	case kindTurnNotice:
		m := &lease.TurnNotice{Header: header, VoterClock: w.VoterClock}
		for _, one := range w.Leases {
			m.Leases = append(m.Leases, lease.FreeLease{Lease: one.Lease, Term: one.Term})
		}
		return m, nil
	case kindVoterStatus:
		return &lease.VoterStatus{Header: header, VoterClock: w.VoterClock, SetNames: w.SetNames, SetAge: w.SetAge, TermFloor: w.TermFloor,
			LongestLease: w.LongestLease}, nil
	}
	return nil, ErrOutOfBounds
}

func wantedFromWire(one *wireLease) lease.WantedLease {
	return lease.WantedLease{
		Lease:     one.Lease,
		Term:      one.Term,
		Length:    one.Length,
		Full:      one.Full,
		CarryOver: one.CarryOver,
		Priority:  one.Priority,
		Ticket:    one.Ticket,
	}
}

// checkVersion reads a message's version by itself, since one of a later version may have other fields.
func checkVersion(raw []byte) error {
	var fields []cbor.RawMessage
	if err := decoding.Unmarshal(raw, &fields); err != nil || len(fields) == 0 {
		return ErrOutOfBounds
	}
	version := 0
	if decoding.Unmarshal(fields[0], &version) != nil || version != messageVersion {
		return ErrUnknownVersion
	}
	return nil
}

// inBounds reports whether a message's fields may be believed, those included that its kind does not have.
func (w *wireMessage) inBounds() bool {
	if w.Kind < kindGrantRequest || w.Kind > kindVoterStatus || len(w.SetNames) > lease.MaxVoters || w.RenewedCount < 0 || w.TermFloor > maxTerm {
		return false
	}
	for _, name := range w.SetNames {
		if name == "" || len(name) > lease.MaxNameLength {
			return false
		}
	}
	for i := range w.Leases {
		if !w.Leases[i].inBounds() {
			return false
		}
	}
	return within(w.LongestLease, maxLeaseLength) && within(w.SetAge, maxTime) && within(w.VoterClock, maxTime)
}

// inBounds reports whether what a message says of one lease may be believed.
func (l *wireLease) inBounds() bool {
	if l.Lease == "" || len(l.Lease) > lease.MaxNameLength || len(l.Holder) > lease.MaxNameLength {
		return false
	}
	if l.Term > maxTerm || l.Ticket > maxTerm || l.Verdict > uint8(lease.NoCapacity) {
		return false
	}
	return within(l.Length, maxLeaseLength) && within(l.Wait, maxTime)
}

// within reports whether a time is from 0 to a bound.
func within(t, bound int64) bool { return t >= 0 && t <= bound }
