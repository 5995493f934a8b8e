package routing

// node is a node of the endpoint list and the state known about it.
type node struct {
	name        string
	zone        string
	machineType string // nodes of one type have equal capacity
	slot        int    // index in Router.nodes
	shard       *shard

	// State from the endpoint list (endpoints.go).
	state         EndpointState
	listNumber    int   // number of the last list that contained it
	listedPrimary bool  // the list marks it as its shard's primary
	startedAt     int64 // when its process started, 0 for long ago
	removedAt     int64 // when it left the list, 0 if it is listed
	movedAt       int64 // when the list moved it to its shard from another one, 0 if never
	forgotten     bool  // its name was dropped; only its warmRate is still used, until its slot is reused

	// State observed from the node itself (primary.go, consistency.go).
	role       Role
	roleAt     int64 // when an answer last showed its role, 0 if never
	position   int64 // it holds all commits up to this Unix time, in microseconds
	positionAt int64 // when position was last learned
	lag        int64 // replication lag at that time, in microseconds

	// Attempts and their outcomes (outlier_detection.go).
	attempts            []*attempt // in flight, oldest first
	inFlight            int        // attempts in flight that are not considered lost
	slowdown            float64    // moving average of its response time relative to the group's average
	errorRate           float64    // moving average of the share of failed attempts; 0 to 1
	lastReplyAt         int64      // when it last showed that its process works
	connectFailingSince int64      // first failed connection since it last answered, 0 if none
	connectFailedAgain  bool       // more than one connection failed since it last answered
	suspected           bool       // considered dead, hung or unreachable
	peerSilentAt        int64      // when another router last had no answer from it, 0 if it answered since
	coolDownUntil       int64      // it receives no attempts before this time

	// Concurrency limit (concurrency_limit.go).
	limit      float64 // maximum attempts in flight; a value below 1 means a pause between two attempts
	workRate   float64 // answered work, us of average response time per second, averaged over rateWindow
	workRateAt int64   // when workRate was last updated

	// Slow start (slow_start.go).
	warmRate float64 // moving average of workRate while the node was warm
	credit   float64 // work, in microseconds of average response time, that it may still be sent while it warms up
	creditAt int64   // when credit was last updated

	// Health checks (health_check.go).
	checkedAt     int64 // when this router last checked it
	checkPending  bool
	checkedByPeer bool // another router checks it while it is silent or lags
}

// addNode creates a node, reusing the slot of a forgotten node if there is one.
func (r *Router) addNode(name string, s *shard) *node {
	n := &node{name: name, slot: len(r.nodes), shard: s, slowdown: 1, limit: initialLimit}
	if last := len(r.freeSlots) - 1; last >= 0 {
		n.slot = r.freeSlots[last]
		r.freeSlots = r.freeSlots[:last]
		r.nodes[n.slot] = n
	} else {
		r.nodes = append(r.nodes, n)
	}
	r.nodeByName[name] = n
	s.members = append(s.members, n)
	return n
}

// forget drops a node that left the endpoint list and has no attempts in flight.
func (r *Router) forget(n *node) {
	n.shard.remove(n)
	n.forgotten = true
	n.state = Removed
	n.suspected = false
	n.lag = 0
	delete(r.nodeByName, n.name)
	r.freeSlots = append(r.freeSlots, n.slot)
	r.actions.ForgetNode(n.name)
}

// ShardOf returns the number of the shard that a node belongs to; 0 if the node is unknown.
func (r *Router) ShardOf(name string) int {
	if n := r.nodeByName[name]; n != nil {
		return n.shard.number
	}
	return 0
}

// InShard reports whether a node belongs to a shard. What it reports in reply to a query that began while it belonged to
// another shard applies to the other shard's data.
func (r *Router) InShard(name string, shard int) bool {
	n := r.nodeByName[name]
	return n != nil && n.shard.number == shard
}

// moveToShard moves a node to the shard that the endpoint list now assigns it to. Its observed role and position are
// reset because they applied to the other shard's data.
func (n *node) moveToShard(s *shard, now int64) {
	n.shard.remove(n)
	s.members = append(s.members, n)
	n.shard = s
	n.role = RoleUnknown
	n.roleAt = 0
	n.listedPrimary = false
	n.position = 0
	n.positionAt = 0
	n.lag = 0
	n.movedAt = now
}

// usable reports whether a node may receive attempts now.
func (r *Router) usable(n *node, now int64) bool {
	return r.listAllows(n) && !n.suspected && now >= n.coolDownUntil
}

// NodeStatus returns a node's role, whether it is suspected, and its known position: the Unix time, in microseconds, up
// to which it holds all commits. An unknown node has no role and position 0.
func (r *Router) NodeStatus(name string) (role Role, suspected bool, position int64) {
	n := r.nodeByName[name]
	if n == nil {
		return RoleUnknown, false, 0
	}
	return n.role, n.suspected, n.position
}
