package engine

import (
	"maps"
	"slices"

	"cairntiller/internal/discovery"
	"cairntiller/internal/inflight"
	"cairntiller/internal/metrics"
	"cairntiller/internal/routing"
)

var lateAnswers = metrics.New("answers past their objective")

// clusterServices supports rollouts of the cluster: it drains nodes on their behalf and counts this router's open
// attempts at each node. A nil *clusterServices, used when rollouts are disabled, does nothing.
type clusterServices struct {
	endpoints         map[string]discovery.Endpoint // by name, from the latest endpoint list
	drained           map[string]bool               // names of nodes drained by rollouts
	openAttempts      map[string]int                // by node, including nodes removed from the list
	answered          map[string]uint64             // attempts answered since this router started, by node
	latencyObjectives []int64                       // us, by command group
}

// NodeStatus describes a node of the endpoint list: its state in the list and in the routing module, and this router's
// attempts there.
type NodeStatus struct {
	Name, Zone   string
	Shard        int
	Primary      bool
	Available    bool  // up according to the list, and not suspected
	Position     int64 // highest confirmed replicated position, us in Unix time
	OpenAttempts int
	Answered     uint64 // attempts answered since this router started
}

// EnableClusterServices starts collecting the data that rollouts need. It must be called before Run. latencyObjectives
// holds the latency objective of each command group, in us.
func (e *Engine) EnableClusterServices(latencyObjectives []int64) {
	e.services = &clusterServices{
		endpoints:         map[string]discovery.Endpoint{},
		drained:           map[string]bool{},
		openAttempts:      map[string]int{},
		answered:          map[string]uint64{},
		latencyObjectives: latencyObjectives,
	}
}

// recordEndpoint stores an endpoint of a list and returns the state to pass to the routing module: a node drained by a
// rollout is draining even if the list reports it up.
func (s *clusterServices) recordEndpoint(endpoint discovery.Endpoint) routing.EndpointState {
	if s == nil {
		return endpoint.State
	}
	if endpoint.State == routing.Removed {
		delete(s.endpoints, endpoint.Name)
		delete(s.answered, endpoint.Name)
		return endpoint.State
	}
	s.endpoints[endpoint.Name] = endpoint
	if s.drained[endpoint.Name] && endpoint.State == routing.Up {
		return routing.Draining
	}
	return endpoint.State
}

// SetDrained replaces the set of nodes drained by rollouts. Nodes whose drain state changed are passed on as an
// incremental endpoint list.
func (e *Engine) SetDrained(now int64, names []string) {
	s := e.services
	before := s.drained
	s.drained = map[string]bool{}
	for _, name := range names {
		s.drained[name] = true
	}
	changes := &discovery.EndpointList{}
	for _, name := range slices.Sorted(maps.Keys(s.endpoints)) { // sorted for a deterministic order of events
		if before[name] != s.drained[name] {
			changes.Endpoints = append(changes.Endpoints, s.endpoints[name])
		}
	}
	if len(changes.Endpoints) > 0 {
		e.propagateEndpoints(now, changes)
	}
}

// attemptStarted counts an attempt that starts at a node.
func (s *clusterServices) attemptStarted(node string) {
	if s != nil {
		s.openAttempts[node]++
	}
}

// attemptEnded counts an attempt that has ended. Its node may have been removed from the list before.
func (s *clusterServices) attemptEnded(attempt *inflight.Attempt, outcome routing.Outcome, now int64) {
	if s == nil {
		return
	}
	s.openAttempts[attempt.Node]--
	if s.openAttempts[attempt.Node] == 0 {
		delete(s.openAttempts, attempt.Node)
	}
	if outcome != routing.Answered {
		return
	}
	s.answered[attempt.Node]++
	request := attempt.Request
	if request.Group < len(s.latencyObjectives) && now-request.ArrivedAt() > s.latencyObjectives[request.Group] {
		lateAnswers.Add()
	}
}

// LateAnswers returns how many answers since the start of the process took longer than the latency objective of their
// command group. They are counted only when rollouts are enabled.
func LateAnswers() uint64 { return uint64(lateAnswers.Count()) }

// NodeStatuses returns the nodes of the endpoint list in no particular order.
func (e *Engine) NodeStatuses() (statuses []NodeStatus) {
	s := e.services
	for name, endpoint := range s.endpoints {
		role, suspected, position := e.router.NodeStatus(name)
		statuses = append(statuses, NodeStatus{
			Name:         name,
			Zone:         endpoint.Zone,
			Shard:        endpoint.Shard,
			Primary:      isPrimary(role, endpoint),
			Available:    endpoint.State == routing.Up && !suspected,
			Position:     position,
			OpenAttempts: s.openAttempts[name],
			Answered:     s.answered[name],
		})
	}
	return statuses
}

// isPrimary reports whether a node is the primary of its group. The list decides if the routing module has not observed
// the node's role: a router that sends nothing to a group has no other source.
func isPrimary(seen routing.Role, endpoint discovery.Endpoint) bool {
	return seen == routing.Primary || seen == routing.RoleUnknown && endpoint.Primary
}
