// Package client simulates a router's clients: sessions that write and read their own rows back, one command at a time on
// one connection. A session records as a violation what must not happen: no answer in time, an answer to another command, or
// a read that misses the session's own write.
package client

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"cairntiller/internal/pgwire"
)

// Answer is how a command ended.
type Answer struct {
	Value     string
	ErrorCode string // of an error, "" for a row
	Took      time.Duration
}

// Session is one client's session.
type Session struct {
	address, key string
	timeout      time.Duration
	conn         net.Conn
	lastSent     int
	lastAnswered int // number of the last write that was answered
	lastPossible int // of the last that was sent and may have run
	Violations   []string
}

// New returns a session that writes and reads the row of a key and waits up to timeout for each answer. It connects with its
// first command.
func New(address, key string, timeout time.Duration) *Session {
	return &Session{address: address, key: key, timeout: timeout}
}

// Close ends the session's connection.
func (s *Session) Close() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}

// SwitchRouter closes the connection and continues the session at another router.
func (s *Session) SwitchRouter(address string) {
	s.Close()
	s.address = address
}

// lateTolerance is how much later than the client's timeout an answer may come before it counts as missing. The test process
// shares its cores with the routers.
const lateTolerance = 400 * time.Millisecond

func (s *Session) dial() error {
	c, err := net.DialTimeout("tcp", s.address, s.timeout)
	if err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(s.timeout))
	if _, err = c.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database)); err == nil {
		err = readReply(c, func(pgwire.Frame) {})
	}
	if err != nil {
		c.Close()
		return err
	}
	s.conn = c
	return nil
}

// readReply hands each message up to ReadyForQuery to each.
func readReply(c net.Conn, each func(pgwire.Frame)) error {
	head := make([]byte, 5)
	for {
		if _, err := io.ReadFull(c, head); err != nil {
			return err
		}
		size := int(binary.BigEndian.Uint32(head[1:])) - 4
		if size < 0 || size > 1<<20 {
			return errors.New("a message without bounds")
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(c, body); err != nil {
			return err
		}
		if head[0] == 'Z' {
			return nil
		}
		each(pgwire.Frame{Type: head[0], Body: body})
	}
}

// Ready reports whether the router accepts commands.
func (s *Session) Ready() bool {
	if s.conn == nil && s.dial() != nil {
		return false
	}
	s.conn.SetDeadline(time.Now().Add(s.timeout))
	ready := false
	_, err := s.conn.Write(pgwire.AppendQuery(nil, ""))
	if err == nil {
		err = readReply(s.conn, func(f pgwire.Frame) { ready = ready || f.Type == 'I' })
	}
	if err != nil {
		s.Close()
	}
	return err == nil && ready
}

// Write writes the session's next number to a shard, as a command of a class.
func (s *Session) Write(class string, group int) (Answer, error) {
	s.lastSent++
	s.lastPossible = s.lastSent
	a, err := s.execute(class, group, fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('%s', '%d') RETURNING data", s.key, s.lastSent))
	if err == nil && a.ErrorCode == "" {
		if a.Value != strconv.Itoa(s.lastSent) {
			s.Violations = append(s.Violations, fmt.Sprintf("session %s wrote %d and was answered %q", s.key, s.lastSent, a.Value))
		}
		s.lastAnswered = s.lastSent
	}
	return a, err
}

// Read reads the session's row from a shard; where own is set, it must see the session's last write.
func (s *Session) Read(class string, group int, own bool) (Answer, error) {
	a, err := s.execute(class, group, fmt.Sprintf("SELECT data FROM facts WHERE code = '%s'", s.key))
	if err != nil || a.ErrorCode != "" {
		return a, err
	}
	n := 0
	if a.Value != "none" {
		if n, err = strconv.Atoi(a.Value); err != nil {
			s.Violations = append(s.Violations, fmt.Sprintf("session %s read %q", s.key, a.Value))
			return a, nil
		}
	}
	if own && n < s.lastAnswered || n > s.lastPossible {
		s.Violations = append(s.Violations, fmt.Sprintf("session %s read %d after it had written %d to %d", s.key, n, s.lastAnswered, s.lastPossible))
	}
	return a, nil
}

// execute sends a command and reads its one answer.
func (s *Session) execute(class string, group int, text string) (a Answer, err error) {
	if s.conn == nil {
		if err = s.dial(); err != nil {
			return a, err
		}
	}
	began := time.Now()
	id := fmt.Sprintf("%s-%d-%d", s.key, s.lastSent, began.UnixNano())
	s.conn.SetDeadline(began.Add(s.timeout + lateTolerance))
	query := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ %s", id, class, s.timeout.Milliseconds(), group, text)
	rows := 0
	if _, err = s.conn.Write(pgwire.AppendQuery(nil, query)); err == nil {
		err = readReply(s.conn, func(f pgwire.Frame) {
			switch f.Type {
			case 'D':
				rows++
				if len(f.Body) >= 6 {
					a.Value = string(f.Body[6:])
				}
			case 'E':
				rows++
				a.ErrorCode = errorCode(f.Body)
			}
		})
	}
	a.Took = time.Since(began)
	var late net.Error
	switch {
	case errors.As(err, &late) && late.Timeout():
		s.Violations = append(s.Violations, fmt.Sprintf("session %s: no answer to %s", s.key, id))
	case err == nil && rows != 1:
		s.Violations = append(s.Violations, fmt.Sprintf("session %s: %d answers to %s", s.key, rows, id))
	}
	if err != nil {
		s.Close()
	}
	return a, err
}

// errorCode returns the SQLSTATE of an ErrorResponse, "" where it has none.
func errorCode(body []byte) string {
	for len(body) > 1 {
		end := 1
		for end < len(body) && body[end] != 0 {
			end++
		}
		if body[0] == 'C' {
			return string(body[1:end])
		}
		if end >= len(body) {
			break
		}
		body = body[end+1:]
	}
	return ""
}
