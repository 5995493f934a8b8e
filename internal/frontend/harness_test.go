package frontend

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairntiller/internal/inflight"
	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/stream"
	"cairntiller/internal/testcluster/scriptedserver"
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
	s.address = serveOnLoopback(t, s.Server)
	return s
}

// serveOnLoopback lets a server accept commands and returns its address.
func serveOnLoopback(t *testing.T, s *Server) string {
	t.Helper()
	ln, err := stream.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.SetReady()
	go s.Serve(ln)
	return ln.Addr().String()
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

// checkNoneInFlight checks that the bytes in flight return to zero.
func (s *testServer) checkNoneInFlight(t *testing.T) {
	t.Helper()
	eventually(t, "no bytes in flight", func() bool { return s.inFlightBytes.Load() == 0 })
}

// sendRejected sends commands that are over the limits on a session's connection, and waits until all are rejected or
// the session is to be closed.
func (s *testServer) sendRejected(t *testing.T, c net.Conn, owner *session, first, count int) {
	t.Helper()
	const counter = "commands over in-flight limits"
	before := metrics.Value(counter)
	writeCommands(t, c, first, count)
	eventually(t, "the commands are rejected", func() bool {
		return metrics.Value(counter)-before == int64(count) || owner.isClosing()
	})
}

// answerAll answers requests with values of the given size.
func answerAll(requests []*inflight.Request, size int) {
	for _, request := range requests {
		request.Answer(value(request.Command.ID, size))
	}
}

// eventually polls until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
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
	column := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(text)))
	row := pgwire.Frame{Type: 'D', Body: append(column, text...)}.Append([]byte(scriptedserver.RowStart))
	return append(row, scriptedserver.RowEnd...)
}

// readAnswer reads up to and including the next ReadyForQuery.
func readAnswer(t *testing.T, c net.Conn) (answer []byte) {
	t.Helper()
	for {
		message, err := scriptedserver.ReadFrame(c, true)
		if err != nil {
			t.Fatalf("the connection ended within an answer of which %d bytes were read: %v", len(answer), err)
		}
		answer = append(answer, message...)
		if message[0] == 'Z' {
			return answer
		}
	}
}

// readValues reads answers, which must be the values that were made for the commands first, first+1, ...
func readValues(t *testing.T, c net.Conn, first, count int) {
	t.Helper()
	for i := range count {
		if answer := readAnswer(t, c); !isValueOf(answer, first+i) {
			t.Fatalf("command %d got %.80q", first+i, answer)
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
