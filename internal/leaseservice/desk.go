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
	"cairntiller/internal/codec"
	"cairntiller/internal/lease"
	"cairntiller/internal/membership"
)

// What operators may ask of a running router; cmd/cairntiller speaks it.

const (
	listMost   = 5 * time.Second // for voters to tell what they know
	eventsMost = 64              // changes that wait to be told; extensions are left out first
	deskLength = 10_000_000      // us of a lease that an operator's command holds, unless it says
)

// Line is one lease as the voters know it.
type LeaseStatus struct {
	Lease       string   `json:"lease"`
	Holder      string   `json:"holder,omitempty"`
	Term        uint64   `json:"term"`
	RemainingMS int64    `json:"left_ms,omitempty"`
	Waiting     int      `json:"waiting,omitempty"`
	GrantedBy   []string `json:"voters"` // that grant it to the holder, or know it as free
	Answers     int      `json:"of"`     // voters that answered
}

// Lines puts together what voters told. Of each lease the holder is whom most of them grant it to, the one with the
// higher term where two have as many: a voter that has come back may try others for a moment, under later terms.
func MergeReports(all []VoterReport) []LeaseStatus {
	type said struct {
		holder string
		term   uint64
	}
	byName := map[string]map[said]*LeaseStatus{}
	for _, v := range all {
		for _, s := range v.Leases {
			if byName[s.Lease] == nil {
				byName[s.Lease] = map[said]*LeaseStatus{}
			}
			n := byName[s.Lease][said{s.Holder, s.Term}]
			if n == nil {
				n = &LeaseStatus{Lease: s.Lease, Holder: s.Holder, Term: s.Term, Answers: len(all)}
				byName[s.Lease][said{s.Holder, s.Term}] = n
			}
			n.GrantedBy = append(n.GrantedBy, v.Voter)
			n.RemainingMS, n.Waiting = max(n.RemainingMS, s.Remaining/1000), max(n.Waiting, s.Waiting)
		}
	}
	var lines []LeaseStatus
	for _, some := range byName {
		best := slices.MaxFunc(slices.Collect(maps.Values(some)), func(a, b *LeaseStatus) int {
			return cmp.Or(cmp.Compare(len(a.GrantedBy), len(b.GrantedBy)), cmp.Compare(a.Term, b.Term), cmp.Compare(a.Holder, b.Holder))
		})
		lines = append(lines, *best)
	}
	slices.SortFunc(lines, func(a, b LeaseStatus) int { return cmp.Compare(a.Lease, b.Lease) })
	return lines
}

// VoterLine is how one voter stands.
type VoterStatus struct {
	Voter      string `json:"voter"`
	Answers    bool   `json:"answers"`
	SetNumber  uint64 `json:"set,omitempty"`
	AbstainsMS int64  `json:"abstains_ms,omitempty"`
	Reason     string `json:"why,omitempty"` // it is out of service
}

// Overview is the answer to a list.
type Overview struct {
	Voters []VoterStatus `json:"voters"`
	Leases []LeaseStatus `json:"leases"`
}

// HoldLine is one change told to a command that holds a lease. Until is on the machine's clock since it started.
type HoldUpdate struct {
	Change string `json:"change"` // held, extended, lost, wanted
	Lease  string `json:"lease"`
	Term   uint64 `json:"term,omitempty"`
	Until  int64  `json:"until_us,omitempty"`
	Next   string `json:"next,omitempty"`
	Reason string `json:"why,omitempty"`
}

// Ended is what a command says when what ran under its lease is over.
type CommandEnded struct {
	Ended bool `json:"ended"`
}

var changeNames = [...]string{"", "held", "extended", "lost", "wanted"}

// Serve answers operators.
func (l *Service) RegisterCommands(s *adminsocket.Server) {
	s.Handle("leases", l.list)
	s.Handle("lease-hold", l.hold)
	s.Handle("lease-free", l.free)
}

func (l *Service) overview(ctx context.Context) Overview {
	ctx, cancel := context.WithTimeout(ctx, listMost)
	defer cancel()
	all := l.QueryVoters(ctx)
	o := Overview{Leases: MergeReports(all)}
	var names []string
	l.call(func(int64) { names = l.claimant.VoterNames() })
	for _, name := range names {
		line := VoterStatus{Voter: name}
		for _, v := range all {
			if v.Voter == name {
				line.Answers, line.SetNumber, line.AbstainsMS = true, v.SetNumber, v.AbstainsFor/1000
				if v.Incomplete {
					line.Reason = "it told a part of what it knows"
				}
			}
		}
		if err := l.VoterFault(); err != nil && name == l.self {
			line.Reason = err.Error()
		}
		o.Voters = append(o.Voters, line)
	}
	return o
}

func (l *Service) list(ctx context.Context, x *adminsocket.Session) error {
	o := l.overview(ctx)
	if x.Name != "" {
		o.Leases = slices.DeleteFunc(o.Leases, func(n LeaseStatus) bool { return n.Lease != x.Name })
		if len(o.Leases) == 0 {
			return fmt.Errorf("no voter that answered knows a lease %q", x.Name)
		}
	}
	return x.Reply(o)
}

// free asks a lease's holder to give it up.
func (l *Service) free(ctx context.Context, x *adminsocket.Session) error {
	for _, n := range l.overview(ctx).Leases {
		if n.Lease != x.Name {
			continue
		}
		if n.Holder == "" {
			return fmt.Errorf("nobody holds %q", x.Name)
		}
		if n.Holder == l.self {
			l.wanted(x.Name, "an operator frees it")
		} else if err := l.send(n.Holder, membership.KindLeaseQuery, codec.Encode(poll{Version: pollVersion, Free: x.Name})); err != nil {
			return fmt.Errorf("%s, which holds it, can't be reached; what it holds runs out within %d ms: %w", n.Holder, n.RemainingMS, err)
		}
		return x.Reply(n)
	}
	return fmt.Errorf("no voter that answered knows a lease %q", x.Name)
}

// whole reads a whole number of a request, 0 where it is not given.
func whole(x *adminsocket.Session, name string, least, most int64) (int64, error) {
	word := x.Args[name]
	if word == "" {
		return 0, nil
	}
	v, err := strconv.ParseInt(word, 10, 64)
	if err != nil || v < least || v > most {
		return 0, fmt.Errorf("%s %q, want a whole number from %d to %d", name, word, least, most)
	}
	return v, nil
}

// hold wishes for a lease on behalf of a command, tells it of each change, and gives the lease up once the command has
// ended. Where the command vanishes without that word, the lease runs out by itself: what ran under it may still.
func (l *Service) hold(ctx context.Context, x *adminsocket.Session) error {
	length, err1 := whole(x, "length_us", leastLength, l.at.LongestLease)
	turn, err2 := whole(x, "turn_us", 0, 1<<50)
	priority, err3 := whole(x, "priority", -100, 100)
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	if length == 0 {
		length = min(deskLength, l.at.LongestLease)
	}
	events := make(chan Event, eventsMost)
	t, err := l.RequestLease(lease.Request{Lease: x.Name, Length: length, YieldAfter: turn, Priority: int8(priority)}, func(e Event) {
		if e.Change == Extended && len(events) > eventsMost/2 {
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
	ended := make(chan bool, 1)
	go func() {
		var e CommandEnded
		err := x.ReadLine(&e)
		ended <- err == nil && e.Ended
	}()
	next := ""
	for {
		select {
		case e := <-events:
			if e.Change == YieldRequested {
				next = e.Next
			}
			if x.Reply(HoldUpdate{changeNames[e.Change], x.Name, e.Term, e.Until, e.Next, e.Reason}) != nil {
				t.Abandon()
				return nil
			}
		case over := <-ended:
			if over {
				t.Release(next)
				t.Withdraw()
			} else {
				t.Abandon()
			}
			return nil
		case <-ctx.Done():
			t.Abandon()
			return nil
		}
	}
}
