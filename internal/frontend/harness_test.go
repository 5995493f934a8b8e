package frontend

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
)

// largestValue is the size of the largest value that the protocol allows, bytes.
const largestValue = 64 << 10

// requestCollector passes on the submitted requests, which the test concludes.
type requestCollector struct{ submitted, abandoned chan *inflight.Request }

func (h *requestCollector) Submit(_ int64, request *inflight.Request)     { h.submitted <- request }
func (h *requestCollector) ClientGone(_ int64, request *inflight.Request) { h.abandoned <- request }

// testServer is a server on loopback whose requests are concluded by the test.
type testServer struct {
	*Server
	requestCollector
	address string
	ahead   atomic.Int64 // us: how far the server's clock is ahead of the real one
}

func startServer(t *testing.T, memoryLimit int64) *testServer {
	t.Helper()
	start := time.Now()
	s := &testServer{requestCollector: requestCollector{make(chan *inflight.Request, 1000), make(chan *inflight.Request, 1000)}}
	now := func() int64 { return time.Since(start).Microseconds() + 1 + s.ahead.Load() }
	s.Server = New(now, &s.requestCollector, Config{GroupNumbers: map[string]int{"look": 0}, MaxConnections: 32, MemoryLimit: memoryLimit})
	s.SetReady()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = ln.Addr().String()
	go s.Serve(ln)
	return s
}

// dial opens a connection whose kernel takes few bytes for a client that reads nothing, and reads the startup's reply.
func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<16) })
	}}
	c, err := dialer.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := c.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database)); err != nil {
		t.Fatal(err)
	}
	readAnswer(t, c)
	return c
}

// send sends commands with the ids first, first+1, ... on a connection and returns their requests by id.
func (s *testServer) send(t *testing.T, c net.Conn, first, count int) (requests []*inflight.Request) {
	t.Helper()
	writeCommands(t, c, first, count)
	for range count {
		select {
		case request := <-s.submitted:
			requests = append(requests, request)
		case <-time.After(20 * time.Second):
			t.Fatalf("%d of %d commands were submitted", len(requests), count)
		}
	}
	return requests
}

// onlySession returns the server's only session.
func (s *testServer) onlySession(t *testing.T) *session {
	t.Helper()
	all := s.allSessions()
	if len(all) != 1 {
		t.Fatalf("%d sessions", len(all))
	}
	return all[0]
}

// waitFor polls until the condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("in vain: " + what)
		}
	}
}

// value returns a value that was made for a command.
func value(id string, size int) []byte {
	text := "made for " + id + " " + strings.Repeat("x", size)
	columns := []byte("\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")
	row := append([]byte{0, 1, byte(len(text) >> 24), byte(len(text) >> 16), byte(len(text) >> 8), byte(len(text))}, text...)
	message := func(messageType byte, body []byte) []byte {
		length := len(body) + 4
		return append([]byte{messageType, byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}, body...)
	}
	return bytes.Join([][]byte{message('T', columns), message('D', row), message('C', []byte("SELECT 1\x00"))}, nil)
}

// readAnswer reads up to and including the next ReadyForQuery.
func readAnswer(t *testing.T, c net.Conn) []byte {
	t.Helper()
	var all []byte
	for {
		header := make([]byte, 5)
		if _, err := io.ReadFull(c, header); err != nil {
			t.Fatalf("the connection ended within an answer of which %d bytes were read: %v", len(all), err)
		}
		body := make([]byte, int(header[1])<<24|int(header[2])<<16|int(header[3])<<8|int(header[4])-4)
		if _, err := io.ReadFull(c, body); err != nil {
			t.Fatalf("the connection ended within a message: %v", err)
		}
		all = append(append(all, header...), body...)
		if header[0] == 'Z' {
			return all
		}
	}
}

func isValueOf(answer []byte, id int) bool {
	return bytes.Contains(answer, fmt.Appendf(nil, "made for %d ", id))
}

func isError(answer []byte, code string) bool {
	return answer[0] == 'E' && bytes.Contains(answer, []byte("\x00C"+code+"\x00"))
}

// writeCommands writes commands with the ids first, first+1, ... on a connection.
func writeCommands(t *testing.T, c net.Conn, first, count int) {
	t.Helper()
	var messages []byte
	for i := range count {
		messages = pgwire.AppendQuery(messages, fmt.Sprintf("/* id=%d,c=look,d=60000,cluster=0 */ SELECT '1'", first+i))
	}
	if _, err := c.Write(messages); err != nil {
		t.Fatal(err)
	}
}
