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

// LeaseName is the lease that the instance holds which makes the audits.
const LeaseName = "list-version"

const (
	// answerWait is how long a look waits for answers.
	answerWait = time.Second
	// lookTimeout bounds a look as an act under the lease.
	lookTimeout = 2 * time.Second
	// lookGap is the time between the two looks: a list reaches some instances seconds late.
	lookGap = 5 * time.Second
	// firstAuditDelay is the time until an instance's first audit, if the interval is not shorter.
	firstAuditDelay = 10 * time.Second
	// candidateCheckInterval is the time between checks whether this instance is one that requests the lease.
	candidateCheckInterval = 5 * time.Second
	// maxCandidates is how many instances request the lease: enough, where a thousand would crowd the voters.
	maxCandidates = 3
	// maxLeaseLength (us) is the lease's length, if longer ones are allowed.
	maxLeaseLength = 10_000_000
)

var (
	audits             = metrics.New("version audits")
	findingsReported   = metrics.New("version audit findings")
	unreadableMessages = metrics.New("version audit messages unreadable")
)

// Settings are what the operator's file says in its part roll-call.
type Settings struct {
	Interval int64 // us between audits
}

// ReadSettings reads the settings from the operator's file, and reports each fault in it to the part.
func ReadSettings(p *sexp.Part) Settings {
	return Settings{Interval: p.Duration("every", 60_000_000, 1_000_000, 86_400_000_000)}
}

// Send sends a message of a kind to a member; it may be lost.
type Send func(to string, kind uint8, body []byte) error

// Auditor is one instance's part in the audits. Its methods may be called from any goroutine.
type Auditor struct {
	self     string
	interval time.Duration
	leases   *leaseservice.Service
	members  func() []string
	send     Send
	version  atomic.Int64 // of the endpoint list here
	stopping chan struct{}
	running  sync.WaitGroup

	mu         sync.Mutex
	lastNumber uint64 // of this instance's questions
	audit      *audit // the latest, nil once it was completed; one that ended early stays until the next begins
	look       int    // of that audit
}

// New makes an instance's part; members returns the names of the other live members.
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

// SetVersion tells which version of the endpoint list this instance has now.
func (a *Auditor) SetVersion(version int64) { a.version.Store(version) }

// Start begins to request the lease, whose length may be up to longestLease (us), and to make audits while it is held.
func (a *Auditor) Start(longestLease int64) {
	a.running.Go(func() { a.run(min(longestLease, maxLeaseLength)) })
}

// Stop ends this instance's part. The lease is given up by whoever ends the lease service.
func (a *Auditor) Stop() {
	close(a.stopping)
	a.running.Wait()
}

// sleep waits; it returns false if the auditor is being stopped.
func (a *Auditor) sleep(d time.Duration) bool {
	select {
	case <-a.stopping:
		return false
	case <-time.After(d):
		return true
	}
}

// run requests the lease while this instance is one of the candidates, and makes the audits that are due.
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

// runAudit makes one audit, if this instance holds the lease, and reports whether it was completed. Each of the looks is an
// act under the lease by itself, so that an instance that loses it between them does not go on beside its successor.
func (a *Auditor) runAudit(guard *leaseservice.Guard) bool {
	if term, _ := guard.Held(); term == 0 {
		return false
	}
	fresh := newAudit(a.members())
	for look := range looks {
		if look > firstLook && !a.sleep(lookGap) {
			return false
		}
		err := guard.Do(context.Background(), lookTimeout, func(ctx context.Context, _ uint64) error {
			a.askAll(ctx, fresh, look)
			return nil
		})
		if err != nil {
			return false
		}
	}
	a.mu.Lock()
	findings := fresh.findings()
	a.audit = nil
	a.mu.Unlock()
	audits.Add()
	for _, finding := range findings {
		findingsReported.Add()
		slog.Warn("version audit", "member", finding.Member, "fault", finding.Fault.String(), "list", finding.Version, "want", finding.Want)
	}
	return true
}

// askAll asks all members of an audit and waits for their answers.
func (a *Auditor) askAll(ctx context.Context, fresh *audit, look int) {
	question := a.beginLook(fresh, look)
	for _, name := range fresh.members {
		if ctx.Err() != nil {
			return
		}
		if err := a.send(name, membership.KindVersionAudit, question); err != nil {
			slog.Debug("not asked", "member", name, "err", err)
		}
	}
	select {
	case <-ctx.Done():
	case <-a.stopping:
	case <-time.After(answerWait):
	}
}

// beginLook notes which look answers belong to from now on, and returns the question.
func (a *Auditor) beginLook(fresh *audit, look int) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastNumber++
	a.audit = fresh
	a.look = look
	fresh.recordAnswer(look, a.self, a.version.Load())
	return encodeQuestion(a.lastNumber)
}

// HandleMessage takes a member's message; it never blocks. An answer to an earlier question counts for nothing.
func (a *Auditor) HandleMessage(from string, body []byte) {
	m, err := decodeMessage(body)
	if err != nil {
		unreadableMessages.Add()
		return
	}
	if !m.Answer {
		if err := a.send(from, membership.KindVersionAudit, encodeAnswer(m.Number, a.version.Load())); err != nil {
			slog.Debug("not answered", "member", from, "err", err)
		}
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.audit != nil && m.Number == a.lastNumber {
		a.audit.recordAnswer(a.look, from, m.List)
	}
}
