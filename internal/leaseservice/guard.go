package leaseservice

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// ErrNotHeld means that an operation must not start: the lease is not held, or may end before the operation does.
var ErrNotHeld = errors.New("the lease is not held for long enough")

// Change is the kind of an Event.
type Change uint8

// Kinds of changes.
const (
	Acquired Change = iota + 1
	Extended
	Lost
	YieldRequested // another member should have the lease: end what runs under it and call Guard.Release
)

// String returns the change's name as operators' commands read it. A command may be of another version of the program,
// so the names must not change.
func (c Change) String() string {
	switch c {
	case Acquired:
		return "held"
	case Extended:
		return "extended"
	case Lost:
		return "lost"
	case YieldRequested:
		return "wanted"
	}
	return ""
}

// Event reports one change. Until is on the leases' clock, in us.
type Event struct {
	Change Change
	Term   uint64
	Until  int64  // Acquired, Extended
	Next   string // YieldRequested: member that is first in the queue, "" if none is known
	Reason string // Lost, YieldRequested
}

// Guard represents a lease that this instance requests and may hold; operations under the lease run through it. Its
// methods may be called from any goroutine.
type Guard struct {
	service *Service
	lease   string
	onEvent func(Event) // must not block; nil if the guard yields by itself
	held    atomic.Pointer[heldLease]

	mu            sync.Mutex
	closing       bool // no operation may start, because the lease is being released
	cancels       map[int]context.CancelFunc
	lastOperation int
	allEnded      chan struct{} // closed when the last running operation has ended; nil if close does not wait
}

// heldLease is the term under which a lease is held, until when, and since when.
type heldLease struct {
	term  uint64
	until int64
	since int64
}

func newGuard(s *Service, lease string, onEvent func(Event)) *Guard {
	return &Guard{service: s, lease: lease, onEvent: onEvent, cancels: map[int]context.CancelFunc{}}
}

// Held returns the term under which the lease is held and until when, in us of the leases' clock; 0 if it is not held.
func (g *Guard) Held() (term uint64, until int64) {
	if t := g.held.Load(); t != nil && g.service.clock() < t.until {
		return t.term, t.until
	}
	return 0, 0
}

// Do runs an operation under the lease if the lease is held for at least the timeout; otherwise it returns ErrNotHeld.
// The operation receives the term, as a fencing token for receivers that can check it, and a context that ends at the
// timeout or when the lease is lost. The operation must have ended by then.
//
// The check is the last step before the operation. If it came earlier, the lease could pass to another instance during
// a wait in between, and two instances would act at once. A process that is stopped between the check and the operation
// still acts late; only a receiver that checks the term, or a supervisor that ends the operation from outside, prevents
// that.
func (g *Guard) Do(ctx context.Context, timeout time.Duration, operation func(ctx context.Context, term uint64) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	number, ok := g.beginOperation(cancel)
	if !ok {
		return ErrNotHeld
	}
	defer g.endOperation(number)
	held := g.held.Load()
	if held == nil || g.service.clock()+timeout.Microseconds() > held.until {
		operationsRejected.Add()
		return ErrNotHeld
	}
	err := operation(ctx, held.term)
	g.countOverrun(held)
	return err
}

// beginOperation registers a running operation, unless the lease is being released.
func (g *Guard) beginOperation(cancel context.CancelFunc) (number int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closing {
		return 0, false
	}
	g.lastOperation++
	g.cancels[g.lastOperation] = cancel
	return g.lastOperation, true
}

// endOperation removes an operation that has ended, and wakes close after the last one.
func (g *Guard) endOperation(number int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cancels, number)
	if len(g.cancels) == 0 && g.allEnded != nil {
		close(g.allEnded)
		g.allEnded = nil
	}
}

// countOverrun counts an operation that ended after its lease expired: the term under which it started is over and was
// not extended in time.
func (g *Guard) countOverrun(atStart *heldLease) {
	if g.service.clock() <= atStart.until {
		return
	}
	current := g.held.Load()
	if current == nil || current.term != atStart.term || g.service.clock() > current.until {
		operationsOverrun.Add()
	}
}

// close prevents operations from starting, cancels those that run, and waits for them.
func (g *Guard) close() {
	g.mu.Lock()
	g.closing = true
	g.cancelOperations()
	if len(g.cancels) > 0 && g.allEnded == nil {
		g.allEnded = make(chan struct{})
	}
	ended := g.allEnded
	g.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// cancelOperations cancels the contexts of running operations; the caller holds the mutex.
func (g *Guard) cancelOperations() {
	for _, cancel := range g.cancels {
		cancel()
	}
}

func (g *Guard) reopen() {
	g.mu.Lock()
	g.closing = false
	g.mu.Unlock()
}

// Release ends the running operations and hands the lease over to the member next, which the voters put at the front of
// the queue, or to the first in the queue if next is "". The request stays.
func (g *Guard) Release(next string) {
	g.close()
	g.service.onCandidate(func(now int64) {
		g.held.Store(nil)
		g.service.candidate.Release(now, g.lease, next)
		g.reopen()
	})
}

// Withdraw ends the running operations, releases the lease and ends the request.
func (g *Guard) Withdraw() {
	g.close()
	g.service.onCandidate(func(now int64) {
		g.held.Store(nil)
		g.service.candidate.Withdraw(now, g.lease)
		delete(g.service.guards, g.lease)
	})
}

// Abandon ends the request and lets the lease expire, because what runs under it may not have ended.
func (g *Guard) Abandon() {
	g.service.onCandidate(func(now int64) {
		g.service.candidate.Abandon(now, g.lease)
		delete(g.service.guards, g.lease)
	})
}

// extend records that the lease is held until a time. It runs on the candidate's goroutine, as do lose and yield.
func (g *Guard) extend(change Change, term uint64, until int64) {
	since := g.service.clock()
	if previous := g.held.Load(); previous != nil && previous.term == term {
		since = previous.since
	}
	g.held.Store(&heldLease{term, until, since})
	g.notify(Event{Change: change, Term: term, Until: until})
}

// lose records that the lease is no longer held, and cancels the operations under it.
func (g *Guard) lose(term uint64, reason string) {
	g.held.Store(nil)
	g.mu.Lock()
	g.cancelOperations()
	g.mu.Unlock()
	g.notify(Event{Change: Lost, Term: term, Reason: reason})
}

// yield asks for the release of the lease; a guard without onEvent releases it by itself.
func (g *Guard) yield(term uint64, next, reason string) {
	if g.onEvent == nil {
		go g.Release(next)
		return
	}
	g.notify(Event{Change: YieldRequested, Term: term, Next: next, Reason: reason})
}

func (g *Guard) notify(e Event) {
	if g.onEvent != nil {
		g.onEvent(e)
	}
}
