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

// Call is a request under way at the operator's side.
type Call struct {
	conn  net.Conn
	lines *bufio.Scanner
}

// Dial sends a request to the router that listens at a socket. The error is ErrNoRouter if none does, without a Call. If the
// request can't be sent, the error is the connection's, and the Call is returned with it, still open: the callers in this
// program leave it to the end of the process.
func Dial(socket string, request Request) (*Call, error) {
	conn, err := net.DialTimeout("unix", socket, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w at %s: %w", ErrNoRouter, socket, err)
	}
	c := &Call{conn: conn, lines: newLineScanner(conn)}
	return c, c.Send(request)
}

// Send sends a further line.
func (c *Call) Send(v any) error { return writeLine(c.conn, v) }

// ReadLine reads a line of the answer; more is false after the last one. A refusal is a *RefusedError.
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

// Close ends the request.
func (c *Call) Close() { c.conn.Close() }

// Ask sends a request whose answer is one line, and reads it. The error is as from Dial and ReadLine, with ErrNoAnswer if
// there was no line that could be read.
func Ask(socket string, request Request, answer any) error {
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
