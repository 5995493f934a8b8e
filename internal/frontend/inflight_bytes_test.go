package frontend

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/stream"
)

// TestHeldAnswersAreLimited guards against answers held back behind slow commands that use up the router's memory. A
// session with more than its share gets errors in place of large values, no command is left without an answer, and
// another session is served all the while.
func TestHeldAnswersAreLimited(t *testing.T) {
	const memoryLimit = 16 << 20 // of which 2 MiB may be in flight
	s := startServer(t, memoryLimit)
	c, other := s.dial(t), s.dial(t)
	requests := s.send(t, c, 0, maxPipelined)
	last := maxPipelined - 1
	answerAll(requests[1:last], largestValue)
	requests[last].Answer(value(requests[last].Command.ID, 100)) // is kept, because it is small
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
		if id == last && !isValueOf(answer, id) {
			t.Errorf("the small value was replaced by %.80q", answer)
		}
		if isValueOf(answer, id) {
			values++
		} else if !isError(answer, pgwire.CodeOutOfMemory) {
			t.Errorf("command %d got %.80q", id, answer)
		}
	}
	if values < 16 {
		t.Errorf("%d of %d values were held", values, maxPipelined-1)
	}
	s.checkNoneInFlight(t)
}

// TestSessionOverItsShareStaysOpen guards against closing a session that is over its share because of values that are
// held back: its further commands are rejected, and all are answered.
func TestSessionOverItsShareStaysOpen(t *testing.T) {
	const accepted, rejected = 40, 300
	s := startServer(t, 16<<20)
	c := s.dial(t)
	requests := s.send(t, c, 0, accepted)
	answerAll(requests[1:], largestValue)
	owner := s.onlySession(t)
	s.sendRejected(t, c, owner, accepted, rejected)
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
	answerAll(requests[1:], largestValue)
	other := inflight.NewRequest(&pgwire.Command{}, nil, 0, -1, 0)
	if got := owner.admit(1, other); got != overLimits {
		t.Errorf("a command over the limit: %v", got)
	}
	newcomer := &session{server: s.Server, stream: &stream.Stream{}}
	if got := newcomer.admit(1, other); got != admitted {
		t.Errorf("a command of another session: %v", got)
	}
	newcomer.addInFlight(-newcomer.answers[0].cost())
	newcomer.addCommands(-1)
	c.Close()
	s.checkNoneInFlight(t)
	if abandoned := <-s.abandoned; abandoned != requests[0] || len(s.abandoned) > 0 {
		t.Error("not exactly the unanswered command was abandoned")
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
	s.sendRejected(t, c, owner, maxPipelined, rejected)
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
	s.checkNoneInFlight(t)
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
	eventually(t, "the connection is to be closed", owner.isClosing)
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

// TestCommandsOfAllSessionsAreLimited guards against hundreds of clients that each send many commands at once and so cost
// the others the processor: sessions with more than an equal share are rejected first, and one with none is accepted.
func TestCommandsOfAllSessionsAreLimited(t *testing.T) {
	s := startServer(t, 192<<20)
	s.limits.commands = 100
	s.limits.sharedCommands = 75
	var requests []*inflight.Request
	for i := range 2 {
		c := s.dial(t)
		writeCommands(t, c, 100*i, maxPipelined)
	}
	eventually(t, "the shared part is used up", func() bool { return s.commands.Load() == s.limits.sharedCommands })
	other := s.dial(t)
	requests = append(requests, s.send(t, other, 1000, 1)...)
	for range int(s.limits.sharedCommands) {
		requests = append(requests, <-s.submitted)
	}
	for _, request := range requests {
		request.Fail()
	}
	eventually(t, "no commands in flight", func() bool { return s.commands.Load() == 0 })
}
