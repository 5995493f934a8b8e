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
	inboxSize      = 4096 // queued events; a thousand routers report each second, and one event takes microseconds
	maxBatch       = 256  // events handled before the resulting actions are executed
	tickInterval   = 250 * time.Millisecond
	reportInterval = int64(1_000_000) // us between reports to the leader

	campaignInterval = 5 * time.Second   // between checks whether this instance is to compete for the lease
	maxCandidates    = 3                 // competing instances: while a plan has one of them out of service, another one leads
	maxLeaseLength   = int64(10_000_000) // us; the lease's maximum length: after a leader fails, no unit leaves for that long

	returnedReportTime = int64(120_000_000) // us for which a returned node's answers are reported, until they show that it serves
)

var (
	timesLeading       = metrics.New("times that this router led rollouts")
	timesLeft          = metrics.New("times that this router left service by a plan")
	drainChanges       = metrics.New("changes of drained nodes")
	messagesUnreadable = metrics.New("rollout messages unread")
	messagesDropped    = metrics.New("rollout messages dropped, too many")
	messagesUnsent     = metrics.New("rollout messages unsent")
	messagesFenced     = metrics.New("rollout messages kept back, lease not held")
	commandsAccepted   = metrics.New("operator commands on plans accepted")
	commandsRejected   = metrics.New("operator commands on plans refused")
)

// Router is the router that the service controls. Its methods may be called from any goroutine and never block.
type Router interface {
	// Counts returns the router's command counts, whether it accepts commands, and how long its startup took, in us.
	Counts() (counts rollout.CommandCounts, ready bool, startupTime int64)
	// Drain replaces the set of nodes to which the router sends no new commands.
	Drain(nodes []string)
	// QueryNodes requests the nodes that the router knows, with the commands that are open at each; answer may be
	// called on any goroutine.
	QueryNodes(answer func([]Node))
	// Leave makes the router shut down in order, as on SIGTERM.
	Leave()
}

// Node is a node as this router knows it.
type Node struct {
	rollout.NodeState
	OpenCommands int
	Answers      uint64 // of the node since the router started
}

// Config holds the arguments of New. Only Settings may be empty. The functions may be called from any goroutine.
type Config struct {
	Self         string   // this instance's name among the members
	Settings     Settings // the part "releases" of the operator's file
	Voters       []string // names of the members that keep the record
	LongestLease int64    // us; the longest lease that the leases' settings allow
	Router       Router   // the router that the service controls
	Leases       *leaseservice.Service
	Clock        func() int64                                   // us, monotonic
	Members      func() []string                                // names of the other live members
	Send         func(to string, kind uint8, body []byte) error // sends a direct message to a member
}

// Service is the part of one instance.
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

	// The rest belongs to the goroutine of run.
	leader       *rollout.Leader
	member       *rollout.Member
	voter        *rollout.Voter // nil if it does not vote
	incarnation  uint64
	guard        *leaseservice.Guard
	term         uint64 // of the lease; 0 if it is not held
	knownLeader  string // to which it reports, "" if none
	nextReportAt int64
	nextQueryAt  int64
	drained      []string
	returned     map[string]returnedNode
	nodes        map[string]Node
	leaving      bool
	knownMembers map[string]bool

	commandSenders map[string]string            // the senders of commands to this instance, by token
	pendingReplies map[string]chan commandReply // the callers of Execute that wait for the reply to a command, by token
}

// returnedNode is a node that was returned to service: when, and how many answers it had given until then.
type returnedNode struct {
	at      int64
	answers uint64
}

// New returns an instance's Service, which does nothing before Start.
func New(config Config) *Service {
	// Two processes of a member get the same number only if the clock was set back to exactly the same microsecond.
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
		pendingReplies: map[string]chan commandReply{},
	}
	if slices.Contains(config.Voters, config.Self) {
		s.voter = rollout.NewVoter(incarnation, nil)
	}
	return s
}

// Start starts reporting, voting, and competing for the lease.
func (s *Service) Start() {
	s.goroutines.Go(s.run)
	s.goroutines.Go(s.campaign)
}

// Stop stops the service and releases the lease, so that another instance need not wait until it expires.
func (s *Service) Stop() {
	close(s.stopped)
	s.goroutines.Wait()
}

// post queues an event for the goroutine of run; it never blocks. If the queue is full the event is dropped and
// counted, whatever it is.
func (s *Service) post(event func(now int64)) {
	select {
	case s.inbox <- event:
	default:
		messagesDropped.Add()
	}
}

// campaign competes for the lease while this instance is one of the maxCandidates that are first by hash
// (lease.Eligible), until Stop.
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

// campaignOnce requests the lease if this instance is eligible. If it is not eligible and does not lead, it withdraws
// an earlier request. It returns the pending request, nil for none.
func (s *Service) campaignOnce(guard *leaseservice.Guard) *leaseservice.Guard {
	eligible := lease.Eligible(s.self, s.members(), LeaseName, maxCandidates)
	if eligible && guard == nil {
		requested, err := s.leases.RequestLease(lease.Request{Lease: LeaseName, Length: s.leaseLength}, s.leaseChanged)
		if err != nil {
			slog.Error("cannot request the lease of the rollout leader", "err", err)
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
			s.transferLeadership(e.Next)
		}
	})
}

func (s *Service) stepDown() {
	s.term = 0
	s.leader.StepDown()
}

// transferLeadership releases the lease, to next if it is not "". A write in progress can be abandoned: records are
// always written as a whole.
func (s *Service) transferLeadership(next string) {
	if guard := s.guard; guard != nil && s.term > 0 {
		s.stepDown()
		go guard.Release(next)
	}
}

// holdsLease reports whether the lease is held right now, under the term of this leadership. If not, the caller does
// not send its message, which is counted here.
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
		s.runActions()
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

// tickLeader passes the current members and nodes to the leader, and ticks it.
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

// report sends this router's report to the known leader.
func (s *Service) report(now int64) {
	s.nextReportAt = now + reportInterval
	counts, ready, startupTime := s.router.Counts()
	lastStatement, _ := s.member.Statement()
	report := &rollout.Report{
		Member:        s.self,
		Zone:          s.settings.Zone,
		Incarnation:   s.incarnation,
		Version:       s.settings.Version,
		Ready:         ready,
		Leaving:       s.leaving,
		Term:          lastStatement.Term,
		Seq:           lastStatement.Seq,
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
	for name, returned := range s.returned {
		if now-returned.at > returnedReportTime {
			delete(s.returned, name)
			continue
		}
		answers := s.nodes[name].Answers
		report.Nodes = append(report.Nodes, rollout.NodeUse{Node: name, Answers: answers - min(returned.answers, answers)})
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
