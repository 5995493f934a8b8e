package engine

import (
	"container/heap"
	"sync"
)

// event is a call to be made on the engine's goroutine.
type event struct {
	at     int64 // us: when the event happened, or when the timer is due
	handle func(now int64)
}

// eventQueue passes events from any goroutine to the engine's goroutine in the order in which they were posted.
type eventQueue struct {
	mu      sync.Mutex
	events  []event
	stopped bool
	posted  chan struct{} // holds a value if events may have been posted since the last take
}

// post adds an event; it never blocks.
func (q *eventQueue) post(ev event) {
	q.mu.Lock()
	q.events = append(q.events, ev)
	q.mu.Unlock()
	q.wake()
}

// take removes and returns all events.
func (q *eventQueue) take() (events []event, stopped bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	events = q.events
	q.events = nil
	return events, q.stopped
}

// stop makes all later calls of take report stopped.
func (q *eventQueue) stop() {
	q.mu.Lock()
	q.stopped = true
	q.mu.Unlock()
	q.wake()
}

func (q *eventQueue) wake() {
	select {
	case q.posted <- struct{}{}:
	default: // a wakeup is pending already
	}
}

// timer is an event that is due later.
type timer struct {
	event
	position int // in the queue, -1 once it has been removed
}

// timerQueue is a heap of timers, earliest first. Len, Less, Swap, Push and Pop are called only by container/heap.
type timerQueue []*timer

// add adds a timer for an event.
func (t *timerQueue) add(ev event) *timer {
	added := &timer{event: ev}
	heap.Push(t, added)
	return added
}

// pop removes the earliest timer; there must be one.
func (t *timerQueue) pop() *timer { return heap.Pop(t).(*timer) }

// remove removes a timer, with all that its function references, unless it has been removed before.
func (t *timerQueue) remove(one *timer) {
	if one != nil && one.position >= 0 {
		heap.Remove(t, one.position)
	}
}

// next returns the time at which the earliest timer is due; there must be one.
func (t timerQueue) next() int64 { return t[0].at }

// Len implements heap.Interface.
func (t timerQueue) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timerQueue) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap implements heap.Interface.
func (t timerQueue) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].position = i
	t[j].position = j
}

// Push implements heap.Interface.
func (t *timerQueue) Push(added any) {
	one := added.(*timer)
	one.position = len(*t)
	*t = append(*t, one)
}

// Pop implements heap.Interface.
func (t *timerQueue) Pop() any {
	last := len(*t) - 1
	removed := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	removed.position = -1
	return removed
}

// unansweredCount counts the requests without a final answer.
type unansweredCount struct {
	mu          sync.Mutex
	count       int
	reachedZero chan struct{} // holds a value once the count has dropped to zero
}

func (c *unansweredCount) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

func (c *unansweredCount) add(change int) {
	c.mu.Lock()
	c.count += change
	zero := c.count == 0
	c.mu.Unlock()
	if !zero {
		return
	}
	select {
	case c.reachedZero <- struct{}{}:
	default: // the previous value has not been received yet
	}
}
