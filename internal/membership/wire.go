package membership

import (
	"errors"

	"github.com/fxamacker/cbor/v2"

	"cairntiller/internal/assignment"
	"cairntiller/internal/codec"
)

// The form of messages: CBOR arrays (RFC 8949), described in docs/duties.md. A change that others can't read takes
// another version, and members of another version keep apart.
const (
	version      = 1
	mostEnvelope = 1_000   // bytes of a message that is spread: it fits a datagram with what the library adds
	mostState    = 4 << 20 // bytes that a joining member is handed: ten thousand nodes take about half a megabyte
	mostWords    = 20_000  // words in it
	mostName     = 128     // bytes of a member's or a duty's name
	mostLoad     = 256     // bytes of a node's own figures

	// MostDirect is how many bytes a message to one member may have: with what is put around it, it fits a datagram.
	MaxDatagram = 1_200
	// MostLarge is how many one may have that goes over a connection.
	MaxStream = 1 << 20
)

// about is what a member says of itself with its membership.
type about struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Cluster string
	Born    uint64
	Weight  float64
	Leaving bool // it goes in order: nobody looks for it
}

// envelope is one message: words of one origin. Held grows on the way by what each instance kept it.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Origin  string
	Born    uint64
	Number  uint64
	Held    int64 // us since the origin made it
	Words   cbor.RawMessage
}

// word is assignment.Word on the wire.
type word struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Holder  string // empty where it is the envelope's origin
	Term    uint64
	Age     int64 // us when the envelope was made
	Started int64
	Silent  bool
	Pos     int64
	Lead    int8
	Load    string
}

// direct is one message from one member to another, of a kind that its users agree on. Its first element is a number
// where a packet of words has bytes: a member of an earlier build can't read it, and drops and counts it.
type direct struct {
	_       struct{} `cbor:",toarray"`
	Version int
	From    string
	Born    uint64
	Kind    uint8
	Body    []byte
}

// state is what a member hands to one that joins: what it knows of others, and the newest words.
type state struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Members []returns
	Words   []word
}

// returns is how often a member came back lately, and the process that was heard of last.
type returns struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Born  uint64
	Times int
}

// The kinds of messages to one member, in one place so that no two users take the same.
const (
	KindLease        uint8 = iota + 1 // internal/leaseservice: asks and votes
	KindLeaseQuery                    // internal/leaseservice: what voters know, for operators
	KindVersionAudit                  // internal/versionaudit
	KindRollout                       // internal/rolloutservice
)

var decoding = codec.StrictDecoder(8, mostWords, 16)

var ErrOutOfBounds = errors.New("a field out of bounds")

func encode(v any) []byte { return codec.Encode(v) }

func onWire(w assignment.Update) word {
	return word{Key: w.Key, Holder: w.Owner, Term: w.Term, Age: w.Age, Started: w.NodeStarted, Silent: w.Unresponsive, Pos: w.Position,
		Lead: w.PrimaryHint, Load: w.LoadReport}
}

// pack encodes words in envelopes that each fit a datagram.
func pack(origin string, words []assignment.Update) (packed [][]byte) {
	var parts [][]byte
	size := 0
	flush := func() {
		if len(parts) == 0 {
			return
		}
		raw := []byte{0x99, byte(len(parts) >> 8), byte(len(parts))} // an array of so many
		for _, one := range parts {
			raw = append(raw, one...)
		}
		packed = append(packed, raw)
		parts, size = nil, 0
	}
	for _, w := range words {
		if w.Owner == origin {
			w.Owner = ""
		}
		if len(w.LoadReport) > mostLoad {
			w.LoadReport = ""
		}
		one := encode(onWire(w))
		if size+len(one) > mostEnvelope {
			flush()
		}
		parts, size = append(parts, one), size+len(one)
	}
	flush()
	return packed
}

// unpack decodes an envelope's words, all or none.
func unpack(e *envelope) ([]assignment.Update, error) {
	var raw []word
	if err := decoding.Unmarshal(e.Words, &raw); err != nil {
		return nil, err
	}
	return words(raw, e.Origin, e.Held)
}

func words(raw []word, origin string, held int64) ([]assignment.Update, error) {
	all := make([]assignment.Update, 0, len(raw))
	for _, w := range raw {
		if w.Key == "" || len(w.Key) > mostName || len(w.Holder) > mostName || len(w.Load) > mostLoad || w.Age < 0 ||
			held < 0 || w.Lead < -1 || w.Lead > 1 || w.Pos < 0 {
			return nil, ErrOutOfBounds
		}
		if w.Holder == "" {
			w.Holder = origin
		}
		all = append(all, assignment.Update{Key: w.Key, Owner: w.Holder, Term: w.Term, Age: w.Age + held, NodeStarted: w.Started,
			Unresponsive: w.Silent, Position: w.Pos, PrimaryHint: w.Lead, LoadReport: w.Load})
	}
	return all, nil
}

// readAbout decodes what a member says of itself.
func readAbout(raw []byte) (a about, err error) {
	if err = decoding.Unmarshal(raw, &a); err != nil {
		return a, ErrMetadata
	}
	if !(a.Weight > 0 && a.Weight <= 1000) {
		return a, ErrMetadata
	}
	return a, nil
}

// readEnvelope decodes a message, less its words.
func readEnvelope(raw []byte) (e envelope, err error) {
	if len(raw) > 4*mostEnvelope {
		return e, ErrOutOfBounds
	}
	var only []cbor.RawMessage // the version is read first: a later one may have other fields
	if err = decoding.Unmarshal(raw, &only); err != nil || len(only) == 0 {
		return e, ErrOutOfBounds
	}
	v := 0
	if decoding.Unmarshal(only[0], &v) != nil || v != version {
		return e, ErrVersion
	}
	if err = decoding.Unmarshal(raw, &e); err != nil {
		return e, err
	}
	if e.Origin == "" || len(e.Origin) > mostName || e.Held < 0 {
		return e, ErrOutOfBounds
	}
	return e, nil
}

// isDirect tells a message to one member from a packet of words: an array whose first element is a number.
func isDirect(raw []byte) bool { return len(raw) > 1 && raw[0]>>5 == 4 && raw[1]>>5 == 0 }

// readDirect decodes a message to one member.
func readDirect(raw []byte) (d direct, err error) {
	if err = decoding.Unmarshal(raw, &d); err != nil {
		return d, err
	}
	switch {
	case d.Version != version:
		return d, ErrVersion
	case d.From == "" || len(d.From) > mostName || len(d.Body) > MaxStream:
		return d, ErrOutOfBounds
	}
	return d, nil
}

// Bytes is what words of one origin cost a member a time that it sends them, envelopes and all, before encryption;
// Sends is how often it sends each message where there are so many members. Both are for measurements.
func EncodedSize(origin string, all []assignment.Update) (n int) {
	for _, one := range pack(origin, all) {
		n += len(encode(envelope{Version: version, Origin: origin, Born: 1 << 50, Number: 1 << 20, Held: 100_000, Words: one}))
	}
	return n
}

// Sends is how often each instance sends a message.
func SendsPerMessage(members int) int { return rounds(members) * min(fanout, members-1) }
