package rolloutservice

import (
	"encoding/json"
	"errors"
	"slices"

	"github.com/klauspost/compress/s2"

	"cairntiller/internal/codec"
	"cairntiller/internal/rollout"
)

// Messages between members are CBOR (RFC 8949) compressed with s2; docs/releases.md describes them. The wire types hold
// the names and the order of fields of this format, and nothing else in the program uses them: a field of
// internal/rollout may be renamed, its counterpart here may not. A change that an earlier version can't read needs a
// new formatVersion; a member that can't read a message drops it.
const (
	formatVersion   = 1
	maxUnpackedSize = 4 << 20 // bytes of a message: a record of some thousands of units, and a limit on the memory for a malformed one
)

// messageKind is the kind of a wireMessage. The numbers are sent.
type messageKind uint8

const (
	kindReport messageKind = iota + 1
	kindReportRequest
	kindStatement
	kindReadRequest
	kindReadAnswer
	kindWriteRequest
	kindWriteAnswer
	kindDrainQuery
	kindCommand
	kindCommandReply
)

// wireMessage is the wire format of every message; fields that its kind does not use stay empty.
type wireMessage struct {
	Version   int
	Kind      messageKind
	Term, Seq uint64         `cbor:",omitempty"`
	Born      uint64         `cbor:",omitempty"` // writeRequest.incarnation
	OK        bool           `cbor:",omitempty"` // accepted; in a statement: fromVoter
	Report    *wireReport    `cbor:",omitempty"`
	Statement *wireStatement `cbor:",omitempty"`
	Kept      *wireKept      `cbor:",omitempty"` // readAnswer.state
	Record    *wireRecord    `cbor:",omitempty"`
	Word      *wireCommand   `cbor:",omitempty"` // commandMessage.command
	Token     string         `cbor:",omitempty"`
	Why       string         `cbor:",omitempty"` // commandReply.reason
}

var (
	decoding = codec.StrictDecoder(10, 2*rollout.MaxUnits, 64)

	// ErrFormatVersion is the error for a message in a format that this version of the program does not know.
	ErrFormatVersion = errors.New("unknown message format version")
	// ErrMalformed is the error for a message that no member sends.
	ErrMalformed = errors.New("malformed message")
)

// encode encodes and compresses a message.
func encode(m message) []byte {
	w := m.wire()
	w.Version = formatVersion
	return s2.Encode(nil, codec.Encode(w))
}

// decode decodes a message, completely or not at all. Its errors are ErrFormatVersion, ErrMalformed, and those of CBOR
// and s2.
func decode(packed []byte) (message, error) {
	size, err := s2.DecodedLen(packed)
	if err != nil || size > maxUnpackedSize {
		return nil, ErrMalformed
	}
	raw, err := s2.Decode(nil, packed)
	if err != nil {
		return nil, err
	}
	var w wireMessage
	if err := decoding.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	if w.Version != formatVersion {
		return nil, ErrFormatVersion
	}
	if err := w.check(); err != nil {
		return nil, err
	}
	return w.message()
}

// check returns ErrMalformed for a record that no member sends, regardless of the message's kind.
func (w *wireMessage) check() error {
	if err := w.Record.check(); err != nil {
		return err
	}
	if w.Kept != nil {
		return w.Kept.Record.check()
	}
	return nil
}

func (w *wireRecord) check() error {
	if w == nil {
		return nil
	}
	for _, p := range w.Plans {
		if p == nil || len(p.Units) != len(p.Plan.Units) {
			return ErrMalformed
		}
		plan := p.Plan.plan()
		if plan.Validate() != nil || !rollout.State(p.State).Valid() || p.Wave < 0 || p.Wave > len(p.Plan.Waves) {
			return ErrMalformed
		}
		if slices.ContainsFunc(p.Units, func(unit wireUnit) bool { return !rollout.Phase(unit.Phase).Valid() }) {
			return ErrMalformed
		}
	}
	return nil
}

// message returns the message that w encodes.
func (w *wireMessage) message() (message, error) {
	switch w.Kind {
	case kindReport:
		if w.Report == nil {
			return nil, ErrMalformed
		}
		return reportMessage{w.Report.report()}, nil
	case kindReportRequest:
		return reportRequest{}, nil
	case kindStatement:
		if w.Statement == nil {
			return nil, ErrMalformed
		}
		return statementMessage{w.Statement.statement(), w.OK}, nil
	case kindReadRequest:
		return readRequest{w.Term}, nil
	case kindReadAnswer:
		if w.Kept == nil {
			return nil, ErrMalformed
		}
		return readAnswer{w.Term, w.OK, w.Kept.voterState()}, nil
	case kindWriteRequest:
		if w.Record == nil {
			return nil, ErrMalformed
		}
		return writeRequest{w.Born, w.Record.record()}, nil
	case kindWriteAnswer:
		return writeAnswer{w.Term, w.Seq, w.OK}, nil
	case kindDrainQuery:
		return drainQuery{}, nil
	case kindCommand:
		if w.Word == nil {
			return nil, ErrMalformed
		}
		return commandMessage{w.Word.command()}, nil
	case kindCommandReply:
		return commandReply{w.Token, w.OK, w.Why}, nil
	}
	return nil, ErrMalformed
}

func (m reportMessage) wire() wireMessage {
	return wireMessage{Kind: kindReport, Report: newWireReport(m.report)}
}

func (reportRequest) wire() wireMessage { return wireMessage{Kind: kindReportRequest} }

func (m statementMessage) wire() wireMessage {
	return wireMessage{Kind: kindStatement, Statement: newWireStatement(m.statement), OK: m.fromVoter}
}

func (m readRequest) wire() wireMessage { return wireMessage{Kind: kindReadRequest, Term: m.term} }

func (m readAnswer) wire() wireMessage {
	return wireMessage{Kind: kindReadAnswer, Term: m.term, OK: m.accepted, Kept: newWireKept(m.state)}
}

func (m writeRequest) wire() wireMessage {
	return wireMessage{Kind: kindWriteRequest, Born: m.incarnation, Record: newWireRecord(m.record)}
}

func (m writeAnswer) wire() wireMessage {
	return wireMessage{Kind: kindWriteAnswer, Term: m.term, Seq: m.seq, OK: m.accepted}
}

func (drainQuery) wire() wireMessage { return wireMessage{Kind: kindDrainQuery} }

func (m commandMessage) wire() wireMessage {
	return wireMessage{Kind: kindCommand, Word: newWireCommand(m.command)}
}

func (m commandReply) wire() wireMessage {
	return wireMessage{Kind: kindCommandReply, Token: m.token, OK: m.accepted, Why: m.reason}
}

// EncodeCommand returns an operator's command in the form of the admin socket's "fleet-word": JSON with the names of
// wireCommand.
func EncodeCommand(c rollout.Command) (string, error) {
	text, err := json.Marshal(newWireCommand(&c))
	return string(text), err
}

// decodeCommand is the inverse of EncodeCommand.
func decodeCommand(text string) (*rollout.Command, error) {
	var w wireCommand
	if err := json.Unmarshal([]byte(text), &w); err != nil {
		return nil, err
	}
	return w.command(), nil
}
