package leaseservice

import (
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
)

const (
	// maxInbox limits the messages waiting for the candidate or the voter: several seconds' worth in a large cluster.
	maxInbox = 8192
	// maxCalls limits the functions waiting to run on the candidate's or the voter's goroutine.
	maxCalls = 64
	// tickInterval is the time between regular ticks.
	tickInterval = 50 * time.Millisecond
	// maxBatch is how many messages are handled before the resulting actions are executed, with one disk sync for all
	// of them.
	maxBatch = 512
	// shutdownTimeout is how long a shutdown waits for commands under a lease to end.
	shutdownTimeout = 1500 * time.Millisecond
	// minLeaseLength is the shortest lease, in us: long enough for a few renewals on a slow network.
	minLeaseLength = 1_000_000
	// maxLeaseLength is the longest lease that the operator's file may allow or a message may contain, in us.
	maxLeaseLength = 600_000_000
)

// ErrAlreadyRequested means that this instance already requests the lease.
var ErrAlreadyRequested = errors.New("this instance already requests the lease")

// InvalidRequestError means that the name or length of a requested lease is out of bounds.
type InvalidRequestError struct {
	Lease     string
	Length    int64 // us
	MaxLength int64 // us, from the operator's file
}

// Error names the request and the bounds.
func (e *InvalidRequestError) Error() string {
	return fmt.Sprintf("invalid request of lease %q for %d us: want a name of 1 to %d bytes and a length of %d to %d us", e.Lease, e.Length, lease.MaxNameLength,
		int64(minLeaseLength), e.MaxLength)
}

// OutdatedVotersError means that the operator's file names an older voter set than the voter has adopted.
type OutdatedVotersError struct {
	Path       string // of the voter's file
	Stored     uint64 // number of the set stored there
	Configured uint64 // number of the set in the operator's file
}

// Error names both numbers.
func (e *OutdatedVotersError) Error() string {
	return fmt.Sprintf("%s: voters number %d were in force, and the operator's file names number %d", e.Path, e.Stored, e.Configured)
}

// Service takes part in the cluster's leases for one instance.
type Service struct {
	self        string
	settings    Settings
	clock       func() int64
	send        func(to string, kind uint8, body []byte) error
	incarnation uint64

	// The candidate's goroutine owns these.
	candidate      *lease.Candidate
	guards         map[string]*Guard
	candidateInbox chan lease.Message
	candidateCalls chan func(now int64)

	// The voter's goroutine owns these.
	voter        *lease.Voter // nil if it is out of service
	store        *store       // nil without persistent storage
	voterInbox   chan lease.Message
	voterCalls   chan func(now int64)
	snapshot     leaseSnapshot
	voterFailure atomic.Pointer[error]

	queries queries
	stopped chan struct{}
	running sync.WaitGroup
}

// New returns the service of an instance. clock is Clock except in tests. send sends a message to one member and must
// not block for long. If the voter's file can't be used, the voter is out of service, see VoterFault; the instance can
// still hold leases.
func New(self, cluster string, settings Settings, clock func() int64, send func(to string, kind uint8, body []byte) error) *Service {
	s := &Service{
		self:           self,
		settings:       settings,
		clock:          clock,
		send:           send,
		incarnation:    newIncarnation(),
		guards:         map[string]*Guard{},
		candidateInbox: make(chan lease.Message, maxInbox),
		candidateCalls: make(chan func(int64), maxCalls),
		voterInbox:     make(chan lease.Message, maxInbox),
		voterCalls:     make(chan func(int64), maxCalls),
		stopped:        make(chan struct{}),
	}
	voters := settings.Voters
	s.candidate = lease.NewCandidate(self, s.incarnation, settings.MaxDrift, voters.Number, voters.Names)
	// The wall clock at the end of the abstention: no earlier term is above it, provided that clocks are correct.
	termFloor := uint64(max(0, time.Now().UnixMicro())) + uint64(settings.LongestLease)
	stored, err := s.openStore(cluster)
	if err != nil {
		s.failVoter(fmt.Errorf("this instance does not vote: %w; repair the file or move it away, then the voter abstains once and votes again", err))
		return s
	}
	if stored.termFloor > termFloor {
		slog.Warn("wall clock is behind the stored term floor: it went back, or was ahead before; terms continue from the stored floor", "record", stored.termFloor,
			"clock", termFloor-uint64(settings.LongestLease))
		termFloor = stored.termFloor
	}
	s.voter = lease.NewVoter(clock(), self, s.incarnation, settings.LongestLease, settings.MaxLeases, termFloor, voters, stored.grants)
	return s
}

// openStore opens the voter's file, if the operator's file names a folder for it.
func (s *Service) openStore(cluster string) (stored storedState, err error) {
	if s.settings.Folder == "" {
		return storedState{}, nil
	}
	s.store, stored, err = openStore(s.settings.Folder, cluster, s.self)
	if err != nil {
		return storedState{}, err
	}
	if configured := s.settings.Voters.Number; stored.setNumber > configured {
		s.store.close()
		return storedState{}, &OutdatedVotersError{Path: s.store.path, Stored: stored.setNumber, Configured: configured}
	}
	return stored, nil
}

// newIncarnation returns a random 62-bit number, so that two processes almost certainly differ. It distinguishes this
// process from others of its name at the voters, and is unrelated to the incarnation in package membership, a start
// time.
func newIncarnation() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}

// failVoter takes the voter out of service.
func (s *Service) failVoter(err error) {
	s.voterFailure.Store(&err)
	slog.Error("voter out of service", "err", err)
}

// VoterFault returns why this instance's voter is out of service, or nil if it is in service.
func (s *Service) VoterFault() error {
	if err := s.voterFailure.Load(); err != nil {
		return *err
	}
	return nil
}

// Start starts the candidate and the voter.
func (s *Service) Start() {
	s.running.Go(s.runCandidate)
	s.running.Go(s.runVoter)
	voters := s.settings.Voters
	slog.Info("lease service started", "voters", voters.Names, "number", voters.Number, "votes", slices.Contains(voters.Names, s.self), "stored", s.store != nil)
}

// Receive dispatches a member's message to the candidate, the voter or a query; it never blocks.
func (s *Service) Receive(from string, kind uint8, body []byte) {
	if kind == membership.KindLeaseQuery {
		s.receiveQuery(from, body)
		return
	}
	m, err := Decode(from, body)
	if err != nil {
		messagesUnreadable.Add()
		slog.Debug("lease message can't be decoded", "from", from, "err", err)
		return
	}
	messagesReceived.Add()
	s.deliver(m)
}

// deliver queues a message for the candidate or the voter. If the queue is full, the message is dropped as if the
// network had lost it.
func (s *Service) deliver(m lease.Message) {
	inbox := s.candidateInbox
	if lease.ForVoter(m) {
		inbox = s.voterInbox
	}
	select {
	case inbox <- m:
	default:
		messagesDropped.Add()
	}
}

// sendMessage sends a message to a member, possibly to this one.
func (s *Service) sendMessage(to string, m lease.Message) {
	messagesSent.Add()
	if to == s.self {
		s.deliver(m)
		return
	}
	if err := s.send(to, membership.KindLease, Encode(m)); err != nil {
		messagesUnsent.Add()
		slog.Debug("lease message not sent", "to", to, "err", err)
	}
}

// logWarning logs a warning of the candidate or the voter.
func logWarning(w lease.Warning) {
	slog.Warn("lease warning", "about", w.About, "note", w.Text)
}

// onCandidate runs a function on the candidate's goroutine and waits until it returns or the service stops.
func (s *Service) onCandidate(function func(now int64)) { s.runOn(s.candidateCalls, function) }

// onVoter runs a function on the voter's goroutine and waits until it returns or the service stops.
func (s *Service) onVoter(function func(now int64)) { s.runOn(s.voterCalls, function) }

func (s *Service) runOn(calls chan<- func(now int64), function func(now int64)) {
	done := make(chan struct{})
	call := func(now int64) {
		function(now)
		close(done)
	}
	select {
	case calls <- call:
	case <-s.stopped:
		return
	}
	select {
	case <-done:
	case <-s.stopped:
	}
}

// RequestLease begins to request a lease. onEvent is called with each change, on the candidate's goroutine, and must
// not block; if it is nil, the guard yields by itself, and operations must run through Guard.Do. The error is
// ErrAlreadyRequested or an *InvalidRequestError. After Stop, a valid request returns ErrAlreadyRequested although the
// lease is not requested.
func (s *Service) RequestLease(wanted lease.Request, onEvent func(Event)) (*Guard, error) {
	validName := wanted.Lease != "" && len(wanted.Lease) <= lease.MaxNameLength
	if !validName || wanted.Length < minLeaseLength || wanted.Length > s.settings.LongestLease {
		return nil, &InvalidRequestError{Lease: wanted.Lease, Length: wanted.Length, MaxLength: s.settings.LongestLease}
	}
	guard := newGuard(s, wanted.Lease, onEvent)
	err := error(ErrAlreadyRequested)
	s.onCandidate(func(now int64) {
		if s.guards[wanted.Lease] != nil {
			return
		}
		s.guards[wanted.Lease] = guard
		s.candidate.RequestLease(now, wanted)
		err = nil
	})
	if err != nil {
		return nil, err
	}
	return guard, nil
}

// SetVoters passes a new voter set from the operator's file to the candidate and the voter. The error is a
// *lease.VoterSetError if the voter refuses it.
func (s *Service) SetVoters(voters lease.VoterSet) (err error) {
	s.onCandidate(func(int64) { s.candidate.SetVoters(voters.Number, voters.Names) })
	s.onVoter(func(now int64) {
		if s.voter != nil {
			err = s.voter.SetVoters(now, voters)
		}
	})
	return err
}

// MemberGone tells the voter that a member left or failed; it never blocks.
func (s *Service) MemberGone(name string) {
	memberGone := func(now int64) {
		if s.voter != nil {
			s.voter.MemberGone(now, name)
		}
	}
	select {
	case s.voterCalls <- memberGone:
	default:
		messagesDropped.Add()
	}
}

// Shutdown releases the held leases and stops the service.
func (s *Service) Shutdown() {
	var guards []*Guard
	s.onCandidate(func(int64) {
		for _, guard := range s.guards {
			guards = append(guards, guard)
		}
	})
	for _, guard := range guards {
		if guard.onEvent == nil {
			guard.Withdraw()
		} else {
			s.requestYield(guard.lease, matchAnyTerm, "this instance is shutting down") // the owner of onEvent must end what runs under the lease
		}
	}
	for end := time.Now().Add(shutdownTimeout); time.Now().Before(end); time.Sleep(tickInterval / 4) {
		remaining := 0
		s.onCandidate(func(int64) { remaining = len(s.guards) })
		if remaining == 0 {
			break
		}
	}
	if len(guards) > 0 {
		time.Sleep(4 * tickInterval) // time to send the releases more than once
	}
	s.Stop()
}

// Stop stops the service without releasing its leases.
func (s *Service) Stop() {
	close(s.stopped)
	s.running.Wait()
	if s.store != nil && s.VoterFault() == nil {
		s.store.close()
	}
}
