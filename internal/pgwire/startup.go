package pgwire

import "encoding/binary"

// StartupPacket is the kind of a connection's first message.
type StartupPacket uint8

// The kinds of first messages. After a refused request for encryption a client may send a startup message.
const (
	UnknownPacket StartupPacket = iota
	StartupMessage
	StartupMessageNewer // of a later minor version, which is negotiated down
	EncryptionRequest   // SSLRequest or GSSENCRequest
	CancelRequest
)

// The codes of first messages. A startup message has the protocol version as its code, with the major version in the
// upper half.
const (
	majorVersion     = 3
	codeStartup      = majorVersion << 16
	codeSSLRequest   = 80877103
	codeGSSRequest   = 80877104
	codeCancel       = 80877102
	cancelBodyLength = 12
)

// DecodeStartupPacket returns the kind of a first message.
func DecodeStartupPacket(f Frame) StartupPacket {
	if len(f.Body) < 4 {
		return UnknownPacket
	}
	code := binary.BigEndian.Uint32(f.Body)
	switch {
	case code == codeSSLRequest || code == codeGSSRequest:
		return EncryptionRequest
	case code == codeCancel:
		return CancelRequest
	case code == codeStartup:
		return StartupMessage
	case code>>16 == majorVersion:
		return StartupMessageNewer
	}
	return UnknownPacket
}

// DecodeCancel returns the key of a CancelRequest, which identifies the connection whose command is to be cancelled.
// The connection received it in BackendKeyData.
func DecodeCancel(f Frame) (process, secret uint32, ok bool) {
	if len(f.Body) != cancelBodyLength {
		return 0, 0, false
	}
	return binary.BigEndian.Uint32(f.Body[4:]), binary.BigEndian.Uint32(f.Body[8:]), true
}

// AppendStartup encodes the startup message of a connection to a node.
func AppendStartup(dst []byte, user, database string) []byte {
	body := binary.BigEndian.AppendUint32(nil, codeStartup)
	for _, text := range []string{"user", user, "database", database, ""} {
		body = appendCString(body, text)
	}
	return Frame{0, body}.Append(dst)
}

// serverParameters are sent to every client as ParameterStatus.
var serverParameters = [...][2]string{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"standard_conforming_strings", "on"},
}

// AppendStartupResponse encodes the response to a startup message, with the key by which the connection's commands are
// cancelled. newer is set if the client requested a later minor version.
func AppendStartupResponse(dst []byte, newer bool, process, secret uint32) []byte {
	if newer { // NegotiateProtocolVersion: minor version 0, no unrecognized options
		dst = Frame{'v', make([]byte, 8)}.Append(dst)
	}
	dst = Frame{'R', make([]byte, 4)}.Append(dst) // AuthenticationOk
	for _, parameter := range serverParameters {
		body := appendCString(nil, parameter[0])
		body = appendCString(body, parameter[1])
		dst = Frame{'S', body}.Append(dst)
	}
	key := binary.BigEndian.AppendUint32(nil, process)
	key = binary.BigEndian.AppendUint32(key, secret)
	dst = Frame{'K', key}.Append(dst) // BackendKeyData
	return AppendReadyForQuery(dst)
}

// StartupReply collects a node's messages in reply to a startup message.
type StartupReply struct {
	Code          string // of the node's ErrorResponse, "" for none
	authenticated bool   // AuthenticationOk has arrived
}

// Add adds one message; done reports that the node is ready, or has refused the connection with Code. The error is
// ErrUnexpectedMessage.
func (r *StartupReply) Add(f Frame) (done bool, err error) {
	switch f.Type {
	case 'R':
		if len(f.Body) != 4 || binary.BigEndian.Uint32(f.Body) != 0 { // the node requests authentication
			return false, ErrUnexpectedMessage
		}
		r.authenticated = true
		return false, nil
	case 'S', 'N', 'K': // ParameterStatus, NoticeResponse, BackendKeyData
		return false, nil
	case 'E':
		r.Code, _, err = decodeError(f)
		return true, err
	case 'Z':
		if r.authenticated {
			return true, nil
		}
	}
	return false, ErrUnexpectedMessage
}
