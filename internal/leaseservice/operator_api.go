package leaseservice

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/lease"
)

// What operators may ask of a running router; cmd/cairntiller speaks it.

const (
	// listTimeout is how long a list waits for the voters' answers.
	listTimeout = 5 * time.Second
	// maxPendingEvents is how many changes wait to be sent to a command. Extensions are left out while more than half of
	// that wait.
	maxPendingEvents = 64
	// defaultLeaseLength is the length of the lease that an operator's command holds if it names none, in us. A shorter
	// longest lease bounds it; HoldUpdate tells the command which it is.
	defaultLeaseLength = 10_000_000
)

// UnknownLeaseError means that no voter that answered knows a lease.
type UnknownLeaseError struct{ Lease string }

// Error names the lease.
func (e *UnknownLeaseError) Error() string {
	return fmt.Sprintf("no voter that answered knows a lease %q", e.Lease)
}

// NoHolderError means that nobody holds a lease that is to be freed.
type NoHolderError struct{ Lease string }

// Error names the lease.
func (e *NoHolderError) Error() string { return fmt.Sprintf("nobody holds %q", e.Lease) }

// ArgumentError means that a number in an operator's request is not one, or out of bounds.
type ArgumentError struct {
	Name, Value string
	Min, Max    int64
}

// Error says what was given and what may stand there.
func (e *ArgumentError) Error() string {
	return fmt.Sprintf("%s %q, want a whole number from %d to %d", e.Name, e.Value, e.Min, e.Max)
}

// LeaseStatus is one lease as the voters know it.
type LeaseStatus struct {
	Lease       string   `json:"lease"`
	Holder      string   `json:"holder,omitempty"`
	Term        uint64   `json:"term"`
	RemainingMS int64    `json:"left_ms,omitempty"`
	Waiting     int      `json:"waiting,omitempty"`
	GrantedBy   []string `json:"voters"` // that grant it to the holder, or know it as free
	Answers     int      `json:"of"`     // voters that answered
}

// VoterStatus is one voter's status in a list.
type VoterStatus struct {
	Voter      string `json:"voter"`
	Answers    bool   `json:"answers"`
	SetNumber  uint64 `json:"set,omitempty"`
	AbstainsMS int64  `json:"abstains_ms,omitempty"`
	Reason     string `json:"why,omitempty"` // it is out of service, or only a part of its answer came
}

// Overview is the answer to a list.
type Overview struct {
	Voters []VoterStatus `json:"voters"`
	Leases []LeaseStatus `json:"leases"`
}

// HoldUpdate is one change sent to a command that holds a lease. Until is on the machine's clock since it started, in us.
type HoldUpdate struct {
	Change string `json:"change"` // a Change's String: held, extended, lost, wanted
	Lease  string `json:"lease"`
	Term   uint64 `json:"term,omitempty"`
	Until  int64  `json:"until_us,omitempty"`
	Length int64  `json:"length_us,omitempty"` // of the lease, in us; 0 from a router of an earlier version
	Next   string `json:"next,omitempty"`
	Reason string `json:"why,omitempty"`
}

// CommandEnded is what a command says when what ran under its lease is over.
type CommandEnded struct {
	Ended bool `json:"ended"`
}

// MergeReports merges the voters' reports, by leases' names. The holder of a lease is the one that most of them grant it to;
// of two with as many, the one with the higher term: a voter that restarted may have granted a trial to another candidate
// for a moment, under a later term.
func MergeReports(reports []VoterReport) (leases []LeaseStatus) {
	type grant struct {
		holder string
		term   uint64
	}
	byLease := map[string]map[grant]*LeaseStatus{}
	for _, report := range reports {
		for _, state := range report.Leases {
			grants := byLease[state.Lease]
			if grants == nil {
				grants = map[grant]*LeaseStatus{}
				byLease[state.Lease] = grants
			}
			key := grant{state.Holder, state.Term}
			status := grants[key]
			if status == nil {
				status = &LeaseStatus{Lease: state.Lease, Holder: state.Holder, Term: state.Term, Answers: len(reports)}
				grants[key] = status
			}
			status.GrantedBy = append(status.GrantedBy, report.Voter)
			status.RemainingMS = max(status.RemainingMS, state.Remaining/1000)
			status.Waiting = max(status.Waiting, state.Waiting)
		}
	}
	for _, grants := range byLease {
		best := slices.MaxFunc(slices.Collect(maps.Values(grants)), func(a, b *LeaseStatus) int {
			return cmp.Or(cmp.Compare(len(a.GrantedBy), len(b.GrantedBy)), cmp.Compare(a.Term, b.Term), cmp.Compare(a.Holder, b.Holder))
		})
		leases = append(leases, *best)
	}
	slices.SortFunc(leases, func(a, b LeaseStatus) int { return cmp.Compare(a.Lease, b.Lease) })
	return leases
}

// RegisterCommands lets operators ask: leases (list or show), lease-hold and lease-free.
func (s *Service) RegisterCommands(server *adminsocket.Server) {
	server.Handle("leases", s.listLeases)
	server.Handle("lease-hold", s.holdLease)
	server.Handle("lease-free", s.freeLease)
}

// overview asks the voters what they know.
func (s *Service) overview(ctx context.Context) Overview {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	reports := s.QueryVoters(ctx)
	o := Overview{Leases: MergeReports(reports)}
	for _, name := range s.voterNames() {
		o.Voters = append(o.Voters, s.voterStatus(name, reports))
	}
	return o
}

// voterStatus returns one voter's status, by its report if it answered.
func (s *Service) voterStatus(name string, reports []VoterReport) VoterStatus {
	status := VoterStatus{Voter: name}
	for _, report := range reports {
		if report.Voter != name {
			continue
		}
		status.Answers = true
		status.SetNumber = report.SetNumber
		status.AbstainsMS = report.AbstainsFor / 1000
		if report.Incomplete {
			status.Reason = "it told a part of what it knows"
		}
	}
	if err := s.VoterFault(); err != nil && name == s.self {
		status.Reason = err.Error()
	}
	return status
}

// listLeases answers with the overview, of one lease alone if the request names it.
func (s *Service) listLeases(ctx context.Context, x *adminsocket.Session) error {
	o := s.overview(ctx)
	if x.Name != "" {
		o.Leases = slices.DeleteFunc(o.Leases, func(status LeaseStatus) bool { return status.Lease != x.Name })
		if len(o.Leases) == 0 {
			return &UnknownLeaseError{Lease: x.Name}
		}
	}
	return x.Reply(o)
}

// freeLease asks a lease's holder to give it up (free.go).
func (s *Service) freeLease(ctx context.Context, x *adminsocket.Session) error {
	leases := s.overview(ctx).Leases
	found := slices.IndexFunc(leases, func(status LeaseStatus) bool { return status.Lease == x.Name })
	if found < 0 {
		return &UnknownLeaseError{Lease: x.Name}
	}
	status := leases[found]
	if status.Holder == "" {
		return &NoHolderError{Lease: x.Name}
	}
	if err := s.free(status); err != nil {
		return err
	}
	return x.Reply(status)
}

// wholeNumber reads a whole number of a request, 0 if it is not given.
func wholeNumber(x *adminsocket.Session, name string, least, most int64) (int64, error) {
	value := x.Args[name]
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < least || n > most {
		return 0, &ArgumentError{Name: name, Value: value, Min: least, Max: most}
	}
	return n, nil
}

// requestOf reads which lease a command wants to hold.
func (s *Service) requestOf(x *adminsocket.Session) (lease.Request, error) {
	length, errLength := wholeNumber(x, "length_us", minLeaseLength, s.settings.LongestLease)
	yieldAfter, errYield := wholeNumber(x, "turn_us", 0, 1<<50)
	priority, errPriority := wholeNumber(x, "priority", -100, 100)
	if err := errors.Join(errLength, errYield, errPriority); err != nil {
		return lease.Request{}, err
	}
	if length == 0 {
		length = min(defaultLeaseLength, s.settings.LongestLease)
	}
	return lease.Request{Lease: x.Name, Length: length, YieldAfter: yieldAfter, Priority: int8(priority)}, nil
}

// holdLease requests a lease on behalf of a command, sends it each change, and gives the lease up once the command has
// ended. If the connection ends without CommandEnded, the lease is left to run out, because the command may still run.
func (s *Service) holdLease(ctx context.Context, x *adminsocket.Session) error {
	wanted, err := s.requestOf(x)
	if err != nil {
		return err
	}
	events := make(chan Event, maxPendingEvents)
	guard, err := s.RequestLease(wanted, func(e Event) {
		if e.Change == Extended && len(events) > maxPendingEvents/2 {
			return
		}
		select {
		case events <- e:
		default:
		}
	})
	if err != nil {
		return err
	}
	commandEnded := make(chan bool, 1)
	go func() {
		var message CommandEnded
		err := x.ReadLine(&message)
		commandEnded <- err == nil && message.Ended
	}()
	next := ""
	for {
		select {
		case e := <-events:
			if e.Change == YieldRequested {
				next = e.Next
			}
			update := HoldUpdate{Change: e.Change.String(), Lease: x.Name, Term: e.Term, Until: e.Until, Length: wanted.Length, Next: e.Next, Reason: e.Reason}
			if x.Reply(update) != nil {
				guard.Abandon()
				return nil
			}
		case said := <-commandEnded:
			if !said {
				guard.Abandon()
				return nil
			}
			guard.Release(next)
			guard.Withdraw()
			return nil
		case <-ctx.Done():
			guard.Abandon()
			return nil
		}
	}
}
