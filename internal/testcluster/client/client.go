// Package client simulates clients of a router. Each session writes a row and reads it back, one command at a time on one
// connection. It records a violation if an answer doesn't arrive in time, belongs to another command, or is a read that misses
// the session's own write.
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

// Answer is the outcome of a command.
type Answer struct {
	Value     string
	ErrorCode string // SQLSTATE of an error, "" if the answer is a row
	Took      time.Duration
	id        string
}

// Session is the session of one client.
type Session struct {
	address, key        string
	timeout             time.Duration
	conn                net.Conn
	lastSent            int
	lastAnswered        int // number of the last write that was answered without an error
	lastPossiblyApplied int // number of the last write that was sent and may have been executed
	lastAnsweredAt      int64
	Violations          []string
	// RouterName is put in front of the commands' ids, with a dot, unless it is empty.
	RouterName string
	// CarriesToken makes reads carry the time of the session's last answer to a write as the position that they must see.
	CarriesToken bool
	// Excused reports whether a read, by its id, may see older data than its session requires; nil if none may.
	Excused func(id string) bool
}

// New returns a session that writes and reads the row of a key and waits up to timeout for each answer. It connects when it
// sends its first command.
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

// SwitchRouter closes the connection and continues the session on another router.
func (s *Session) SwitchRouter(address string) {
	s.Close()
	s.address = address
}

// lateTolerance is how long after the client's timeout an answer may arrive before it counts as missing. It is needed because
// the test process shares its cores with the routers.
const lateTolerance = 400 * time.Millisecond

// dial connects to the router and completes the startup.
func (s *Session) dial() error {
	c, err := net.DialTimeout("tcp", s.address, s.timeout)
	if err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(s.timeout))
	if _, err = c.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database)); err == nil {
		err = ReadReply(c, func(pgwire.Frame) {})
	}
	if err != nil {
		c.Close()
		return err
	}
	s.conn = c
	return nil
}

// ReadReply reads messages up to ReadyForQuery and calls handle for each message before it.
func ReadReply(c io.Reader, handle func(pgwire.Frame)) error {
	header := make([]byte, 5)
	for {
		if _, err := io.ReadFull(c, header); err != nil {
			return err
		}
		size := int(binary.BigEndian.Uint32(header[1:])) - 4
		if size < 0 || size > 1<<20 {
			return errors.New("invalid message length")
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(c, body); err != nil {
			return err
		}
		if header[0] == 'Z' {
			return nil
		}
		handle(pgwire.Frame{Type: header[0], Body: body})
	}
}

// Ready reports whether the router accepts commands. It sends an empty query and expects an EmptyQueryResponse.
func (s *Session) Ready() bool {
	if s.conn == nil && s.dial() != nil {
		return false
	}
	s.conn.SetDeadline(time.Now().Add(s.timeout))
	ready := false
	_, err := s.conn.Write(pgwire.AppendQuery(nil, ""))
	if err == nil {
		err = ReadReply(s.conn, func(f pgwire.Frame) { ready = ready || f.Type == 'I' })
	}
	if err != nil {
		s.Close()
	}
	return err == nil && ready
}

// Write writes the session's next number to a shard, with a command of the given class.
func (s *Session) Write(class string, shard int) (Answer, error) {
	s.lastSent++
	s.lastPossiblyApplied = s.lastSent
	a, err := s.execute(class, shard, fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('%s', '%d') RETURNING data", s.key, s.lastSent))
	if err == nil && a.ErrorCode == "" {
		if a.Value != strconv.Itoa(s.lastSent) {
			s.Violations = append(s.Violations, fmt.Sprintf("session %s wrote %d, but the answer was %q", s.key, s.lastSent, a.Value))
		}
		s.lastAnswered = s.lastSent
		s.lastAnsweredAt = time.Now().UnixMilli() + 1 // not before the commit
	}
	return a, err
}

// Read reads the session's row from a shard. With readOwnWrites, the result must include the session's last answered write.
func (s *Session) Read(class string, shard int, readOwnWrites bool) (Answer, error) {
	a, err := s.execute(class, shard, fmt.Sprintf("SELECT data FROM facts WHERE code = '%s'", s.key))
	if err != nil || a.ErrorCode != "" {
		return a, err
	}
	n := 0
	if a.Value != "none" {
		if n, err = strconv.Atoi(a.Value); err != nil {
			s.Violations = append(s.Violations, fmt.Sprintf("session %s read %q, which is not a number", s.key, a.Value))
			return a, nil
		}
	}
	isStale := readOwnWrites && n < s.lastAnswered && (s.Excused == nil || !s.Excused(a.id))
	if isStale || n > s.lastPossiblyApplied {
		s.Violations = append(s.Violations, fmt.Sprintf("session %s read %d, but its last answered write is %d and its last sent write is %d", s.key, n, s.lastAnswered, s.lastPossiblyApplied))
	}
	return a, nil
}

// execute sends a command and reads its answer. Any number of answers other than one is a violation.
func (s *Session) execute(class string, shard int, text string) (a Answer, err error) {
	if s.conn == nil {
		if err = s.dial(); err != nil {
			return a, err
		}
	}
	start := time.Now()
	id := fmt.Sprintf("%s-%d-%d", s.key, s.lastSent, start.UnixNano())
	if s.RouterName != "" {
		id = s.RouterName + "." + id
	}
	token := ""
	if s.CarriesToken && s.lastAnsweredAt > 0 {
		token = fmt.Sprintf(",after=%d", s.lastAnsweredAt)
	}
	a.id = id
	s.conn.SetDeadline(start.Add(s.timeout + lateTolerance))
	query := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d%s */ %s", id, class, s.timeout.Milliseconds(), shard, token, text)
	rows := 0
	if _, err = s.conn.Write(pgwire.AppendQuery(nil, query)); err == nil {
		err = ReadReply(s.conn, func(f pgwire.Frame) {
			switch f.Type {
			case 'D':
				rows++
				if len(f.Body) >= 6 {
					a.Value = string(f.Body[6:])
				}
			case 'E':
				rows++
				a.ErrorCode = ErrorCode(f.Body)
			}
		})
	}
	a.Took = time.Since(start)
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		s.Violations = append(s.Violations, fmt.Sprintf("session %s: no answer to %s", s.key, id))
	case err == nil && rows != 1:
		s.Violations = append(s.Violations, fmt.Sprintf("session %s: received %d answers to %s, want 1", s.key, rows, id))
	}
	if err != nil {
		s.Close()
	}
	return a, err
}

// ErrorCode returns the SQLSTATE of an ErrorResponse, "" if it has none.
func ErrorCode(body []byte) string {
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
