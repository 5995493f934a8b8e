package database

import (
	"net"
	"time"
)

// Node is one simulated database node. Its fields are under the cluster's lock.
type Node struct {
	Name, Zone string
	Shard      int

	cluster        *Cluster
	address        string
	listener       net.Listener
	connections    map[net.Conn]bool
	applyLag       int64 // us behind the log's head
	pausedAt       int64 // position at which applying stopped, 0 while it goes on
	hung           bool
	ignoresProbes  bool // answers everything else
	workPerCommand time.Duration
	cores          chan bool
	queued         int
	errorRate      float64
	startedAt      int64 // us, 0 for long ago
	warmUp         int64 // us after its start in which it is slow
	drainingSince  int64 // us, 0 for not draining

	probeTimes []int64
	queryCount int // commands that arrived
}

// listen opens the node's socket.
func (n *Node) listen(at string) error {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	n.listener = ln
	n.address = ln.Addr().String()
	go n.accept(ln)
	return nil
}

// Address is where the node listens.
func (n *Node) Address() string { return n.address }

// StartedAt is when the node was last restarted, in us; 0 for long ago.
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

// Kill ends the node as a crash does: its connections are reset and new ones refused.
func (n *Node) Kill() {
	n.listener.Close()
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.advanceLog(n.Shard)
	for conn := range n.connections {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	if g := n.cluster.shards[n.Shard]; g.primary == n {
		g.primary = nil
	}
}

// Restart starts a killed node at its former address, as a replica that warms up for a time in us.
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

// Hang lets the node keep its connections and answer nothing, or go on.
func (n *Node) Hang(on bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.advanceLog(n.Shard)
	n.hung = on
}

// IgnoreProbes lets the node leave probes without an answer, or go on.
func (n *Node) IgnoreProbes(on bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.ignoresProbes = on
}

// SetApplyLag sets how far the node applies behind the log's head, in us.
func (n *Node) SetApplyLag(us int64) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.applyLag = us
}

// PauseReplication stops applying the log, or lets it go on.
func (n *Node) PauseReplication(on bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.pausedAt = 0
	if on {
		n.pausedAt = n.appliedPosition()
	}
}

// SetErrorRate sets the share of commands that the node answers with an error.
func (n *Node) SetErrorRate(share float64) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.errorRate = share
}

// StartDraining notes that the node is to get nothing new after the cluster's grace. The endpoint list has to say so too.
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
	n.cluster.shards[n.Shard].primary = n
}

// IsPrimary reports whether the node is its shard's primary.
func (n *Node) IsPrimary() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.shards[n.Shard].primary == n
}

// ProbeTimes returns when each probe reached the node, in us of the cluster's clock.
func (n *Node) ProbeTimes() []int64 {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return append([]int64(nil), n.probeTimes...)
}

// QueryCount returns how many commands arrived.
func (n *Node) QueryCount() int {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.queryCount
}

// isHung reports whether the node answers nothing.
func (n *Node) isHung() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.hung
}

// appliedPosition is the position up to which the node has applied its shard's log; the caller holds the lock.
func (n *Node) appliedPosition() int64 {
	n.cluster.advanceLog(n.Shard)
	g := n.cluster.shards[n.Shard]
	switch {
	case g.primary == n:
		return g.position
	case n.pausedAt > 0:
		return n.pausedAt
	}
	return min(g.position, n.cluster.now()-n.applyLag)
}
