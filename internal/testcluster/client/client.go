// Package client is a stand-in for a router's clients: sessions that write and read their own rows back, one command
// at a time on one connection, and that notice what must not be: no answer in time, an answer that is not theirs, or a
// read that misses the session's own write.
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
	Value string
	Code  string // of an error, "" for a row
	Took  time.Duration
}

// Session is one client's session.
type Session struct {
	address, key string
	timeout      time.Duration
	conn         net.Conn
	next         int
	written      int // number of the last write that was answered
	maybe        int // of the last that was sent and may have run
	Broken       []string
}

// New makes a session of a key, with the time that it waits for each answer.
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

// Move lets the session go on at another router.
func (s *Session) Move(address string) {
	s.Close()
	s.address = address
}

// margin is what an answer may come later than the client's time: this process has no core of its own.
const margin = 400 * time.Millisecond

func (s *Session) dial() error {
	c, err := net.DialTimeout("tcp", s.address, s.timeout)
	if err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(s.timeout))
	if _, err = c.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database)); err == nil {
		err = frames(c, func(pgwire.Frame) {})
	}
	if err != nil {
		c.Close()
		return err
	}
	s.conn = c
	return nil
}

// frames reads messages up to ReadyForQuery.
func frames(c net.Conn, each func(pgwire.Frame)) error {
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

// Ready tells whether the router takes commands.
func (s *Session) Ready() bool {
	if s.conn == nil && s.dial() != nil {
		return false
	}
	s.conn.SetDeadline(time.Now().Add(s.timeout))
	ready := false
	_, err := s.conn.Write(pgwire.AppendQuery(nil, ""))
	if err == nil {
		err = frames(s.conn, func(f pgwire.Frame) { ready = ready || f.Type == 'I' })
	}
	if err != nil {
		s.Close()
	}
	return err == nil && ready
}

// Write writes the session's next number into a group.
func (s *Session) Write(class string, group int) (Answer, error) {
	s.next++
	s.maybe = s.next
	a, err := s.ask(class, group, fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('%s', '%d') RETURNING data", s.key, s.next))
	if err == nil && a.Code == "" {
		if a.Value != strconv.Itoa(s.next) {
			s.Broken = append(s.Broken, fmt.Sprintf("session %s wrote %d and was answered %q", s.key, s.next, a.Value))
		}
		s.written = s.next
	}
	return a, err
}

// Read reads the session's row; where own is set it must see the session's last write.
func (s *Session) Read(class string, group int, own bool) (Answer, error) {
	a, err := s.ask(class, group, fmt.Sprintf("SELECT data FROM facts WHERE code = '%s'", s.key))
	if err != nil || a.Code != "" {
		return a, err
	}
	n := 0
	if a.Value != "none" {
		if n, err = strconv.Atoi(a.Value); err != nil {
			s.Broken = append(s.Broken, fmt.Sprintf("session %s read %q", s.key, a.Value))
			return a, nil
		}
	}
	if own && n < s.written || n > s.maybe {
		s.Broken = append(s.Broken, fmt.Sprintf("session %s read %d after it had written %d to %d", s.key, n, s.written, s.maybe))
	}
	return a, nil
}

// ask sends a command and takes its one answer.
func (s *Session) ask(class string, group int, text string) (a Answer, err error) {
	if s.conn == nil {
		if err = s.dial(); err != nil {
			return a, err
		}
	}
	began := time.Now()
	id := fmt.Sprintf("%s-%d-%d", s.key, s.next, began.UnixNano())
	s.conn.SetDeadline(began.Add(s.timeout + margin))
	query := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ %s", id, class, s.timeout.Milliseconds(), group, text)
	rows := 0
	if _, err = s.conn.Write(pgwire.AppendQuery(nil, query)); err == nil {
		err = frames(s.conn, func(f pgwire.Frame) {
			switch f.Type {
			case 'D':
				rows++
				if len(f.Body) >= 6 {
					a.Value = string(f.Body[6:])
				}
			case 'E':
				rows++
				a.Code = code(f.Body)
			}
		})
	}
	a.Took = time.Since(began)
	var late net.Error
	switch {
	case errors.As(err, &late) && late.Timeout():
		s.Broken = append(s.Broken, fmt.Sprintf("session %s: no answer to %s", s.key, id))
	case err == nil && rows != 1:
		s.Broken = append(s.Broken, fmt.Sprintf("session %s: %d answers to %s", s.key, rows, id))
	}
	if err != nil {
		s.Close()
	}
	return a, err
}

func code(body []byte) string {
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
