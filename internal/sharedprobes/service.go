// Package sharedprobes joins a router with the other routers that check the health of the same nodes, so that each node
// gets one health check (probe) an interval, however many routers there are. It carries what assignment.Table
// decides to the engine, what nodes answered to the membership, and what other instances learned back. It decides
// nothing. All of it runs on the engine's goroutine; calls of the membership are posted there.
package sharedprobes

import (
	"log/slog"
	"strings"

	"cairntiller/internal/assignment"
	"cairntiller/internal/membership"
	"cairntiller/internal/metrics"
	"cairntiller/internal/routing"
)

const (
	// tickInterval is the time (us) between calls of Table.Tick: a tenth of a usual interval.
	tickInterval = 100_000
	// broadcastTicks is how many ticks pass between broadcasts: updates in one message share what it costs.
	broadcastTicks = 2
	// keyPrefix begins the key of a task that checks a node; the node's name follows.
	keyPrefix = "probe/"
)

var (
	checksRun      = metrics.New("shared health checks run")
	secondOpinions = metrics.New("second opinions")
	updatesHeard   = metrics.New("peer updates received")
	updatesUsed    = metrics.New("peer updates used")
	claims         = metrics.New("tasks claimed")
)

// Engine is what the service needs of the router's engine.
type Engine interface {
	// Post hands an event to the engine's goroutine.
	Post(at int64, do func(now int64))
	// After asks for a call on the engine's goroutine, in us from now.
	After(in int64, do func(now int64))
	// ApplyGossip hands on what another instance learned of a node.
	ApplyGossip(now int64, update routing.GossipUpdate)
	// DelegateHealthChecks tells the engine whether a peer checks a node.
	DelegateHealthChecks(node string, delegated bool)
	// CheckHealth checks a node; HealthCheckEnded is called at its end.
	CheckHealth(node string)
}

// Service is one instance's part in the shared probes.
type Service struct {
	engine     Engine
	membership *membership.Service
	table      *assignment.Table
	nodes      map[string]*sharedNode // nodes that there is a task for
	checks     map[string]healthCheck // under way because the table asked for them, by node
	due        []assignment.DueRun    // memory for Table.Tick
	unsent     []assignment.Update    // learned since the last broadcast
	ticks      int
	claims     int64 // as the table told last
}

// sharedNode is a node that there is a task for.
type sharedNode struct {
	listed    bool // it was named in the endpoint list that is being read
	delegated bool // another instance checks it, as the engine was told
}

// healthCheck is one under way. It may outlast its node's task.
type healthCheck struct{ secondOpinion bool }

// New makes an instance's part; it begins with Join.
func New(engine Engine) *Service {
	return &Service{engine: engine, nodes: map[string]*sharedNode{}, checks: map[string]healthCheck{}}
}

// Events returns what the membership is to call; each event is handled on the engine's goroutine, none before the engine
// runs.
func (s *Service) Events(now func() int64) membership.Events {
	post := func(do func(now int64)) { s.engine.Post(now(), do) }
	return membership.Events{
		MemberUp: func(name string, weight float64, incarnation uint64) {
			post(func(now int64) {
				s.table.MemberUp(now, name, weight, incarnation)
				s.membership.RecordRejoins(name, s.table.Rejoins(name))
			})
		},
		MemberDown: func(name string, incarnation uint64, left bool) {
			post(func(now int64) { s.table.MemberDown(now, name, incarnation, left) })
		},
		Updates:  func(updates []assignment.Update) { post(func(now int64) { s.handleUpdates(now, updates) }) },
		Rejoined: func(times int) { post(func(now int64) { s.table.HandleRejoin(now, times) }) },
	}
}

// Join begins to share health checks with the members of a membership that was started with Events. It is called before the
// engine runs.
func (s *Service) Join(now int64, members *membership.Service, at membership.Settings, settings Settings) {
	s.membership = members
	s.table = assignment.New(now, assignment.Config{
		Self:        at.Name,
		Weight:      at.Weight,
		Incarnation: members.Incarnation(),
		Interval:    settings.Interval,
		Instances:   settings.Instances,
		MaxRunRate:  settings.MaxProbeRate,
		ClaimRate:   settings.ClaimRate,
	})
	s.engine.After(tickInterval, s.tick)
	slog.Info("sharing probes", "name", at.Name, "cluster", at.Cluster, "address", members.Address(), "incarnation", members.Incarnation())
}

// EndpointListed implements engine.SharedProbes. There is a task for each node that is up; one that drains or is gone is
// nobody's task.
func (s *Service) EndpointListed(now int64, name string, state routing.EndpointState, started int64) {
	if state != routing.Up {
		s.removeTask(name)
		return
	}
	node := s.nodes[name]
	if node == nil {
		node = &sharedNode{}
		s.nodes[name] = node
	}
	node.listed = true
	s.table.AddTask(now, keyPrefix+name, started)
}

// ListApplied implements engine.SharedProbes. A complete list names all nodes that there are.
func (s *Service) ListApplied(_ int64, complete bool) {
	for name, node := range s.nodes {
		if complete && !node.listed {
			s.removeTask(name)
		}
		node.listed = false
	}
}

func (s *Service) removeTask(name string) {
	s.table.RemoveTask(keyPrefix + name)
	s.membership.ForgetUpdate(keyPrefix + name)
	delete(s.nodes, name)
}

// tick runs what is due and broadcasts what was learned.
func (s *Service) tick(now int64) {
	s.due = s.table.Tick(now, s.due)
	for _, run := range s.due {
		s.startCheck(run)
	}
	s.ticks++
	if s.ticks%broadcastTicks == 0 {
		if len(s.unsent) > 0 {
			s.membership.Broadcast(s.unsent)
			s.unsent = nil
		}
		s.updateDelegated(now)
		s.reportClaims(now)
	}
	s.engine.After(tickInterval, s.tick)
}

// startCheck checks a node unless the last check of it has not ended.
func (s *Service) startCheck(run assignment.DueRun) {
	name := strings.TrimPrefix(run.Key, keyPrefix)
	if _, underWay := s.checks[name]; underWay {
		return
	}
	checksRun.Add()
	if run.SecondOpinion {
		secondOpinions.Add()
	}
	s.checks[name] = healthCheck{secondOpinion: run.SecondOpinion}
	s.engine.CheckHealth(name)
}

// updateDelegated tells the engine which nodes other instances have begun or ceased to check.
func (s *Service) updateDelegated(now int64) {
	for name, node := range s.nodes {
		delegated := s.table.Delegated(now, keyPrefix+name)
		if delegated != node.delegated {
			node.delegated = delegated
			s.engine.DelegateHealthChecks(name, delegated)
		}
	}
}

// reportClaims counts and logs claims since the last call.
func (s *Service) reportClaims(now int64) {
	stats := s.table.Stats(now)
	if stats.Claims == s.claims {
		return
	}
	for range stats.Claims - s.claims {
		claims.Add()
	}
	slog.Debug("tasks claimed", "owned", s.table.OwnedTasks(), "members", stats.LiveMembers, "slow", stats.SlowMembers,
		"found_slow", stats.SlowDetections, "own_stalls", stats.Stalls, "interval", s.table.Interval())
	s.claims = stats.Claims
}

// HealthCheckEnded implements engine.SharedProbes: what a check that the table asked for learned goes to the other instances.
func (s *Service) HealthCheckEnded(now int64, node string, outcome routing.Outcome, position int64, role routing.Role, load string) {
	ended, underWay := s.checks[node]
	if !underWay {
		return
	}
	delete(s.checks, node)
	update := assignment.Update{
		Key:          keyPrefix + node,
		Unresponsive: outcome != routing.Answered,
		Position:     position,
		PrimaryHint:  hintOf(role),
		LoadReport:   load,
	}
	s.unsent = append(s.unsent, s.table.RecordRun(now, update, ended.secondOpinion))
}

// handleUpdates hands on what other instances learned, as far as it may be used.
func (s *Service) handleUpdates(now int64, updates []assignment.Update) {
	for _, update := range updates {
		updatesHeard.Add()
		evidence := s.table.HandleUpdate(now, update)
		if evidence.Position <= 0 && evidence.PrimaryHint == 0 && !evidence.Unresponsive && !evidence.Responsive {
			continue
		}
		updatesUsed.Add()
		node := strings.TrimPrefix(update.Key, keyPrefix)
		s.engine.ApplyGossip(now, routing.GossipUpdate{
			Node:     node,
			LearntAt: evidence.LearnedAt,
			Position: evidence.Position,
			Role:     roleOf(evidence.PrimaryHint),
			Silent:   evidence.Unresponsive,
			Alive:    evidence.Responsive,
		})
	}
}

// The role of a node as assignment's updates carry it.
const (
	hintPrimary    = 1
	hintNotPrimary = -1
)

// hintOf returns the hint that stands for a role, 0 if it is unknown.
func hintOf(role routing.Role) int8 {
	switch role {
	case routing.Primary:
		return hintPrimary
	case routing.Replica:
		return hintNotPrimary
	}
	return 0
}

// roleOf returns the role that a hint stands for. Any positive or negative hint counts: it comes from another instance.
func roleOf(hint int8) routing.Role {
	switch {
	case hint > 0:
		return routing.Primary
	case hint < 0:
		return routing.Replica
	}
	return routing.RoleUnknown
}
