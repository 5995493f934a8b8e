package frontend

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairntiller/internal/inflight"
	"cairntiller/internal/metrics"
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

// counterValue returns the value of a counter from the printed metrics.
func counterValue(name string) (n int64) {
	var all bytes.Buffer
	metrics.Print(&all)
	if _, rest, found := strings.Cut(all.String(), name); found {
		fmt.Sscan(rest, &n)
	}
	return n
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

// TestHeldAnswersArriveBehindSlowCommand guards against closing the connection of a client that reads at full speed:
// answers of 4 MiB in all, held back behind a slow command, became due at once and were taken for a slow reader's.
func TestHeldAnswersArriveBehindSlowCommand(t *testing.T) {
	s := startServer(t, 192<<20)
	c := s.dial(t)
	requests := s.send(t, c, 0, maxPipelined)
	for _, request := range requests[1:] {
		request.Answer(value(request.Command.ID, largestValue))
	}
	if held := s.inFlightBytes.Load(); held < (maxPipelined-1)*largestValue {
		t.Errorf("%d bytes are in flight while %d values of 64 KiB are held back", held, maxPipelined-1)
	}
	requests[0].Fail()
	if answer := readAnswer(t, c); !isError(answer, pgwire.CodeSystemError) {
		t.Errorf("slow command: %.80q", answer)
	}
	for id := 1; id < maxPipelined; id++ {
		if answer := readAnswer(t, c); !isValueOf(answer, id) {
			t.Fatalf("command %d got %.80q", id, answer)
		}
	}
	waitFor(t, "no bytes in flight", func() bool { return s.inFlightBytes.Load() == 0 })
	s.send(t, c, maxPipelined, 1)[0].Fail() // the connection stays open
	readAnswer(t, c)
}

// TestClientThatReadsNothingIsClosed guards against answers that stay in memory for a client that does not read: its
// connection is closed once it has accepted nothing for slowReaderTimeout, and nothing of it stays in flight.
func TestClientThatReadsNothingIsClosed(t *testing.T) {
	s := startServer(t, 192<<20)
	c := s.dial(t)
	for _, request := range s.send(t, c, 0, maxPipelined) {
		request.Answer(value(request.Command.ID, 2*largestValue))
	}
	const counter = "peers that read too slowly"
	closedBefore := counterValue(counter)
	owner := s.onlySession(t)
	waitFor(t, "the connection is closed", func() bool {
		if owner.noRoomSince.Load() > 0 {
			s.ahead.Add(slowReaderTimeout + 1)
			s.sweep()
		}
		return len(s.allSessions()) == 0
	})
	if closed := counterValue(counter) - closedBefore; closed != 1 {
		t.Errorf("closed as a slow reader %d times", closed)
	}
	waitFor(t, "no bytes in flight", func() bool { return s.inFlightBytes.Load() == 0 })
}

// TestSlowReaderTimeout checks that a connection may have no room for slowReaderTimeout, and that an answer that was
// accepted meanwhile starts the time anew.
func TestSlowReaderTimeout(t *testing.T) {
	c := &session{server: New(func() int64 { return 1 }, &countingHandler{}, Config{MaxConnections: 32, MemoryLimit: 1 << 20})}
	if c.readsTooSlowly(1 << 60) {
		t.Error("too slow though no answer waits for room")
	}
	c.noRoomSince.Store(1000)
	if c.readsTooSlowly(1000 + slowReaderTimeout) {
		t.Error("too slow before the timeout")
	}
	if !c.readsTooSlowly(1001 + slowReaderTimeout) {
		t.Error("not too slow after the timeout")
	}
	c.answerWritten(0, nil)
	if c.readsTooSlowly(1 << 60) {
		t.Error("too slow though an answer was accepted")
	}
}

// TestHeldAnswersAreLimited guards against answers held back behind slow commands that use up the router's memory. A
// session with more than its share gets errors in place of values, no command is left without an answer, and another
// session is served all the while.
func TestHeldAnswersAreLimited(t *testing.T) {
	const memoryLimit = 16 << 20 // of which 2 MiB may be in flight
	s := startServer(t, memoryLimit)
	c, other := s.dial(t), s.dial(t)
	requests := s.send(t, c, 0, maxPipelined)
	for _, request := range requests[1:] {
		request.Answer(value(request.Command.ID, largestValue))
	}
	if inFlight, limit := s.inFlightBytes.Load(), int64(memoryLimit/inFlightMemoryDivisor); inFlight > limit || inFlight < limit/2 {
		t.Errorf("%d bytes are in flight, the limit is %d", inFlight, limit)
	}
	for id := range 3 { // values of the largest size
		s.send(t, other, 1000+id, 1)[0].Answer(value(fmt.Sprint(1000+id), largestValue))
		if answer := readAnswer(t, other); !isValueOf(answer, 1000+id) {
			t.Errorf("the other client got %.80q", answer)
		}
	}
	requests[0].Fail()
	readAnswer(t, c)
	values := 0
	for id := 1; id < maxPipelined; id++ {
		answer := readAnswer(t, c)
		if isValueOf(answer, id) {
			values++
		} else if !isError(answer, pgwire.CodeOutOfMemory) {
			t.Errorf("command %d got %.80q", id, answer)
		}
	}
	if values < 16 {
		t.Errorf("%d of %d values were held", values, maxPipelined-1)
	}
	waitFor(t, "no bytes in flight", func() bool { return s.inFlightBytes.Load() == 0 })
}

// TestSessionOverItsShareStaysOpen guards against closing a session that is over its share because of values that are
// held back: its further commands are rejected, and all are answered.
func TestSessionOverItsShareStaysOpen(t *testing.T) {
	const accepted, rejected = 40, 300
	s := startServer(t, 16<<20)
	c := s.dial(t)
	requests := s.send(t, c, 0, accepted)
	for _, request := range requests[1:] {
		request.Answer(value(request.Command.ID, largestValue))
	}
	owner := s.onlySession(t)
	before := counterValue("commands over in-flight limits")
	writeCommands(t, c, accepted, rejected)
	waitFor(t, "the commands are rejected", func() bool {
		return counterValue("commands over in-flight limits")-before == rejected || owner.isClosing()
	})
	requests[0].Fail()
	for id := range accepted + rejected {
		if answer := readAnswer(t, c); id >= accepted && !isError(answer, pgwire.CodeRejected) {
			t.Fatalf("command %d got %.80q", id, answer)
		}
	}
}

// TestSessionOverItsShareIsRejected checks that a session whose held answers use up the shared part of the limit gets no
// further command accepted, that another one does, and that nothing stays in flight once the client has disconnected.
func TestSessionOverItsShareIsRejected(t *testing.T) {
	s := startServer(t, 16<<20)
	c := s.dial(t)
	requests := s.send(t, c, 0, maxPipelined-1)
	owner := s.onlySession(t)
	for _, request := range requests[1:] {
		request.Answer(value(request.Command.ID, largestValue))
	}
	other := inflight.NewRequest(&pgwire.Command{}, nil, 0, -1, 0)
	if got := owner.admit(1, other); got != overLimits {
		t.Errorf("a command over the limit: %v", got)
	}
	newcomer := &session{server: s.Server}
	if got := newcomer.admit(1, other); got != admitted {
		t.Errorf("a command of another session: %v", got)
	}
	c.Close()
	waitFor(t, "no bytes in flight", func() bool { return s.inFlightBytes.Load() == 0 })
	if abandoned := <-s.abandoned; abandoned != requests[0] || len(s.abandoned) > 0 {
		t.Error("not exactly the unanswered command was abandoned")
	}
}

// TestCancelWhileAnswersWaitForRoom guards against a cancel that replaces an answer which is known and only waits for
// room on the connection: it must end the first command that has no answer yet.
func TestCancelWhileAnswersWaitForRoom(t *testing.T) {
	s := startServer(t, 192<<20)
	c := s.dial(t)
	requests := s.send(t, c, 0, maxPipelined)
	owner := s.onlySession(t)
	last := maxPipelined - 1
	for _, request := range requests[:last] {
		request.Answer(value(request.Command.ID, 2*largestValue))
	}
	waitFor(t, "answers wait for room", func() bool { return owner.noRoomSince.Load() > 0 })
	if !owner.cancelNext(s.now()) || owner.cancelNext(s.now()) {
		t.Error("not exactly one command was cancelled")
	}
	if cancelled := <-s.abandoned; cancelled != requests[last] {
		t.Errorf("command %s was cancelled", cancelled.Command.ID)
	}
	for id := range last {
		if answer := readAnswer(t, c); !isValueOf(answer, id) {
			t.Fatalf("command %d got %.80q", id, answer)
		}
	}
	if answer := readAnswer(t, c); !isError(answer, pgwire.CodeCanceled) {
		t.Errorf("the cancelled command got %.80q", answer)
	}
	waitFor(t, "no bytes in flight", func() bool { return s.inFlightBytes.Load() == 0 })
}

// TestDrainWritesHeldAnswers checks that a session which is closed because the router drains gets all of its answers
// first, though not all of them have room on the connection at once.
func TestDrainWritesHeldAnswers(t *testing.T) {
	s := startServer(t, 192<<20)
	c := s.dial(t)
	requests := s.send(t, c, 0, maxPipelined)
	s.BeginDrain()
	for i := range requests { // the first one last
		request := requests[len(requests)-1-i]
		request.Answer(value(request.Command.ID, 2*largestValue))
	}
	for id := range requests {
		if answer := readAnswer(t, c); !isValueOf(answer, id) {
			t.Fatalf("command %d got %.80q", id, answer)
		}
	}
	if n, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after the last answer: %d bytes, %v", n, err)
	}
}

// TestEachCommandGetsOneAnswerInOrder plays seeded orders of answers of all sizes, failures and cancels, to a client
// that pauses while it reads: each command must get one answer, in the order of the commands, and nothing may stay in
// flight.
func TestEachCommandGetsOneAnswerInOrder(t *testing.T) {
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := startServer(t, 64<<20)
		c := s.dial(t)
		requests := s.send(t, c, 0, maxPipelined)
		owner := s.onlySession(t)
		go func() {
			for _, i := range random.Perm(len(requests)) {
				request := requests[i]
				switch random.IntN(8) {
				case 0:
					request.Fail()
				case 1:
					request.Reject(1000)
				case 2:
					owner.cancelNext(s.now())
					fallthrough
				default:
					request.Answer(value(request.Command.ID, random.IntN(2*largestValue)))
				}
			}
		}()
		pauses := rand.New(rand.NewPCG(seed, 2))
		for id := range requests {
			if pauses.IntN(16) == 0 {
				time.Sleep(time.Duration(pauses.IntN(20)) * time.Millisecond)
			}
			if answer := readAnswer(t, c); answer[0] != 'E' && !isValueOf(answer, id) {
				t.Fatalf("seed %d: command %d got %.80q", seed, id, answer)
			}
		}
		waitFor(t, "no bytes in flight", func() bool { return s.inFlightBytes.Load() == 0 })
		c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if n, _ := c.Read(make([]byte, 1)); n > 0 {
			t.Errorf("seed %d: bytes after the last answer", seed)
		}
	}
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

// TestRejectedCommandsBehindSlowCommandAreAnswered guards against commands without an answer: those over the limit of a
// connection are rejected in their turn, and after 64 rejections behind a slow command the connection was closed, so
// that all further commands had none.
func TestRejectedCommandsBehindSlowCommandAreAnswered(t *testing.T) {
	const rejected = 400
	s := startServer(t, 192<<20)
	c := s.dial(t)
	requests := s.send(t, c, 0, maxPipelined)
	owner := s.onlySession(t)
	before := counterValue("commands over in-flight limits")
	writeCommands(t, c, maxPipelined, rejected)
	waitFor(t, "the commands are rejected", func() bool {
		return counterValue("commands over in-flight limits")-before == rejected || owner.isClosing()
	})
	for _, request := range requests {
		request.Fail()
	}
	for id := range maxPipelined + rejected {
		want := pgwire.CodeSystemError
		if id >= maxPipelined {
			want = pgwire.CodeRejected
		}
		if answer := readAnswer(t, c); !isError(answer, want) {
			t.Fatalf("command %d got %.80q, want %s", id, answer, want)
		}
	}
	waitFor(t, "no bytes in flight", func() bool { return s.inFlightBytes.Load() == 0 })
	s.send(t, c, maxPipelined+rejected, 1)[0].Fail() // the connection stays open
	readAnswer(t, c)
}

// TestRejectionsAreLimitedByMemory guards against rejections that use up the memory for bytes in flight: a client that
// goes on sending behind a slow command gets a last error once it has more than its share, and the accepted commands
// are answered before it.
func TestRejectionsAreLimitedByMemory(t *testing.T) {
	const memoryLimit = 1 << 20
	s := startServer(t, memoryLimit)
	c := s.dial(t)
	requests := s.send(t, c, 0, maxPipelined)
	owner := s.onlySession(t)
	writeCommands(t, c, maxPipelined, 4000)
	waitFor(t, "the connection is to be closed", owner.isClosing)
	if inFlight, limit := s.inFlightBytes.Load(), int64(memoryLimit/inFlightMemoryDivisor); inFlight > limit {
		t.Errorf("%d bytes are in flight, the limit is %d", inFlight, limit)
	}
	for _, request := range requests {
		request.Fail()
	}
	for range requests {
		if answer := readAnswer(t, c); !isError(answer, pgwire.CodeSystemError) {
			t.Fatalf("an accepted command got %.80q", answer)
		}
	}
	rest, err := io.ReadAll(c)
	if err != nil || !bytes.Contains(rest, []byte("SFATAL\x00")) {
		t.Errorf("the connection ended with %.80q, %v", rest[max(0, len(rest)-80):], err)
	}
}
