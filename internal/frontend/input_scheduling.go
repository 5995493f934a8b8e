package frontend

import (
	"container/heap"
	"sync"
	"time"
)

// Input of sessions is handled in turns, by start-time fair queueing: a session that has used little of the time for
// input goes before one that has used much, so that a client that sends at full speed delays the others by one turn. A
// turn reads and handles one piece of input. What waits is in the kernel.

// maxInputLag is how long a client's input may arrive faster than it is handled until its commands are rejected. Behind
// unread input nobody can tell whether the client is still connected, and a command must not begin much later than 0.1 s
// after its client has gone.
const maxInputLag = 50 * time.Millisecond

// discardInterval is the time between two reads of input that is discarded.
const discardInterval = 5 * time.Millisecond

// What a turn costs is worked out from the input, not from the time that it took: a session whose goroutine was held up
// during its turn has not used more of the processor.
const (
	// messageCost is the cost of a message, in the unit of the scheduler: about a microsecond of handling.
	messageCost = 2
	// bytesPerCost is the number of bytes that cost one unit more.
	bytesPerCost = 256
	// newSessionCharge is what a session has used when it asks for its first turn, so that a client does not get ahead of
	// the others by opening a connection for each command.
	newSessionCharge = 1_000
)

// inputScheduler grants turns. Its methods may be called from any goroutine.
type inputScheduler struct {
	now func() int64 // us

	mu          sync.Mutex
	free        int   // turns that may be taken at once
	virtualTime int64 // in units of cost: the start of the latest turn granted
	turns       int64 // asked for
	waiting     turnQueue
}

// inputTurn is a turn of a session that is waited for or taken.
type inputTurn struct {
	session *session
	start   int64 // in units of cost: the session's place in the queue
	number  int64 // decides between equal starts
	granted chan struct{}
	beganAt int64 // us
	skipped bool  // the session was closed while it waited: no turn was taken
}

// begin waits for a turn of the session.
func (s *inputScheduler) begin(c *session) *inputTurn {
	s.mu.Lock()
	s.turns++
	if c.handledUntil == 0 {
		c.handledUntil = s.virtualTime + newSessionCharge
	}
	turn := &inputTurn{session: c, start: max(c.handledUntil, s.virtualTime), number: s.turns}
	if s.free > 0 {
		s.free--
		s.virtualTime = turn.start
		s.mu.Unlock()
		turn.beganAt = s.now()
		return turn
	}
	turn.granted = make(chan struct{})
	heap.Push(&s.waiting, turn)
	c.waitingTurn = turn
	s.mu.Unlock()
	asked := s.now()
	<-turn.granted
	turn.beganAt = s.now()
	longestInputWait.RaiseTo(turn.beganAt - asked)
	return turn
}

// skip ends the session's wait for a turn, if it waits, without a turn.
func (s *inputScheduler) skip(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if turn := c.waitingTurn; turn != nil {
		turn.skipped = true
		s.grant(turn)
	}
}

// grant ends the wait for a turn. The caller must hold s.mu.
func (s *inputScheduler) grant(turn *inputTurn) {
	turn.session.waitingTurn = nil
	close(turn.granted)
}

// end ends a turn of the given cost, and grants one to the waiting session that has used the least.
func (s *inputScheduler) end(turn *inputTurn, cost int64) {
	if turn.skipped {
		return
	}
	turn.session.usage.handling.Add(s.now() - turn.beganAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	turn.session.handledUntil = turn.start + max(1, cost)
	for len(s.waiting) > 0 {
		next := heap.Pop(&s.waiting).(*inputTurn)
		if next.skipped {
			continue
		}
		s.virtualTime = max(s.virtualTime, next.start)
		s.grant(next)
		return
	}
	s.free++
}

// turnQueue is a heap of turns, earliest start first. Its methods are called only by container/heap.
type turnQueue []*inputTurn

// Len implements heap.Interface.
func (q turnQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q turnQueue) Less(i, j int) bool {
	if q[i].start != q[j].start {
		return q[i].start < q[j].start
	}
	return q[i].number < q[j].number
}

// Swap implements heap.Interface.
func (q turnQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *turnQueue) Push(turn any) { *q = append(*q, turn.(*inputTurn)) }

// Pop implements heap.Interface.
func (q *turnQueue) Pop() any {
	last := len(*q) - 1
	turn := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return turn
}

// handleInput takes a turn in which read reads and handles a piece of the session's input. Input of a session that is
// closing is only discarded; it is read now and then, without a turn, while the last answers are on their way.
func (c *session) handleInput(read func()) {
	if c.isClosing() {
		time.Sleep(discardInterval)
		read()
		c.submitAdmitted() // those that were admitted before
		return
	}
	turn := c.server.input.begin(c)
	costBefore := c.usage.cost()
	read()
	c.server.input.end(turn, c.usage.cost()-costBefore)
	c.submitAdmitted()
}

// fallsBehind reports whether the client has been sending faster than its input is handled for too long.
func (c *session) fallsBehind() bool { return c.stream.Behind() > maxInputLag }
