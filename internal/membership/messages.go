package membership

import (
	"github.com/fxamacker/cbor/v2"

	"cairntiller/internal/assignment"
	"cairntiller/internal/codec"
)

// version is the version of the messages, which are CBOR arrays (RFC 8949) described in docs/assignment.md. Raise it with
// any change that older instances cannot read; members of different versions keep apart.
const version = 1

// Bounds on what is sent and taken.
const (
	maxUpdateMessage = 1_000   // bytes of updates in one gossip message: it fits a datagram with what the library adds
	maxState         = 4 << 20 // bytes of state handed over when a member joins: ten thousand nodes take half a megabyte
	maxUpdates       = 20_000  // updates in one message, and tasks whose newest update is kept
	maxName          = 128     // bytes of a member's name or of a task's key
	maxLoadReport    = 256     // bytes of a node's load report

	// maxAge bounds what counts of an age that another member tells, and of the time that its message was held, us: a day.
	// Nothing that decides by an age asks for more than minutes, and sums of bounded ages can't overflow.
	maxAge = 86_400_000_000

	// MaxDatagram is how many bytes the body of a direct message may have that goes by datagram: with what is put around
	// it, it fits one.
	MaxDatagram = 1_200
	// MaxStream is how many bytes the body of a direct message may have that goes over a connection.
	MaxStream = 1 << 20
)

// The kinds of direct messages, in one place so that no two users take the same.
const (
	KindLease        uint8 = iota + 1 // internal/leaseservice: requests for leases and votes
	KindLeaseQuery                    // internal/leaseservice: what voters know, for operators
	KindVersionAudit                  // internal/versionaudit
	KindRollout                       // internal/rolloutservice
)

// metadata is what a member says of itself with its membership.
type metadata struct {
	_           struct{} `cbor:",toarray"`
	Version     int
	Cluster     string
	Incarnation uint64
	Weight      float64
	Leaving     bool // it leaves in order: nobody looks for it
}

// updateMessage is one gossip message: updates of one origin. Held grows on the way by how long each instance kept it, so
// that no clock of another machine is ever compared.
type updateMessage struct {
	_           struct{} `cbor:",toarray"`
	Version     int
	Origin      string
	Incarnation uint64
	Number      uint64 // counts the origin's messages
	Held        int64  // us since the origin made it
	Updates     cbor.RawMessage
}

// wireUpdate is assignment.Update as it is sent.
type wireUpdate struct {
	_            struct{} `cbor:",toarray"`
	Key          string
	Owner        string // empty if it is the message's origin
	Term         uint64
	Age          int64 // us when the message was made
	NodeStarted  int64
	Unresponsive bool
	Position     int64
	PrimaryHint  int8
	LoadReport   string // not read; the form of version 1 has it
}

// directMessage is one message from one member to another, of a kind that its users agree on. Its first element is a
// number, where a packet of gossip messages has bytes: an instance of an earlier version can't read it, drops it and
// counts it.
type directMessage struct {
	_           struct{} `cbor:",toarray"`
	Version     int
	From        string
	Incarnation uint64
	Kind        uint8
	Body        []byte
}

// joinState is what two members hand each other when one of them joins: what each knows of others, and the newest updates.
type joinState struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Members []memberRecord
	Updates []wireUpdate
}

// memberRecord is how often a member came back (assignment.Table.Rejoins), and the newest process of it that was heard of.
type memberRecord struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Rejoins     int
}

var decoding = codec.StrictDecoder(8, maxUpdates, 16)

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

// fromWire checks an update and makes an assignment.Update of it; held (us) is added to its age. Each counts up to maxAge.
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

// packUpdates encodes an origin's updates as the contents of messages that each fit a datagram. A load report that is too
// long is left out.
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

// encodeArray makes one array of encoded elements, with a length of two bytes.
func encodeArray(elements [][]byte) []byte {
	raw := []byte{0x99, byte(len(elements) >> 8), byte(len(elements))}
	for _, one := range elements {
		raw = append(raw, one...)
	}
	return raw
}

// unpackUpdates decodes a message's updates, all or none.
func unpackUpdates(m *updateMessage) ([]assignment.Update, error) {
	var raw []wireUpdate
	if err := decoding.Unmarshal(m.Updates, &raw); err != nil {
		return nil, err
	}
	return fromWireAll(raw, m.Origin, m.Held)
}

// fromWireAll checks updates and converts them, all or none.
func fromWireAll(raw []wireUpdate, origin string, held int64) ([]assignment.Update, error) {
	updates := make([]assignment.Update, 0, len(raw))
	for _, one := range raw {
		update, err := fromWire(one, origin, held)
		if err != nil {
			return nil, err
		}
		updates = append(updates, update)
	}
	return updates, nil
}

// decodeMetadata decodes what a member says of itself. The error is ErrMetadata.
func decodeMetadata(raw []byte) (metadata, error) {
	var m metadata
	if err := decoding.Unmarshal(raw, &m); err != nil {
		return m, ErrMetadata
	}
	if !(m.Weight > 0 && m.Weight <= 1000) { // NaN too
		return m, ErrMetadata
	}
	return m, nil
}

// decodeUpdateMessage decodes a gossip message but not its updates. The version is read first: a later one may have other
// fields.
func decodeUpdateMessage(raw []byte) (updateMessage, error) {
	var m updateMessage
	if len(raw) > 4*maxUpdateMessage {
		return m, ErrOutOfBounds
	}
	var elements []cbor.RawMessage
	if err := decoding.Unmarshal(raw, &elements); err != nil || len(elements) == 0 {
		return m, ErrOutOfBounds
	}
	itsVersion := 0
	if decoding.Unmarshal(elements[0], &itsVersion) != nil || itsVersion != version {
		return m, ErrVersion
	}
	if err := decoding.Unmarshal(raw, &m); err != nil {
		return m, err
	}
	if m.Origin == "" || len(m.Origin) > maxName || m.Held < 0 {
		return m, ErrOutOfBounds
	}
	m.Held = min(m.Held, maxAge) // it grows further while it is passed on
	return m, nil
}

// isDirect tells a direct message from a packet of gossip messages: an array whose first element is a number.
func isDirect(raw []byte) bool {
	const array, number = 4, 0 // CBOR's major types, in the upper three bits
	return len(raw) > 1 && raw[0]>>5 == array && raw[1]>>5 == number
}

// decodeDirectMessage decodes a direct message.
func decodeDirectMessage(raw []byte) (directMessage, error) {
	var m directMessage
	if err := decoding.Unmarshal(raw, &m); err != nil {
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
