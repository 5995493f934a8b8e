package pgwire

import (
	"bytes"
	"strconv"

	"cairntiller/internal/decimal"
)

// maxTimeout, us, is the longest client timeout that is accepted: no client waits for longer than a day, and sums of
// times can't overflow.
const maxTimeout = 24 * 3_600_000_000

// maxFields limits the fields of a comment. The protocol has ten; very many cost time and memory before a command is
// admitted.
const maxFields = 64

// maxFieldInError is how much of a field's name an error repeats, in bytes.
const maxFieldInError = 64

// The names of the fields in a command's leading comment.
const (
	fieldID         = "id"
	fieldGroup      = "c"
	fieldTenant     = "t"
	fieldTimeout    = "d"
	fieldShard      = "cluster"
	fieldLastCommit = "after"
)

// Command is a client's query: the decoded fields of its leading comment, and its text. The comment holds name=value
// pairs separated by commas; unknown names are ignored.
type Command struct {
	ID, Group, Tenant, Session string
	Timeout                    int64 // us, how long the client waits
	LastCommit                 int64 // Unix time in us of the session's last commit, 0 for none
	Shard                      int

	statement                []byte
	timeoutStart, timeoutEnd int // position of the timeout's value in statement
}

// FieldError reports the field of a query that is invalid. The connection remains usable.
type FieldError struct{ Code, Field, Reason string }

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func invalid(field, reason string) error {
	return &FieldError{CodeInvalidValue, field[:min(len(field), maxFieldInError)], reason}
}

// DecodeCommand decodes a statement with its leading comment and keeps a copy of the bytes. The error is a *FieldError.
func DecodeCommand(statement []byte) (*Command, error) {
	c := &Command{statement: statement}
	text := c.statement
	start := len(text) - len(bytes.TrimLeft(text, " \t\r\n"))
	end := bytes.Index(text, []byte("*/"))
	if !bytes.HasPrefix(text[start:], []byte("/*")) || end < start+2 {
		return nil, invalid("comment", "the query does not begin with one")
	}
	if err := c.decodeComment(start+2, end); err != nil {
		return nil, err
	}
	var err error
	if c.Session, err = firstLiteral(text[end+2:]); err != nil {
		return nil, err
	}
	c.statement = bytes.Clone(statement)
	return c, nil
}

// decodeComment decodes the fields in statement[start:end].
func (c *Command) decodeComment(start, end int) error {
	var seen fieldNames
	for start < end {
		pairEnd := end
		if comma := bytes.IndexByte(c.statement[start:end], ','); comma >= 0 {
			pairEnd = start + comma
		}
		name, value, hasValue := bytes.Cut(c.statement[start:pairEnd], []byte("="))
		field := bytes.TrimSpace(name)
		if hasValue || len(field) > 0 {
			if err := seen.add(field); err != nil {
				return err
			}
			value = bytes.TrimSpace(value)
			if len(value) == 0 {
				return invalid(string(field), "no value")
			}
			if err := c.setField(string(field), value, start+len(name)+1); err != nil {
				return err
			}
		}
		start = pairEnd + 1
	}
	switch {
	case c.ID == "":
		return invalid(fieldID, "missing")
	case !seen.has(fieldTimeout):
		return invalid(fieldTimeout, "missing")
	case !seen.has(fieldShard):
		return invalid(fieldShard, "missing")
	}
	return nil
}

// fieldNames holds the names of the fields of a comment so far.
type fieldNames struct {
	names [maxFields][]byte
	count int
}

// add adds a name, which must not have been added before.
func (f *fieldNames) add(name []byte) error {
	if f.has(string(name)) {
		return invalid(string(name), "stands twice")
	}
	if f.count == maxFields {
		return invalid("comment", "too many fields")
	}
	f.names[f.count] = name
	f.count++
	return nil
}

func (f *fieldNames) has(name string) bool {
	for _, one := range f.names[:f.count] {
		if string(one) == name {
			return true
		}
	}
	return false
}

// setField sets one field. The value is the first occurrence of its bytes in statement[offset:].
func (c *Command) setField(field string, value []byte, offset int) (err error) {
	switch field {
	case fieldID:
		c.ID = string(value)
	case fieldGroup:
		c.Group = string(value)
	case fieldTenant:
		c.Tenant = string(value)
	case fieldTimeout:
		c.Timeout, err = decimal.Micros(value)
		if err == nil && (c.Timeout <= 0 || c.Timeout > maxTimeout) {
			return invalid(field, "no time above zero and up to a day")
		}
		c.timeoutStart = offset + bytes.Index(c.statement[offset:], value)
		c.timeoutEnd = c.timeoutStart + len(value)
	case fieldShard:
		c.Shard, err = strconv.Atoi(string(value))
	case fieldLastCommit:
		c.LastCommit, err = decimal.Micros(value)
		if err == nil && c.LastCommit < 0 {
			return invalid(field, "before all time")
		}
	}
	if err != nil {
		return invalid(field, "no number")
	}
	return nil
}

// firstLiteral returns the first string literal of a statement, "" for none. More than one statement is an error.
func firstLiteral(statement []byte) (first string, err error) {
	found := false
	for i := 0; i < len(statement); i++ {
		switch statement[i] {
		case '\'':
			length := bytes.IndexByte(statement[i+1:], '\'')
			if length < 0 {
				return "", &FieldError{codeSyntax, "statement", "a quoted text does not end"}
			}
			if !found {
				first = string(statement[i+1 : i+1+length])
				found = true
			}
			i += length + 1
		case ';':
			if len(bytes.TrimSpace(statement[i+1:])) > 0 {
				return "", &FieldError{CodeUnsupported, "statement", "only one a query is supported"}
			}
		}
	}
	return first, nil
}

// AppendQuery encodes the query for a node: as the client sent it, except that the time left (us) replaces the client's
// timeout, rounded down to whole milliseconds but at least one.
func (c *Command) AppendQuery(dst []byte, left int64) []byte {
	body := make([]byte, 0, len(c.statement)+8)
	body = append(body, c.statement[:c.timeoutStart]...)
	body = strconv.AppendInt(body, max(1, left/1000), 10)
	body = append(body, c.statement[c.timeoutEnd:]...)
	body = append(body, 0)
	return Frame{'Q', body}.Append(dst)
}

// Size returns the bytes that the command's statement and the fields copied from it take.
func (c *Command) Size() int {
	return len(c.statement) + len(c.ID) + len(c.Group) + len(c.Tenant) + len(c.Session)
}
