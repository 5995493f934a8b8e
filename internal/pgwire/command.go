package pgwire

import (
	"bytes"
	"strconv"

	"cairntiller/internal/decimal"
)

const mostTimeout = 24 * 3_600_000_000 // us; no client waits longer, and sums of times stay far from overflow

// Command is a client's query, decoded once: what its leading comment says, and its text.
type Command struct {
	ID, Group, Tenant, Session string
	Timeout                    int64 // us that the client waits
	LastCommit                 int64 // us in Unix time of the session's last commit, 0 for none
	Shard                      int
	statement                  []byte
	timeFrom, timeTo           int // where the statement holds the client's timeout
}

// FieldError names the part of a query that can't be read; the connection lives on.
type FieldError struct{ Code, Field, Why string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

func invalid(field, why string) error { return &FieldError{CodeValue, field, why} }

// DecodeCommand reads a statement with its comment; it keeps a copy of the bytes.
func DecodeCommand(statement []byte) (*Command, error) {
	s := bytes.Clone(statement)
	c := &Command{statement: s}
	from := len(s) - len(bytes.TrimLeft(s, " \t\r\n"))
	end := bytes.Index(s, []byte("*/"))
	if !bytes.HasPrefix(s[from:], []byte("/*")) || end < from+2 {
		return nil, invalid("comment", "the query does not begin with one")
	}
	seen := map[string]bool{}
	for at := from + 2; at < end; {
		stop := at + bytes.IndexByte(append(s[at:end:end], ','), ',')
		name, value, ok := bytes.Cut(s[at:stop], []byte("="))
		if word := string(bytes.TrimSpace(name)); ok || word != "" {
			if seen[word] {
				return nil, invalid(word, "stands twice")
			}
			seen[word] = true
			valueAt := at + len(name) + 1
			if err := c.field(word, bytes.TrimSpace(value), valueAt, ok); err != nil {
				return nil, err
			}
		}
		at = stop + 1
	}
	switch {
	case c.ID == "":
		return nil, invalid("id", "missing")
	case !seen["d"]:
		return nil, invalid("d", "missing")
	case !seen["cluster"]:
		return nil, invalid("cluster", "missing")
	}
	var err error
	c.Session, err = literal(s[end+2:])
	return c, err
}

func (c *Command) field(name string, value []byte, at int, ok bool) (err error) {
	if !ok || len(value) == 0 {
		return invalid(name, "no value")
	}
	switch name {
	case "id":
		c.ID = string(value)
	case "c":
		c.Group = string(value)
	case "t":
		c.Tenant = string(value)
	case "d":
		c.Timeout, err = decimal.Micros(value)
		c.timeFrom = at + bytes.Index(c.statement[at:], value)
		c.timeTo = c.timeFrom + len(value)
		if err == nil && (c.Timeout <= 0 || c.Timeout > mostTimeout) {
			return invalid(name, "no time above zero and up to a day")
		}
	case "cluster":
		c.Shard, err = strconv.Atoi(string(value))
	case "after":
		c.LastCommit, err = decimal.Micros(value)
		if err == nil && c.LastCommit < 0 {
			return invalid(name, "before all time")
		}
	}
	if err != nil {
		return invalid(name, "no number")
	}
	return nil
}

// literal is the first quoted text of a single statement.
func literal(s []byte) (first string, err error) {
	found := false
	for i := 0; i < len(s); i++ {
		switch s[i] {
		case '\'':
			from := i + 1
			for i++; i < len(s) && s[i] != '\''; i++ {
			}
			if i >= len(s) {
				return "", &FieldError{"42601", "statement", "a quoted text does not end"}
			}
			if !found {
				first, found = string(s[from:i]), true
			}
		case ';':
			if len(bytes.TrimSpace(s[i+1:])) > 0 {
				return "", &FieldError{CodeUnsupported, "statement", "only one a query is supported"}
			}
		}
	}
	return first, nil
}

// AppendFor encodes the query for a node: as the client sent it, but for the time that is left, in us.
func (c *Command) AppendQuery(dst []byte, left int64) []byte {
	body := make([]byte, 0, len(c.statement)+8)
	body = append(body, c.statement[:c.timeFrom]...)
	body = strconv.AppendInt(body, max(1, left/1000), 10)
	body = append(append(body, c.statement[c.timeTo:]...), 0)
	return Frame{'Q', body}.Append(dst)
}

// Size is the bytes that the command holds.
func (c *Command) Size() int { return len(c.statement) }

// Blank tells whether a query holds nothing to do.
func IsEmptyQuery(statement []byte) bool { return len(bytes.Trim(statement, " \t\r\n;")) == 0 }
