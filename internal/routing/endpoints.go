package routing

const (
	// removedNodeRetention is how long, us, a node that left the endpoint list is remembered: a list may err, and a node
	// that comes back soon should not start as an unknown one.
	removedNodeRetention = 3e6
	// endpointPollDelay is the time, us, before a list that failed is asked for again: its source may be overloaded.
	endpointPollDelay = 1e6
)

// EndpointState is what the endpoint list says of a node. The zero value is Up.
type EndpointState uint8

// The states of an entry.
const (
	Up EndpointState = iota
	Draining
	Removed
)

// String names the state for logs and tests.
func (s EndpointState) String() string {
	return enumName([]string{"up", "draining", "removed"}, int(s))
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Name        string
	Zone        string
	MachineKind string // nodes of one kind can do as much as each other
	Shard       int
	State       EndpointState
	Primary     bool  // the list marks it as its shard's primary
	StartedAt   int64 // when its process started, 0 for long ago
}

// endpointListState is where the Router stands with the endpoint list.
type endpointListState struct {
	number int   // lists read so far, the one being read included
	full   bool  // the list being read names all nodes that there are
	pollAt int64 // when to ask for the list again, 0 for not
}

// BeginEndpointList starts a list: a full one drops the nodes that it doesn't name, another one holds changes alone.
func (r *Router) BeginEndpointList(_ int64, full bool) {
	r.endpointList.full = full
	r.endpointList.number++
}

// UpdateEndpoint takes one entry of a list.
func (r *Router) UpdateEndpoint(now int64, e Endpoint) {
	s := r.shardFor(e.Shard)
	n, known := r.nodeByName[e.Name]
	if !known {
		n = r.addNode(e.Name, s)
	}
	if n.shard != s {
		n.moveToShard(s)
	}
	if e.StartedAt != n.startedAt {
		r.noteRestart(n, e.StartedAt, known, now)
	}
	state := e.State
	n.removedAt = 0
	if state == Removed {
		n.removedAt = now
		if n.state == Draining {
			state = Draining // a node that drained stays closed when it is gone
		}
	}
	newlyPrimary := e.Primary && !n.listedPrimary
	couldServe := known && r.listAllows(n)
	n.zone = e.Zone
	n.machineKind = e.MachineKind
	n.state = state
	n.listNumber = r.endpointList.number
	n.listedPrimary = e.Primary
	r.stopAttemptsIfClosed(n, couldServe)
	if newlyPrimary { // the mark counts when it is new: one that just stays may be long out of date
		r.hintPrimary(n, now)
	}
}

// noteRestart takes a node whose process started anew. Its suspicion, errors and limit are reset, and it is no primary until
// it says so. Its pace fades by itself, and its position stays: a node keeps what it has applied over a restart.
func (r *Router) noteRestart(n *node, startedAt int64, known bool, now int64) {
	n.startedAt = startedAt
	r.beginSlowStart(n, now)
	n.suspected = false
	n.errorRate = 0
	n.limit = initialLimit
	if known && n.role == Primary {
		r.observeRole(n, Replica, now)
	}
}

// EndEndpointList ends a list: a full one has now named all nodes.
func (r *Router) EndEndpointList(now int64) {
	if r.endpointList.full {
		for _, n := range r.nodes {
			if !n.forgotten && n.listNumber != r.endpointList.number {
				r.removeUnlisted(n, now)
			}
		}
	}
	r.dispatchAllWaiting(now)
}

// removeUnlisted takes a node that a full list doesn't name any more as removed; one that drained stays draining.
func (r *Router) removeUnlisted(n *node, now int64) {
	couldServe := r.listAllows(n)
	if n.removedAt == 0 {
		n.removedAt = now
	}
	if n.state != Draining {
		n.state = Removed
	}
	r.stopAttemptsIfClosed(n, couldServe)
}

// EndpointListFailed tells that the list can't be followed. The last one stays in force, and is asked for again.
func (r *Router) EndpointListFailed(now int64) { r.endpointList.pollAt = now + endpointPollDelay }

// pollEndpoints asks for the list again when it is time.
func (r *Router) pollEndpoints(now int64) {
	if r.endpointList.pollAt > 0 && now >= r.endpointList.pollAt {
		r.endpointList.pollAt = 0
		r.actions.WatchEndpoints()
	}
}

// listAllows reports whether the endpoint list lets a node be used.
func (r *Router) listAllows(n *node) bool {
	return n.state == Up || n.state == Removed && r.config.UseVanishedNodes
}

// stopAttemptsIfClosed keeps attempts that wait for a connection to a node from beginning there once the list no longer
// lets it be used. Without it a node that drains would still be sent what was decided before.
func (r *Router) stopAttemptsIfClosed(n *node, couldServe bool) {
	if couldServe && !r.listAllows(n) {
		r.actions.StopNewAttempts(n.name)
	}
}

// mayForget reports whether a node that left the list can be dropped. Without it memory and sweeps would grow with each
// name that ever was.
func (r *Router) mayForget(n *node, now int64) bool {
	return n.removedAt > 0 && now-n.removedAt > removedNodeRetention &&
		len(n.attempts) == 0 && !n.checkPending && !r.listAllows(n)
}
