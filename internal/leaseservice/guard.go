package leaseservice

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// ErrNotHeld means that an act may not begin: the lease is not held, or not for as long as the act may take.
var ErrNotHeld = errors.New("the lease is not held for long enough")

// Change is the kind of an Event.
type Change uint8

// The changes.
const (
	Acquired Change = iota + 1
	Extended
	Lost
	YieldRequested // somebody else should have it: end what runs under it and call Guard.Release
)

// String returns the change's name as operators' commands read it. They may be of another version, so the names stay.
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

// Event is one change. Until is on the leases' clock, in us.
type Event struct {
	Change Change
	Term   uint64
	Until  int64  // Acquired, Extended
	Next   string // YieldRequested: member that waits first, "" if none is known
	Reason string // Lost, YieldRequested
}

// Guard is a lease that this instance requests, and perhaps holds; acts under the lease go through it. Its methods may be
// called from any goroutine.
type Guard struct {
	service *Service
	lease   string
	onEvent func(Event) // must not block; nil if the guard itself yields
	held    atomic.Pointer[tenure]

	mu       sync.Mutex
	closed   bool // no act may begin: the lease is being given up
	cancels  map[int]context.CancelFunc
	lastAct  int
	allEnded chan struct{} // closed when the last running act has ended; nil if nobody waits for it
}

// tenure is until when a lease is held under a term, and since when.
type tenure struct {
	term  uint64
	until int64
	since int64
}

func newGuard(s *Service, lease string, onEvent func(Event)) *Guard {
	return &Guard{service: s, lease: lease, onEvent: onEvent, cancels: map[int]context.CancelFunc{}}
}

// Held returns the term under which the lease is held and until when, in us of the leases' clock; 0 if it is not held any
// more.
func (g *Guard) Held() (term uint64, until int64) {
	if t := g.held.Load(); t != nil && g.service.clock() < t.until {
		return t.term, t.until
	}
	return 0, 0
}

// Do runs an act under the lease, if it is held for as long as the act may take at most; else it returns ErrNotHeld. The
// act gets the term, to be passed on to whoever can check it, and a context that ends at the bound and when the lease is
// lost. What it does must be over then.
//
// The check is the last thing before the act. Checked any earlier, a wait in between could let the lease pass on, and two
// instances would act at once. A process that is stopped between the check and the act still acts late: only a receiver
// that checks the term, or one that ends the act from outside, closes that.
func (g *Guard) Do(ctx context.Context, bound time.Duration, act func(ctx context.Context, term uint64) error) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	number, ok := g.beginAct(cancel)
	if !ok {
		return ErrNotHeld
	}
	defer g.endAct(number)
	held := g.held.Load()
	if held == nil || g.service.clock()+bound.Microseconds() > held.until {
		actsRejected.Add()
		return ErrNotHeld
	}
	err := act(ctx, held.term)
	g.countOverrun(held)
	return err
}

// beginAct notes that an act runs, unless the lease is being given up.
func (g *Guard) beginAct(cancel context.CancelFunc) (number int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return 0, false
	}
	g.lastAct++
	g.cancels[g.lastAct] = cancel
	return g.lastAct, true
}

// endAct notes that an act has ended, and wakes close after the last one.
func (g *Guard) endAct(number int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cancels, number)
	if len(g.cancels) == 0 && g.allEnded != nil {
		close(g.allEnded)
		g.allEnded = nil
	}
}

// countOverrun counts an act that ended after its lease had: the tenure under which it began is over and was not extended.
func (g *Guard) countOverrun(began *tenure) {
	if g.service.clock() <= began.until {
		return
	}
	now := g.held.Load()
	if now == nil || now.term != began.term || g.service.clock() > now.until {
		actsOverrun.Add()
	}
}

// close lets no act begin any more, ends those that run, and waits for them.
func (g *Guard) close() {
	g.mu.Lock()
	g.closed = true
	g.cancelActs()
	if len(g.cancels) > 0 && g.allEnded == nil {
		g.allEnded = make(chan struct{})
	}
	ended := g.allEnded
	g.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// cancelActs ends the contexts of the acts that run; the mutex is held.
func (g *Guard) cancelActs() {
	for _, cancel := range g.cancels {
		cancel()
	}
}

func (g *Guard) reopen() {
	g.mu.Lock()
	g.closed = false
	g.mu.Unlock()
}

// Release ends the acts that run and gives the lease up to the member next, which the voters put first in line, or to the
// first in line if next is "". The request stays.
func (g *Guard) Release(next string) {
	g.close()
	g.service.onCandidate(func(now int64) {
		g.held.Store(nil)
		g.service.candidate.Release(now, g.lease, next)
		g.reopen()
	})
}

// Withdraw ends the acts that run, gives the lease up and requests it no more.
func (g *Guard) Withdraw() {
	g.close()
	g.service.onCandidate(func(now int64) {
		g.held.Store(nil)
		g.service.candidate.Withdraw(now, g.lease)
		delete(g.service.guards, g.lease)
	})
}

// Abandon requests the lease no more and lets it run out: what runs under it can't be known to have ended.
func (g *Guard) Abandon() {
	g.service.onCandidate(func(now int64) {
		g.service.candidate.Abandon(now, g.lease)
		delete(g.service.guards, g.lease)
	})
}

// extend notes that the lease is held until a time. It runs on the candidate's goroutine, as lose and yield do.
func (g *Guard) extend(change Change, term uint64, until int64) {
	since := g.service.clock()
	if before := g.held.Load(); before != nil && before.term == term {
		since = before.since
	}
	g.held.Store(&tenure{term, until, since})
	g.tell(Event{Change: change, Term: term, Until: until})
}

// lose notes that the lease is held no more, and ends the acts under it.
func (g *Guard) lose(term uint64, reason string) {
	g.held.Store(nil)
	g.mu.Lock()
	g.cancelActs()
	g.mu.Unlock()
	g.tell(Event{Change: Lost, Term: term, Reason: reason})
}

// yield asks for the lease to be given up; a guard without a listener does so itself.
func (g *Guard) yield(term uint64, next, reason string) {
	if g.onEvent == nil {
		go g.Release(next)
		return
	}
	g.tell(Event{Change: YieldRequested, Term: term, Next: next, Reason: reason})
}

func (g *Guard) tell(e Event) {
	if g.onEvent != nil {
		g.onEvent(e)
	}
}
