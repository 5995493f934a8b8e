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

// An operator's list of leases is what the voters know. The instance that is asked queries every voter, page by page with
// one query in flight to each, and puts the pages together. A voter's whole answer at once would be a burst that
// overruns the asker's socket, and what is lost of it could not be seen.

const (
	queryVersion = 2
	// pageSize is how many leases a page has: with long names they fit a datagram.
	pageSize = 12
	// pageResendAfter is when a page that has not come is asked for again: many round trips.
	pageResendAfter = 100 * time.Millisecond
	// queryPatience is how long a query goes on without any new page.
	queryPatience = 500 * time.Millisecond
)

// queryMessage is a query for what a voter knows, a page of its answer, or an operator's request to free a lease, on the
// wire.
type queryMessage struct {
	_           struct{} `cbor:",toarray"`
	Version     int
	Number      uint64 // of the query
	IsPage      bool
	FreeLease   string // lease that the receiver is to give up, "" for a query or a page; Leases then has the term that is meant
	After       string // the page begins behind this lease
	More        bool   // pages follow
	SetNumber   uint64
	AbstainsFor int64 // us
	Leases      []queryLease
}

// queryLease is one lease of a page.
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
	SetNumber   uint64 // of the voter set that it goes by
	AbstainsFor int64  // us for which it still abstains
	Incomplete  bool   // further pages did not come
	Leases      []lease.LeaseState
}

// queries are those that this instance has under way.
type queries struct {
	mu         sync.Mutex
	lastNumber uint64
	open       map[uint64]*query
}

// query is one query of all voters.
type query struct {
	number  uint64
	reports map[string]*VoterReport
	after   map[string]string // voters whose further pages are missing, and the lease behind which they begin
	done    chan struct{}     // closed when all voters' answers are whole
}

// begin opens a query of some voters.
func (q *queries) begin(voters []string) *query {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastNumber++
	opened := &query{number: q.lastNumber, reports: map[string]*VoterReport{}, after: map[string]string{}, done: make(chan struct{})}
	for _, name := range voters {
		opened.after[name] = ""
	}
	if len(voters) == 0 {
		close(opened.done)
	}
	if q.open == nil {
		q.open = map[uint64]*query{}
	}
	q.open[opened.number] = opened
	return opened
}

// missing returns the voters whose further pages are missing, and the lease behind which they begin.
func (q *queries) missing(of *query) map[string]string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(of.after)
}

// end closes a query and returns what came, by voters' names.
func (q *queries) end(ended *query) (reports []VoterReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, ended.number)
	for name, report := range ended.reports {
		_, report.Incomplete = ended.after[name]
		reports = append(reports, *report)
	}
	slices.SortFunc(reports, func(a, b VoterReport) int { return cmp.Compare(a.Voter, b.Voter) })
	return reports
}

// addPage adds a page to the others of its voter, and reports whether the next one is to be asked for. A page that came
// twice, or late, changes nothing.
func (q *queries) addPage(from string, page queryMessage) (next bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	of := q.open[page.Number]
	if of == nil || len(page.Leases) > pageSize || page.More && len(page.Leases) == 0 {
		return false
	}
	if after, expected := of.after[from]; !expected || page.After != after {
		return false
	}
	report := of.reports[from]
	if report == nil {
		report = &VoterReport{Voter: from}
		of.reports[from] = report
	}
	report.SetNumber = page.SetNumber
	report.AbstainsFor = page.AbstainsFor
	for _, l := range page.Leases {
		report.Leases = append(report.Leases, lease.LeaseState{Lease: l.Lease, Holder: l.Holder, Term: l.Term, Remaining: l.Remaining, Waiting: l.Waiting})
	}
	if page.More {
		of.after[from] = page.lastLease()
		return true
	}
	delete(of.after, from)
	if len(of.after) == 0 {
		close(of.done)
	}
	return false
}

// lastLease returns the last lease of a page, behind which the next one begins.
func (m *queryMessage) lastLease() string { return m.Leases[len(m.Leases)-1].Lease }

// QueryVoters asks every voter what it knows. It returns what came until the context ended, nothing new came for
// queryPatience, or all answers were whole.
func (s *Service) QueryVoters(ctx context.Context) []VoterReport {
	q := s.queries.begin(s.voterNames())
	s.awaitPages(ctx, q)
	return s.queries.end(q)
}

// voterNames returns the voters that this instance knows.
func (s *Service) voterNames() (names []string) {
	s.onCandidate(func(int64) { names = s.candidate.VoterNames() })
	return names
}

// awaitPages asks for the first pages, and again for each that does not come.
func (s *Service) awaitPages(ctx context.Context, q *query) {
	resend := time.NewTicker(pageResendAfter)
	defer resend.Stop()
	progressAt := time.Now()
	var before map[string]string
	for {
		missing := s.queries.missing(q)
		for name, after := range missing {
			if askedFor, asked := before[name]; !asked || askedFor == after { // no page has come since
				s.askForPage(name, q.number, after)
			}
		}
		if !maps.Equal(before, missing) {
			progressAt = time.Now()
		}
		before = missing
		if time.Since(progressAt) >= queryPatience {
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

// askForPage asks a voter for what it knows behind a lease.
func (s *Service) askForPage(voter string, number uint64, after string) {
	s.sendQuery(voter, queryMessage{Version: queryVersion, Number: number, After: after})
}

// sendQuery sends a query or a page to a member, which may be this one.
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
	if decoding.Unmarshal(body, &m) != nil || m.Version != queryVersion {
		messagesUnreadable.Add()
		return
	}
	if m.IsPage {
		if s.queries.addPage(from, m) {
			s.askForPage(from, m.Number, m.lastLease())
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

// listing is what this instance's voter knew when it was asked for a first page, so that a query's pages are of one moment.
type listing struct {
	to     string
	number uint64
	leases []lease.LeaseState
}

// sendPage answers with a page of what this instance's voter knows; it runs on the voter's goroutine.
func (s *Service) sendPage(now int64, to string, number uint64, after string) {
	if s.voter == nil {
		return
	}
	l := &s.listing
	if after == "" || l.to != to || l.number != number {
		*l = listing{to: to, number: number, leases: s.voter.LeaseStates(now)}
		slices.SortFunc(l.leases, func(a, b lease.LeaseState) int { return cmp.Compare(a.Lease, b.Lease) })
	}
	start, found := slices.BinarySearchFunc(l.leases, after, func(state lease.LeaseState, name string) int { return cmp.Compare(state.Lease, name) })
	if found {
		start++
	}
	end := min(len(l.leases), start+pageSize)
	setNumber, _ := s.voter.CurrentSet()
	page := queryMessage{
		Version:     queryVersion,
		Number:      number,
		IsPage:      true,
		After:       after,
		More:        end < len(l.leases),
		SetNumber:   setNumber,
		AbstainsFor: s.voter.AbstainsFor(now),
	}
	for _, state := range l.leases[start:end] {
		page.Leases = append(page.Leases, queryLease{Lease: state.Lease, Holder: state.Holder, Term: state.Term, Remaining: state.Remaining, Waiting: state.Waiting})
	}
	s.sendQuery(to, page)
}
