package frontend

import (
	"fmt"
	"testing"

	"cairntiller/internal/pgwire"
)

// TestLightSessionGoesBeforeHeavyOnes plays sessions that always want a turn, and one that wants one now and then: that
// one waits for the turn that is taken and for no other.
func TestLightSessionGoesBeforeHeavyOnes(t *testing.T) {
	const heavy = 5
	scheduler := &inputScheduler{now: func() int64 { return 0 }, free: 1}
	order := make(chan string, 100)
	next := make(chan int64) // the cost of the turn
	run := func(c *session, name string, turns int) {
		for range turns {
			turn := scheduler.begin(c)
			order <- name
			scheduler.end(turn, <-next)
		}
	}
	for i := range heavy {
		go run(&session{}, fmt.Sprint("heavy", i), 100)
	}
	light := &session{handledUntil: 1} // it has had a turn
	for round := range int64(10) {
		for i := range int64(2*heavy + 1) {
			<-order
			eventually(t, "all other heavy sessions wait", func() bool { return scheduler.waitingTurns() == heavy-1 })
			next <- 100 + 7*i + round
		}
		first := <-order
		eventually(t, "all other heavy sessions wait", func() bool { return scheduler.waitingTurns() == heavy-1 })
		go run(light, "light", 1)
		eventually(t, "the light session waits too", func() bool { return scheduler.waitingTurns() == heavy })
		next <- 100
		if second := <-order; second != "light" || first == "light" {
			t.Fatalf("%s was followed by %s", first, second)
		}
		next <- 10
	}
}

// TestNewSessionsDoNotStarveOthers plays clients that take one turn on a connection and open a new one: a session that has
// had a turn gets its next one all the same.
func TestNewSessionsDoNotStarveOthers(t *testing.T) {
	scheduler := &inputScheduler{now: func() int64 { return 0 }, free: 1}
	old := &session{}
	scheduler.end(scheduler.begin(old), 50)
	current := scheduler.begin(&session{})
	wait := func(c *session) chan *inputTurn {
		granted := make(chan *inputTurn, 1)
		before := scheduler.waitingTurns()
		go func() { granted <- scheduler.begin(c) }()
		eventually(t, "the session waits", func() bool { return scheduler.waitingTurns() > before })
		return granted
	}
	fresh := []chan *inputTurn{wait(&session{}), wait(&session{}), wait(&session{})}
	oldTurn := wait(old)
	for range 20 {
		scheduler.end(current, 50)
		select {
		case <-oldTurn:
			return
		case current = <-fresh[0]:
		}
		fresh = append(fresh[1:], wait(&session{}))
	}
	t.Error("a session that has had one turn got no other one in 20 turns of new sessions")
}

// waitingTurns returns the number of turns that are waited for.
func (s *inputScheduler) waitingTurns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// TestCommandsOfClientBehindAreRejected guards against commands that are forwarded although nobody can tell whether their
// client is still there, since its input has not been read for too long. They are answered, and later ones are accepted.
func TestCommandsOfClientBehindAreRejected(t *testing.T) {
	s := startServer(t, 192<<20)
	c := s.dial(t)
	hold := s.input.begin(&session{}) // no input is handled meanwhile
	writeCommands(t, c, 0, 1)
	owner := s.onlySession(t)
	eventually(t, "the client is behind", owner.fallsBehind)
	if owner.Connected() {
		t.Error("the client is said to be connected")
	}
	s.input.end(hold, 1)
	if answer := readAnswer(t, c); !isError(answer, pgwire.CodeRejected) || len(s.submitted) > 0 {
		t.Errorf("%d commands accepted, the client got %.80q", len(s.submitted), answer)
	}
	eventually(t, "the client is not behind any more", owner.Connected)
	s.send(t, c, 1, 1)[0].Fail()
	readAnswer(t, c)
}
