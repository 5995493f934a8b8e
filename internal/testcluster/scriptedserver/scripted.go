// Package scriptedserver simulates a node that answers successive queries with the replies that a test specifies: complete or
// partial replies, malformed data, or a closed connection.
package scriptedserver

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"cairntiller/internal/pgwire"
)

// Encoded messages of a correctly working node.
const (
	Welcome  = "R\x00\x00\x00\x08\x00\x00\x00\x00Z\x00\x00\x00\x05I"
	Ready    = "Z\x00\x00\x00\x05I"
	RowStart = "T\x00\x00\x00\x1d\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"
	RowValue = "D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x02\x9f\x00"
	RowEnd   = "C\x00\x00\x00\x0dSELECT 1\x00"
	Row      = RowStart + RowValue + RowEnd
)

// Status returns an encoded ParameterStatus.
func Status(name, value string) string {
	return string(pgwire.Frame{Type: 'S', Body: []byte(name + "\x00" + value + "\x00")}.Append(nil))
}

// Failure returns an encoded ErrorResponse with the given SQLSTATE, followed by ReadyForQuery.
func Failure(code string) string { return string(pgwire.AppendError(nil, false, code, "no", 0)) }

// Node is a simulated node that sends scripted replies.
type Node struct {
	Addr    string
	Queries chan string // texts of the queries received, in order
	Ended   chan bool   // receives a value when reading a query fails, as after the router closes a connection
	mu      sync.Mutex
	replies []string
	conns   []net.Conn
}

// Start starts a node that answers each startup with greeting and successive queries, over all connections, with replies. An
// empty reply sends nothing, "|" separates parts that are written one by one, and a trailing "!" closes the connection. The node
// is stopped when the test ends.
func Start(t testing.TB, greeting string, replies ...string) *Node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Node{Addr: ln.Addr().String(), Queries: make(chan string, 99), Ended: make(chan bool, 99), replies: replies}
	t.Cleanup(func() {
		ln.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.conns {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go s.serve(c, greeting)
		}
	}()
	return s
}

// Opened returns all connections that were accepted, in order.
func (s *Node) Opened() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// serve handles one connection until it is closed.
func (s *Node) serve(c net.Conn, greeting string) {
	if _, err := ReadFrame(c, false); err != nil {
		return
	}
	io.WriteString(c, greeting)
	for {
		query, err := ReadFrame(c, true)
		if err != nil {
			s.Ended <- true
			return
		}
		s.mu.Lock()
		reply := ""
		if len(s.replies) > 0 {
			reply, s.replies = s.replies[0], s.replies[1:]
		}
		s.mu.Unlock()
		s.Queries <- string(query[5 : len(query)-1])
		for part := range strings.SplitSeq(strings.TrimSuffix(reply, "!"), "|") { // each part in a separate write
			io.WriteString(c, part)
		}
		if strings.HasSuffix(reply, "!") {
			c.Close()
			return
		}
	}
}

// ReadFrame reads one complete message including its header, which has a type byte if typed is set.
func ReadFrame(c net.Conn, typed bool) ([]byte, error) {
	header := make([]byte, 4, 5)
	if typed {
		header = header[:5]
	}
	if _, err := io.ReadFull(c, header); err != nil {
		return nil, err
	}
	message := append(header, make([]byte, int(binary.BigEndian.Uint32(header[len(header)-4:]))-4)...)
	_, err := io.ReadFull(c, message[len(header):])
	return message, err
}
