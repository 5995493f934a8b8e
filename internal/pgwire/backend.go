package pgwire

import (
	"encoding/binary"
	"errors"

	"cairntiller/internal/decimal"
)

// ErrTurn tells that a node said what does not follow: nothing more of its connection can be believed.
var ErrUnexpectedMessage = errors.New("message out of turn")

// The words of our protocol page: how the router signs on, and under which names a node tells of itself.
const (
	User, Database = "portal", "crm"
	statusPosition = "applied_ms"
	statusRole     = "role"
	rolePrimary    = "primary"
	roleReplica    = "replica"
	statusLoad     = "load"
)

// The figures of a node's load report: its replicated position, and a number that is highest at a primary.
const (
	LoadPosition = "x0"
	LoadPrimary  = "x1"
)

// NodeReport is what a node tells of itself beside an answer.
type NodeReport struct {
	Primary, Replica bool
	Position         int64  // us in Unix time, 0 for none
	Load             string // its report, as it stands on the wire
}

// Reply collects what a node sends back for one query, up to ReadyForQuery.
type Reply struct {
	NodeReport
	Code  string // of its ErrorResponse, "" for none
	Fatal bool   // the connection ends with it
	Value []byte // RowDescription, DataRow and CommandComplete as they came
	First []byte // the row's one column
	last  byte
}

// Whole tells whether the row is complete, though ReadyForQuery may be still to come.
func (r *Reply) Complete() bool { return r.last == 'C' }

// Begun tells whether any part of an answer has come.
func (r *Reply) Begun() bool { return r.last != 0 }

// Take adds one message; done tells that the node is ready for the next query.
func (r *Reply) Add(f Frame) (done bool, err error) {
	switch f.Type {
	case 'S':
		r.status(f)
		return false, nil
	case 'N', 'K':
		return false, nil
	case 'Z':
		if r.last != 'C' && r.last != 'E' || len(f.Body) != 1 {
			return false, ErrUnexpectedMessage
		}
		return true, nil
	case 'T', 'D', 'C':
		if f.Type == 'T' && r.last != 0 || f.Type == 'D' && r.last != 'T' || f.Type == 'C' && r.last != 'D' {
			return false, ErrUnexpectedMessage
		}
		if !shaped(f) {
			return false, ErrUnexpectedMessage
		}
		if f.Type == 'D' {
			r.First = append(r.First, f.Body[6:]...)
		}
		r.Value = f.Append(r.Value)
	case 'E':
		if r.last == 'C' || r.last == 'E' { // it may break off a row, not follow a whole one
			return false, ErrUnexpectedMessage
		}
		if r.Code, r.Fatal, err = decodeError(f); err != nil {
			return false, err
		}
	default:
		return false, ErrUnexpectedMessage
	}
	r.last = f.Type
	return false, nil
}

// shaped tells whether a message of a row is made as it must be, to its last byte: one column, one text.
func shaped(f Frame) bool {
	b := f.Body
	if f.Type == 'C' {
		tag, rest, ok := text(b)
		return ok && tag != "" && len(rest) == 0
	}
	if len(b) < 2 || binary.BigEndian.Uint16(b) != 1 {
		return false
	}
	if f.Type == 'D' {
		return len(b) >= 6 && int64(len(b)-6) == int64(int32(binary.BigEndian.Uint32(b[2:])))
	}
	_, rest, ok := text(b[2:])
	return ok && len(rest) == 18 // table, column, type, size, modifier, format
}

// status takes what a node tells of itself; what can't be read is left out, for the answer beside it stands.
func (r *Reply) status(f Frame) {
	name, rest, ok := text(f.Body)
	value, _, whole := text(rest)
	if !ok || !whole {
		return
	}
	switch name {
	case statusPosition:
		if pos, err := decimal.Micros(value); err == nil {
			r.Position = pos
		}
	case statusRole:
		r.Primary, r.Replica = value == rolePrimary, value == roleReplica
	case statusLoad:
		r.Load = value
	}
}

// Greeting collects what a node sends back for a startup; done tells that it is ready.
type StartupReply struct {
	Code    string
	allowed bool
}

// Take adds one message.
func (g *StartupReply) Add(f Frame) (done bool, err error) {
	switch f.Type {
	case 'R':
		if len(f.Body) != 4 || binary.BigEndian.Uint32(f.Body) != 0 { // it wants more than a name
			return false, ErrUnexpectedMessage
		}
		g.allowed = true
	case 'S', 'N', 'K':
	case 'E':
		g.Code, _, err = decodeError(f)
		return true, err
	case 'Z':
		if !g.allowed {
			return false, ErrUnexpectedMessage
		}
		return true, nil
	default:
		return false, ErrUnexpectedMessage
	}
	return false, nil
}

func decodeError(f Frame) (code string, fatal bool, err error) {
	for b := f.Body; len(b) > 0 && b[0] != 0; {
		value, rest, ok := text(b[1:])
		if !ok {
			return "", false, ErrUnexpectedMessage
		}
		switch b[0] {
		case 'C':
			code = value
		case 'S', 'V':
			fatal = fatal || value == "FATAL" || value == "PANIC"
		}
		b = rest
	}
	if code == "" {
		return "", false, ErrUnexpectedMessage
	}
	return code, fatal, nil
}
