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
	LeaseName = "releases"

	inboxSize            = 4096
	tickInterval         = 250 * time.Millisecond
	reportInterval       = int64(1_000_000)   // us between reports
	campaignInterval     = 5 * time.Second    // between looks whether this instance is one to ask for the lease
	maxCandidates        = 3                  // instances that ask
	maxLeaseLength       = int64(10_000_000)  // us of the lease, where longer ones are allowed
	returnedReportTime   = int64(120_000_000) // us for which a node that is back is reported on
	commandTimeout       = 15 * time.Second   // for a word to be kept by a majority
	commandRetryInterval = time.Second        // between tries of one
	maxCommandSenders    = 256                // words whose replies are under way
	notLeading           = "that router does not lead any more"
)

var (
	timesLeading     = metrics.New("times that this router led releases")
	timesLeft        = metrics.New("times that this router went out by a plan")
	drainChanges     = metrics.New("changes of drained nodes")
	messagesUnread   = metrics.New("release messages unread")
	messagesDropped  = metrics.New("release messages dropped, too many")
	messagesUnsent   = metrics.New("release messages unsent")
	messagesFenced   = metrics.New("release messages kept back, lease not held")
	commandsAccepted = metrics.New("operators' words on plans taken")
	commandsRejected = metrics.New("operators' words on plans refused")
)

// Place is what the operator's file says of releases.
type Settings struct {
	Given           bool
	Zone            string
	Version         uint64
	NextVersionFile string // file for the version that the supervisor is to start next
}

// Read takes it from the operator's file.
func ReadSettings(p *sexp.Part) Settings {
	at := Settings{Given: p.Present(), Zone: p.Text("zone", ""), Version: uint64(p.Integer("version", 1, 1, 1<<40)), NextVersionFile: p.Text("next", "")}
	if at.NextVersionFile != "" && !filepath.IsAbs(at.NextVersionFile) {
		p.AddFault("next", fmt.Sprintf("%q", at.NextVersionFile), `a path such as "/var/lib/cairntiller/next"`)
	}
	return at
}

// Router is what the carrying needs of the router beside it; its calls may come from any goroutine and never block.
type Router interface {
	// Figures tells what it has served, whether it takes commands, and how long it took to be ready, in us.
	Counts() (s rollout.CommandCounts, ready bool, startedIn int64)
	// Drain lets nothing new go to these nodes.
	Drain(nodes []string)
	// Look asks for the nodes that it knows, with what it has open at them; the answer comes on any goroutine.
	QueryNodes(func([]Node))
	// Leave lets it leave in order, as on a stop.
	Leave()
}

// Node is a node as this router knows it.
type Node struct {
	rollout.NodeState
	OpenCommands int    // dispatches that are out
	Answers      uint64 // since the router started
}

// Releasing is one instance's part.
type Service struct {
	self        string
	settings    Settings
	router      Router
	clock       func() int64
	send        func(to string, kind uint8, body []byte) error
	members     func() []string
	leases      *leaseservice.Service
	voters      []string
	leaseLength int64

	inbox      chan func(now int64)
	stopped    chan struct{}
	goroutines sync.WaitGroup

	// its goroutine's
	leader         *rollout.Leader
	member         *rollout.Member
	voter          *rollout.Voter
	incarnation    uint64
	tenure         *leaseservice.Guard
	term           uint64
	knownLeader    string
	nextReportAt   int64
	nextQueryAt    int64
	drained        []string
	returned       map[string]returnedNode
	nodes          map[string]Node
	leaving        bool
	knownMembers   map[string]bool
	commandSenders map[string]string      // who said a word, by its token
	waiting        map[string]chan string // who waits here for the reply to one
}

// mark is a node that is back: since when, and what had been answered by it until then.
type returnedNode struct {
	at       int64
	answered uint64
}

// New makes an instance's part.
func New(self string, at Settings, voters []string, longest int64, router Router, clock func() int64, leases *leaseservice.Service, members func() []string,
	send func(to string, kind uint8, body []byte) error) *Service {
	born := uint64(time.Now().UnixMicro())
	r := &Service{self: self, settings: at, router: router, clock: clock, send: send, members: members, leases: leases, voters: voters, leaseLength: min(longest, maxLeaseLength),
		inbox: make(chan func(int64), inboxSize), stopped: make(chan struct{}), leader: rollout.NewLeader(self, voters), member: rollout.NewMember(born), incarnation: born,
		returned: map[string]returnedNode{}, nodes: map[string]Node{}, knownMembers: map[string]bool{}, commandSenders: map[string]string{}, waiting: map[string]chan string{}}
	if slices.Contains(voters, self) {
		r.voter = rollout.NewVoter(born, nil)
	}
	return r
}

// Start begins to report, to vote, and to stand for the lead.
func (r *Service) Start() {
	r.goroutines.Go(r.run)
	r.goroutines.Go(r.campaign)
}

// Stop ends this instance's part and gives the lead up, so that another one need not wait until it runs out.
func (r *Service) Stop() {
	close(r.stopped)
	r.goroutines.Wait()
}

// post hands an event to the goroutine; it never blocks.
func (r *Service) post(do func(now int64)) {
	select {
	case r.inbox <- do:
	default:
		messagesDropped.Add()
	}
}

// stand asks for the lease as one of a few.
func (r *Service) campaign() {
	var t *leaseservice.Guard
	for {
		stands := lease.Eligible(r.self, r.members(), LeaseName, maxCandidates)
		if stands && t == nil {
			var err error
			if t, err = r.leases.RequestLease(lease.Request{Lease: LeaseName, Length: r.leaseLength}, r.leaseChanged); err != nil {
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
		case <-r.stopped:
			if t != nil {
				t.Withdraw()
			}
			return
		case <-time.After(campaignInterval):
		}
	}
}

// changed takes what became of the lease; it is called on the leases' goroutine.
func (r *Service) leaseChanged(e leaseservice.Event) {
	r.post(func(now int64) {
		switch {
		case e.Change == leaseservice.Acquired:
			timesLeading.Add()
			r.term = e.Term
			r.leader.BecomeLeader(now, e.Term)
		case e.Change == leaseservice.Extended && e.Term != r.term && r.term > 0:
			r.term = e.Term
			r.leader.ExtendTerm(now, e.Term)
		case e.Change == leaseservice.Lost:
			r.stepDown()
		case e.Change == leaseservice.YieldRequested:
			r.handOver(e.Next)
		}
	})
}

func (r *Service) stepDown() {
	r.term = 0
	r.leader.StepDown()
}

// yield gives the lead up; what was said under it is over, for a record is written whole or not at all.
func (r *Service) handOver(next string) {
	if t := r.tenure; t != nil && r.term > 0 {
		r.stepDown()
		go t.Release(next)
	}
}

func (r *Service) run() {
	beat := time.NewTicker(tickInterval)
	defer beat.Stop()
	for {
		select {
		case <-r.stopped:
			return
		case do := <-r.inbox:
			do(r.clock())
		case <-beat.C:
			r.tick(r.clock())
		}
		for n := 0; n < 256 && len(r.inbox) > 0; n++ {
			(<-r.inbox)(r.clock())
		}
		r.carryOut()
	}
}

// tick looks at the fleet and the router, and lets all parts look at what is due.
func (r *Service) tick(now int64) {
	r.member.Tick(now)
	if now >= r.nextQueryAt {
		r.nextQueryAt = now + reportInterval/2
		r.router.QueryNodes(func(all []Node) { r.post(func(now int64) { r.nodesQueried(all) }) })
	}
	if r.term > 0 {
		there := map[string]bool{r.self: true}
		r.leader.MemberUp(r.self)
		for _, name := range r.members() {
			there[name] = true
			r.leader.MemberUp(name)
		}
		for name := range r.knownMembers {
			if !there[name] {
				r.leader.MemberGone(name)
			}
		}
		r.knownMembers = there
		for _, n := range r.nodes {
			r.leader.SetNode(n.NodeState)
		}
		r.leader.Tick(now)
	}
	if now >= r.nextReportAt && r.knownLeader != "" {
		r.report(now)
	}
}

func (r *Service) nodesQueried(all []Node) {
	clear(r.nodes)
	for _, n := range all {
		r.nodes[n.Name] = n
	}
}

// report tells whoever leads how this router does.
func (r *Service) report(now int64) {
	r.nextReportAt = now + reportInterval
	served, ready, startedIn := r.router.Counts()
	said, _ := r.member.Statement()
	p := &rollout.Report{Member: r.self, Zone: r.settings.Zone, Incarnation: r.incarnation, Version: r.settings.Version, Ready: ready, Leaving: r.leaving, Term: said.Term, Seq: said.Seq,
		Counts: served, StartupTime: startedIn, ResidentBytes: resident()}
	if r.voter != nil {
		_, p.MayHaveForgotten = r.voter.Record()
	}
	for _, name := range r.drained {
		p.Nodes = append(p.Nodes, rollout.NodeUse{Node: name, OpenCommands: r.nodes[name].OpenCommands})
	}
	for name, m := range r.returned {
		if now-m.at > returnedReportTime {
			delete(r.returned, name)
			continue
		}
		p.Nodes = append(p.Nodes, rollout.NodeUse{Node: name, Answers: r.nodes[name].Answers - min(m.answered, r.nodes[name].Answers)})
	}
	r.sendMessage(r.knownLeader, reportMessage{p})
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
func (r *Service) sendMessage(to string, m message) {
	if to == r.self {
		r.post(func(now int64) { r.handle(now, to, m) })
		return
	}
	if err := r.send(to, membership.KindRollout, encode(m)); err != nil {
		messagesUnsent.Add()
		slog.Debug("a release message was not sent", "to", to, "err", err)
	}
}

// Hear takes a member's message; it never blocks.
func (r *Service) Receive(from string, body []byte) {
	m, err := decode(body)
	if err != nil {
		messagesUnread.Add()
		slog.Debug("a release message can't be read", "from", from, "err", err)
		return
	}
	r.post(func(now int64) { r.handle(now, from, m) })
}

// take hands a message to the part that it is for.
func (r *Service) handle(now int64, from string, m message) {
	switch m := m.(type) {
	case reportMessage:
		if r.term > 0 && m.report.Member == from {
			r.leader.HandleReport(now, m.report)
		}
	case reportRequest:
		r.knownLeader, r.nextReportAt = from, 0
	case statementMessage:
		r.knownLeader = from
		if m.fromVoter {
			r.knownLeader = ""
		}
		r.member.HandleStatement(now, m.statement)
	case readRequest:
		if r.voter != nil {
			k, ok := r.voter.Read(m.term)
			r.sendMessage(from, readAnswer{m.term, ok, k})
		}
	case readAnswer:
		if r.term > 0 {
			r.leader.HandleReadAnswer(now, from, m.term, m.state, m.accepted)
		}
	case writeRequest:
		if r.voter != nil {
			ok := r.voter.Write(m.record, m.incarnation)
			r.sendMessage(from, writeAnswer{m.record.Term, m.record.Seq, ok})
		}
	case writeAnswer:
		if r.term > 0 {
			r.leader.HandleWriteAnswer(now, from, m.term, m.seq, m.accepted)
		}
	case drainQuery:
		if r.voter != nil {
			if rec, _ := r.voter.Record(); rec != nil {
				r.sendMessage(from, statementMessage{rollout.DrainStatement(rec), true})
			}
		}
	case commandMessage:
		if r.term > 0 {
			if len(r.commandSenders) >= maxCommandSenders {
				clear(r.commandSenders) // they say their words again
			}
			r.commandSenders[m.command.Token] = from
			r.leader.HandleCommand(now, m.command)
		} else {
			r.sendMessage(from, commandReply{m.command.Token, false, notLeading})
		}
	case commandReply:
		r.handleReply(m.token, m.accepted, m.reason)
	}
}

// carry does what the parts ask for.
func (r *Service) carryOut() {
	for _, o := range r.member.TakeActions() {
		r.carryOutOne(o)
	}
	for _, o := range r.leader.TakeActions() {
		r.carryOutOne(o)
	}
}

// holds tells whether the lease is held right now: nothing is said under it later.
func (r *Service) holdsLease() bool {
	if r.tenure == nil {
		return false
	}
	term, _ := r.tenure.Held()
	if term == 0 || term != r.term {
		messagesFenced.Add()
		return false
	}
	return true
}

func (r *Service) carryOutOne(o rollout.Out) {
	switch o.Act {
	case rollout.Ask:
		r.sendMessage(o.To, readRequest{o.Term})
	case rollout.Call:
		if r.holdsLease() {
			r.sendMessage(o.To, reportRequest{})
		}
	case rollout.Write:
		if r.holdsLease() {
			r.sendMessage(o.To, writeRequest{o.Born, o.Record})
		}
	case rollout.Say:
		if r.holdsLease() {
			r.sendMessage(o.To, statementMessage{o.Statement, false})
		}
	case rollout.Reply:
		to := r.commandSenders[o.Token]
		if o.Why == "" {
			commandsAccepted.Add()
		} else {
			commandsRejected.Add()
		}
		if to != "" {
			r.sendMessage(to, commandReply{o.Token, o.Why == "", o.Why})
		}
	case rollout.Yield:
		slog.Info("lets another router lead, for it is to go out itself", "plan", o.Plan)
		r.handOver("")
	case rollout.Seek:
		for _, v := range r.voters {
			r.sendMessage(v, drainQuery{})
		}
	case rollout.Drain:
		r.drain(o.Nodes)
	case rollout.Go:
		r.leave(o)
	case rollout.Note:
		slog.Info("release", "plan", o.Plan, "note", o.Why)
	}
}

// drain tells the router which nodes get nothing new, and notes those that are back.
func (r *Service) drain(names []string) {
	drainChanges.Add()
	now := r.clock()
	for _, name := range r.drained {
		if !slices.Contains(names, name) {
			r.returned[name] = returnedNode{now, r.nodes[name].Answers}
		}
	}
	for _, name := range names {
		delete(r.returned, name)
	}
	r.drained = names
	r.router.Drain(names)
	r.nextQueryAt = 0
	slog.Info("drained by plans", "nodes", names)
}

// goes lets the router leave in order; its supervisor starts the version that is named.
func (r *Service) leave(o rollout.Out) {
	if o.Want > 0 && r.settings.NextVersionFile != "" {
		part := r.settings.NextVersionFile + ".part"
		err := os.WriteFile(part, []byte(strconv.FormatUint(o.Want, 10)+"\n"), 0o644)
		if err = errors.Join(err, os.Rename(part, r.settings.NextVersionFile)); err != nil {
			slog.Error("stays: the next version can't be written", "err", err)
			return
		}
	}
	timesLeft.Add()
	r.leaving = true
	slog.Info("goes out by a plan", "term", o.Slot.Term, "slot", o.Slot.Number, "version", o.Want)
	r.report(r.clock())
	r.router.Leave()
}

// Status is how releases stand as this router knows it: what it leads by, else what its voter keeps.
func (r *Service) Status(ctx context.Context) (s Status, err error) {
	done := make(chan struct{})
	r.post(func(now int64) {
		defer close(done)
		term, rec := r.leader.Leading()
		s = Status{Router: r.self, Leads: term > 0, Leader: r.knownLeader, NotLeadingReason: r.leader.NotLeadingReason(), Term: term}
		if rec == nil && r.voter != nil {
			rec, _ = r.voter.Record()
		}
		if rec != nil {
			s.addRecord(rec)
		}
	})
	select {
	case <-done:
		return s, nil
	case <-ctx.Done():
		return s, ctx.Err()
	}
}
