//go:build review

package standins

import (
	"io"
	"net"
	"time"
)

// Result is the answer to a command. Code is the SQLSTATE of an error, "" for a value.
type Result struct{ Value, Code string }

// Refused reports whether the answer says that trying again is harmless.
func (r Result) Refused() bool { return r.Code == "53300" || r.Code == "57P03" }

// Client is a client's connection to a router.
type Client struct{ conn net.Conn }

// Dial connects to a router.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err = io.WriteString(conn, startup()); err == nil {
		_, err = c.read()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }

// Ask sends a query and waits for its answer, for at most the given time.
func (c *Client) Ask(text string, wait time.Duration) (Result, error) {
	c.conn.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c.conn, query(text)); err != nil {
		return Result{}, err
	}
	return c.read()
}

// read reads messages up to ReadyForQuery.
func (c *Client) read() (r Result, err error) {
	for {
		kind, body, err := readMessage(c.conn, true)
		if err != nil {
			return r, err
		}
		switch kind {
		case 'D':
			if len(body) < 6 {
				return r, errMessage
			}
			r.Value = body[6:]
		case 'E':
			r.Code = errorCode(body)
		case 'I':
			r.Value = "empty"
		case 'Z':
			return r, nil
		}
	}
}

// WaitReady waits until a router answers an empty query with EmptyQueryResponse, as the front does.
func WaitReady(address string) error {
	var last error
	for range 200 {
		c, err := Dial(address)
		if err == nil {
			var r Result
			r, err = c.Ask("", time.Second)
			c.Close()
			if err == nil && r.Value == "empty" {
				return nil
			}
		}
		last = err
		time.Sleep(50 * time.Millisecond)
	}
	if last == nil {
		last = errMessage
	}
	return last
}
