// Package database simulates a database cluster on the loopback interface. Its nodes speak the subset of the PostgreSQL protocol
// that the router uses towards nodes. The simulation covers shards with one primary and replicas, log positions that advance
// over time and with writes, apply lag, probes and load reports, processing time, slow starts, errors, hangs, crashes and
// drains. It stores no relational data: a row is the last value written under a key.
//
// The cluster records what was executed, with timestamps of its own clock, and records a violation when a router breaks a rule:
// a mutating command that is executed twice, or a command that reaches a node whose drain grace period is over. Tests and
// proofs check routers against this record, not against the state that a router reports.
package database

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// defaultApplyLag is the time in us by which a replica lags behind the head of its shard's log, unless a test sets another lag.
const defaultApplyLag = 20_000

// maxQueued is the number of commands, running or waiting for a core, from which on a node rejects new ones.
const maxQueued = 64

// maxViolations bounds the list of violations. More of them would add nothing to the report of a failed test.
const maxViolations = 100

// Cluster holds the nodes, one replicated log per shard, and the record of executed commands.
type Cluster struct {
	mu         sync.Mutex
	now        func() int64 // current time, in us since the Unix epoch
	random     *rand.Rand
	shards     map[int]*shard
	nodes      []*Node
	executions map[string]int   // number of executions of each mutating command, by id
	arrivals   map[string]int64 // us: when each mutating command last arrived at a node, by id
	excused    map[string]bool  // ids of the reads that may have seen older data
	violations []string         // descriptions of broken rules, as observed by the nodes
	drainGrace int64            // us after the start of a drain from which on a node must not receive commands
}

// shard is one group of nodes that replicate one log.
type shard struct {
	primary  *Node
	position int64 // head of the log; does not advance without a working primary
	log      map[string][]write
}

// write is one entry of the log of a key.
type write struct {
	position int64
	value    string
}

// New returns a cluster without nodes. drainGrace is the time in us after the start of a drain from which on a node must not
// receive commands.
func New(seed uint64, drainGrace int64) *Cluster {
	startTime := time.Now()
	startMicros := startTime.UnixMicro()
	return &Cluster{now: func() int64 { return startMicros + time.Since(startTime).Microseconds() },
		random: rand.New(rand.NewPCG(seed, 2)), shards: map[int]*shard{}, executions: map[string]int{}, arrivals: map[string]int64{}, excused: map[string]bool{}, drainGrace: drainGrace}
}

// AddNode starts a node. The first node of a shard is its primary. Each command occupies one of the node's cores for
// workPerCommand.
func (c *Cluster) AddNode(name, zone string, shardNumber, cores int, workPerCommand time.Duration) (*Node, error) {
	n := &Node{Name: name, Zone: zone, Shard: shardNumber, cluster: c, connections: map[net.Conn]bool{}, workPerCommand: workPerCommand,
		cores: make(chan bool, cores), applyLag: defaultApplyLag}
	if err := n.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.shards[shardNumber]
	if s == nil {
		s = &shard{primary: n, position: c.now(), log: map[string][]write{}}
		c.shards[shardNumber] = s
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

// Nodes returns all nodes in the order in which they were added.
func (c *Cluster) Nodes() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Node(nil), c.nodes...)
}

// Now returns the time of the cluster's clock, in us since the Unix epoch.
func (c *Cluster) Now() int64 { return c.now() }

// Executions returns how often a mutating command was executed.
func (c *Cluster) Executions(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executions[id]
}

// LastArrival returns when a mutating command last arrived at a node, in us of the cluster's clock; 0 if it never did.
func (c *Cluster) LastArrival(id string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals[id]
}

// Excused reports whether a read was answered by a former primary that it reached before its router had to know of the new
// role. If a cluster has several routers, a command's id must name its router (see routerOf).
func (c *Cluster) Excused(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.excused[id]
}

// Violations returns a description of each rule violation that the nodes observed.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// recordViolation adds a rule violation to the record. The caller holds the lock.
func (c *Cluster) recordViolation(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// advanceLog moves the head of a shard's log to the current time if the shard has a primary that isn't hung. The caller holds
// the lock.
func (c *Cluster) advanceLog(shardNumber int) {
	if s := c.shards[shardNumber]; s.primary != nil && !s.primary.hung {
		s.position = max(s.position, c.now())
	}
}
