package routing

// node is one node of the endpoint list and all that is known of it.
type node struct {
	name        string
	zone        string
	machineKind string // nodes of one kind can do as much as each other
	slot        int    // index in Router.nodes
	shard       *shard

	// What the endpoint list says (endpoints.go).
	state         EndpointState
	listNumber    int   // number of the last list that named it
	listedPrimary bool  // the list marks it as its shard's primary
	startedAt     int64 // when its process started, 0 for long ago
	removedAt     int64 // when it left the list, 0 for not
	forgotten     bool  // its name was dropped; only its warmRate still counts, until its slot is reused

	// What it showed of itself (primary.go, consistency.go).
	role       Role
	roleAt     int64 // when it last showed its role in an answer, 0 for never
	position   int64 // up to which it is known to hold all commits, us in Unix time
	positionAt int64 // when that was last learnt
	lag        int64 // how far, us, it was behind the primary then

	// Attempts and how they end (outlier_detection.go).
	attempts      []*attempt // in flight, the oldest first
	inFlight      int        // those of them not taken to be lost
	slowdown      float64    // its response time as a multiple of the usual one, averaged
	errorRate     float64    // share of its attempts that failed, averaged; 0 to 1
	answeredAt    int64      // when it last showed that its process works
	refusedSince  int64      // first failed connection since it last answered, 0 for none
	refusedAgain  bool       // that was not the only one
	suspected     bool       // it is taken to be dead, hung or cut off
	peerSilentAt  int64      // when another router last had no answer of it, 0 for none since it had one
	coolDownUntil int64      // it gets nothing before

	// Concurrency limit (concurrency_limit.go).
	limit      float64 // attempts in flight at once; under 1 it is a pause between two
	workRate   float64 // work it answered to this router, us of usual response time a second, averaged over rateSpan
	workRateAt int64   // when that was last brought up to date

	// Slow start (slow_start.go).
	warmRate float64 // workRate as it mostly was while the node was warm
	credit   float64 // work, us of usual response time, that it may be sent while it warms up
	creditAt int64   // when that was last brought up to date

	// Health checks (health_check.go).
	checkedAt     int64 // when this router last checked it
	checkPending  bool
	checkedByPeer bool // another router checks it while it is silent or lags
}

// addNode makes a node, in the slot of a forgotten one where there is one.
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

// forget drops a node that is gone and at which nothing is in flight.
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

// moveToShard takes a node that the endpoint list puts into another shard there. What it showed of its role and
// position was about the other shard's data.
func (n *node) moveToShard(s *shard) {
	n.shard.remove(n)
	s.members = append(s.members, n)
	n.shard = s
	n.role = RoleUnknown
	n.roleAt = 0
	n.listedPrimary = false
	n.position = 0
	n.positionAt = 0
	n.lag = 0
}

// usable reports whether a node may be sent anything now.
func (r *Router) usable(n *node, now int64) bool {
	return r.listAllows(n) && !n.suspected && now >= n.coolDownUntil
}

// NodeStatus tells what is known of a node: its role, whether it is suspected, and the position, us in Unix time, up to
// which it is known to hold all commits. An unknown node has no role and position 0.
func (r *Router) NodeStatus(name string) (role Role, suspected bool, position int64) {
	n := r.nodeByName[name]
	if n == nil {
		return RoleUnknown, false, 0
	}
	return n.role, n.suspected, n.position
}
