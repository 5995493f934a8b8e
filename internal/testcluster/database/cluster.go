// Package database simulates a database cluster on loopback, behind the router's node side of the PostgreSQL protocol: shards
// with one primary and replicas, log positions that advance with writes, apply lag, probes and load reports, work that takes
// time, slow starts, errors, hangs, crashes and drains. It is no database: a row is the last value written under a key.
//
// The cluster keeps the truth of what ran, by its own clock, and records a violation where a router breaks a rule: a command
// that runs twice, or one that reaches a draining node. Tests and proofs hold routers to that record, never to what a router
// believes.
package database

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// defaultApplyLag is how far a replica applies behind the head of its shard's log, in us, unless a test sets another lag.
const defaultApplyLag = 20_000

// maxQueued is how many commands may wait for a node's cores before it rejects the next one.
const maxQueued = 64

// maxViolations bounds the record; a test that has seen a hundred has seen enough.
const maxViolations = 100

// Cluster is all nodes, one log a shard, and what ran.
type Cluster struct {
	mu         sync.Mutex
	now        func() int64 // us of Unix time
	random     *rand.Rand
	shards     map[int]*shard
	nodes      []*Node
	executions map[string]int // of mutating commands, by id
	violations []string       // rules broken, as the nodes saw it
	drainGrace int64          // us after which a draining node may get nothing new
}

// shard is one group of nodes that replicate one log.
type shard struct {
	primary  *Node
	position int64 // up to which the log is known; stands still without a primary
	log      map[string][]write
}

// write is one entry of a key's log.
type write struct {
	position int64
	value    string
}

// New returns a cluster without nodes. drainGrace is the time in us after which a draining node may get nothing new.
func New(seed uint64, grace int64) *Cluster {
	zero := time.Now()
	start := zero.UnixMicro()
	return &Cluster{now: func() int64 { return start + time.Since(zero).Microseconds() },
		random: rand.New(rand.NewPCG(seed, 2)), shards: map[int]*shard{}, executions: map[string]int{}, drainGrace: grace}
}

// AddNode starts a node. The first of a shard is its primary. Each command takes workPerCommand on one of the node's cores.
func (c *Cluster) AddNode(name, zone string, shardNumber, cores int, workPerCommand time.Duration) (*Node, error) {
	n := &Node{Name: name, Zone: zone, Shard: shardNumber, cluster: c, connections: map[net.Conn]bool{}, workPerCommand: workPerCommand,
		cores: make(chan bool, cores), applyLag: defaultApplyLag}
	if err := n.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.shards[shardNumber]
	if g == nil {
		g = &shard{primary: n, position: c.now(), log: map[string][]write{}}
		c.shards[shardNumber] = g
	}
	c.nodes = append(c.nodes, n)
	return n, nil
}

// Close stops all nodes.
func (c *Cluster) Close() {
	for _, n := range c.Nodes() {
		n.Kill()
	}
}

// Nodes returns all nodes, in the order in which they were added.
func (c *Cluster) Nodes() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Node(nil), c.nodes...)
}

// Now is the cluster's clock, in us of Unix time.
func (c *Cluster) Now() int64 { return c.now() }

// Executions returns how often a mutating command ran.
func (c *Cluster) Executions(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executions[id]
}

// Violations returns the rules that the nodes saw broken, one text each.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// recordViolation notes a broken rule; the caller holds the lock.
func (c *Cluster) recordViolation(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// advanceLog moves the head of a shard's log to the present while it has a primary that works; the caller holds the lock.
func (c *Cluster) advanceLog(shardNumber int) {
	if g := c.shards[shardNumber]; g.primary != nil && !g.primary.hung {
		g.position = max(g.position, c.now())
	}
}
