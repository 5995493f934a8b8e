// Package rolloutservice carries releases: it moves messages between the fleet and what internal/rollout decides, tells the
// router's own engine what is drained, and hands the router's leave to its supervisor. It decides nothing. Leader,
// member and voter of one instance run on one goroutine of its own.
package rolloutservice

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"cairntiller/internal/lease"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/membership"
	"cairntiller/internal/metrics"
	"cairntiller/internal/rollout"
	"cairntiller/internal/sexp"
)

const (
	// Lease is what the leader of all plans holds.
	Lease = "releases"

	inboxMost  = 4096
	tickEvery  = 250 * time.Millisecond
	reportGap  = int64(1_000_000)   // us between reports
	standGap   = 5 * time.Second    // between looks whether this instance is one to ask for the lease
	standMost  = 3                  // instances that ask
	mostLength = int64(10_000_000)  // us of the lease, where longer ones are allowed
	usedFor    = int64(120_000_000) // us for which a node that is back is reported on
	wordWait   = 15 * time.Second   // for a word to be kept by a majority
	askGap     = time.Second        // between tries of one
	mostAskers = 256                // words whose replies are under way
	notLeading = "that router does not lead any more"
)

var (
	leads    = metrics.New("times that this router led releases")
	slots    = metrics.New("times that this router went out by a plan")
	drained  = metrics.New("changes of drained nodes")
	unread   = metrics.New("release messages unread")
	dropped  = metrics.New("release messages dropped, too many")
	unsent   = metrics.New("release messages unsent")
	fenced   = metrics.New("release messages kept back, lease not held")
	obeyed   = metrics.New("operators' words on plans taken")
	rejected = metrics.New("operators' words on plans refused")
)

// Place is what the operator's file says of releases.
type Place struct {
	Given   bool
	Zone    string
	Version uint64
	Next    string // file for the version that the supervisor is to start next
}

// Read takes it from the operator's file.
func Read(p *sexp.Part) Place {
	at := Place{Given: p.Present(), Zone: p.Text("zone", ""), Version: uint64(p.Integer("version", 1, 1, 1<<40)), Next: p.Text("next", "")}
	if at.Next != "" && !filepath.IsAbs(at.Next) {
		p.AddFault("next", fmt.Sprintf("%q", at.Next), `a path such as "/var/lib/cairntiller/next"`)
	}
	return at
}

// Router is what the carrying needs of the router beside it; its calls may come from any goroutine and never block.
type Router interface {
	// Figures tells what it has served, whether it takes commands, and how long it took to be ready, in us.
	Figures() (s rollout.Served, ready bool, startedIn int64)
	// Drain lets nothing new go to these nodes.
	Drain(nodes []string)
	// Look asks for the nodes that it knows, with what it has open at them; the answer comes on any goroutine.
	Look(func([]Node))
	// Leave lets it leave in order, as on a stop.
	Leave()
}

// Node is a node as this router knows it.
type Node struct {
	rollout.Box
	Open     int    // dispatches that are out
	Answered uint64 // since the router started
}

// Releasing is one instance's part.
type Releasing struct {
	self    string
	at      Place
	router  Router
	clock   func() int64
	send    func(to string, kind uint8, body []byte) error
	members func() []string
	leases  *leaseservice.Service
	voters  []string
	length  int64

	inbox chan func(now int64)
	over  chan struct{}
	done  sync.WaitGroup

	// its goroutine's
	leader   *rollout.Leader
	member   *rollout.Member
	ledger   *rollout.Ledger
	born     uint64
	tenure   *leaseservice.Guard
	term     uint64
	chief    string
	reportAt int64
	lookAt   int64
	drains   []string
	returned map[string]mark
	nodes    map[string]Node
	leaving  bool
	known    map[string]bool
	askers   map[string]string      // who said a word, by its token
	replies  map[string]chan string // who waits here for the reply to one
}

// mark is a node that is back: since when, and what had been answered by it until then.
type mark struct {
	at       int64
	answered uint64
}

// New makes an instance's part.
func New(self string, at Place, voters []string, longest int64, router Router, clock func() int64, leases *leaseservice.Service, members func() []string,
	send func(to string, kind uint8, body []byte) error) *Releasing {
	born := uint64(time.Now().UnixMicro())
	r := &Releasing{self: self, at: at, router: router, clock: clock, send: send, members: members, leases: leases, voters: voters, length: min(longest, mostLength),
		inbox: make(chan func(int64), inboxMost), over: make(chan struct{}), leader: rollout.NewLeader(self, voters), member: rollout.NewMember(born), born: born,
		returned: map[string]mark{}, nodes: map[string]Node{}, known: map[string]bool{}, askers: map[string]string{}, replies: map[string]chan string{}}
	if slices.Contains(voters, self) {
		r.ledger = rollout.NewLedger(born, nil)
	}
	return r
}

// Start begins to report, to vote, and to stand for the lead.
func (r *Releasing) Start() {
	r.done.Go(r.run)
	r.done.Go(r.stand)
}

// Stop ends this instance's part and gives the lead up, so that another one need not wait until it runs out.
func (r *Releasing) Stop() {
	close(r.over)
	r.done.Wait()
}

// post hands an event to the goroutine; it never blocks.
func (r *Releasing) post(do func(now int64)) {
	select {
	case r.inbox <- do:
	default:
		dropped.Add()
	}
}

// stand asks for the lease as one of a few.
func (r *Releasing) stand() {
	var t *leaseservice.Guard
	for {
		stands := lease.Eligible(r.self, r.members(), Lease, standMost)
		if stands && t == nil {
			var err error
			if t, err = r.leases.RequestLease(lease.Request{Lease: Lease, Length: r.length}, r.changed); err != nil {
				slog.Error("does not stand for the lead of releases", "err", err)
			} else {
				r.post(func(int64) { r.tenure = t })
			}
		} else if !stands && t != nil {
			if term, _ := t.Held(); term == 0 {
				t.Withdraw()
				t = nil
			}
		}
		select {
		case <-r.over:
			if t != nil {
				t.Withdraw()
			}
			return
		case <-time.After(standGap):
		}
	}
}

// changed takes what became of the lease; it is called on the leases' goroutine.
func (r *Releasing) changed(e leaseservice.Event) {
	r.post(func(now int64) {
		switch {
		case e.Change == leaseservice.Acquired:
			leads.Add()
			r.term = e.Term
			r.leader.Lead(now, e.Term)
		case e.Change == leaseservice.Extended && e.Term != r.term && r.term > 0:
			r.term = e.Term
			r.leader.Carried(now, e.Term)
		case e.Change == leaseservice.Lost:
			r.lose()
		case e.Change == leaseservice.YieldRequested:
			r.yield(e.Next)
		}
	})
}

func (r *Releasing) lose() {
	r.term = 0
	r.leader.Lost()
}

// yield gives the lead up; what was said under it is over, for a record is written whole or not at all.
func (r *Releasing) yield(next string) {
	if t := r.tenure; t != nil && r.term > 0 {
		r.lose()
		go t.Release(next)
	}
}

func (r *Releasing) run() {
	beat := time.NewTicker(tickEvery)
	defer beat.Stop()
	for {
		select {
		case <-r.over:
			return
		case do := <-r.inbox:
			do(r.clock())
		case <-beat.C:
			r.tick(r.clock())
		}
		for n := 0; n < 256 && len(r.inbox) > 0; n++ {
			(<-r.inbox)(r.clock())
		}
		r.carry()
	}
}

// tick looks at the fleet and the router, and lets all parts look at what is due.
func (r *Releasing) tick(now int64) {
	r.member.Tick(now)
	if now >= r.lookAt {
		r.lookAt = now + reportGap/2
		r.router.Look(func(all []Node) { r.post(func(now int64) { r.looked(all) }) })
	}
	if r.term > 0 {
		there := map[string]bool{r.self: true}
		r.leader.Up(r.self)
		for _, name := range r.members() {
			there[name] = true
			r.leader.Up(name)
		}
		for name := range r.known {
			if !there[name] {
				r.leader.Gone(name)
			}
		}
		r.known = there
		for _, n := range r.nodes {
			r.leader.SetBox(n.Box)
		}
		r.leader.Tick(now)
	}
	if now >= r.reportAt && r.chief != "" {
		r.report(now)
	}
}

func (r *Releasing) looked(all []Node) {
	clear(r.nodes)
	for _, n := range all {
		r.nodes[n.Name] = n
	}
}

// report tells whoever leads how this router does.
func (r *Releasing) report(now int64) {
	r.reportAt = now + reportGap
	served, ready, startedIn := r.router.Figures()
	said, _ := r.member.Heard()
	p := &rollout.Report{Member: r.self, Zone: r.at.Zone, Born: r.born, Version: r.at.Version, Ready: ready, Leaving: r.leaving, Term: said.Term, Seq: said.Seq,
		Served: served, StartedIn: startedIn, Heap: resident()}
	if r.ledger != nil {
		_, p.Blank = r.ledger.Record()
	}
	for _, name := range r.drains {
		p.Open = append(p.Open, rollout.Open{Node: name, Commands: r.nodes[name].Open})
	}
	for name, m := range r.returned {
		if now-m.at > usedFor {
			delete(r.returned, name)
			continue
		}
		p.Open = append(p.Open, rollout.Open{Node: name, Answered: r.nodes[name].Answered - min(m.answered, r.nodes[name].Answered)})
	}
	r.say(r.chief, reportMessage{p})
}

// resident is what the process takes, in bytes; 0 where the system does not tell.
func resident() int64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var all, here int64
	fmt.Sscan(string(raw), &all, &here)
	return here * int64(os.Getpagesize())
}

// say sends a message, to itself without the network.
func (r *Releasing) say(to string, m message) {
	if to == r.self {
		r.post(func(now int64) { r.take(now, to, m) })
		return
	}
	if err := r.send(to, membership.KindRelease, encode(m)); err != nil {
		unsent.Add()
		slog.Debug("a release message was not sent", "to", to, "err", err)
	}
}

// Hear takes a member's message; it never blocks.
func (r *Releasing) Hear(from string, body []byte) {
	m, err := decode(body)
	if err != nil {
		unread.Add()
		slog.Debug("a release message can't be read", "from", from, "err", err)
		return
	}
	r.post(func(now int64) { r.take(now, from, m) })
}

// take hands a message to the part that it is for.
func (r *Releasing) take(now int64, from string, m message) {
	switch m := m.(type) {
	case reportMessage:
		if r.term > 0 && m.report.Member == from {
			r.leader.HearReport(now, m.report)
		}
	case reportRequest:
		r.chief, r.reportAt = from, 0
	case statementMessage:
		r.chief = from
		if m.fromVoter {
			r.chief = ""
		}
		r.member.Hear(now, m.statement)
	case readRequest:
		if r.ledger != nil {
			k, ok := r.ledger.Read(m.term)
			r.say(from, readAnswer{m.term, ok, k})
		}
	case readAnswer:
		if r.term > 0 {
			r.leader.HearRead(now, from, m.term, m.kept, m.accepted)
		}
	case writeRequest:
		if r.ledger != nil {
			ok := r.ledger.Write(m.record, m.born)
			r.say(from, writeAnswer{m.record.Term, m.record.Seq, ok})
		}
	case writeAnswer:
		if r.term > 0 {
			r.leader.HearWrite(now, from, m.term, m.seq, m.accepted)
		}
	case drainQuery:
		if r.ledger != nil {
			if rec, _ := r.ledger.Record(); rec != nil {
				r.say(from, statementMessage{rollout.Drained(rec), true})
			}
		}
	case commandMessage:
		if r.term > 0 {
			if len(r.askers) >= mostAskers {
				clear(r.askers) // they say their words again
			}
			r.askers[m.word.Token] = from
			r.leader.HearWord(now, m.word)
		} else {
			r.say(from, commandReply{m.word.Token, false, notLeading})
		}
	case commandReply:
		r.replied(m.token, m.accepted, m.reason)
	}
}

// carry does what the parts ask for.
func (r *Releasing) carry() {
	for _, o := range r.member.Take() {
		r.do(o)
	}
	for _, o := range r.leader.Take() {
		r.do(o)
	}
}

// holds tells whether the lease is held right now: nothing is said under it later.
func (r *Releasing) holds() bool {
	if r.tenure == nil {
		return false
	}
	term, _ := r.tenure.Held()
	if term == 0 || term != r.term {
		fenced.Add()
		return false
	}
	return true
}

func (r *Releasing) do(o rollout.Out) {
	switch o.Act {
	case rollout.Ask:
		r.say(o.To, readRequest{o.Term})
	case rollout.Call:
		if r.holds() {
			r.say(o.To, reportRequest{})
		}
	case rollout.Write:
		if r.holds() {
			r.say(o.To, writeRequest{o.Born, o.Record})
		}
	case rollout.Say:
		if r.holds() {
			r.say(o.To, statementMessage{o.Statement, false})
		}
	case rollout.Reply:
		to := r.askers[o.Token]
		if o.Why == "" {
			obeyed.Add()
		} else {
			rejected.Add()
		}
		if to != "" {
			r.say(to, commandReply{o.Token, o.Why == "", o.Why})
		}
	case rollout.Yield:
		slog.Info("lets another router lead, for it is to go out itself", "plan", o.Plan)
		r.yield("")
	case rollout.Seek:
		for _, v := range r.voters {
			r.say(v, drainQuery{})
		}
	case rollout.Drain:
		r.drain(o.Nodes)
	case rollout.Go:
		r.goes(o)
	case rollout.Note:
		slog.Info("release", "plan", o.Plan, "note", o.Why)
	}
}

// drain tells the router which nodes get nothing new, and notes those that are back.
func (r *Releasing) drain(names []string) {
	drained.Add()
	now := r.clock()
	for _, name := range r.drains {
		if !slices.Contains(names, name) {
			r.returned[name] = mark{now, r.nodes[name].Answered}
		}
	}
	for _, name := range names {
		delete(r.returned, name)
	}
	r.drains = names
	r.router.Drain(names)
	r.lookAt = 0
	slog.Info("drained by plans", "nodes", names)
}

// goes lets the router leave in order; its supervisor starts the version that is named.
func (r *Releasing) goes(o rollout.Out) {
	if o.Want > 0 && r.at.Next != "" {
		part := r.at.Next + ".part"
		err := os.WriteFile(part, []byte(strconv.FormatUint(o.Want, 10)+"\n"), 0o644)
		if err = errors.Join(err, os.Rename(part, r.at.Next)); err != nil {
			slog.Error("stays: the next version can't be written", "err", err)
			return
		}
	}
	slots.Add()
	r.leaving = true
	slog.Info("goes out by a plan", "term", o.Slot.Term, "slot", o.Slot.N, "version", o.Want)
	r.report(r.clock())
	r.router.Leave()
}

// Status is how releases stand as this router knows it: what it leads by, else what its voter keeps.
func (r *Releasing) Status(ctx context.Context) (s Status, err error) {
	done := make(chan struct{})
	r.post(func(now int64) {
		defer close(done)
		term, rec := r.leader.Leads()
		s = Status{Router: r.self, Leads: term > 0, Chief: r.chief, Doubt: r.leader.Doubt(), Term: term}
		if rec == nil && r.ledger != nil {
			rec, _ = r.ledger.Record()
		}
		if rec != nil {
			s.fill(rec)
		}
	})
	select {
	case <-done:
		return s, nil
	case <-ctx.Done():
		return s, ctx.Err()
	}
}
