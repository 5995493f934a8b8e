// Package scriptedserver simulates a node that says, for each query in turn, what a test wrote down: whole replies, parts
// of them, noise, or the end of the connection.
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

// What sound nodes say.
const (
	Welcome  = "R\x00\x00\x00\x08\x00\x00\x00\x00Z\x00\x00\x00\x05I"
	Ready    = "Z\x00\x00\x00\x05I"
	RowStart = "T\x00\x00\x00\x1d\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"
	RowValue = "D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x02\x9f\x00"
	RowEnd   = "C\x00\x00\x00\x0dSELECT 1\x00"
	Row      = RowStart + RowValue + RowEnd
)

// Status is a ParameterStatus.
func Status(name, value string) string {
	return string(pgwire.Frame{Type: 'S', Body: []byte(name + "\x00" + value + "\x00")}.Append(nil))
}

// Failure is an ErrorResponse with a code, and what follows it.
func Failure(code string) string { return string(pgwire.AppendError(nil, false, code, "no", 0)) }

// Node is one scripted node.
type Node struct {
	Addr    string
	Queries chan string // what it was asked, in turn
	Ended   chan bool   // one for each connection that the router has ended
	mu      sync.Mutex
	replies []string
	conns   []net.Conn
}

// Start starts a node that greets each connection and sends a reply for each query in turn: "" for nothing, "|" between
// pieces, "!" at the end to close. It ends with the test.
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

// Opened are the connections that were made to it.
func (s *Node) Opened() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

func (s *Node) serve(c net.Conn, greeting string) {
	if _, err := ReadFrame(c, false); err != nil {
		return
	}
	io.WriteString(c, greeting)
	for {
		q, err := ReadFrame(c, true)
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
		s.Queries <- string(q[5 : len(q)-1])
		for part := range strings.SplitSeq(strings.TrimSuffix(reply, "!"), "|") { // each in a piece of its own
			io.WriteString(c, part)
		}
		if strings.HasSuffix(reply, "!") {
			c.Close()
			return
		}
	}
}

// ReadFrame reads one message whole, its head with it.
func ReadFrame(c net.Conn, typed bool) ([]byte, error) {
	head := make([]byte, 4, 5)
	if typed {
		head = head[:5]
	}
	if _, err := io.ReadFull(c, head); err != nil {
		return nil, err
	}
	b := append(head, make([]byte, int(binary.BigEndian.Uint32(head[len(head)-4:]))-4)...)
	_, err := io.ReadFull(c, b[len(head):])
	return b, err
}
