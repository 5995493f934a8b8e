package rolloutservice

import (
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"cairntiller/internal/lease"
	"cairntiller/internal/leaseservice"
	"cairntiller/internal/metrics"
	"cairntiller/internal/rollout"
)

// LeaseName is the lease that the leader of all plans holds.
const LeaseName = "releases"

const (
	inboxSize      = 4096 // events that wait; a thousand routers report each second, and one event takes microseconds
	maxBatch       = 256  // events handled before the actions that they led to are carried out
	tickInterval   = 250 * time.Millisecond
	reportInterval = int64(1_000_000) // us between reports to the leader

	campaignInterval = 5 * time.Second   // between checks whether this instance is to compete for the lease
	maxCandidates    = 3                 // instances that compete: while a plan has one of them out, another one leads
	maxLeaseLength   = int64(10_000_000) // us that the lease lasts at most: after a leader's end nobody new leaves for so long

	returnedReportTime = int64(120_000_000) // us for which a node that is back is reported on, until its answers have proven it
)

var (
	timesLeading     = metrics.New("times that this router led rollouts")
	timesLeft        = metrics.New("times that this router left service by a plan")
	drainChanges     = metrics.New("changes of drained nodes")
	messagesUnread   = metrics.New("rollout messages unread")
	messagesDropped  = metrics.New("rollout messages dropped, too many")
	messagesUnsent   = metrics.New("rollout messages unsent")
	messagesFenced   = metrics.New("rollout messages kept back, lease not held")
	commandsAccepted = metrics.New("operator commands on plans accepted")
	commandsRejected = metrics.New("operator commands on plans refused")
)

// Router is what the service needs of the router beside it. Its methods may be called from any goroutine and never block.
type Router interface {
	// Counts returns what it has served, whether it accepts commands, and how long it took to be ready, in us.
	Counts() (counts rollout.CommandCounts, ready bool, startupTime int64)
	// Drain sends no new commands to these nodes, and lets them go to all others again.
	Drain(nodes []string)
	// QueryNodes asks for the nodes that it knows, with what is open at each; answer may be called on any goroutine.
	QueryNodes(answer func([]Node))
	// Leave lets it leave in order, as on SIGTERM.
	Leave()
}

// Node is a node as this router knows it.
type Node struct {
	rollout.NodeState
	OpenCommands int
	Answers      uint64 // of the node since the router started
}

// Config holds what New needs. Only Settings may be empty. The functions may be called from any goroutine.
type Config struct {
	Self         string   // this instance's name among the members
	Settings     Settings // the part "releases" of the operator's file
	Voters       []string // names of the members that keep the record
	LongestLease int64    // us that the leases' settings allow for a lease
	Router       Router   // the router beside the service
	Leases       *leaseservice.Service
	Clock        func() int64                                   // us, never goes back
	Members      func() []string                                // names of the other live members
	Send         func(to string, kind uint8, body []byte) error // sends a direct message to a member
}

// Service is one instance's part.
type Service struct {
	self        string
	settings    Settings
	router      Router
	clock       func() int64 // us
	send        func(to string, kind uint8, body []byte) error
	members     func() []string
	leases      *leaseservice.Service
	voters      []string
	leaseLength int64 // us

	inbox      chan func(now int64)
	stopped    chan struct{}
	goroutines sync.WaitGroup

	// The rest belongs to the goroutine that runs run.
	leader       *rollout.Leader
	member       *rollout.Member
	voter        *rollout.Voter // nil if it does not vote
	incarnation  uint64
	guard        *leaseservice.Guard
	term         uint64 // of the lease; 0 if it is not held
	knownLeader  string // to whom it reports, "" for nobody
	nextReportAt int64
	nextQueryAt  int64
	drained      []string
	returned     map[string]returnedNode
	nodes        map[string]Node
	leaving      bool
	knownMembers map[string]bool

	commandSenders map[string]string            // who sent a command here, by its token
	waiting        map[string]chan commandReply // who waits here for the reply to a command, by its token
}

// returnedNode is a node that is back: since when, and how many answers it had given until then.
type returnedNode struct {
	at      int64
	answers uint64
}

// New makes an instance's part, which does nothing before Start.
func New(config Config) *Service {
	// Two processes of a member have the same number only if the clock was set back to the very microsecond.
	incarnation := uint64(time.Now().UnixMicro())
	s := &Service{
		self:           config.Self,
		settings:       config.Settings,
		router:         config.Router,
		clock:          config.Clock,
		send:           config.Send,
		members:        config.Members,
		leases:         config.Leases,
		voters:         config.Voters,
		leaseLength:    min(config.LongestLease, maxLeaseLength),
		inbox:          make(chan func(int64), inboxSize),
		stopped:        make(chan struct{}),
		leader:         rollout.NewLeader(config.Self, config.Voters),
		member:         rollout.NewMember(incarnation),
		incarnation:    incarnation,
		returned:       map[string]returnedNode{},
		nodes:          map[string]Node{},
		knownMembers:   map[string]bool{},
		commandSenders: map[string]string{},
		waiting:        map[string]chan commandReply{},
	}
	if slices.Contains(config.Voters, config.Self) {
		s.voter = rollout.NewVoter(incarnation, nil)
	}
	return s
}

// Start begins to report, to vote, and to compete for the lease.
func (s *Service) Start() {
	s.goroutines.Go(s.run)
	s.goroutines.Go(s.campaign)
}

// Stop ends this instance's part and gives the lead up, so that another one need not wait until the lease runs out.
func (s *Service) Stop() {
	close(s.stopped)
	s.goroutines.Wait()
}

// post queues an event for the goroutine that runs run; it never blocks. If the queue is full the event is dropped and
// counted, whatever it is.
func (s *Service) post(event func(now int64)) {
	select {
	case s.inbox <- event:
	default:
		messagesDropped.Add()
	}
}

// campaign competes for the lease while this instance is one of the maxCandidates that are first by hash (lease.Eligible),
// until Stop.
func (s *Service) campaign() {
	var guard *leaseservice.Guard
	for {
		guard = s.campaignOnce(guard)
		select {
		case <-s.stopped:
			if guard != nil {
				guard.Withdraw()
			}
			return
		case <-time.After(campaignInterval):
		}
	}
}

// campaignOnce requests the lease if this instance is eligible. If it is not eligible and does not lead, it withdraws an
// earlier request. It returns the request under way, nil for none.
func (s *Service) campaignOnce(guard *leaseservice.Guard) *leaseservice.Guard {
	eligible := lease.Eligible(s.self, s.members(), LeaseName, maxCandidates)
	if eligible && guard == nil {
		requested, err := s.leases.RequestLease(lease.Request{Lease: LeaseName, Length: s.leaseLength}, s.leaseChanged)
		if err != nil {
			slog.Error("does not stand for the lead of rollouts", "err", err)
			return requested
		}
		s.post(func(int64) { s.guard = requested })
		return requested
	}
	if !eligible && guard != nil {
		if term, _ := guard.Held(); term == 0 {
			guard.Withdraw()
			return nil
		}
	}
	return guard
}

// leaseChanged handles a change of the lease; it is called on the leases' goroutine.
func (s *Service) leaseChanged(e leaseservice.Event) {
	s.post(func(now int64) {
		switch {
		case e.Change == leaseservice.Acquired:
			timesLeading.Add()
			s.term = e.Term
			s.leader.BecomeLeader(now, e.Term)
		case e.Change == leaseservice.Extended && e.Term != s.term && s.term > 0:
			s.term = e.Term
			s.leader.ExtendTerm(now, e.Term)
		case e.Change == leaseservice.Lost:
			s.stepDown()
		case e.Change == leaseservice.YieldRequested:
			s.handOver(e.Next)
		}
	})
}

func (s *Service) stepDown() {
	s.term = 0
	s.leader.StepDown()
}

// handOver gives the lead up, to next if it is not "". A write under way can be left: records are written complete.
func (s *Service) handOver(next string) {
	if guard := s.guard; guard != nil && s.term > 0 {
		s.stepDown()
		go guard.Release(next)
	}
}

// holdsLease reports whether the lease is held right now, under the term of this lead. What it is asked for is not sent
// otherwise, and counted.
func (s *Service) holdsLease() bool {
	if s.guard == nil {
		return false
	}
	term, _ := s.guard.Held()
	if term == 0 || term != s.term {
		messagesFenced.Add()
		return false
	}
	return true
}

func (s *Service) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case event := <-s.inbox:
			event(s.clock())
		case <-ticker.C:
			s.tick(s.clock())
		}
		for n := 0; n < maxBatch && len(s.inbox) > 0; n++ {
			event := <-s.inbox
			event(s.clock())
		}
		s.carryOut()
	}
}

// tick queries the router's nodes, and lets the member and the leader do what is due.
func (s *Service) tick(now int64) {
	s.member.Tick(now)
	if now >= s.nextQueryAt {
		s.nextQueryAt = now + reportInterval/2
		s.router.QueryNodes(func(nodes []Node) {
			s.post(func(int64) { s.nodesQueried(nodes) })
		})
	}
	if s.term > 0 {
		s.tickLeader(now)
	}
	if now >= s.nextReportAt && s.knownLeader != "" {
		s.report(now)
	}
}

// tickLeader gives the leader the present members and nodes, and ticks it.
func (s *Service) tickLeader(now int64) {
	present := map[string]bool{s.self: true}
	s.leader.MemberUp(s.self)
	for _, name := range s.members() {
		present[name] = true
		s.leader.MemberUp(name)
	}
	for name := range s.knownMembers {
		if !present[name] {
			s.leader.MemberGone(name)
		}
	}
	s.knownMembers = present
	for _, node := range s.nodes {
		s.leader.SetNode(node.NodeState)
	}
	s.leader.Tick(now)
}

func (s *Service) nodesQueried(nodes []Node) {
	clear(s.nodes)
	for _, node := range nodes {
		s.nodes[node.Name] = node
	}
}

// report sends this router's report to the leader that it knows.
func (s *Service) report(now int64) {
	s.nextReportAt = now + reportInterval
	counts, ready, startupTime := s.router.Counts()
	heard, _ := s.member.Statement()
	report := &rollout.Report{
		Member:        s.self,
		Zone:          s.settings.Zone,
		Incarnation:   s.incarnation,
		Version:       s.settings.Version,
		Ready:         ready,
		Leaving:       s.leaving,
		Term:          heard.Term,
		Seq:           heard.Seq,
		Counts:        counts,
		StartupTime:   startupTime,
		ResidentBytes: residentBytes(),
	}
	if s.voter != nil {
		_, report.MayHaveForgotten = s.voter.Record()
	}
	for _, name := range s.drained {
		report.Nodes = append(report.Nodes, rollout.NodeUse{Node: name, OpenCommands: s.nodes[name].OpenCommands})
	}
	for name, back := range s.returned {
		if now-back.at > returnedReportTime {
			delete(s.returned, name)
			continue
		}
		answers := s.nodes[name].Answers
		report.Nodes = append(report.Nodes, rollout.NodeUse{Node: name, Answers: answers - min(back.answers, answers)})
	}
	s.sendMessage(s.knownLeader, reportMessage{report})
}

// residentBytes returns the process's resident memory, 0 if the system does not report it.
func residentBytes() int64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var total, resident int64 // pages
	fmt.Sscan(string(raw), &total, &resident)
	return resident * int64(os.Getpagesize())
}
