package pgwire

import (
	"encoding/binary"
	"strconv"
)

// SQLSTATEs that this router gives or is given.
const (
	CodeRejected    = "53300" // too_many_connections: nothing ran, come again
	CodeNotReady    = "57P03" // cannot_connect_now
	CodeIdle        = "57P05" // idle_session_timeout
	CodeFailed      = "58000" // system_error
	CodeProtocol    = "08P01" // protocol_violation
	CodeValue       = "22023" // invalid_parameter_value
	CodeUnsupported = "0A000" // feature_not_supported
	CodeCanceled    = "57014" // query_canceled
	CodeNoPrimary   = "25006" // read_only_sql_transaction
	CodeTooOld      = "72000" // snapshot_too_old
)

// Opening is what a connection's first message asks for.
type Opening uint8

// The openings; a client may ask for encryption first and then start up after all.
const (
	OpenUnknown Opening = iota
	OpenStartup
	OpenStartupNewer // a later minor version, which is negotiated down
	OpenEncrypted
	OpenCancel
)

// DecodeOpening reads the first message's code.
func DecodeOpening(f Frame) Opening {
	if len(f.Body) < 4 {
		return OpenUnknown
	}
	switch code := binary.BigEndian.Uint32(f.Body); {
	case code == 80877103 || code == 80877104: // SSLRequest, GSSENCRequest
		return OpenEncrypted
	case code == 80877102:
		return OpenCancel
	case code == 3<<16:
		return OpenStartup
	case code>>16 == 3:
		return OpenStartupNewer
	}
	return OpenUnknown
}

// DecodeCancel reads which connection's command is to be cancelled, by the key that its welcome told.
func DecodeCancel(f Frame) (process, secret uint32, ok bool) {
	if len(f.Body) != 12 {
		return 0, 0, false
	}
	return binary.BigEndian.Uint32(f.Body[4:]), binary.BigEndian.Uint32(f.Body[8:]), true
}

// DecodeQuery reads the statement of a simple query.
func DecodeQuery(f Frame) (statement []byte, ok bool) {
	n := len(f.Body) - 1
	if n < 0 || f.Body[n] != 0 {
		return nil, false
	}
	for _, c := range f.Body[:n] {
		if c == 0 {
			return nil, false
		}
	}
	return f.Body[:n], true
}

// AppendStartup encodes what opens a connection to a node.
func AppendStartup(dst []byte, user, database string) []byte {
	body := binary.BigEndian.AppendUint32(nil, 3<<16)
	for _, one := range []string{"user", user, "database", database, ""} {
		body = append(append(body, one...), 0)
	}
	return Frame{0, body}.Append(dst)
}

// AppendQuery encodes a simple query.
func AppendQuery(dst []byte, statement string) []byte {
	return Frame{'Q', append([]byte(statement), 0)}.Append(dst)
}

// AppendWelcome encodes the answer to a startup, with the key by which the connection's commands are cancelled.
func AppendWelcome(dst []byte, newer bool, process, secret uint32) []byte {
	if newer { // NegotiateProtocolVersion: minor 0, and no option is known
		dst = Frame{'v', make([]byte, 8)}.Append(dst)
	}
	dst = Frame{'R', make([]byte, 4)}.Append(dst)
	for _, one := range [...]string{"server_version\x0015.0\x00", "server_encoding\x00UTF8\x00",
		"client_encoding\x00UTF8\x00", "standard_conforming_strings\x00on\x00"} {
		dst = Frame{'S', []byte(one)}.Append(dst)
	}
	key := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, process), secret)
	return AppendReady(Frame{'K', key}.Append(dst))
}

// AppendReady encodes ReadyForQuery.
func AppendReady(dst []byte) []byte { return Frame{'Z', []byte{'I'}}.Append(dst) }

// AppendEmpty encodes the answer to an empty query.
func AppendEmpty(dst []byte) []byte { return AppendReady(Frame{'I', nil}.Append(dst)) }

// AppendError encodes an ErrorResponse; after one that is not fatal the stream goes on. A wait above 0, in
// microseconds, tells the client when to come again.
func AppendError(dst []byte, fatal bool, code, message string, wait int64) []byte {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	var body []byte
	for _, one := range [...]string{"S" + severity, "V" + severity, "C" + code, "M" + message} {
		body = append(append(body, one...), 0)
	}
	if wait > 0 {
		body = append(strconv.AppendInt(append(body, 'D'), (wait+999)/1000, 10), 0)
	}
	dst = Frame{'E', append(body, 0)}.Append(dst)
	if fatal {
		return dst
	}
	return AppendReady(dst)
}
