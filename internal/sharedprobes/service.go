// Package sharedprobes shares the health checks (probes) of nodes among routers, so that each node is checked once per
// interval, however many routers there are. It connects assignment.Table, which makes all decisions, to the engine and
// to the membership: checks that the table schedules go to the engine, their results go to the other instances, and the
// results of other instances go to the engine. All of it runs on the engine's goroutine; callbacks of the membership
// are posted there.
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
	// tickInterval is the time (us) between calls of Table.Tick: a tenth of the default interval.
	tickInterval = 100_000
	// broadcastTicks is the number of ticks between broadcasts: updates in one message share its overhead.
	broadcastTicks = 2
	// keyPrefix is the prefix of the key of a health check task; the node's name follows.
	keyPrefix = "probe/"
)

var (
	checksRun       = metrics.New("shared health checks run")
	secondOpinions  = metrics.New("second opinions")
	updatesReceived = metrics.New("peer updates received")
	updatesUsed     = metrics.New("peer updates used")
	claims          = metrics.New("tasks claimed")
)

// Engine is the part of the router's engine that the service uses.
type Engine interface {
	// Post runs a function on the engine's goroutine.
	Post(at int64, do func(now int64))
	// After runs a function on the engine's goroutine in the given time, us.
	After(in int64, do func(now int64))
	// ApplyGossip applies what another instance learned about a node.
	ApplyGossip(now int64, update routing.GossipUpdate)
	// DelegateHealthChecks sets whether another instance checks a node.
	DelegateHealthChecks(node string, delegated bool)
	// CheckHealth starts a health check of a node; HealthCheckEnded is called when it ends.
	CheckHealth(node string)
}

// Service shares the health checks of one instance.
type Service struct {
	engine         Engine
	membership     *membership.Service
	table          *assignment.Table
	nodes          map[string]*sharedNode // nodes with a task, by name
	checks         map[string]healthCheck // checks in progress that the table scheduled, by node
	due            []assignment.DueRun    // reused by Table.Tick
	pending        []assignment.Update    // updates since the last broadcast
	ticks          int
	reportedClaims int64 // claims of the table when last reported
}

// sharedNode is the state of a node with a task.
type sharedNode struct {
	listed    bool // named in the endpoint list that is being applied
	delegated bool // last value passed to Engine.DelegateHealthChecks
}

// healthCheck is a check in progress. It may outlive its node's task.
type healthCheck struct{ secondOpinion bool }

// New returns a service; it is inactive until Join.
func New(engine Engine) *Service {
	return &Service{engine: engine, nodes: map[string]*sharedNode{}, checks: map[string]healthCheck{}}
}

// Events returns the callbacks for the membership. Each event is handled on the engine's goroutine, and none before the
// engine runs.
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
		Rejoined: func(count int) { post(func(now int64) { s.table.HandleRejoin(now, count) }) },
	}
}

// Join starts to share health checks with the members of a membership that was started with Events. It must be called
// before the engine runs.
func (s *Service) Join(now int64, members *membership.Service, memberSettings membership.Settings, settings Settings) {
	s.membership = members
	s.table = assignment.New(now, assignment.Config{
		Self:        memberSettings.Name,
		Weight:      memberSettings.Weight,
		Incarnation: members.Incarnation(),
		Interval:    settings.Interval,
		Instances:   settings.Instances,
		MaxRunRate:  settings.MaxProbeRate,
		ClaimRate:   settings.ClaimRate,
	})
	s.engine.After(tickInterval, s.tick)
	slog.Info("sharing probes", "name", memberSettings.Name, "cluster", memberSettings.Cluster, "address", members.Address(), "incarnation", members.Incarnation())
}

// EndpointListed implements engine.SharedProbes. Each node in state Up has a task; draining and removed nodes have
// none.
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

// ListApplied implements engine.SharedProbes. A complete list names all existing nodes.
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

// tick starts the checks that are due and broadcasts new updates.
func (s *Service) tick(now int64) {
	s.due = s.table.Tick(now, s.due)
	for _, run := range s.due {
		s.startCheck(run)
	}
	s.ticks++
	if s.ticks%broadcastTicks == 0 {
		if len(s.pending) > 0 {
			s.membership.Broadcast(s.pending)
			s.pending = nil
		}
		s.updateDelegated(now)
		s.reportClaims(now)
	}
	s.engine.After(tickInterval, s.tick)
}

// startCheck checks a node unless a check of it is still in progress.
func (s *Service) startCheck(run assignment.DueRun) {
	name := strings.TrimPrefix(run.Key, keyPrefix)
	if _, inProgress := s.checks[name]; inProgress {
		return
	}
	checksRun.Add()
	if run.SecondOpinion {
		secondOpinions.Add()
	}
	s.checks[name] = healthCheck{secondOpinion: run.SecondOpinion}
	s.engine.CheckHealth(name)
}

// updateDelegated tells the engine for which nodes other instances started or stopped checking.
func (s *Service) updateDelegated(now int64) {
	for name, node := range s.nodes {
		delegated := s.table.Delegated(now, keyPrefix+name)
		if delegated != node.delegated {
			node.delegated = delegated
			s.engine.DelegateHealthChecks(name, delegated)
		}
	}
}

// reportClaims counts and logs the claims since the last call.
func (s *Service) reportClaims(now int64) {
	stats := s.table.Stats(now)
	if stats.Claims == s.reportedClaims {
		return
	}
	for range stats.Claims - s.reportedClaims {
		claims.Add()
	}
	slog.Debug("tasks claimed", "owned", s.table.OwnedTasks(), "members", stats.LiveMembers, "slow", stats.SlowMembers,
		"found_slow", stats.SlowDetections, "own_stalls", stats.Stalls, "interval", s.table.Interval())
	s.reportedClaims = stats.Claims
}

// HealthCheckEnded implements engine.SharedProbes: the result of a check that the table scheduled is queued for
// broadcast.
func (s *Service) HealthCheckEnded(now int64, node string, outcome routing.Outcome, position int64, role routing.Role, load string) {
	check, inProgress := s.checks[node]
	if !inProgress {
		return
	}
	delete(s.checks, node)
	update := assignment.Update{
		Key:          keyPrefix + node,
		Unresponsive: outcome != routing.Answered,
		Position:     position,
		PrimaryHint:  hintForRole(role),
		LoadReport:   load,
	}
	s.pending = append(s.pending, s.table.RecordRun(now, update, check.secondOpinion))
}

// handleUpdates passes the usable evidence in updates of other instances to the engine.
func (s *Service) handleUpdates(now int64, updates []assignment.Update) {
	for _, update := range updates {
		updatesReceived.Add()
		evidence := s.table.HandleUpdate(now, update)
		if evidence.Position <= 0 && evidence.PrimaryHint == 0 && !evidence.Unresponsive && !evidence.Responsive {
			continue
		}
		updatesUsed.Add()
		node := strings.TrimPrefix(update.Key, keyPrefix)
		s.engine.ApplyGossip(now, routing.GossipUpdate{
			Node:      node,
			LearnedAt: evidence.LearnedAt,
			Position:  evidence.Position,
			Role:      roleForHint(evidence.PrimaryHint),
			Silent:    evidence.Unresponsive,
			Alive:     evidence.Responsive,
		})
	}
}

// Values of assignment.Update.PrimaryHint.
const (
	hintPrimary    = 1
	hintNotPrimary = -1
)

// hintForRole returns the hint for a role, 0 if the role is unknown.
func hintForRole(role routing.Role) int8 {
	switch role {
	case routing.Primary:
		return hintPrimary
	case routing.Replica:
		return hintNotPrimary
	}
	return 0
}

// roleForHint returns the role for a hint. Any positive or negative value is accepted, since it comes from another instance.
func roleForHint(hint int8) routing.Role {
	switch {
	case hint > 0:
		return routing.Primary
	case hint < 0:
		return routing.Replica
	}
	return routing.RoleUnknown
}
