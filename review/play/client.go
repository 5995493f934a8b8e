//go:build review

package play

import (
	"fmt"
	"net"
	"time"

	"cairntiller/internal/pgwire"
)

// Client is a client's connection to a router.
type Client struct {
	conn   net.Conn
	frames *pgwire.FrameDecoder
	buffer []byte
}

// Answer is what a client got for one command.
type Answer struct {
	Value string // if it was served
	Code  string // of the ErrorResponse, "" if it was served
	At    time.Time
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Code != "" {
		return "an error " + a.Code
	}
	if len(a.Value) > 60 {
		return fmt.Sprintf("%q and so on, %d bytes", a.Value[:60], len(a.Value))
	}
	return fmt.Sprintf("%q", a.Value)
}

// Connect opens a connection and completes the startup.
func Connect(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, frames: pgwire.NewFrameDecoder(1<<20, false), buffer: make([]byte, 1<<16)}
	if _, err := conn.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database)); err != nil {
		return nil, err
	}
	for {
		frame, err := c.next(time.Now().Add(3 * time.Second))
		if err != nil {
			conn.Close()
			return nil, err
		}
		if frame.Type == 'Z' {
			return c, nil
		}
	}
}

// IsReady reports whether a router answers an empty query with EmptyQueryResponse.
func IsReady(address string) bool {
	c, err := Connect(address)
	if err != nil {
		return false
	}
	defer c.Close()
	if c.Send(pgwire.AppendQuery(nil, "")) != nil {
		return false
	}
	frame, err := c.next(time.Now().Add(time.Second))
	return err == nil && frame.Type == 'I'
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }

// Send sends bytes.
func (c *Client) Send(raw []byte) error {
	_, err := c.conn.Write(raw)
	return err
}

// next returns the next message.
func (c *Client) next(deadline time.Time) (pgwire.Frame, error) {
	for {
		frame, complete, err := c.frames.Next()
		if err != nil || complete {
			return frame, err
		}
		c.conn.SetReadDeadline(deadline)
		size, err := c.conn.Read(c.buffer)
		if err != nil {
			return frame, err
		}
		c.frames.Feed(c.buffer[:size])
	}
}

// Receive returns the next answer up to ReadyForQuery. The error is that of the connection: a time-out, or its end
// before the answer was whole.
func (c *Client) Receive(deadline time.Time) (answer Answer, err error) {
	for {
		frame, err := c.next(deadline)
		if err != nil {
			return answer, err
		}
		switch frame.Type {
		case 'D':
			answer.Value = string(frame.Body[6:])
		case 'E':
			answer.Code = errorCode(frame.Body)
		case 'Z':
			answer.At = time.Now()
			return answer, nil
		}
	}
}

// errorCode returns the code of an ErrorResponse.
func errorCode(body []byte) string {
	for len(body) > 0 && body[0] != 0 {
		end := 1
		for end < len(body) && body[end] != 0 {
			end++
		}
		if body[0] == 'C' {
			return string(body[1:end])
		}
		body = body[min(end+1, len(body)):]
	}
	return "none"
}

// Read encodes a command that reads.
func Read(id, class, tenant string, d, group int, key string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=%s,t=%s,d=%d,cluster=%d */ SELECT data FROM facts WHERE code = '%s'", id, class, tenant, d, group, key))
}

// Write encodes a command that writes.
func Write(id, class, tenant string, d, group int, key string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf(`/* id=%s,c=%s,t=%s,d=%d,cluster=%d */ INSERT INTO facts (code, data) VALUES ('%s', '\x9f03') RETURNING data`,
		id, class, tenant, d, group, key))
}
