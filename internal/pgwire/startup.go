package pgwire

import "encoding/binary"

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

// The codes of first messages; the startups' are protocol versions, the major one in the upper half.
const (
	majorVersion     = 3
	codeStartup      = majorVersion << 16
	codeSSLRequest   = 80877103
	codeGSSRequest   = 80877104
	codeCancel       = 80877102
	cancelBodyLength = 12
)

// DecodeOpening reads the first message's code.
func DecodeOpening(f Frame) Opening {
	if len(f.Body) < 4 {
		return OpenUnknown
	}
	code := binary.BigEndian.Uint32(f.Body)
	switch {
	case code == codeSSLRequest || code == codeGSSRequest:
		return OpenEncrypted
	case code == codeCancel:
		return OpenCancel
	case code == codeStartup:
		return OpenStartup
	case code>>16 == majorVersion:
		return OpenStartupNewer
	}
	return OpenUnknown
}

// DecodeCancel reads which connection's command is to be cancelled, by the key that its welcome gave.
func DecodeCancel(f Frame) (process, secret uint32, ok bool) {
	if len(f.Body) != cancelBodyLength {
		return 0, 0, false
	}
	return binary.BigEndian.Uint32(f.Body[4:]), binary.BigEndian.Uint32(f.Body[8:]), true
}

// AppendStartup encodes what opens a connection to a node.
func AppendStartup(dst []byte, user, database string) []byte {
	body := binary.BigEndian.AppendUint32(nil, codeStartup)
	for _, one := range []string{"user", user, "database", database, ""} {
		body = appendText(body, one)
	}
	return Frame{0, body}.Append(dst)
}

// welcomeParameters are told to every client, as ParameterStatus.
var welcomeParameters = [...][2]string{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"standard_conforming_strings", "on"},
}

// AppendWelcome encodes the answer to a startup, with the key by which the connection's commands are cancelled. newer
// reports that the client asked for a later minor version.
func AppendWelcome(dst []byte, newer bool, process, secret uint32) []byte {
	if newer { // NegotiateProtocolVersion: minor 0, and no option is known
		dst = Frame{'v', make([]byte, 8)}.Append(dst)
	}
	dst = Frame{'R', make([]byte, 4)}.Append(dst) // AuthenticationOk
	for _, parameter := range welcomeParameters {
		body := appendText(nil, parameter[0])
		body = appendText(body, parameter[1])
		dst = Frame{'S', body}.Append(dst)
	}
	key := binary.BigEndian.AppendUint32(nil, process)
	key = binary.BigEndian.AppendUint32(key, secret)
	dst = Frame{'K', key}.Append(dst) // BackendKeyData
	return AppendReady(dst)
}

// StartupReply collects what a node sends back for a startup.
type StartupReply struct {
	Code    string // of the node's ErrorResponse, "" for none
	allowed bool   // AuthenticationOk has come
}

// Add adds one message; done reports that the node is ready, or has refused with Code. The error is
// ErrUnexpectedMessage.
func (r *StartupReply) Add(f Frame) (done bool, err error) {
	switch f.Type {
	case 'R':
		if len(f.Body) != 4 || binary.BigEndian.Uint32(f.Body) != 0 { // it wants more than a name
			return false, ErrUnexpectedMessage
		}
		r.allowed = true
		return false, nil
	case 'S', 'N', 'K': // parameters, notices and the key
		return false, nil
	case 'E':
		r.Code, _, err = decodeError(f)
		return true, err
	case 'Z':
		if r.allowed {
			return true, nil
		}
	}
	return false, ErrUnexpectedMessage
}
