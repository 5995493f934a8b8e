package pgwire

import (
	"encoding/binary"
	"errors"

	"cairntiller/internal/decimal"
)

// ErrUnexpectedMessage is the error of a message that may not follow those before it: the connection can't be trusted.
var ErrUnexpectedMessage = errors.New("message out of turn")

// NodeReport is what a node tells of itself beside an answer.
type NodeReport struct {
	Primary, Replica bool
	Position         int64  // us in Unix time, 0 for none
	Load             string // its load report, as it stands on the wire
}

// Reply collects what a node sends back for one query, up to ReadyForQuery: a row of one column (RowDescription,
// DataRow, CommandComplete), or an error, which may break off a row.
type Reply struct {
	NodeReport
	Code        string // of its ErrorResponse, "" for none
	Fatal       bool   // the connection ends with it
	RowMessages []byte // the row's messages (RowDescription, DataRow, CommandComplete) as they came
	Column      []byte // the row's one column, without its length
	last        byte   // type of the last message of the row or error, 0 for none
}

// Complete reports whether the row is complete, though ReadyForQuery may be still to come.
func (r *Reply) Complete() bool { return r.last == 'C' }

// Begun reports whether any part of an answer has come.
func (r *Reply) Begun() bool { return r.last != 0 }

// Add adds one message; done reports that the node is ready for the next query. The error is ErrUnexpectedMessage.
func (r *Reply) Add(f Frame) (done bool, err error) {
	switch f.Type {
	case 'S': // ParameterStatus
		r.addStatus(f)
		return false, nil
	case 'N', 'K': // notices and the key
		return false, nil
	case 'Z':
		ended := r.last == 'C' || r.last == 'E'
		if !ended || len(f.Body) != 1 {
			return false, ErrUnexpectedMessage
		}
		return true, nil
	case 'T', 'D', 'C':
		if !r.follows(f.Type) || !wellFormed(f) {
			return false, ErrUnexpectedMessage
		}
		if f.Type == 'D' {
			r.Column = append(r.Column, f.Body[6:]...)
		}
		r.RowMessages = f.Append(r.RowMessages)
	case 'E':
		if r.last == 'C' || r.last == 'E' { // it may break off a row, not follow a complete one
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

// follows reports whether a message of a row may come now.
func (r *Reply) follows(messageType byte) bool {
	switch messageType {
	case 'T':
		return r.last == 0
	case 'D':
		return r.last == 'T'
	}
	return r.last == 'D'
}

// wellFormed reports whether a message of a row is made as it must be, to its last byte: one column, one text.
func wellFormed(f Frame) bool {
	const (
		countBytes       = 2
		valueLengthBytes = 4
		columnBytes      = 18 // table, column, type, size, modifier and format, behind the column's name
	)
	body := f.Body
	if f.Type == 'C' {
		tag, rest, ok := cutText(body)
		return ok && tag != "" && len(rest) == 0
	}
	if len(body) < countBytes || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	rest := body[countBytes:]
	if f.Type == 'D' {
		if len(rest) < valueLengthBytes {
			return false
		}
		length := int32(binary.BigEndian.Uint32(rest)) // -1 for a null, which no value here is
		return int64(len(rest)-valueLengthBytes) == int64(length)
	}
	_, rest, ok := cutText(rest)
	return ok && len(rest) == columnBytes
}

// addStatus takes what a node tells of itself. What can't be read is left out, for the answer beside it stands.
func (r *Reply) addStatus(f Frame) {
	name, rest, nameOK := cutText(f.Body)
	value, _, valueOK := cutText(rest)
	if !nameOK || !valueOK {
		return
	}
	switch name {
	case statusPosition:
		if position, err := decimal.Micros(value); err == nil {
			r.Position = position
		}
	case statusRole:
		r.Primary = value == rolePrimary
		r.Replica = value == roleReplica
	case statusLoad:
		r.Load = value
	}
}
