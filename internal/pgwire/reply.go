package pgwire

import (
	"encoding/binary"
	"errors"

	"cairntiller/internal/decimal"
)

// ErrUnexpectedMessage is returned for a message that is malformed or not allowed in the present state. The connection
// can't be used any further.
var ErrUnexpectedMessage = errors.New("unexpected or malformed message")

// NodeReport is the status that a node reports along with an answer.
type NodeReport struct {
	Primary, Replica bool
	Position         int64  // Unix time in us, 0 for none
	Load             string // its load report, as received
}

// Reply collects a node's messages in reply to one query, up to ReadyForQuery: a row of one column (RowDescription,
// DataRow, CommandComplete), or an error, which may interrupt a row.
type Reply struct {
	NodeReport
	Code        string // of the ErrorResponse, "" for none
	Fatal       bool   // the error ends the connection
	RowMessages []byte // the row's messages (RowDescription, DataRow, CommandComplete), as received
	Column      []byte // the row's only column, without its length
	lastType    byte   // type of the last message of the row or error, 0 for none
}

// Complete reports whether the row is complete. ReadyForQuery may not have arrived yet.
func (r *Reply) Complete() bool { return r.lastType == 'C' }

// Started reports whether any message of the row or the error has arrived.
func (r *Reply) Started() bool { return r.lastType != 0 }

// Add adds one message; done reports that the node is ready for the next query. The error is ErrUnexpectedMessage.
func (r *Reply) Add(f Frame) (done bool, err error) {
	switch f.Type {
	case 'S': // ParameterStatus
		r.addStatus(f)
		return false, nil
	case 'N', 'K': // NoticeResponse, BackendKeyData
		return false, nil
	case 'Z':
		ended := r.lastType == 'C' || r.lastType == 'E'
		if !ended || len(f.Body) != 1 {
			return false, ErrUnexpectedMessage
		}
		return true, nil
	case 'T', 'D', 'C':
		if !r.mayFollow(f.Type) || !wellFormed(f) {
			return false, ErrUnexpectedMessage
		}
		if f.Type == 'D' {
			r.Column = append(r.Column, f.Body[6:]...)
		}
		r.RowMessages = f.Append(r.RowMessages)
	case 'E':
		if r.lastType == 'C' || r.lastType == 'E' { // an error may interrupt a row, but not follow a complete one
			return false, ErrUnexpectedMessage
		}
		if r.Code, r.Fatal, err = decodeError(f); err != nil {
			return false, err
		}
	default:
		return false, ErrUnexpectedMessage
	}
	r.lastType = f.Type
	return false, nil
}

// mayFollow reports whether a message of a row is allowed in the present state.
func (r *Reply) mayFollow(messageType byte) bool {
	switch messageType {
	case 'T':
		return r.lastType == 0
	case 'D':
		return r.lastType == 'T'
	}
	return r.lastType == 'D'
}

// wellFormed reports whether a message of a row is valid to its last byte, with exactly one column.
func wellFormed(f Frame) bool {
	const (
		countBytes       = 2
		valueLengthBytes = 4
		columnBytes      = 18 // table, column, type, size, modifier and format, after the column's name
	)
	body := f.Body
	if f.Type == 'C' {
		tag, rest, ok := cutCString(body)
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
		length := int32(binary.BigEndian.Uint32(rest)) // -1 for a null, which is not accepted
		return int64(len(rest)-valueLengthBytes) == int64(length)
	}
	_, rest, ok := cutCString(rest)
	return ok && len(rest) == columnBytes
}

// addStatus records a status that the node reports. An invalid one is ignored, because the answer is valid without it.
func (r *Reply) addStatus(f Frame) {
	name, rest, nameOK := cutCString(f.Body)
	value, _, valueOK := cutCString(rest)
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
