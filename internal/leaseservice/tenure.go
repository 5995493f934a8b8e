package leaseservice

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cairntiller/internal/lease"
)

// ErrNotHeld tells that an act may not begin: the lease is not held, or not for as long as the act may take.
var ErrNotHeld = errors.New("the lease is not held for long enough")

// Change is what happened to a tenure.
type Change uint8

// The changes.
const (
	Acquired Change = iota + 1
	Extended
	Lost
	YieldRequested // somebody else should have it: end what runs under it and call Release
)

// Event is one change. Until is on the leases' clock.
type Event struct {
	Change       Change
	Term         uint64
	Until        int64
	Next, Reason string
}

// Tenure is a lease that is wanted, and perhaps held. Its methods may be called from any goroutine.
type Guard struct {
	l    *Service
	name string
	on   func(Event) // must not block; nil where the tenure itself yields
	held atomic.Pointer[grant]

	mu    sync.Mutex
	acts  int
	shut  bool // no act may begin: it is being given up
	ended chan struct{}
	stops map[int]context.CancelFunc // of the acts that run
	next  int
}

type grant struct {
	term  uint64
	until int64
}

// Held is the term under which the lease is held and until when, 0 where it is not held any more.
func (t *Guard) Held() (term uint64, until int64) {
	if g := t.held.Load(); g != nil && t.l.clock() < g.until {
		return g.term, g.until
	}
	return 0, 0
}

// Do runs an act under the lease, if it is held for as long as the act may take at most. The check is the last thing
// before the act; the act gets the term, to be passed on to whoever can check it, and a context that ends at its bound
// and where the lease is lost. What it does must be over then. A process that is stopped between the check and the act
// acts late: only a receiver that checks the term, or one that ends the act from outside, closes that.
func (t *Guard) Do(ctx context.Context, bound time.Duration, act func(ctx context.Context, term uint64) error) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	t.mu.Lock()
	if t.shut {
		t.mu.Unlock()
		return ErrNotHeld
	}
	t.acts++
	t.next++
	number := t.next
	t.stops[number] = cancel
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.acts--
		delete(t.stops, number)
		if t.acts == 0 && t.ended != nil {
			close(t.ended)
			t.ended = nil
		}
		t.mu.Unlock()
	}()
	g := t.held.Load()
	if g == nil || t.l.clock()+bound.Microseconds() > g.until {
		turnedAway.Add()
		return ErrNotHeld
	}
	err := act(ctx, g.term)
	if now := t.held.Load(); t.l.clock() > g.until && (now == nil || now.term != g.term || t.l.clock() > now.until) {
		overran.Add()
	}
	return err
}

// close lets no act begin any more and waits for those that run.
func (t *Guard) close() {
	t.mu.Lock()
	t.shut = true
	for _, cancel := range t.stops {
		cancel()
	}
	var wait chan struct{}
	if t.acts > 0 {
		if t.ended == nil {
			t.ended = make(chan struct{})
		}
		wait = t.ended
	}
	t.mu.Unlock()
	if wait != nil {
		<-wait
	}
}

func (t *Guard) open() {
	t.mu.Lock()
	t.shut = false
	t.mu.Unlock()
}

// Release ends the acts that run and gives the lease up, to whoever is named where that waits, else to who waits
// first. The wish stays.
func (t *Guard) Release(next string) {
	t.close()
	t.l.call(func(now int64) {
		t.held.Store(nil)
		t.l.claimant.Release(now, t.name, next)
		t.open()
	})
}

// Drop ends the acts that run, gives the lease up and wishes for it no more.
func (t *Guard) Withdraw() {
	t.close()
	t.l.call(func(now int64) {
		t.held.Store(nil)
		t.l.claimant.Withdraw(now, t.name)
		delete(t.l.tenures, t.name)
	})
}

// Abandon wishes for the lease no more and lets it run out: what runs under it can't be known to have ended.
func (t *Guard) Abandon() {
	t.l.call(func(now int64) {
		t.l.claimant.Abandon(now, t.name)
		delete(t.l.tenures, t.name)
	})
}

// heard takes what became of the lease, on the candidate's goroutine.
func (t *Guard) heard(action lease.Action) {
	var e Event
	switch a := action.(type) {
	case lease.Acquired:
		e = Event{Change: Acquired, Term: a.Term, Until: a.Until}
		t.held.Store(&grant{a.Term, a.Until})
	case lease.Extended:
		e = Event{Change: Extended, Term: a.Term, Until: a.Until}
		t.held.Store(&grant{a.Term, a.Until})
	case lease.Lost:
		e = Event{Change: Lost, Term: a.Term, Reason: a.Reason}
		t.held.Store(nil)
		t.mu.Lock()
		for _, cancel := range t.stops {
			cancel()
		}
		t.mu.Unlock()
	case lease.YieldRequested:
		e = Event{Change: YieldRequested, Term: a.Term, Next: a.Next, Reason: a.Reason}
		if t.on == nil {
			go t.Release(a.Next)
			return
		}
	}
	if t.on != nil {
		t.on(e)
	}
}
