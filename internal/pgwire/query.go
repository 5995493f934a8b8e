package pgwire

import (
	"bytes"
	"strconv"
)

// DecodeQuery returns the statement of a simple query.
func DecodeQuery(f Frame) (statement []byte, ok bool) {
	last := len(f.Body) - 1
	if bytes.IndexByte(f.Body, 0) != last || last < 0 { // exactly one zero byte, at the end
		return nil, false
	}
	return f.Body[:last], true
}

// IsEmptyQuery reports whether a statement holds only white space and semicolons.
func IsEmptyQuery(statement []byte) bool { return len(bytes.Trim(statement, " \t\r\n;")) == 0 }

// AppendQuery encodes a simple query.
func AppendQuery(dst []byte, statement string) []byte {
	return Frame{'Q', appendCString(nil, statement)}.Append(dst)
}

// AppendReadyForQuery encodes ReadyForQuery.
func AppendReadyForQuery(dst []byte) []byte { return Frame{'Z', []byte{'I'}}.Append(dst) }

// AppendEmptyQueryResponse encodes the answer to an empty query: EmptyQueryResponse and ReadyForQuery.
func AppendEmptyQueryResponse(dst []byte) []byte {
	return AppendReadyForQuery(Frame{'I', nil}.Append(dst))
}

// AppendError encodes an ErrorResponse, followed by ReadyForQuery unless the error is fatal, that is, ends the
// connection. A retryAfter above 0, in us, tells the client when to retry; it is sent in ms, rounded up.
func AppendError(dst []byte, fatal bool, code, message string, retryAfter int64) []byte {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	var body []byte
	for _, field := range [...]string{"S" + severity, "V" + severity, "C" + code, "M" + message} {
		body = appendCString(body, field)
	}
	if retryAfter > 0 {
		body = append(body, 'D')
		body = strconv.AppendInt(body, (retryAfter+999)/1000, 10)
		body = append(body, 0)
	}
	dst = Frame{'E', append(body, 0)}.Append(dst)
	if fatal {
		return dst
	}
	return AppendReadyForQuery(dst)
}

// decodeError decodes an ErrorResponse, which must have a code.
func decodeError(f Frame) (code string, fatal bool, err error) {
	for rest := f.Body; len(rest) > 0 && rest[0] != 0; {
		field := rest[0]
		value, remaining, ok := cutCString(rest[1:])
		if !ok {
			return "", false, ErrUnexpectedMessage
		}
		switch field {
		case 'C':
			code = value
		case 'S', 'V':
			fatal = fatal || value == "FATAL" || value == "PANIC"
		}
		rest = remaining
	}
	if code == "" {
		return "", false, ErrUnexpectedMessage
	}
	return code, fatal, nil
}
