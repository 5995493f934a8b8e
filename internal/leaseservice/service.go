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
	// maxInbox is how many messages wait for the candidate or the voter: seconds of a large fleet's.
	maxInbox = 8192
	// maxCalls is how many functions wait to run on the candidate's or the voter's goroutine.
	maxCalls = 64
	// tickInterval is the time between looks at what is due.
	tickInterval = 50 * time.Millisecond
	// maxBatch is how many messages are handled before what they caused is carried out: one sync of the disk for all.
	maxBatch = 512
	// shutdownWait is how long a shutdown waits for commands that run under a lease to end.
	shutdownWait = 1500 * time.Millisecond
	// minLeaseLength is the shortest lease, in us: a few renewals on a slow network fit into it.
	minLeaseLength = 1_000_000
	// maxLeaseLength is the longest lease that the operator's file may allow, or a message may tell of, in us.
	maxLeaseLength = 600_000_000
)

// ErrAlreadyRequested means that this instance requests the lease already.
var ErrAlreadyRequested = errors.New("this instance asks for that lease already")

// InvalidRequestError means that a requested lease's name or length is out of bounds.
type InvalidRequestError struct {
	Lease     string
	Length    int64 // us
	MaxLength int64 // us, by the operator's file
}

// Error says what was requested and what is possible.
func (e *InvalidRequestError) Error() string {
	return fmt.Sprintf("lease %q for %d us: want a name of 1 to %d bytes and %d to %d us", e.Lease, e.Length, lease.MaxNameLength,
		int64(minLeaseLength), e.MaxLength)
}

// OutdatedVotersError means that the operator's file names an earlier voter set than the voter had gone by.
type OutdatedVotersError struct {
	Path       string // of the voter's file
	Stored     uint64 // number of the set in it
	Configured uint64 // number of the set in the operator's file
}

// Error names both numbers.
func (e *OutdatedVotersError) Error() string {
	return fmt.Sprintf("%s: voters number %d were in force, and the operator's file names number %d", e.Path, e.Stored, e.Configured)
}

// Service is one instance's part in the fleet's leases.
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
	store        *store       // nil if all is in memory
	voterInbox   chan lease.Message
	voterCalls   chan func(now int64)
	listing      listing
	voterFailure atomic.Pointer[error]

	queries queries
	stopped chan struct{}
	running sync.WaitGroup
}

// New makes an instance's part. clock is Clock outside of tests. send sends a message to one member and must not block
// for long. A voter whose file can't be used does not vote, see VoterFault; the instance can hold leases all the same.
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
	// The wall clock at the end of the abstinence: no term of before is above it, as far as clocks are right.
	termFloor := uint64(max(0, time.Now().UnixMicro())) + uint64(settings.LongestLease)
	stored, err := s.openStore(cluster)
	if err != nil {
		s.failVoter(fmt.Errorf("this instance does not vote: %w; mend or move the file away, then it abstains once and votes again", err))
		return s
	}
	if stored.termFloor > termFloor {
		slog.Warn("the wall clock went back, or was ahead; terms go on from the record", "record", stored.termFloor,
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

// newIncarnation draws a random 62-bit number; two processes with the same one are not to be expected. It tells this process
// from others of its name to the voters, and is unrelated to the incarnation of package membership, a start time.
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

// Start begins to request and to vote.
func (s *Service) Start() {
	s.running.Go(s.runCandidate)
	s.running.Go(s.runVoter)
	voters := s.settings.Voters
	slog.Info("leases", "voters", voters.Names, "number", voters.Number, "votes", slices.Contains(voters.Names, s.self), "stored", s.store != nil)
}

// Receive passes on a member's message to the candidate, the voter or a query; it never blocks.
func (s *Service) Receive(from string, kind uint8, body []byte) {
	if kind == membership.KindLeaseQuery {
		s.receiveQuery(from, body)
		return
	}
	m, err := Decode(from, body)
	if err != nil {
		messagesUnreadable.Add()
		slog.Debug("a lease message can't be read", "from", from, "err", err)
		return
	}
	messagesReceived.Add()
	s.deliver(m)
}

// deliver hands a message to the candidate or the voter. If too many wait it is dropped, as if the network had lost it.
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

// sendMessage sends a message to a member, which may be this one.
func (s *Service) sendMessage(to string, m lease.Message) {
	messagesSent.Add()
	if to == s.self {
		s.deliver(m)
		return
	}
	if err := s.send(to, membership.KindLease, Encode(m)); err != nil {
		messagesUnsent.Add()
		slog.Debug("a lease message was not sent", "to", to, "err", err)
	}
}

// logWarning logs what the candidate or the voter finds worth a line.
func logWarning(w lease.Warning) {
	slog.Warn("leases", "about", w.About, "note", w.Text)
}

// onCandidate runs a function on the candidate's goroutine and waits for it, or for the end.
func (s *Service) onCandidate(do func(now int64)) { s.runOn(s.candidateCalls, do) }

// onVoter runs a function on the voter's goroutine and waits for it, or for the end.
func (s *Service) onVoter(do func(now int64)) { s.runOn(s.voterCalls, do) }

func (s *Service) runOn(calls chan<- func(now int64), do func(now int64)) {
	done := make(chan struct{})
	call := func(now int64) {
		do(now)
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

// RequestLease begins to request a lease. onEvent is called with each change, on the candidate's goroutine, and must not
// block; nil lets the guard yield by itself, and acts go through Guard.Do alone. The error is ErrAlreadyRequested or an
// *InvalidRequestError. After Stop it is ErrAlreadyRequested for every valid request, although nobody requests the lease.
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

// SetVoters passes on the voter set that the operator's file names now, to the candidate and the voter. The error is a
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
	tell := func(now int64) {
		if s.voter != nil {
			s.voter.MemberGone(now, name)
		}
	}
	select {
	case s.voterCalls <- tell:
	default:
		messagesDropped.Add()
	}
}

// Shutdown gives up what is held and ends this instance's part.
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
			s.requestYield(guard.lease, anyTerm, "this instance leaves") // what runs under it is not ours to end
		}
	}
	for end := time.Now().Add(shutdownWait); time.Now().Before(end); time.Sleep(tickInterval / 4) {
		left := 0
		s.onCandidate(func(int64) { left = len(s.guards) })
		if left == 0 {
			break
		}
	}
	if len(guards) > 0 {
		time.Sleep(4 * tickInterval) // the voters are told more than once
	}
	s.Stop()
}

// Stop ends this instance's part without telling anybody.
func (s *Service) Stop() {
	close(s.stopped)
	s.running.Wait()
	if s.store != nil && s.VoterFault() == nil {
		s.store.close()
	}
}
