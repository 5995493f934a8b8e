package membership

import (
	"github.com/fxamacker/cbor/v2"

	"cairntiller/internal/assignment"
	"cairntiller/internal/codec"
)

// version is the version of the messages, which are CBOR arrays (RFC 8949) described in docs/assignment.md. It must be
// raised with any change that older instances cannot read; members of different versions do not communicate.
const version = 1

// Limits for sent and received messages.
const (
	maxUpdateMessage = 1_000   // bytes of updates in one gossip message: with the overhead of memberlist it fits a datagram
	maxState         = 4 << 20 // bytes of state exchanged when a member joins: ten thousand nodes take half a megabyte
	maxUpdates       = 20_000  // updates in one message, and tasks whose newest update is kept
	maxName          = 128     // bytes of a member's name or of a task's key
	maxLoadReport    = 256     // bytes of a node's load report

	// maxAge caps the age in a received update and the time that its message was held, us: a day. No decision depends
	// on ages above a few minutes, and sums of capped ages cannot overflow.
	maxAge = 86_400_000_000

	// MaxDatagram is the maximum size in bytes of the body of a direct message sent by datagram, with room left for
	// the overhead of encoding and encryption.
	MaxDatagram = 1_200
	// MaxStream is the maximum size in bytes of the body of a direct message sent over a stream connection.
	MaxStream = 1 << 20
)

// Kinds of direct messages, defined in one place so that no two packages use the same.
const (
	KindLease        uint8 = iota + 1 // internal/leaseservice: requests for leases and votes
	KindLeaseQuery                    // internal/leaseservice: state of voters, for operators
	KindVersionAudit                  // internal/versionaudit
	KindRollout                       // internal/rolloutservice
)

// metadata is what a member announces about itself through memberlist.
type metadata struct {
	_           struct{} `cbor:",toarray"`
	Version     int
	Cluster     string
	Incarnation uint64
	Weight      float64
	Leaving     bool // it leaves gracefully and must not be retried
}

// updateMessage is a gossip message with updates of one origin. Each relaying instance adds to Held the time for which
// it kept the message, so that clocks of different machines are never compared.
type updateMessage struct {
	_           struct{} `cbor:",toarray"`
	Version     int
	Origin      string
	Incarnation uint64
	Number      uint64 // sequence number among the messages of the origin's process
	Held        int64  // us since the origin created the message
	Updates     cbor.RawMessage
}

// wireUpdate is the encoded form of assignment.Update.
type wireUpdate struct {
	_            struct{} `cbor:",toarray"`
	Key          string
	Owner        string // empty if it is the message's origin
	Term         uint64
	Age          int64 // us when the message was created
	NodeStarted  int64
	Unresponsive bool
	Position     int64
	PrimaryHint  int8
	LoadReport   string // not read by any instance, but part of version 1
}

// directMessage is a message from one member to another; the packages that use a kind define its body. Its first
// element is a number, where a packet of gossip messages has a byte string: an instance of an earlier version cannot
// decode it, drops it and counts it as unreadable.
type directMessage struct {
	_           struct{} `cbor:",toarray"`
	Version     int
	From        string
	Incarnation uint64
	Kind        uint8
	Body        []byte
}

// joinState is the state that two members exchange when one joins the other: records of members, and the newest
// updates.
type joinState struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Members []memberRecord
	Updates []wireUpdate
}

// memberRecord holds a member's number of rejoins (assignment.Table.Rejoins) and its newest known incarnation.
type memberRecord struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Rejoins     int
}

var decoder = codec.StrictDecoder(8, maxUpdates, 16)

func encode(v any) []byte { return codec.Encode(v) }

func toWire(u assignment.Update) wireUpdate {
	return wireUpdate{
		Key:          u.Key,
		Owner:        u.Owner,
		Term:         u.Term,
		Age:          u.Age,
		NodeStarted:  u.NodeStarted,
		Unresponsive: u.Unresponsive,
		Position:     u.Position,
		PrimaryHint:  u.PrimaryHint,
		LoadReport:   u.LoadReport,
	}
}

// fromWire validates an update and converts it; held (us) is added to its age. Both are capped at maxAge.
func fromWire(w wireUpdate, origin string, held int64) (assignment.Update, error) {
	switch {
	case w.Key == "", len(w.Key) > maxName, len(w.Owner) > maxName, len(w.LoadReport) > maxLoadReport:
		return assignment.Update{}, ErrOutOfBounds
	case w.Age < 0, held < 0, w.PrimaryHint < -1, w.PrimaryHint > 1, w.Position < 0:
		return assignment.Update{}, ErrOutOfBounds
	}
	owner := w.Owner
	if owner == "" {
		owner = origin
	}
	return assignment.Update{
		Key:          w.Key,
		Owner:        owner,
		Term:         w.Term,
		Age:          min(w.Age, maxAge) + min(held, maxAge),
		NodeStarted:  w.NodeStarted,
		Unresponsive: w.Unresponsive,
		Position:     w.Position,
		PrimaryHint:  w.PrimaryHint,
		LoadReport:   w.LoadReport,
	}, nil
}

// packUpdates encodes an origin's updates as contents of messages that each fit a datagram. A load report over
// maxLoadReport is omitted.
func packUpdates(origin string, updates []assignment.Update) [][]byte {
	var packed [][]byte
	var parts [][]byte
	size := 0
	flush := func() {
		if len(parts) > 0 {
			packed = append(packed, encodeArray(parts))
		}
		parts = nil
		size = 0
	}
	for _, update := range updates {
		if update.Owner == origin {
			update.Owner = ""
		}
		if len(update.LoadReport) > maxLoadReport {
			update.LoadReport = ""
		}
		encoded := encode(toWire(update))
		if size+len(encoded) > maxUpdateMessage {
			flush()
		}
		parts = append(parts, encoded)
		size += len(encoded)
	}
	flush()
	return packed
}

// encodeArray returns a CBOR array of encoded elements, with a length field of two bytes.
func encodeArray(elements [][]byte) []byte {
	raw := []byte{0x99, byte(len(elements) >> 8), byte(len(elements))}
	for _, element := range elements {
		raw = append(raw, element...)
	}
	return raw
}

// unpackUpdates decodes all updates of a message; if one is invalid, it returns only an error.
func unpackUpdates(m *updateMessage) ([]assignment.Update, error) {
	var raw []wireUpdate
	if err := decoder.Unmarshal(m.Updates, &raw); err != nil {
		return nil, err
	}
	return fromWireAll(raw, m.Origin, m.Held)
}

// fromWireAll validates and converts all updates; if one is invalid, it returns only an error.
func fromWireAll(raw []wireUpdate, origin string, held int64) ([]assignment.Update, error) {
	updates := make([]assignment.Update, 0, len(raw))
	for _, encoded := range raw {
		update, err := fromWire(encoded, origin, held)
		if err != nil {
			return nil, err
		}
		updates = append(updates, update)
	}
	return updates, nil
}

// decodeMetadata decodes the metadata of a member. The error is ErrMetadata.
func decodeMetadata(raw []byte) (metadata, error) {
	var m metadata
	if err := decoder.Unmarshal(raw, &m); err != nil {
		return m, ErrMetadata
	}
	if !(m.Weight > 0 && m.Weight <= 1000) { // also rejects NaN
		return m, ErrMetadata
	}
	return m, nil
}

// decodeUpdateMessage decodes a gossip message except for its updates. The version is decoded first, since later
// versions may have other fields.
func decodeUpdateMessage(raw []byte) (updateMessage, error) {
	var m updateMessage
	if len(raw) > 4*maxUpdateMessage {
		return m, ErrOutOfBounds
	}
	var elements []cbor.RawMessage
	if err := decoder.Unmarshal(raw, &elements); err != nil || len(elements) == 0 {
		return m, ErrOutOfBounds
	}
	receivedVersion := 0
	if decoder.Unmarshal(elements[0], &receivedVersion) != nil || receivedVersion != version {
		return m, ErrVersion
	}
	if err := decoder.Unmarshal(raw, &m); err != nil {
		return m, err
	}
	if m.Origin == "" || len(m.Origin) > maxName || m.Held < 0 {
		return m, ErrOutOfBounds
	}
	m.Held = min(m.Held, maxAge) // it still grows while the message is relayed
	return m, nil
}

// isDirect distinguishes a direct message from a packet of gossip messages: it is an array whose first element is a
// number.
func isDirect(raw []byte) bool {
	const array, number = 4, 0 // CBOR major types, in the upper three bits
	return len(raw) > 1 && raw[0]>>5 == array && raw[1]>>5 == number
}

// decodeDirectMessage decodes and validates a direct message.
func decodeDirectMessage(raw []byte) (directMessage, error) {
	var m directMessage
	if err := decoder.Unmarshal(raw, &m); err != nil {
		return m, err
	}
	if m.Version != version {
		return m, ErrVersion
	}
	if m.From == "" || len(m.From) > maxName || len(m.Body) > MaxStream {
		return m, ErrOutOfBounds
	}
	return m, nil
}
