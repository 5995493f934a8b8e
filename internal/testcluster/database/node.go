package database

import (
	"net"
	"time"
)

// Node is one simulated database node. The cluster's lock guards its mutable fields.
type Node struct {
	Name, Zone string
	Shard      int

	cluster        *Cluster
	address        string
	listener       net.Listener
	connections    map[net.Conn]bool
	applyLag       int64 // us behind the head of the log
	pausedAt       int64 // position at which replication was paused, 0 if it isn't paused
	hung           bool
	ignoresProbes  bool // does not answer probes, but answers everything else
	workPerCommand time.Duration
	cores          chan bool
	queued         int
	errorRate      float64
	startedAt      int64 // time of the last restart in us, 0 if it was never restarted
	warmUp         int64 // us after a restart during which the node is slow
	drainingSince  int64 // start of the drain in us, 0 if not draining
	applied        int64 // highest position so far; a node keeps what it has applied
	wasPrimary     bool
	toldReplicaAt  map[string]int64 // us: when it first answered each router as a replica since it was the primary
	faults         NetworkFaults
	lastReport     string // the latest load report along with an answer
	lastReportAt   int64

	probeTimes   []int64
	commandCount int // number of commands received
}

// listen opens the node's listening socket and starts to accept connections.
func (n *Node) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.listener = ln
	n.address = ln.Addr().String()
	go n.accept(ln)
	return nil
}

// Address returns the address on which the node listens.
func (n *Node) Address() string { return n.address }

// StartedAt returns the time of the node's last restart in us, 0 if it was never restarted.
func (n *Node) StartedAt() int64 {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.startedAt
}

// accept serves connections until the listener is closed.
func (n *Node) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		n.cluster.mu.Lock()
		n.connections[conn] = true
		n.cluster.mu.Unlock()
		go func() {
			n.serve(conn)
			conn.Close()
			n.cluster.mu.Lock()
			delete(n.connections, conn)
			n.cluster.mu.Unlock()
		}()
	}
}

// Kill simulates a crash: the node's connections are reset and new ones are refused. A primary loses its role.
func (n *Node) Kill() {
	n.listener.Close()
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.advanceLog(n.Shard)
	for conn := range n.connections {
		resetConnection(conn)
	}
	if s := n.cluster.shards[n.Shard]; s.primary == n {
		n.demote()
	}
}

// demote takes the role of the primary away. The node keeps what it has applied, and has told no router yet. The caller holds
// the lock.
func (n *Node) demote() {
	n.appliedPosition()
	n.wasPrimary = true
	n.toldReplicaAt = map[string]int64{}
	n.cluster.shards[n.Shard].primary = nil
}

// Restart starts a killed node again at its previous address, as a replica that warms up for warmUp us.
func (n *Node) Restart(warmUp int64) error {
	n.cluster.mu.Lock()
	n.startedAt = n.cluster.now()
	n.warmUp = warmUp
	n.hung = false
	n.pausedAt = 0
	n.drainingSince = 0
	n.cluster.mu.Unlock()
	return n.listen(n.address)
}

// Hang makes the node stop answering while its connections stay open, or makes it answer again.
func (n *Node) Hang(hung bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.advanceLog(n.Shard)
	n.hung = hung
}

// IgnoreProbes makes the node leave probes unanswered, or answer them again.
func (n *Node) IgnoreProbes(ignore bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.ignoresProbes = ignore
}

// SetApplyLag sets the time in us by which the node lags behind the head of the log.
func (n *Node) SetApplyLag(us int64) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.applyLag = us
}

// PauseReplication pauses or resumes applying the log.
func (n *Node) PauseReplication(paused bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.pausedAt = 0
	if paused {
		n.pausedAt = n.appliedPosition()
	}
}

// SetErrorRate sets the share of commands, 0 to 1, that the node answers with an error.
func (n *Node) SetErrorRate(share float64) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.errorRate = share
}

// StartDraining starts the node's drain: a command that arrives after the cluster's grace period is a violation. The caller must
// also publish the new status in the endpoint list.
func (n *Node) StartDraining() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.drainingSince = n.cluster.now()
}

// Promote makes the node its shard's primary, with the whole log applied.
func (n *Node) Promote() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.advanceLog(n.Shard)
	n.applyLag = defaultApplyLag
	n.pausedAt = 0
	s := n.cluster.shards[n.Shard]
	if former := s.primary; former != nil {
		former.demote()
	}
	s.primary = n
}

// IsPrimary reports whether the node is its shard's primary.
func (n *Node) IsPrimary() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.shards[n.Shard].primary == n
}

// ProbeTimes returns the arrival time of each probe, in us of the cluster's clock.
func (n *Node) ProbeTimes() []int64 {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return append([]int64(nil), n.probeTimes...)
}

// CommandCount returns the number of commands that the node received.
func (n *Node) CommandCount() int {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.commandCount
}

// isHung reports whether the node has stopped answering.
func (n *Node) isHung() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.hung
}

// appliedPosition returns the position up to which the node has applied its shard's log. The caller holds the lock.
func (n *Node) appliedPosition() int64 {
	n.cluster.advanceLog(n.Shard)
	s := n.cluster.shards[n.Shard]
	position := min(s.position, n.cluster.now()-n.applyLag)
	switch {
	case s.primary == n:
		position = s.position
	case n.pausedAt > 0:
		position = n.pausedAt
	}
	n.applied = max(n.applied, position)
	return n.applied
}
