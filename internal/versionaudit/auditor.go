package versionaudit

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cairntiller/internal/lease"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/membership"
	"cairntiller/internal/metrics"
	"cairntiller/internal/sexp"
)

// LeaseName is the lease held by the instance that runs the audits.
const LeaseName = "list-version"

const (
	// answerTimeout is how long a round waits for answers.
	answerTimeout = time.Second
	// roundTimeout bounds a round, which is one operation under the lease.
	roundTimeout = 2 * time.Second
	// roundInterval is the time between the two rounds: a list reaches some instances seconds late.
	roundInterval = 5 * time.Second
	// firstAuditDelay is the time until an instance's first audit, unless the audit interval is shorter.
	firstAuditDelay = 10 * time.Second
	// candidateCheckInterval is the time between checks of whether this instance is a candidate for the lease.
	candidateCheckInterval = 5 * time.Second
	// maxCandidates is how many instances request the lease: three suffice, and requests from a thousand would overload
	// the voters.
	maxCandidates = 3
	// maxLeaseLength (us) bounds the length of the lease. It is shorter if the lease service allows less.
	maxLeaseLength = 10_000_000
)

var (
	audits             = metrics.New("version audits")
	findingsReported   = metrics.New("version audit findings")
	unreadableMessages = metrics.New("version audit messages unreadable")
)

// Settings holds the section roll-call of the operator's file.
type Settings struct {
	Interval int64 // us between audits
}

// ReadSettings reads the settings from the operator's file and reports each invalid value to p.
func ReadSettings(p *sexp.Part) Settings {
	return Settings{Interval: p.Duration("every", 60_000_000, 1_000_000, 86_400_000_000)}
}

// Send sends a message of the given kind to a member. Delivery is not guaranteed.
type Send func(to string, kind uint8, body []byte) error

// Auditor runs audits while its instance holds the lease, and answers the audits of others. Its methods may be called
// from any goroutine.
type Auditor struct {
	self     string
	interval time.Duration
	leases   *leaseservice.Service
	members  func() []string
	send     Send
	version  atomic.Int64 // of this instance's endpoint list
	stopping chan struct{}
	running  sync.WaitGroup

	mu         sync.Mutex
	lastNumber uint64 // of this instance's latest query
	audit      *audit // the latest, nil once completed; an aborted one stays until the next begins
	round      int    // current round of audit
}

// New returns an Auditor for the instance self; members returns the names of the other live members.
func New(self string, settings Settings, leases *leaseservice.Service, members func() []string, send Send) *Auditor {
	a := &Auditor{
		self:     self,
		interval: time.Duration(settings.Interval) * time.Microsecond,
		leases:   leases,
		members:  members,
		send:     send,
		stopping: make(chan struct{}),
	}
	a.version.Store(noList)
	return a
}

// SetVersion sets the version of the endpoint list that this instance has.
func (a *Auditor) SetVersion(version int64) { a.version.Store(version) }

// Start begins to request the lease, whose length may be up to longestLease (us), and to run audits while it is held.
func (a *Auditor) Start(longestLease int64) {
	a.running.Go(func() { a.run(min(longestLease, maxLeaseLength)) })
}

// Stop ends the auditor. It does not release the lease: stopping the lease service does.
func (a *Auditor) Stop() {
	close(a.stopping)
	a.running.Wait()
}

// sleep waits for d; it returns false if the auditor is being stopped.
func (a *Auditor) sleep(d time.Duration) bool {
	select {
	case <-a.stopping:
		return false
	case <-time.After(d):
		return true
	}
}

// run requests the lease while this instance is one of the candidates, and runs the audits that are due.
func (a *Auditor) run(leaseLength int64) {
	var guard *leaseservice.Guard
	due := time.Now().Add(min(firstAuditDelay, a.interval))
	for a.sleep(min(candidateCheckInterval, a.interval)) {
		candidate := lease.Eligible(a.self, a.members(), LeaseName, maxCandidates)
		switch {
		case candidate && guard == nil:
			var err error
			if guard, err = a.leases.RequestLease(lease.Request{Lease: LeaseName, Length: leaseLength}, nil); err != nil {
				slog.Error("no version audits", "err", err)
				return
			}
		case !candidate && guard != nil:
			if term, _ := guard.Held(); term == 0 {
				guard.Withdraw()
				guard = nil
			}
		}
		if guard == nil || time.Now().Before(due) {
			continue
		}
		if a.runAudit(guard) {
			due = time.Now().Add(a.interval)
		}
	}
}

// runAudit runs one audit, if this instance holds the lease, and reports whether it was completed. Each round is a
// separate operation under the lease, so an instance that loses the lease between the rounds does not audit beside the
// new holder.
func (a *Auditor) runAudit(guard *leaseservice.Guard) bool {
	if term, _ := guard.Held(); term == 0 {
		return false
	}
	current := newAudit(a.members())
	for round := range rounds {
		if round > firstRound && !a.sleep(roundInterval) {
			return false
		}
		err := guard.Do(context.Background(), roundTimeout, func(ctx context.Context, _ uint64) error {
			a.queryAll(ctx, current, round)
			return nil
		})
		if err != nil {
			return false
		}
	}
	a.mu.Lock()
	findings := current.findings()
	a.audit = nil
	a.mu.Unlock()
	audits.Add()
	for _, finding := range findings {
		findingsReported.Add()
		slog.Warn("version audit", "member", finding.Member, "fault", finding.Fault.String(), "list", finding.Version, "want", finding.Want)
	}
	return true
}

// queryAll queries all members of an audit and waits for their answers.
func (a *Auditor) queryAll(ctx context.Context, current *audit, round int) {
	query := a.beginRound(current, round)
	for _, name := range current.members {
		if ctx.Err() != nil {
			return
		}
		if err := a.send(name, membership.KindVersionAudit, query); err != nil {
			slog.Debug("version query not sent", "member", name, "err", err)
		}
	}
	select {
	case <-ctx.Done():
	case <-a.stopping:
	case <-time.After(answerTimeout):
	}
}

// beginRound makes a round the one that answers are recorded in, and returns its encoded query.
func (a *Auditor) beginRound(current *audit, round int) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastNumber++
	a.audit = current
	a.round = round
	current.recordAnswer(round, a.self, a.version.Load())
	return encodeQuery(a.lastNumber)
}

// HandleMessage handles a member's message; it never blocks. An answer to an earlier query is ignored.
func (a *Auditor) HandleMessage(from string, body []byte) {
	m, err := decodeMessage(body)
	if err != nil {
		unreadableMessages.Add()
		return
	}
	if !m.Answer {
		if err := a.send(from, membership.KindVersionAudit, encodeAnswer(m.Number, a.version.Load())); err != nil {
			slog.Debug("version answer not sent", "member", from, "err", err)
		}
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.audit != nil && m.Number == a.lastNumber {
		a.audit.recordAnswer(a.round, from, m.List)
	}
}
