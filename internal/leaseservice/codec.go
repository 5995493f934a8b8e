package leaseservice

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"cairntiller/internal/codec"
	"cairntiller/internal/lease"
)

// The form of messages: CBOR arrays (RFC 8949), described in docs/leases.md. A change that others can't read takes
// another version, and who can't read a message drops it: to the sender it is as if it were lost.
const (
	messageVersion = 1
	// maxItems is how many leases a message may name: far over what fits a datagram.
	maxItems = 128
	// maxTime bounds clocks and waits, in us, so that sums of them don't overflow.
	maxTime = int64(1) << 60
	// maxTerm bounds terms and tickets, so that there is always a later one.
	maxTerm = uint64(1) << 62
)

// Why a member's message is dropped; one that is no message at all gives the decoder's error.
var (
	ErrOutOfBounds    = errors.New("a field out of bounds")
	ErrUnknownVersion = errors.New("unknown version")
)

// wireMessage is lease.Message as it is sent; the order of the fields is that of the array.
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
	Items        []wireItem
}

// wireItem is lease.Item as it is sent.
type wireItem struct {
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

var decoding = codec.StrictDecoder(6, maxItems, 16)

// Encode puts a message on the wire, without its sender, whom the membership names.
func Encode(m *lease.Message) []byte {
	w := wireMessage{
		Version:      messageVersion,
		Kind:         uint8(m.Kind),
		Incarnation:  m.Incarnation,
		Requester:    m.Requester,
		SetNumber:    m.SetNumber,
		SetNames:     m.SetNames,
		RequestID:    m.RequestID,
		EndedGrants:  m.EndedGrants,
		Generation:   m.Generation,
		RenewedCount: m.RenewedCount,
		VoterClock:   m.VoterClock,
		TermFloor:    m.TermFloor,
		LongestLease: m.LongestLease,
		SetAge:       m.SetAge,
		Items:        make([]wireItem, 0, len(m.Items)),
	}
	for _, item := range m.Items {
		w.Items = append(w.Items, wireItem{
			Lease:     item.Lease,
			Term:      item.Term,
			Length:    item.Length,
			Full:      item.Full,
			CarryOver: item.CarryOver,
			Priority:  item.Priority,
			Ticket:    item.Ticket,
			Verdict:   uint8(item.Verdict),
			Holder:    item.Holder,
			Wait:      item.Wait,
		})
	}
	return codec.Encode(w)
}

// Decode reads a member's message, all or nothing: one field out of bounds makes the whole message invalid.
func Decode(from string, raw []byte) (*lease.Message, error) {
	if err := checkVersion(raw); err != nil {
		return nil, err
	}
	var w wireMessage
	if err := decoding.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	m := &lease.Message{
		Kind:         lease.MessageKind(w.Kind),
		From:         from,
		Incarnation:  w.Incarnation,
		Requester:    w.Requester,
		SetNumber:    w.SetNumber,
		SetNames:     w.SetNames,
		RequestID:    w.RequestID,
		EndedGrants:  w.EndedGrants,
		Generation:   w.Generation,
		RenewedCount: w.RenewedCount,
		VoterClock:   w.VoterClock,
		TermFloor:    w.TermFloor,
		LongestLease: w.LongestLease,
		SetAge:       w.SetAge,
	}
	if !messageInBounds(m) {
		return nil, ErrOutOfBounds
	}
	for _, one := range w.Items {
		item := lease.Item{
			Lease:     one.Lease,
			Term:      one.Term,
			Length:    one.Length,
			Full:      one.Full,
			CarryOver: one.CarryOver,
			Priority:  one.Priority,
			Ticket:    one.Ticket,
			Verdict:   lease.Verdict(one.Verdict),
			Holder:    one.Holder,
			Wait:      one.Wait,
		}
		if !itemInBounds(&item) {
			return nil, ErrOutOfBounds
		}
		m.Items = append(m.Items, item)
	}
	return m, nil
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

// messageInBounds tells whether a message's own fields may be believed.
func messageInBounds(m *lease.Message) bool {
	if !m.Kind.Valid() || len(m.SetNames) > lease.MaxVoters || m.RenewedCount < 0 || m.TermFloor > maxTerm {
		return false
	}
	for _, name := range m.SetNames {
		if name == "" || len(name) > lease.MaxNameLength {
			return false
		}
	}
	return within(m.LongestLease, maxLeaseLength) && within(m.SetAge, maxTime) && within(m.VoterClock, maxTime)
}

// itemInBounds tells whether what a message says of one lease may be believed.
func itemInBounds(item *lease.Item) bool {
	if item.Lease == "" || len(item.Lease) > lease.MaxNameLength || len(item.Holder) > lease.MaxNameLength {
		return false
	}
	if item.Term > maxTerm || item.Ticket > maxTerm || item.Verdict > lease.NoCapacity {
		return false
	}
	return within(item.Length, maxLeaseLength) && within(item.Wait, maxTime)
}

// within tells whether a time is from 0 to a bound.
func within(t, bound int64) bool { return t >= 0 && t <= bound }
