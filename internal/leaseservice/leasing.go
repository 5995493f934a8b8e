// Package leaseservice carries the fleet's leases: it moves messages between the fleet and what internal/lease decides,
// keeps a voter's records, and lets acts run under a guard. It decides nothing. A claimant and a voter each run on a
// goroutine of their own, so that a slow disk holds up votes alone.
package leaseservice

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cairntiller/internal/lease"
	"cairntiller/internal/membership"
	"cairntiller/internal/metrics"
	"cairntiller/internal/sexp"
)

const (
	inboxMost = 8192                    // messages that wait for a claimant or a voter: seconds of a large fleet
	tickEvery = 50 * time.Millisecond   // between looks at what is due
	tickLeast = 5_000                   // us between them where messages come: an answer is acted on at once
	atOnce    = 512                     // messages handled before what they caused is carried out: one sync for all
	leaveWait = 1500 * time.Millisecond // at the end, for commands that run under a lease to end
)

var (
	begun      = metrics.New("leases held")
	lost       = metrics.New("leases lost")
	yielded    = metrics.New("leases wanted by others")
	asked      = metrics.New("lease messages sent")
	heard      = metrics.New("lease messages taken")
	unread     = metrics.New("lease messages unread")
	dropped    = metrics.New("lease messages dropped, too many")
	unsent     = metrics.New("lease messages unsent")
	turnedAway = metrics.New("acts not begun, lease not held")
	overran    = metrics.New("acts past their lease")
	clocksOff  = metrics.New("clocks outside the bound")
	unkept     = metrics.New("votes withheld, not kept")
)

// Place is what the operator's file says of leases.
type Settings struct {
	Given                  bool
	Voters                 lease.VoterSet
	LongestLease, MaxDrift int64 // us, parts of a million
	MaxLeases              int   // leases that a voter keeps
	Folder                 string
}

// Read takes it from the operator's file.
func ReadSettings(p *sexp.Part) Settings {
	v := p.Part("voters")
	at := Settings{Given: p.Present(), LongestLease: p.Duration("longest", 10_000_000, 1_000_000, 600_000_000),
		MaxDrift: int64(p.Number("drift", 1, 0.01, 10) * 10_000), MaxLeases: p.Integer("most", 20_000, 1, 1_000_000),
		Folder: p.Text("folder", ""),
		Voters: lease.VoterSet{Number: uint64(v.Integer("number", 1, 1, 1<<30)), Names: v.Texts("names"), Previous: v.Texts("before")}}
	if !at.Given {
		return at
	}
	n := len(at.Voters.Names)
	switch distinct := slices.Compact(slices.Sorted(slices.Values(at.Voters.Names))); {
	case n == 0 || n > lease.MaxVoters-1:
		v.AddFault("names", fmt.Sprintf("%d voters", n), "the names of 1, 3, 5 or 7 members")
	case len(distinct) != n:
		v.AddFault("names", "a name twice", "each voter once")
	case len(at.Voters.Previous) > 0 && !lease.ValidSuccessor(at.Voters.Previous, at.Voters.Names):
		v.AddFault("before", "a set that differs by more than one voter", "the set before, one voter more or less")
	case len(at.Voters.Previous) > 0 && at.Voters.Number == 1:
		v.AddFault("number", "1 with a set before it", "a number above the former one's")
	case n%2 == 0 && len(at.Voters.Previous) == 0:
		v.AddFault("names", fmt.Sprintf("%d voters", n), "an odd number: an even one bears no more losses than one fewer; while one is replaced, name the former ones in (before …)")
	}
	return at
}

// Leasing is one instance's part in the fleet's leases.
type Service struct {
	self  string
	at    Settings
	clock func() int64
	send  func(to string, kind uint8, body []byte) error
	born  uint64

	claimant *lease.Candidate // its goroutine's
	tenures  map[string]*Guard
	answers  chan *lease.Message
	calls    chan func(now int64)

	voter     *lease.Voter // its goroutine's, nil where this instance has no vote
	store     *store
	questions chan *lease.Message
	polls     chan func(now int64)
	listing   listing
	out       atomic.Pointer[error] // why its voter is out of service

	board board
	over  chan struct{}
	done  sync.WaitGroup
}

// New makes an instance's part. send sends a message to one member and must not block for long.
func New(self, cluster string, at Settings, clock func() int64, send func(to string, kind uint8, body []byte) error) *Service {
	l := &Service{self: self, at: at, clock: clock, send: send, born: number(), tenures: map[string]*Guard{},
		answers: make(chan *lease.Message, inboxMost), calls: make(chan func(int64), 64),
		questions: make(chan *lease.Message, inboxMost), polls: make(chan func(int64), 64), over: make(chan struct{})}
	by := at.Voters
	l.claimant = lease.NewCandidate(self, l.born, at.MaxDrift, by.Number, by.Names)
	// The wall clock when it will have abstained: no term of before is above it, as far as clocks are right.
	floor := uint64(max(0, time.Now().UnixMicro())) + uint64(at.LongestLease)
	var kept []lease.GrantRecord
	if at.Folder != "" {
		var err error
		var set, below uint64
		if l.store, kept, below, set, err = openStore(at.Folder, cluster, self); err == nil && set > by.Number {
			l.store.close()
			err = fmt.Errorf("%s: voters number %d were in force, and the operator's file names number %d", l.store.path, set, by.Number)
		}
		if err != nil {
			l.fall(fmt.Errorf("this instance does not vote: %w; mend or move the file away, then it abstains once and votes again", err))
			return l
		}
		if below > floor {
			slog.Warn("the wall clock went back, or was ahead; terms go on from the record", "record", below, "clock", floor-uint64(at.LongestLease))
			floor = below
		}
	}
	l.voter = lease.NewVoter(clock(), self, l.born, at.LongestLease, at.MaxLeases, floor, by, kept)
	return l
}

// number is one that no other process of this name has.
func number() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}

// fall takes the voter out of service.
func (l *Service) fall(err error) {
	l.out.Store(&err)
	slog.Error("no votes", "err", err)
}

// Out tells why this instance's voter is out of service, nil where it is not.
func (l *Service) VoterFault() error {
	if p := l.out.Load(); p != nil {
		return *p
	}
	return nil
}

// Start begins to ask and to vote.
func (l *Service) Start() {
	l.done.Go(l.claim)
	l.done.Go(l.vote)
	slog.Info("leases", "voters", l.at.Voters.Names, "number", l.at.Voters.Number, "votes", slices.Contains(l.at.Voters.Names, l.self), "lasting", l.store != nil)
}

// Hear takes a member's message; it never blocks.
func (l *Service) Receive(from string, kind uint8, body []byte) {
	if kind == membership.KindLeaseQuery {
		l.hearBoard(from, body)
		return
	}
	m, err := Decode(from, body)
	if err != nil {
		unread.Add()
		slog.Debug("a lease message can't be read", "from", from, "err", err)
		return
	}
	heard.Add()
	l.put(m)
}

// put hands a message to the claimant or the voter.
func (l *Service) put(m *lease.Message) {
	to := l.answers
	switch m.Kind {
	case lease.KindGrantRequest, lease.KindRenewRequest, lease.KindRelease, lease.KindVoterStatus:
		to = l.questions
	}
	select {
	case to <- m:
	default:
		dropped.Add()
	}
}

// call runs something on the claimant's goroutine and waits for it.
func (l *Service) call(do func(now int64)) { l.await(l.calls, do) }

// poll runs something on the voter's goroutine and waits for it; not where there is no voter.
func (l *Service) poll(do func(now int64)) { l.await(l.polls, do) }

// await hands something to a goroutine and waits until it is done, or all is over.
func (l *Service) await(on chan<- func(now int64), do func(now int64)) {
	done := make(chan struct{})
	select {
	case on <- func(now int64) { do(now); close(done) }:
	case <-l.over:
		return
	}
	select {
	case <-done:
	case <-l.over:
	}
}

// ErrTaken tells that this instance wishes for the lease already.
var ErrAlreadyRequested = errors.New("this instance asks for that lease already")

// Want begins to ask for a lease. on is told of each change, on the claimant's goroutine; nil lets the tenure yield by
// itself, and acts go by Do alone.
func (l *Service) RequestLease(w lease.Request, on func(Event)) (*Guard, error) {
	if w.Lease == "" || len(w.Lease) > lease.MaxNameLength || w.Length < leastLength || w.Length > l.at.LongestLease {
		return nil, fmt.Errorf("lease %q for %d us: want a name of 1 to %d bytes and %d to %d us", w.Lease, w.Length, lease.MaxNameLength,
			int64(leastLength), l.at.LongestLease)
	}
	t := &Guard{l: l, name: w.Lease, on: on, stops: map[int]context.CancelFunc{}}
	err := error(ErrAlreadyRequested)
	l.call(func(now int64) {
		if l.tenures[w.Lease] == nil {
			l.tenures[w.Lease], err = t, nil
			l.claimant.RequestLease(now, w)
		}
	})
	if err != nil {
		return nil, err
	}
	return t, nil
}

const leastLength = 1_000_000 // us: a few renewals of a slow network fit

// SetVoters tells of the set of voters that the operator's file names now; what it returns can't be done.
func (l *Service) SetVoters(by lease.VoterSet) (refused string) {
	l.call(func(now int64) { l.claimant.SetVoters(by.Number, by.Names) })
	l.poll(func(now int64) {
		if l.voter != nil {
			if err := l.voter.SetVoters(now, by); err != nil {
				refused = err.Error()
			}
		}
	})
	return refused
}

// Gone tells that a member is gone; it never blocks.
func (l *Service) MemberGone(name string) {
	select {
	case l.polls <- func(now int64) {
		if l.voter != nil {
			l.voter.MemberGone(now, name)
		}
	}:
	default:
		dropped.Add()
	}
}

// Leave gives up what is held and ends this instance's part.
func (l *Service) Shutdown() {
	var all []*Guard
	l.call(func(int64) {
		for _, t := range l.tenures {
			all = append(all, t)
		}
	})
	for _, t := range all {
		if t.on == nil {
			t.Withdraw()
			continue
		}
		l.wanted(t.name, "this instance leaves") // what runs under it is not ours to end
	}
	for end := time.Now().Add(leaveWait); time.Now().Before(end); time.Sleep(tickEvery / 4) {
		left := 0
		l.call(func(int64) { left = len(l.tenures) })
		if left == 0 {
			break
		}
	}
	if len(all) > 0 {
		time.Sleep(4 * tickEvery) // the voters are told more than once
	}
	l.Stop()
}

// Stop ends this instance's part without a word.
func (l *Service) Stop() {
	close(l.over)
	l.done.Wait()
	if l.store != nil && l.VoterFault() == nil {
		l.store.close()
	}
}

// claim runs the claimant.
func (l *Service) claim() {
	beat := time.NewTicker(tickEvery)
	defer beat.Stop()
	last := int64(0)
	for {
		beaten := false
		select {
		case <-l.over:
			return
		case m := <-l.answers:
			l.claimant.Receive(l.clock(), m)
		case do := <-l.calls:
			do(l.clock())
		case <-beat.C:
			beaten = true
		}
		for n := 0; n < atOnce && len(l.answers) > 0; n++ {
			l.claimant.Receive(l.clock(), <-l.answers)
		}
		if now := l.clock(); beaten || now-last >= tickLeast {
			l.claimant.Tick(now)
			last = now
		}
		for _, o := range l.claimant.TakeActions() {
			l.do(o)
		}
	}
}

// vote runs the voter, where this instance has one. What is to be kept is kept, for many answers at once, before any of
// them goes out.
func (l *Service) vote() {
	beat := time.NewTicker(tickEvery)
	defer beat.Stop()
	for {
		beaten := false
		select {
		case <-l.over:
			return
		case m := <-l.questions:
			l.ask(m)
		case do := <-l.polls:
			do(l.clock())
		case <-beat.C:
			beaten = true
		}
		for n := 0; n < atOnce && len(l.questions) > 0; n++ {
			l.ask(<-l.questions)
		}
		if l.voter == nil {
			continue
		}
		if beaten {
			l.voter.Tick(l.clock())
		}
		outs := l.voter.TakeActions()
		if l.store != nil && slices.ContainsFunc(outs, mustBeStored) {
			if err := l.store.keep(outs, l.voter.TermFloor()); err != nil {
				unkept.Add()
				l.fall(fmt.Errorf("this instance votes no more: %w", err))
				l.store.close()
				l.voter = nil
				continue
			}
		}
		for _, o := range outs {
			l.do(o)
		}
	}
}

func (l *Service) ask(m *lease.Message) {
	if l.voter != nil {
		l.voter.Receive(l.clock(), m)
	}
}

// mustBeStored tells whether an action changes what a voter's file holds.
func mustBeStored(action lease.Action) bool {
	switch action.(type) {
	case lease.StoreGrant, lease.DeleteGrant, lease.StoreVoterSet:
		return true
	}
	return false
}

// do carries out one thing.
func (l *Service) do(action lease.Action) {
	name := ""
	switch a := action.(type) {
	case lease.Send:
		asked.Add()
		if a.To == l.self {
			m := *a.Message
			m.Items = slices.Clone(m.Items)
			l.put(&m)
		} else if err := l.send(a.To, membership.KindLease, Encode(a.Message)); err != nil {
			unsent.Add()
			slog.Debug("a lease message was not sent", "to", a.To, "err", err)
		}
		return
	case lease.Warning:
		slog.Warn("leases", "about", a.About, "note", a.Text)
		return
	case lease.ClockOutOfBound:
		clocksOff.Add()
		slog.Error("a clock is outside the bound that leases rest on", "voter", a.Voter, "note", a.Text)
		return
	case lease.StoreGrant, lease.DeleteGrant, lease.StoreVoterSet:
		return // stored before, where there is a file
	case lease.Acquired:
		begun.Add()
		slog.Info("lease held", "lease", a.Lease, "term", a.Term, "left_us", a.Until-l.clock())
		name = a.Lease
	case lease.Extended:
		name = a.Lease
	case lease.Lost:
		lost.Add()
		slog.Warn("lease lost", "lease", a.Lease, "term", a.Term, "why", a.Reason)
		name = a.Lease
	case lease.YieldRequested:
		yielded.Add()
		slog.Info("lease wanted", "lease", a.Lease, "term", a.Term, "by", a.Next, "why", a.Reason)
		name = a.Lease
	}
	if t := l.tenures[name]; t != nil { // only the candidate's goroutine gets here
		t.heard(action)
	}
}
