package rolloutservice

import (
	"errors"

	"github.com/klauspost/compress/s2"

	"cairntiller/internal/codec"
	"cairntiller/internal/rollout"
)

// The form of messages: CBOR (RFC 8949) with s2 around what is large, described in docs/releases.md. A change that others
// can't read takes another version; who can't read a message drops it.
const (
	version   = 1
	mostPlain = 4 << 20 // bytes of a message, unpacked: a record of thousands of units
)

// kind is what a message is for.
type kind uint8

const (
	aReport kind = iota + 1 // member to leader
	aCall                   // leader to member: report here
	aStatement
	anAsk  // leader to voter: what do you keep
	aKept  // voter to leader
	aWrite // leader to voter
	aWrote // voter to leader
	aSeek  // member to voter: what is drained
	aWord  // an operator's, to whoever leads
	aReply
)

// message is any of them; what a kind does not need stays empty.
type message struct {
	Version   int
	Kind      kind
	Term, Seq uint64             `cbor:",omitempty"`
	Born      uint64             `cbor:",omitempty"`
	OK        bool               `cbor:",omitempty"`
	Report    *rollout.Report    `cbor:",omitempty"`
	Statement *rollout.Statement `cbor:",omitempty"`
	Kept      *rollout.Kept      `cbor:",omitempty"`
	Record    *rollout.Record    `cbor:",omitempty"`
	Word      *rollout.Word      `cbor:",omitempty"`
	Token     string             `cbor:",omitempty"`
	Why       string             `cbor:",omitempty"`
}

var (
	decoding = codec.Strict(10, 2*rollout.MostUnits, 64)

	errVersion = errors.New("unknown version")
	errBounds  = errors.New("a message out of bounds")
)

// encode packs a message.
func encode(m message) []byte {
	m.Version = version
	return s2.Encode(nil, codec.Encode(m))
}

// decode reads one, all or nothing.
func decode(packed []byte) (m message, err error) {
	if n, err := s2.DecodedLen(packed); err != nil || n > mostPlain {
		return m, errBounds
	}
	raw, err := s2.Decode(nil, packed)
	if err != nil {
		return m, err
	}
	if err = decoding.Unmarshal(raw, &m); err != nil {
		return m, err
	}
	if m.Version != version {
		return m, errVersion
	}
	return m, sound(&m)
}

// sound looks for what no member sends.
func sound(m *message) error {
	records := []*rollout.Record{m.Record}
	if m.Kept != nil {
		records = append(records, m.Kept.Record)
	}
	for _, r := range records {
		if r == nil {
			continue
		}
		for _, p := range r.Plans {
			if p == nil || p.Plan.Wrong() != "" || len(p.Units) != len(p.Plan.Units) {
				return errBounds
			}
		}
	}
	missing := m.Kind == aReport && m.Report == nil || m.Kind == aStatement && m.Statement == nil || m.Kind == aKept && m.Kept == nil ||
		m.Kind == aWrite && m.Record == nil || m.Kind == aWord && m.Word == nil
	if missing || m.Kind < aReport || m.Kind > aReply {
		return errBounds
	}
	return nil
}
