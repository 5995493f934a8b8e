package leaseservice

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cairntiller/internal/codec"
	"cairntiller/internal/lease"
	"cairntiller/internal/membership"
)

// An operator's list of leases combines the voters' reports. The instance that is asked queries every voter page by
// page, with one query in flight to each. A voter's whole answer at once would be a burst that overflows the receiver's
// socket buffer, and a lost part of it could not be detected.

const (
	queryVersion = 2
	// pageSize is the number of leases on a page, which fits a datagram even with long names.
	pageSize = 12
	// pageResendInterval is when a missing page is requested again: many round trips.
	pageResendInterval = 100 * time.Millisecond
	// queryIdleTimeout is how long a query continues without a new page.
	queryIdleTimeout = 500 * time.Millisecond
)

// queryMessage is the wire format of a query of a voter, of a page of its answer, and of an operator's request to free
// a lease.
type queryMessage struct {
	_           struct{} `cbor:",toarray"`
	Version     int
	Number      uint64 // of the query
	IsPage      bool
	FreeLease   string // lease that the receiver is asked to release, whose term is then in Leases; "" for a query or a page
	After       string // the page starts after this lease
	More        bool   // more pages follow
	SetNumber   uint64
	AbstainsFor int64 // us
	Leases      []queryLease
}

// queryLease is one lease on a page.
type queryLease struct {
	_         struct{} `cbor:",toarray"`
	Lease     string
	Holder    string
	Term      uint64
	Remaining int64
	Waiting   int
}

// VoterReport is one voter's answer to a query.
type VoterReport struct {
	Voter       string
	SetNumber   uint64 // of the voter set that it has adopted
	AbstainsFor int64  // us for which it still abstains
	Incomplete  bool   // pages are missing
	Leases      []lease.LeaseState
}

// queries are the active queries of this instance.
type queries struct {
	mu         sync.Mutex
	lastNumber uint64
	active     map[uint64]*query
}

// query is one query of all voters.
type query struct {
	number       uint64
	reports      map[string]*VoterReport
	missingAfter map[string]string // by voter whose further pages are missing: the lease after which they start
	done         chan struct{}     // closed when all voters' answers are complete
}

// start begins a query of some voters.
func (q *queries) start(voters []string) *query {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastNumber++
	started := &query{number: q.lastNumber, reports: map[string]*VoterReport{}, missingAfter: map[string]string{}, done: make(chan struct{})}
	for _, name := range voters {
		started.missingAfter[name] = ""
	}
	if len(voters) == 0 {
		close(started.done)
	}
	if q.active == nil {
		q.active = map[uint64]*query{}
	}
	q.active[started.number] = started
	return started
}

// missing returns the voters whose further pages are missing, and the lease after which they start.
func (q *queries) missing(of *query) map[string]string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(of.missingAfter)
}

// end ends a query and returns the reports received, sorted by voter.
func (q *queries) end(ended *query) (reports []VoterReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.active, ended.number)
	for name, report := range ended.reports {
		_, report.Incomplete = ended.missingAfter[name]
		reports = append(reports, *report)
	}
	slices.SortFunc(reports, func(a, b VoterReport) int { return cmp.Compare(a.Voter, b.Voter) })
	return reports
}

// addPage adds a page to its voter's report, and reports whether to request the next one. A duplicate or late page is
// ignored.
func (q *queries) addPage(from string, page queryMessage) (next bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	target := q.active[page.Number]
	if target == nil || len(page.Leases) > pageSize || page.More && len(page.Leases) == 0 {
		return false
	}
	if after, expected := target.missingAfter[from]; !expected || page.After != after {
		return false
	}
	report := target.reports[from]
	if report == nil {
		report = &VoterReport{Voter: from}
		target.reports[from] = report
	}
	report.SetNumber = page.SetNumber
	report.AbstainsFor = page.AbstainsFor
	for _, l := range page.Leases {
		report.Leases = append(report.Leases, lease.LeaseState{Lease: l.Lease, Holder: l.Holder, Term: l.Term, Remaining: l.Remaining, Waiting: l.Waiting})
	}
	if page.More {
		target.missingAfter[from] = page.lastLease()
		return true
	}
	delete(target.missingAfter, from)
	if len(target.missingAfter) == 0 {
		close(target.done)
	}
	return false
}

// lastLease returns the last lease of a page, after which the next page starts.
func (m *queryMessage) lastLease() string { return m.Leases[len(m.Leases)-1].Lease }

// QueryVoters queries every voter. It returns the reports received until the context ended, no new page arrived for
// queryIdleTimeout, or all answers were complete.
func (s *Service) QueryVoters(ctx context.Context) []VoterReport {
	q := s.queries.start(s.voterNames())
	s.awaitPages(ctx, q)
	return s.queries.end(q)
}

// voterNames returns the voters that this instance knows.
func (s *Service) voterNames() (names []string) {
	s.onCandidate(func(int64) { names = s.candidate.VoterNames() })
	return names
}

// awaitPages requests the first page of every voter, and repeats requests for missing pages.
func (s *Service) awaitPages(ctx context.Context, q *query) {
	resend := time.NewTicker(pageResendInterval)
	defer resend.Stop()
	progressAt := time.Now()
	var previous map[string]string
	for {
		missing := s.queries.missing(q)
		for name, after := range missing {
			if askedFor, asked := previous[name]; !asked || askedFor == after { // no page has arrived since
				s.requestPage(name, q.number, after)
			}
		}
		if !maps.Equal(previous, missing) {
			progressAt = time.Now()
		}
		previous = missing
		if time.Since(progressAt) >= queryIdleTimeout {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-q.done:
			return
		case <-s.stopped:
			return
		case <-resend.C:
		}
	}
}

// requestPage asks a voter for the leases after a given one.
func (s *Service) requestPage(voter string, number uint64, after string) {
	s.sendQuery(voter, queryMessage{Version: queryVersion, Number: number, After: after})
}

// sendQuery sends a query or a page to a member, possibly to this one.
func (s *Service) sendQuery(to string, m queryMessage) {
	body := codec.Encode(m)
	if to == s.self {
		s.receiveQuery(to, body)
		return
	}
	if s.send(to, membership.KindLeaseQuery, body) != nil {
		messagesUnsent.Add()
	}
}

// receiveQuery handles a query, a page, or a request to free a lease; it never blocks.
func (s *Service) receiveQuery(from string, body []byte) {
	var m queryMessage
	if strictDecoder.Unmarshal(body, &m) != nil || m.Version != queryVersion {
		messagesUnreadable.Add()
		return
	}
	if m.IsPage {
		if s.queries.addPage(from, m) {
			s.requestPage(from, m.Number, m.lastLease())
		}
		return
	}
	if m.FreeLease != "" {
		s.handleFreeRequest(from, m)
		return
	}
	select {
	case s.voterCalls <- func(now int64) { s.sendPage(now, from, m.Number, m.After) }:
	default:
		messagesDropped.Add()
	}
}

// leaseSnapshot is the voter's state when a first page was requested, so that all pages of a query are consistent.
type leaseSnapshot struct {
	to     string
	number uint64
	leases []lease.LeaseState
}

// sendPage sends a page of this instance's voter; it runs on the voter's goroutine.
func (s *Service) sendPage(now int64, to string, number uint64, after string) {
	if s.voter == nil {
		return
	}
	snapshot := &s.snapshot
	if after == "" || snapshot.to != to || snapshot.number != number {
		*snapshot = leaseSnapshot{to: to, number: number, leases: s.voter.LeaseStates(now)}
		slices.SortFunc(snapshot.leases, func(a, b lease.LeaseState) int { return cmp.Compare(a.Lease, b.Lease) })
	}
	start, found := slices.BinarySearchFunc(snapshot.leases, after, func(state lease.LeaseState, name string) int { return cmp.Compare(state.Lease, name) })
	if found {
		start++
	}
	end := min(len(snapshot.leases), start+pageSize)
	setNumber, _ := s.voter.CurrentSet()
	page := queryMessage{
		Version:     queryVersion,
		Number:      number,
		IsPage:      true,
		After:       after,
		More:        end < len(snapshot.leases),
		SetNumber:   setNumber,
		AbstainsFor: s.voter.AbstainsFor(now),
	}
	for _, state := range snapshot.leases[start:end] {
		page.Leases = append(page.Leases, queryLease{Lease: state.Lease, Holder: state.Holder, Term: state.Term, Remaining: state.Remaining, Waiting: state.Waiting})
	}
	s.sendQuery(to, page)
}
