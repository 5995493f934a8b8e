package frontend

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
)

// TestHeldAnswersArriveBehindSlowCommand guards against closing the connection of a client that reads at full speed:
// answers of 4 MiB in all, held back behind a slow command, became due at once and were taken for a slow reader's.
func TestHeldAnswersArriveBehindSlowCommand(t *testing.T) {
	s := startServer(t, 192<<20)
	c := s.dial(t)
	requests := s.send(t, c, 0, maxPipelined)
	answerAll(requests[1:], largestValue)
	if held := s.inFlightBytes.Load(); held < (maxPipelined-1)*largestValue {
		t.Errorf("%d bytes are in flight while %d values of 64 KiB are held back", held, maxPipelined-1)
	}
	requests[0].Fail()
	if answer := readAnswer(t, c); !isError(answer, pgwire.CodeSystemError) {
		t.Errorf("slow command: %.80q", answer)
	}
	readValues(t, c, 1, maxPipelined-1)
	s.checkNoneInFlight(t)
	s.send(t, c, maxPipelined, 1)[0].Fail() // the connection stays open
	readAnswer(t, c)
}

// TestClientThatReadsNothingIsClosed guards against answers that stay in memory for a client that does not read: its
// connection is closed once it has accepted nothing for slowReaderTimeout, and nothing of it stays in flight.
func TestClientThatReadsNothingIsClosed(t *testing.T) {
	s := startServer(t, 192<<20)
	c := s.dial(t)
	answerAll(s.send(t, c, 0, maxPipelined), 2*largestValue)
	const counter = "peers that read too slowly"
	closedBefore := metrics.Value(counter)
	owner := s.onlySession(t)
	eventually(t, "the connection is closed", func() bool {
		if owner.noRoomSince.Load() > 0 { // the server's own sweep finds it
			s.ahead.Add(slowReaderTimeout + 1)
		}
		return len(s.allSessions()) == 0
	})
	if closed := metrics.Value(counter) - closedBefore; closed != 1 {
		t.Errorf("closed as a slow reader %d times", closed)
	}
	s.checkNoneInFlight(t)
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

// TestCancelWhileAnswersWaitForRoom guards against a cancel that replaces an answer which is known and only waits for
// room on the connection: it must end the first command that has no answer yet.
func TestCancelWhileAnswersWaitForRoom(t *testing.T) {
	s := startServer(t, 192<<20)
	c := s.dial(t)
	requests := s.send(t, c, 0, maxPipelined)
	owner := s.onlySession(t)
	last := maxPipelined - 1
	answerAll(requests[:last], 2*largestValue)
	eventually(t, "answers wait for room", func() bool { return owner.noRoomSince.Load() > 0 })
	if !owner.cancelNext(s.now()) || owner.cancelNext(s.now()) {
		t.Error("not exactly one command was cancelled")
	}
	if cancelled := <-s.abandoned; cancelled != requests[last] {
		t.Errorf("command %s was cancelled", cancelled.Command.ID)
	}
	readValues(t, c, 0, last)
	if answer := readAnswer(t, c); !isError(answer, pgwire.CodeCanceled) {
		t.Errorf("the cancelled command got %.80q", answer)
	}
	s.checkNoneInFlight(t)
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
	readValues(t, c, 0, len(requests))
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
		s.checkNoneInFlight(t)
		c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if n, _ := c.Read(make([]byte, 1)); n > 0 {
			t.Errorf("seed %d: bytes after the last answer", seed)
		}
	}
}

// TestDrainWaitsForInputBeingHandled guards against commands that were read and get no answer, since the router begins to
// drain in the middle of the piece of input that they came in.
func TestDrainWaitsForInputBeingHandled(t *testing.T) {
	s := startServer(t, 192<<20)
	c := s.dial(t)
	s.send(t, c, 0, 1)[0].Fail()
	readAnswer(t, c)
	owner := s.onlySession(t)
	owner.setHandlingInput(true)
	s.BeginDrain()
	if owner.isClosing() {
		t.Error("the session closes while it handles input")
	}
	owner.setHandlingInput(false)
	if !owner.isClosing() {
		t.Error("the session stays open after its input was handled")
	}
}
