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
	version   = 1
	mostItems = 128   // in a message: far over what fits a datagram
	mostLease = 600e6 // us of the longest lease that is believed
	mostClock = int64(1) << 60
)

type wireMessage struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Kind    uint8
	Born    uint64
	Asker   uint64
	Set     uint64
	Names   []string
	Round   uint64
	Lost    uint64
	Gen     uint64
	Count   int
	Clock   int64
	Floor   uint64
	Longest int64
	Age     int64
	Items   []wireItem
}

type wireItem struct {
	_        struct{} `cbor:",toarray"`
	Lease    string
	Term     uint64
	Length   int64
	Full     bool
	Over     bool
	Priority int8
	Ticket   uint64
	Verdict  uint8
	Holder   string
	Wait     int64
}

var (
	decoding = codec.StrictDecoder(6, mostItems, 16)

	errBounds  = errors.New("a field out of bounds")
	errVersion = errors.New("unknown version")
)

// Encode puts a message on the wire, less its sender, whom the fleet names.
func Encode(m *lease.Message) []byte {
	w := wireMessage{Version: version, Kind: uint8(m.Kind), Born: m.Incarnation, Asker: m.Requester, Set: m.SetNumber, Names: m.SetNames, Round: m.RequestID,
		Lost: m.EndedGrants, Gen: m.Generation, Count: m.RenewedCount, Clock: m.VoterClock, Floor: m.TermFloor, Longest: m.LongestLease, Age: m.SetAge, Items: make([]wireItem, 0, len(m.Items))}
	for _, it := range m.Items {
		w.Items = append(w.Items, wireItem{Lease: it.Lease, Term: it.Term, Length: it.Length, Full: it.Full, Over: it.CarryOver,
			Priority: it.Priority, Ticket: it.Ticket, Verdict: uint8(it.Verdict), Holder: it.Holder, Wait: it.Wait})
	}
	return codec.Encode(w)
}

// Decode reads a member's message, all or nothing.
func Decode(from string, raw []byte) (*lease.Message, error) {
	var only []cbor.RawMessage // the version is read first: a later one may have other fields
	if err := decoding.Unmarshal(raw, &only); err != nil || len(only) == 0 {
		return nil, errBounds
	}
	v := 0
	if decoding.Unmarshal(only[0], &v) != nil || v != version {
		return nil, errVersion
	}
	var w wireMessage
	if err := decoding.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	m := &lease.Message{Kind: lease.MessageKind(w.Kind), From: from, Incarnation: w.Born, Requester: w.Asker, SetNumber: w.Set, SetNames: w.Names,
		RequestID: w.Round, EndedGrants: w.Lost, Generation: w.Gen, RenewedCount: w.Count, VoterClock: w.Clock, TermFloor: w.Floor, LongestLease: w.Longest, SetAge: w.Age}
	if !m.Kind.Valid() || len(w.Names) > lease.MaxVoters || w.Longest < 0 || w.Longest > mostLease || w.Age < 0 || w.Count < 0 ||
		w.Clock < 0 || w.Clock > mostClock || w.Age > mostClock || w.Floor > 1<<62 {
		return nil, errBounds
	}
	for _, name := range w.Names {
		if name == "" || len(name) > lease.MaxNameLength {
			return nil, errBounds
		}
	}
	for _, it := range w.Items {
		one := lease.Item{Lease: it.Lease, Term: it.Term, Length: it.Length, Full: it.Full, CarryOver: it.Over,
			Priority: it.Priority, Ticket: it.Ticket, Verdict: lease.Verdict(it.Verdict), Holder: it.Holder, Wait: it.Wait}
		if it.Lease == "" || len(it.Lease) > lease.MaxNameLength || len(it.Holder) > lease.MaxNameLength || it.Term > 1<<62 || it.Ticket > 1<<62 ||
			it.Length < 0 || it.Length > mostLease || it.Wait < 0 || it.Wait > mostClock || one.Verdict > lease.NoCapacity {
			return nil, errBounds
		}
		m.Items = append(m.Items, one)
	}
	return m, nil
}
