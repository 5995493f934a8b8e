package routing

const (
	// removedNodeRetention is how long, in microseconds, the state of a node is kept after it left the endpoint list. A
	// list may be wrong, and a node that comes back soon should not start without statistics.
	removedNodeRetention = 3e6
	// endpointPollDelay is the delay, in microseconds, before a failed list is requested again, because its source may
	// be overloaded.
	endpointPollDelay = 1e6
)

// EndpointState is the state of a node in the endpoint list. The zero value is Up.
type EndpointState uint8

// The endpoint states.
const (
	Up EndpointState = iota
	Draining
	Removed
)

// String returns the state's name, for logs and tests.
func (s EndpointState) String() string {
	return enumName([]string{"up", "draining", "removed"}, int(s))
}

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Name        string
	Zone        string
	MachineType string // nodes of one type have equal capacity
	Shard       int
	State       EndpointState
	Primary     bool  // the list marks it as its shard's primary
	StartedAt   int64 // when its process started, 0 for long ago
}

// endpointListState tracks the processing of endpoint lists.
type endpointListState struct {
	number int   // lists received so far, including the current one
	full   bool  // the current list contains all nodes
	pollAt int64 // when to request the list again, 0 for never
}

// BeginEndpointList starts a list. A full list removes the nodes that it doesn't contain; otherwise the list contains
// only changes.
func (r *Router) BeginEndpointList(_ int64, full bool) {
	r.endpointList.full = full
	r.endpointList.number++
}

// UpdateEndpoint processes one entry of a list.
func (r *Router) UpdateEndpoint(now int64, e Endpoint) {
	s := r.shardFor(e.Shard)
	r.listShard(s)
	n, known := r.nodeByName[e.Name]
	if !known {
		n = r.addNode(e.Name, s)
	}
	if n.shard != s {
		n.moveToShard(s, now)
		r.actions.RecheckWaiting(n.name)
	}
	if e.StartedAt != n.startedAt {
		r.handleRestart(n, e.StartedAt, known, now)
	}
	state := e.State
	n.removedAt = 0
	if state == Removed {
		n.removedAt = now
		if n.state == Draining {
			state = Draining // a drained node stays unusable after its removal
		}
	}
	newlyMarkedPrimary := e.Primary && !n.listedPrimary
	wasAllowed := known && r.listAllows(n)
	n.zone = e.Zone
	n.machineType = e.MachineType
	n.state = state
	n.listNumber = r.endpointList.number
	n.listedPrimary = e.Primary
	r.recheckIfDisallowed(n, wasAllowed)
	if newlyMarkedPrimary { // only a new mark counts: an unchanged one may be long out of date
		r.applyPrimaryHint(n, now)
	}
}

// handleRestart processes the restart of a node's process. The node's suspicion, error rate and limit are reset, and it
// isn't considered the primary until it reports so. Its slowdown decays by itself, and its position is kept because a
// node keeps what it has applied across a restart.
func (r *Router) handleRestart(n *node, startedAt int64, known bool, now int64) {
	n.startedAt = startedAt
	r.beginSlowStart(n, now)
	n.suspected = false
	n.errorRate = 0
	n.limit = initialLimit
	if known && n.role == Primary {
		r.observeRole(n, Replica, now)
	}
	if known {
		r.actions.RecheckWaiting(n.name)
	}
}

// EndEndpointList ends a list. Nodes missing from a full list are removed.
func (r *Router) EndEndpointList(now int64) {
	if r.endpointList.full {
		for _, n := range r.nodes {
			if !n.forgotten && n.listNumber != r.endpointList.number {
				r.removeUnlisted(n, now)
			}
		}
	}
	r.dispatchAllQueued(now)
}

// removeUnlisted marks a node that is missing from a full list as removed; a drained node stays draining.
func (r *Router) removeUnlisted(n *node, now int64) {
	wasAllowed := r.listAllows(n)
	if n.removedAt == 0 {
		n.removedAt = now
	}
	if n.state != Draining {
		n.state = Removed
	}
	r.recheckIfDisallowed(n, wasAllowed)
}

// EndpointListFailed reports that the list is unavailable. The last list stays in effect, and the list is requested
// again later.
func (r *Router) EndpointListFailed(now int64) { r.endpointList.pollAt = now + endpointPollDelay }

// pollEndpoints requests the list again when it is due.
func (r *Router) pollEndpoints(now int64) {
	if r.endpointList.pollAt > 0 && now >= r.endpointList.pollAt {
		r.endpointList.pollAt = 0
		r.actions.WatchEndpoints()
	}
}

// listAllows reports whether the endpoint list permits the use of a node.
func (r *Router) listAllows(n *node) bool {
	return n.state == Up || n.state == Removed && r.config.UseRemovedNodes
}

// recheckIfDisallowed withdraws the attempts that wait for a connection to a node once the list no longer permits its
// use. Otherwise a draining node would still receive requests routed to it earlier.
func (r *Router) recheckIfDisallowed(n *node, wasAllowed bool) {
	if wasAllowed && !r.listAllows(n) {
		r.actions.RecheckWaiting(n.name)
	}
}

// canForget reports whether a node that left the list can be dropped. Otherwise memory and the cost of sweeps would
// grow with every node name ever listed.
func (r *Router) canForget(n *node, now int64) bool {
	return n.removedAt > 0 && now-n.removedAt > removedNodeRetention &&
		len(n.attempts) == 0 && !n.checkPending && !r.listAllows(n)
}
