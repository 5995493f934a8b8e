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

// Requests that operators can send to a running router; cmd/cairntiller is the client.

const (
	// listTimeout is how long a list waits for the voters' answers.
	listTimeout = 5 * time.Second
	// maxPendingEvents limits the events waiting to be sent to a command. Extensions are dropped while more than half
	// of that wait.
	maxPendingEvents = 64
	// defaultLeaseLength is the length of the lease for a command that requests none, in us. It is shortened to the
	// longest lease if that is shorter; HoldUpdate reports the length to the command.
	defaultLeaseLength = 10_000_000
)

// UnknownLeaseError means that none of the voters that answered knows a lease.
type UnknownLeaseError struct{ Lease string }

// Error names the lease.
func (e *UnknownLeaseError) Error() string {
	return fmt.Sprintf("none of the voters that answered knows lease %q", e.Lease)
}

// NoHolderError means that no process holds a lease that is to be freed.
type NoHolderError struct{ Lease string }

// Error names the lease.
func (e *NoHolderError) Error() string { return fmt.Sprintf("lease %q has no holder", e.Lease) }

// ArgumentError means that an argument of an operator's request is not an integer or is out of bounds.
type ArgumentError struct {
	Name, Value string
	Min, Max    int64
}

// Error names the argument, its value and the bounds.
func (e *ArgumentError) Error() string {
	return fmt.Sprintf("%s is %q, want an integer from %d to %d", e.Name, e.Value, e.Min, e.Max)
}

// LeaseStatus is the state of one lease, merged from the voters' reports.
type LeaseStatus struct {
	Lease       string   `json:"lease"`
	Holder      string   `json:"holder,omitempty"`
	Term        uint64   `json:"term"`
	RemainingMS int64    `json:"left_ms,omitempty"`
	Waiting     int      `json:"waiting,omitempty"`
	GrantedBy   []string `json:"voters"` // that grant it to the holder, or report it free
	Answers     int      `json:"of"`     // number of voters that answered
}

// VoterStatus is one voter's status in a list.
type VoterStatus struct {
	Voter      string `json:"voter"`
	Answers    bool   `json:"answers"`
	SetNumber  uint64 `json:"set,omitempty"`
	AbstainsMS int64  `json:"abstains_ms,omitempty"`
	Reason     string `json:"why,omitempty"` // why it is out of service, or that its answer is incomplete
}

// Overview is the answer to a list request.
type Overview struct {
	Voters []VoterStatus `json:"voters"`
	Leases []LeaseStatus `json:"leases"`
}

// HoldUpdate reports one change to a command that holds a lease. Until is in us since the machine booted.
type HoldUpdate struct {
	Change string `json:"change"` // a Change's String: held, extended, lost, wanted
	Lease  string `json:"lease"`
	Term   uint64 `json:"term,omitempty"`
	Until  int64  `json:"until_us,omitempty"`
	Length int64  `json:"length_us,omitempty"` // of the lease, in us; 0 from a router of an earlier version
	Next   string `json:"next,omitempty"`
	Reason string `json:"why,omitempty"`
}

// CommandEnded is sent by a command when what ran under its lease has ended.
type CommandEnded struct {
	Ended bool `json:"ended"`
}

// MergeReports merges the voters' reports by lease. The holder of a lease is the process to which most voters grant it;
// in a tie, the one with the higher term: a voter that restarted may have granted a trial to another candidate under a
// later term.
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

// RegisterCommands registers the operators' commands leases (list or show), lease-hold and lease-free.
func (s *Service) RegisterCommands(server *adminsocket.Server) {
	server.Handle("leases", s.listLeases)
	server.Handle("lease-hold", s.holdLease)
	server.Handle("lease-free", s.freeLease)
}

// overview queries the voters and merges their reports.
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

// voterStatus returns one voter's status, from its report if it answered.
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

// listLeases answers with the overview, limited to one lease if the request names it.
func (s *Service) listLeases(ctx context.Context, session *adminsocket.Session) error {
	o := s.overview(ctx)
	if session.Name != "" {
		o.Leases = slices.DeleteFunc(o.Leases, func(status LeaseStatus) bool { return status.Lease != session.Name })
		if len(o.Leases) == 0 {
			return &UnknownLeaseError{Lease: session.Name}
		}
	}
	return session.Reply(o)
}

// freeLease asks a lease's holder to release it (free.go).
func (s *Service) freeLease(ctx context.Context, session *adminsocket.Session) error {
	leases := s.overview(ctx).Leases
	found := slices.IndexFunc(leases, func(status LeaseStatus) bool { return status.Lease == session.Name })
	if found < 0 {
		return &UnknownLeaseError{Lease: session.Name}
	}
	status := leases[found]
	if status.Holder == "" {
		return &NoHolderError{Lease: session.Name}
	}
	if err := s.sendFreeRequest(status); err != nil {
		return err
	}
	return session.Reply(status)
}

// integerArgument parses an integer argument of a request, 0 if it is missing.
func integerArgument(session *adminsocket.Session, name string, minimum, maximum int64) (int64, error) {
	value := session.Args[name]
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < minimum || n > maximum {
		return 0, &ArgumentError{Name: name, Value: value, Min: minimum, Max: maximum}
	}
	return n, nil
}

// parseLeaseRequest returns the lease request of a command.
func (s *Service) parseLeaseRequest(session *adminsocket.Session) (lease.Request, error) {
	length, errLength := integerArgument(session, "length_us", minLeaseLength, s.settings.LongestLease)
	yieldAfter, errYield := integerArgument(session, "turn_us", 0, 1<<50)
	priority, errPriority := integerArgument(session, "priority", -100, 100)
	if err := errors.Join(errLength, errYield, errPriority); err != nil {
		return lease.Request{}, err
	}
	if length == 0 {
		length = min(defaultLeaseLength, s.settings.LongestLease)
	}
	return lease.Request{Lease: session.Name, Length: length, YieldAfter: yieldAfter, Priority: int8(priority)}, nil
}

// holdLease requests a lease on behalf of a command, sends it each change, and releases the lease once the command has
// ended. If the connection ends without CommandEnded, the lease is left to expire, because the command may still run.
func (s *Service) holdLease(ctx context.Context, session *adminsocket.Session) error {
	wanted, err := s.parseLeaseRequest(session)
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
		err := session.ReadLine(&message)
		commandEnded <- err == nil && message.Ended
	}()
	next := ""
	for {
		select {
		case e := <-events:
			if e.Change == YieldRequested {
				next = e.Next
			}
			update := HoldUpdate{Change: e.Change.String(), Lease: session.Name, Term: e.Term, Until: e.Until, Length: wanted.Length, Next: e.Next, Reason: e.Reason}
			if session.Reply(update) != nil {
				guard.Abandon()
				return nil
			}
		case ended := <-commandEnded:
			if !ended {
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
