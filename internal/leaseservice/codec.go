package leaseservice

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"cairntiller/internal/codec"
	"cairntiller/internal/lease"
)

// Messages are CBOR arrays (RFC 8949), described in docs/leases.md. An incompatible change needs another version. A
// member drops a message that it can't decode; for the sender this is the same as a lost message.
const (
	messageVersion = 1
	// maxLeases limits the leases that a message may name, to far more than fit a datagram.
	maxLeases = 128
	// maxTime limits clock readings and waits, in us, so that their sums don't overflow.
	maxTime = int64(1) << 60
	// maxTerm limits terms and tickets, so that a later term always exists.
	maxTerm = uint64(1) << 62
)

// Kinds of messages on the wire.
const (
	kindGrantRequest uint8 = iota + 1
	kindRenewRequest
	kindRelease
	kindGrantResponse
	kindRenewResponse
	kindReservationNotice
	kindVoterStatus
)

// Reasons for dropping a member's message. If a field has the wrong type, Decode returns the decoder's error instead.
var (
	ErrOutOfBounds    = errors.New("field out of bounds")
	ErrUnknownVersion = errors.New("unknown version")
)

// wireMessage is the wire format of every kind of lease.Message; the order of the fields is that of the array. Fields
// that a kind does not use are zero.
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

// wireLease is the wire format of one lease in a message.
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

var strictDecoder = codec.StrictDecoder(6, maxLeases, 16)

// Encode encodes a message, without its sender, which package membership reports.
func Encode(m lease.Message) []byte {
	return codec.Encode(toWire(m))
}

// Decode decodes a member's message. One field out of bounds makes the whole message invalid.
func Decode(from string, raw []byte) (lease.Message, error) {
	if err := checkVersion(raw); err != nil {
		return nil, err
	}
	var w wireMessage
	if err := strictDecoder.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	if !w.inBounds() {
		return nil, ErrOutOfBounds
	}
	return fromWire(from, &w)
}

// toWire converts a message to its wire format. Each kind sends its list of leases, even if it is empty.
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
			item := wantedToWire(&answer.WantedLease)
			item.Verdict = uint8(answer.Verdict)
			item.Holder = answer.Holder
			item.Wait = answer.Wait
			w.Leases = append(w.Leases, item)
		}
	case *lease.RenewResponse:
		w.Kind = kindRenewResponse
		w.setResponse(&m.ResponseHeader)
		w.RenewedCount = m.RenewedCount
		for _, waiting := range m.Waiting {
			w.Leases = append(w.Leases, wireLease{Lease: waiting.Lease, Term: waiting.Term, Holder: waiting.First, Priority: waiting.Priority, Wait: waiting.WaitedFor})
		}
	case *lease.ReservationNotice:
		w.Kind = kindReservationNotice
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

// fromWire converts a message from its wire format.
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
		for _, item := range w.Leases {
			m.Leases = append(m.Leases, lease.ReleasedLease{Lease: item.Lease, Term: item.Term, Next: item.Holder})
		}
		return m, nil
	case kindGrantResponse:
		m := &lease.GrantResponse{ResponseHeader: response}
		for i := range w.Leases {
			item := &w.Leases[i]
			m.Leases = append(m.Leases, lease.LeaseVerdict{WantedLease: wantedFromWire(item), Verdict: lease.Verdict(item.Verdict), Holder: item.Holder, Wait: item.Wait})
		}
		return m, nil
	case kindRenewResponse:
		m := &lease.RenewResponse{ResponseHeader: response, RenewedCount: w.RenewedCount}
		for _, item := range w.Leases {
			m.Waiting = append(m.Waiting, lease.WaitingLease{Lease: item.Lease, Term: item.Term, First: item.Holder, Priority: item.Priority, WaitedFor: item.Wait})
		}
		return m, nil
	case kindReservationNotice:
		m := &lease.ReservationNotice{Header: header, VoterClock: w.VoterClock}
		for _, item := range w.Leases {
			m.Leases = append(m.Leases, lease.FreeLease{Lease: item.Lease, Term: item.Term})
		}
		return m, nil
	case kindVoterStatus:
		return &lease.VoterStatus{Header: header, VoterClock: w.VoterClock, SetNames: w.SetNames, SetAge: w.SetAge, TermFloor: w.TermFloor,
			LongestLease: w.LongestLease}, nil
	}
	return nil, ErrOutOfBounds
}

func wantedFromWire(w *wireLease) lease.WantedLease {
	return lease.WantedLease{
		Lease:     w.Lease,
		Term:      w.Term,
		Length:    w.Length,
		Full:      w.Full,
		CarryOver: w.CarryOver,
		Priority:  w.Priority,
		Ticket:    w.Ticket,
	}
}

// checkVersion checks a message's version separately, since a message of a later version may have other fields.
func checkVersion(raw []byte) error {
	var fields []cbor.RawMessage
	if err := strictDecoder.Unmarshal(raw, &fields); err != nil || len(fields) == 0 {
		return ErrOutOfBounds
	}
	version := 0
	if strictDecoder.Unmarshal(fields[0], &version) != nil || version != messageVersion {
		return ErrUnknownVersion
	}
	return nil
}

// inBounds reports whether all fields of a message are in bounds, including those that its kind does not use.
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
	return inRange(w.LongestLease, maxLeaseLength) && inRange(w.SetAge, maxTime) && inRange(w.VoterClock, maxTime)
}

// inBounds reports whether the fields of one lease are in bounds.
func (l *wireLease) inBounds() bool {
	if l.Lease == "" || len(l.Lease) > lease.MaxNameLength || len(l.Holder) > lease.MaxNameLength {
		return false
	}
	if l.Term > maxTerm || l.Ticket > maxTerm || l.Verdict > uint8(lease.NoCapacity) {
		return false
	}
	return inRange(l.Length, maxLeaseLength) && inRange(l.Wait, maxTime)
}

// inRange reports whether a value is from 0 to a limit.
func inRange(value, limit int64) bool { return value >= 0 && value <= limit }
