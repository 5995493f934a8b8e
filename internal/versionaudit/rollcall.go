package versionaudit

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cairntiller/internal/codec"
	"cairntiller/internal/lease"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/membership"
	"cairntiller/internal/metrics"
	"cairntiller/internal/sexp"
)

const (
	// Lease is what the task is done under.
	LeaseName = "list-version"

	version    = 1
	lookWait   = time.Second      // for answers to one look
	lookBound  = 2 * time.Second  // of the act that a look is
	lookGap    = 5 * time.Second  // between the two looks: lists are seconds late
	firstLook  = 10 * time.Second // after a lease begins
	standEvery = 5 * time.Second  // between looks whether this instance is one to ask for the lease
	standMost  = 3                // instances that ask: enough, and a thousand would crowd the voters
	mostLength = 10_000_000       // us of the lease, where longer ones are allowed
)

var (
	calls  = metrics.New("roll calls")
	faults = metrics.New("members behind or silent at roll calls")
	unread = metrics.New("roll call messages unread")
)

var decoding = codec.StrictDecoder(4, 16, 16)

// message is a question or its answer.
type message struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Number  uint64
	Answer  bool
	List    int64
}

// Pace is how often the roll is called.
type Settings struct{ Interval int64 } // us

// Read takes it from the operator's file.
func ReadSettings(p *sexp.Part) Settings {
	return Settings{p.Duration("every", 60_000_000, 1_000_000, 86_400_000_000)}
}

// Roll is one instance's part.
type Auditor struct {
	self    string
	every   time.Duration
	leases  *leaseservice.Service
	members func() []string
	send    func(to string, kind uint8, body []byte) error
	list    atomic.Int64 // version of the list here, -1 for none yet
	over    chan struct{}
	done    sync.WaitGroup

	mu     sync.Mutex
	number uint64
	tally  *tally
	look   int
}

// New makes an instance's part.
func New(self string, pace Settings, leases *leaseservice.Service, members func() []string,
	send func(to string, kind uint8, body []byte) error) *Auditor {
	r := &Auditor{self: self, every: time.Duration(pace.Interval) * time.Microsecond, leases: leases, members: members, send: send, over: make(chan struct{})}
	r.list.Store(-1)
	return r
}

// Listed tells which version of the list this instance has now.
func (r *Auditor) SetVersion(version int64) { r.list.Store(version) }

// Start begins to stand for the task.
func (r *Auditor) Start(longest int64) { r.done.Go(func() { r.run(min(longest, mostLength)) }) }

// Stop ends this instance's part; the lease is given up by who ends the leases.
func (r *Auditor) Stop() {
	close(r.over)
	r.done.Wait()
}

func (r *Auditor) sleep(d time.Duration) bool {
	select {
	case <-r.over:
		return false
	case <-time.After(d):
		return true
	}
}

func (r *Auditor) run(length int64) {
	var t *leaseservice.Guard
	due := time.Now().Add(min(firstLook, r.every))
	for r.sleep(min(standEvery, r.every)) {
		stands := lease.Eligible(r.self, r.members(), LeaseName, standMost)
		switch {
		case stands && t == nil:
			var err error
			if t, err = r.leases.RequestLease(lease.Request{Lease: LeaseName, Length: length}, nil); err != nil {
				slog.Error("no roll calls", "err", err)
				return
			}
		case !stands && t != nil:
			if term, _ := t.Held(); term == 0 {
				t.Withdraw()
				t = nil
			}
		}
		if t == nil || time.Now().Before(due) {
			continue
		}
		if r.call(t) {
			due = time.Now().Add(r.every)
		}
	}
}

// call makes one roll call, if this instance holds the lease; each of its two looks is an act by itself.
func (r *Auditor) call(t *leaseservice.Guard) bool {
	if term, _ := t.Held(); term == 0 {
		return false
	}
	fresh := newTally(r.members())
	for look := range 2 {
		if look > 0 && !r.sleep(lookGap) {
			return false
		}
		err := t.Do(context.Background(), lookBound, func(ctx context.Context, _ uint64) error {
			r.ask(ctx, fresh, look)
			return nil
		})
		if err != nil {
			return false
		}
	}
	r.mu.Lock()
	all := fresh.judge()
	r.tally = nil
	r.mu.Unlock()
	calls.Add()
	for _, one := range all {
		faults.Add()
		slog.Warn("roll call", "member", one.Member, "fault", one.Fault.String(), "list", one.Version, "want", one.Want)
	}
	return true
}

func (r *Auditor) ask(ctx context.Context, t *tally, look int) {
	r.mu.Lock()
	r.number++
	r.tally, r.look = t, look
	t.note(look, r.self, r.list.Load())
	raw := codec.Encode(message{Version: version, Number: r.number})
	r.mu.Unlock()
	for _, name := range t.members {
		if ctx.Err() != nil {
			return
		}
		if err := r.send(name, membership.KindVersionAudit, raw); err != nil {
			slog.Debug("not asked", "member", name, "err", err)
		}
	}
	select {
	case <-ctx.Done():
	case <-r.over:
	case <-time.After(lookWait):
	}
}

// Hear takes a member's message; it never blocks.
func (r *Auditor) HandleMessage(from string, body []byte) {
	var m message
	if decoding.Unmarshal(body, &m) != nil || m.Version != version {
		unread.Add()
		return
	}
	if !m.Answer {
		if err := r.send(from, membership.KindVersionAudit, codec.Encode(message{Version: version, Number: m.Number, Answer: true, List: r.list.Load()})); err != nil {
			slog.Debug("not answered", "member", from, "err", err)
		}
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tally != nil && m.Number == r.number {
		r.tally.note(r.look, from, m.List)
	}
}
