package adminsocket

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"
)

// dialTimeout is how long a router may take to accept a connection.
const dialTimeout = 2 * time.Second

// Call is the operator's side of an open request.
type Call struct {
	conn  net.Conn
	lines *bufio.Scanner
}

// Dial sends a request to the router that listens at a socket. If none does, the error is ErrNoRouter and the Call is
// nil. If the request can't be sent, Dial returns the connection's error together with the Call, which is still open:
// the callers in this program leave it open until the process exits.
func Dial(socket string, request Request) (*Call, error) {
	conn, err := net.DialTimeout("unix", socket, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w at %s: %w", ErrNoRouter, socket, err)
	}
	c := &Call{conn: conn, lines: newLineScanner(conn)}
	return c, c.Send(request)
}

// Send sends another line of the request.
func (c *Call) Send(v any) error { return writeLine(c.conn, v) }

// ReadLine reads a line of the answer; more is false after the last one. A refusal is returned as a *RefusedError.
func (c *Call) ReadLine(v any) (more bool, err error) {
	if !c.lines.Scan() {
		return false, c.lines.Err()
	}
	var refusal Refusal
	if json.Unmarshal(c.lines.Bytes(), &refusal) == nil && refusal.Error != "" {
		return false, &RefusedError{Reason: refusal.Error}
	}
	return true, json.Unmarshal(c.lines.Bytes(), v)
}

// Close closes the connection, which ends the request.
func (c *Call) Close() { c.conn.Close() }

// Do sends a request whose answer is a single line, and reads the answer. The errors are those of Dial and ReadLine;
// ErrNoAnswer is joined if no line could be read.
func Do(socket string, request Request, answer any) error {
	c, err := Dial(socket, request)
	if err != nil {
		return err
	}
	defer c.Close()
	if more, err := c.ReadLine(answer); err != nil || !more {
		return errors.Join(err, ErrNoAnswer)
	}
	return nil
}
