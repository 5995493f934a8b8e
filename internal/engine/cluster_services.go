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

// clusterServices is what the engine does for the cluster's rollouts: it drains nodes for them, and knows what this
// router has open at each node. A nil one, which stands where rollouts are off, does nothing.
type clusterServices struct {
	endpoints         map[string]discovery.Endpoint // by name, as the endpoint list last had them
	drained           map[string]bool               // names of the nodes that rollouts drain
	openAttempts      map[string]int                // by node; also of nodes that have left the list
	answered          map[string]uint64             // attempts answered since this router started, by node
	latencyObjectives []int64                       // us, by command group
}

// NodeStatus is one node of the endpoint list: what the list and the routing module have of it, and what this router
// does there.
type NodeStatus struct {
	Name, Zone   string
	Shard        int
	Primary      bool
	Available    bool  // the list calls it up, and it is not suspected
	Position     int64 // highest replicated position that is proven, us in Unix time
	OpenAttempts int
	Answered     uint64 // attempts answered since this router started
}

// EnableClusterServices keeps from now on what rollouts need. It is called before Run; latencyObjectives are the
// command groups', in us.
func (e *Engine) EnableClusterServices(latencyObjectives []int64) {
	e.services = &clusterServices{
		endpoints:         map[string]discovery.Endpoint{},
		drained:           map[string]bool{},
		openAttempts:      map[string]int{},
		answered:          map[string]uint64{},
		latencyObjectives: latencyObjectives,
	}
}

// noteEndpoint notes an endpoint of a list, and returns the state that the routing module is given: a node that a
// rollout drains is draining even if the list calls it up.
func (s *clusterServices) noteEndpoint(endpoint discovery.Endpoint) routing.EndpointState {
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

// SetDrained takes the names of all nodes that rollouts drain. Those that changed are handed on as changes of the
// endpoint list.
func (e *Engine) SetDrained(now int64, names []string) {
	s := e.services
	before := s.drained
	s.drained = map[string]bool{}
	for _, name := range names {
		s.drained[name] = true
	}
	changes := &discovery.EndpointList{}
	for _, name := range slices.Sorted(maps.Keys(s.endpoints)) { // sorted: the same events give the module the same order
		if before[name] != s.drained[name] {
			changes.Endpoints = append(changes.Endpoints, s.endpoints[name])
		}
	}
	if len(changes.Endpoints) > 0 {
		e.distribute(now, changes)
	}
}

// attemptStarted counts an attempt that begins at a node.
func (s *clusterServices) attemptStarted(node string) {
	if s != nil {
		s.openAttempts[node]++
	}
}

// attemptEnded counts an attempt that has ended. Its node may have left the list before.
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

// LateAnswers is how many answers took longer than their command group's latency objective, since the process started
// and where rollouts are on.
func LateAnswers() uint64 { return uint64(lateAnswers.Count()) }

// NodeStatuses lists the nodes of the endpoint list, in no order.
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

// isPrimary reports whether a node is its group's primary. The list counts if the routing module has not seen the
// node's role: a router that sends nothing to a group knows only the list.
func isPrimary(seen routing.Role, endpoint discovery.Endpoint) bool {
	return seen == routing.Primary || seen == routing.RoleUnknown && endpoint.Primary
}
