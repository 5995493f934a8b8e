//go:build review

package standins

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

const (
	headerLength = 5 // a type and a length, which counts itself
	lengthLength = 4
	maxMessage   = 1 << 18
)

var errMessage = errors.New("a message that the protocol does not have")

// message encodes a message of version 3 of PostgreSQL's protocol.
func message(kind byte, body string) string {
	return string(kind) + string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+lengthLength))) + body
}

// readMessage reads a message. The first one of a connection has no type.
func readMessage(from io.Reader, typed bool) (kind byte, body string, err error) {
	header := make([]byte, headerLength)
	rest := header
	if !typed {
		rest = header[1:]
	}
	if _, err := io.ReadFull(from, rest); err != nil {
		return 0, "", err
	}
	length := int(binary.BigEndian.Uint32(header[1:])) - lengthLength
	if length < 0 || length > maxMessage {
		return 0, "", errMessage
	}
	raw := make([]byte, length)
	if _, err := io.ReadFull(from, raw); err != nil {
		return 0, "", err
	}
	return header[0], string(raw), nil
}

// Ready is ReadyForQuery.
var Ready = message('Z', "I")

// welcome is the answer of a node to a startup message.
var welcome = message('R', "\x00\x00\x00\x00") + Ready

// startup is a client's startup message.
func startup() string {
	body := "\x00\x03\x00\x00user\x00portal\x00database\x00crm\x00\x00"
	return message('x', body)[1:]
}

// query is a simple query.
func query(text string) string { return message('Q', text+"\x00") }

// Row is a row of one column: RowDescription, DataRow and CommandComplete.
func Row(value, tag string) string {
	description := "\x00\x01data\x00" + "\x00\x00\x00\x00\x00\x00" + "\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"
	data := "\x00\x01" + string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))) + value
	return message('T', description) + message('D', data) + message('C', tag+"\x00")
}

// Failure is an ErrorResponse with a SQLSTATE.
func Failure(code string) string {
	return message('E', "SERROR\x00VERROR\x00C"+code+"\x00Mstand-in\x00\x00")
}

// Status is a ParameterStatus.
func Status(name, value string) string { return message('S', name+"\x00"+value+"\x00") }

// Millis is a time as the protocol writes it: Unix time in milliseconds.
func Millis(t time.Time) int64 { return t.UnixMilli() }

// Role is a node's report of its role.
func Role(primary bool) string {
	if primary {
		return Status("role", "primary")
	}
	return Status("role", "replica")
}

// Position is a node's report of its position, or of the commit of a write.
func Position(position time.Time) string {
	return Status("applied_ms", strconv.FormatInt(Millis(position), 10))
}

// Load is a node's load report along with an answer.
func Load(primary bool, position time.Time) string {
	return Status("load", loadReport(primary, position))
}

// NodeStatus is what a node reports along with an answer: its role, its position and a load report.
func NodeStatus(primary bool, position time.Time) string {
	return Role(primary) + Position(position) + Load(primary, position)
}

func loadReport(primary bool, position time.Time) string {
	flag := 0
	if primary {
		flag = 1
	}
	return fmt.Sprintf("x0=%.3f,x1=%d,inflight=1", float64(Millis(position))/1000, flag)
}

// LoadRow is the answer to SHOW load.
func LoadRow(primary bool, position time.Time) string {
	return Row(loadReport(primary, position), "SHOW") + Ready
}

// fields returns the fields of a command's comment.
func fields(text string) map[string]string {
	found := map[string]string{}
	_, rest, _ := strings.Cut(text, "/*")
	comment, _, _ := strings.Cut(rest, "*/")
	for pair := range strings.SplitSeq(comment, ",") {
		name, value, _ := strings.Cut(pair, "=")
		found[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}
	return found
}

// literal returns the n-th text in single quotes, from 0.
func literal(text string, n int) string {
	parts := strings.Split(text, "'")
	if at := 2*n + 1; at < len(parts) {
		return parts[at]
	}
	return ""
}

// errorCode returns the SQLSTATE in the body of an ErrorResponse.
func errorCode(body string) string {
	for field := range strings.SplitSeq(body, "\x00") {
		if code, found := strings.CutPrefix(field, "C"); found {
			return code
		}
	}
	return ""
}
