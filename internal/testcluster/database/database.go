// Package database is a cluster of stand-in nodes that speak the router's node side of PostgreSQL's protocol on
// loopback: groups with one primary and replicas, log positions that advance with writes, apply lag, probes and load
// reports, work that takes time, cold starts, errors, hangs, deaths and drains. It keeps the truth of what ran, so
// that tests and proofs can hold a router to the rules. It is no database: a row is the last value written under a key.
package database

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"cairntiller/internal/pgwire"
)

// Cluster is the world's truth: one log a group, and all nodes.
type Cluster struct {
	mu         sync.Mutex
	now        func() int64
	random     *rand.Rand
	shards     map[int]*shard
	nodes      []*Node
	executions map[string]int // executions of mutating commands, by id
	violations []string       // rules broken, as the nodes saw it
	drainGrace int64
}

type shard struct {
	primary  *Node
	position int64 // position up to which the log is known; stands still without a primary
	log      map[string][]write
}

type write struct {
	position int64
	value    string
}

// Node is one stand-in node.
type Node struct {
	Name, Zone string
	Shard      int

	cluster        *Cluster
	address        string
	listener       net.Listener
	connections    map[net.Conn]bool
	applyLag       int64 // us behind the head; applying stops where frozen
	pausedAt       int64 // position at which applying stopped, 0 for not
	hung           bool
	workPerCommand time.Duration
	cores          chan bool
	queued         int
	maxQueued      int // commands that may wait
	errorRate      float64
	startedAt      int64
	warmUp         int64 // us after its start in which it is cold
	drainingSince  int64 // when it began to drain, 0 for not

	probeTimes    []int64 // time of each probe
	queryCount    int     // commands that arrived
	ignoresProbes bool    // it answers no probe, all else
}

// New makes a cluster without nodes. grace is the time in us after which a draining node may get nothing new.
func New(seed uint64, grace int64) *Cluster {
	zero := time.Now()
	start := zero.UnixMicro()
	return &Cluster{now: func() int64 { return start + time.Since(zero).Microseconds() },
		random: rand.New(rand.NewPCG(seed, 2)), shards: map[int]*shard{}, executions: map[string]int{}, drainGrace: grace}
}

// Add starts a node; the first of a group is its primary. Each command takes work on one of its cores.
func (c *Cluster) AddNode(name, zone string, number, cores int, work time.Duration) (*Node, error) {
	n := &Node{Name: name, Zone: zone, Shard: number, cluster: c, connections: map[net.Conn]bool{}, workPerCommand: work,
		cores: make(chan bool, cores), maxQueued: 64, applyLag: 20_000}
	if err := n.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.shards[number]
	if g == nil {
		g = &shard{primary: n, position: c.now(), log: map[string][]write{}}
		c.shards[number] = g
	}
	c.nodes = append(c.nodes, n)
	return n, nil
}

func (n *Node) listen(at string) error {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	n.listener, n.address = ln, ln.Addr().String()
	go n.accept(ln)
	return nil
}

// Address is where the node listens.
func (n *Node) Address() string { return n.address }

// Started is when the node last started anew, in us, 0 for long ago.
func (n *Node) StartedAt() int64 {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.startedAt
}

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

// Kill ends the node as a crash does: its connections are reset, new ones refused.
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

// Restart starts a killed node again under its address, cold for a time in us; it leads nothing.
func (n *Node) Restart(cold int64) error {
	n.cluster.mu.Lock()
	n.startedAt, n.warmUp, n.hung, n.pausedAt, n.drainingSince = n.cluster.now(), cold, false, 0, 0
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

// Dark lets the node leave probes without an answer, or go on.
func (n *Node) IgnoreProbes(on bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.ignoresProbes = on
}

// Lag sets how far the node applies behind the log's head, in us.
func (n *Node) SetApplyLag(us int64) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.applyLag = us
}

// Freeze stops applying, or lets it go on.
func (n *Node) PauseReplication(on bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.pausedAt = 0
	if on {
		n.pausedAt = n.appliedPosition()
	}
}

// Errors sets the share of commands that the node answers with an error.
func (n *Node) SetErrorRate(share float64) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.errorRate = share
}

// Drain notes that the node is to get nothing new; the list must tell it.
func (n *Node) StartDraining() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.drainingSince = n.cluster.now()
}

// Promote makes a node its group's primary, with all of the log applied.
func (n *Node) Promote() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.advanceLog(n.Shard)
	n.applyLag, n.pausedAt = 20_000, 0
	n.cluster.shards[n.Shard].primary = n
}

// Primary tells whether the node leads its group.
func (n *Node) IsPrimary() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.shards[n.Shard].primary == n
}

// advance moves a group's head to the present while it has a primary that works.
func (c *Cluster) advanceLog(number int) {
	if g := c.shards[number]; g.primary != nil && !g.primary.hung {
		g.position = max(g.position, c.now())
	}
}

// applied is the node's position.
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

// Close ends all nodes.
func (c *Cluster) Close() {
	for _, n := range c.Nodes() {
		n.Kill()
	}
}

// Nodes are all nodes.
func (c *Cluster) Nodes() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Node(nil), c.nodes...)
}

func (c *Cluster) recordViolation(format string, args ...any) {
	if len(c.violations) < 100 {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// Broken are the rules that the nodes saw broken.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Probes are the times of all probes that reached the node, in us of the cluster's clock.
func (n *Node) ProbeTimes() []int64 {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return append([]int64(nil), n.probeTimes...)
}

// Queries is how many commands arrived.
func (n *Node) QueryCount() int {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.queryCount
}

// Now is the cluster's clock, in us of Unix time.
func (c *Cluster) Now() int64 { return c.now() }

// mostMessage bounds what a router may send a node.
const maxMessageBytes = 1 << 18

// serve is one connection.
func (n *Node) serve(conn net.Conn) {
	split := pgwire.NewSplitter(maxMessageBytes, true)
	buf := make([]byte, 1<<14)
	open := false
	for {
		size, err := conn.Read(buf)
		if err != nil {
			return
		}
		split.Feed(buf[:size])
		for {
			f, whole, err := split.Next()
			if err != nil {
				return
			}
			if !whole {
				break
			}
			if !open {
				open = true
				split.ExpectTyped(maxMessageBytes)
				if n.isHung() {
					continue
				}
				if _, err := conn.Write(pgwire.AppendWelcome(nil, false, 1, 0)); err != nil {
					return
				}
				continue
			}
			statement, ok := pgwire.DecodeQuery(f)
			if f.Type != 'Q' || !ok {
				return
			}
			reply, ok := n.answer(string(statement))
			if !ok {
				continue // it hangs: nothing more comes of it
			}
			if _, err := conn.Write(reply); err != nil {
				return
			}
		}
	}
}

func (n *Node) isHung() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.hung
}

// answer is what a query gets; ok is false for nothing at all.
func (n *Node) answer(statement string) (reply []byte, ok bool) {
	if statement == "SHOW load" {
		n.cluster.mu.Lock()
		defer n.cluster.mu.Unlock()
		n.probeTimes = append(n.probeTimes, n.cluster.now())
		return append(encodeRow(n.loadReport(), "SHOW"), readyForQuery...), !n.hung && !n.ignoresProbes
	}
	cmd, err := pgwire.DecodeCommand([]byte(statement))
	if err != nil {
		n.cluster.mu.Lock()
		defer n.cluster.mu.Unlock()
		n.cluster.recordViolation("node %s got a statement that no client sent: %v", n.Name, err)
		return pgwire.AppendError(nil, false, pgwire.CodeProtocol, "unreadable", 0), true
	}
	n.cluster.mu.Lock()
	n.queryCount++
	if n.drainingSince > 0 && n.cluster.now() > n.drainingSince+n.cluster.drainGrace {
		n.cluster.recordViolation("node %s got %s %d us after its drain began", n.Name, cmd.ID, n.cluster.now()-n.drainingSince)
	}
	if n.hung {
		n.cluster.mu.Unlock()
		return nil, false
	}
	if n.queued >= n.maxQueued {
		n.cluster.mu.Unlock()
		return pgwire.AppendError(nil, false, pgwire.CodeRejected, "too much to do", 0), true
	}
	n.queued++
	work := n.workPerCommand
	if age := n.cluster.now() - n.startedAt; n.warmUp > 0 && age < n.warmUp { // from a fifth of its speed up
		work = time.Duration(float64(work) / (0.2 + 0.8*float64(age)/float64(n.warmUp)))
	}
	n.cluster.mu.Unlock()
	n.cores <- true
	time.Sleep(work)
	<-n.cores
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.queued--
	if n.hung {
		return nil, false
	}
	if n.errorRate > 0 && n.cluster.random.Float64() < n.errorRate {
		return pgwire.AppendError(nil, false, "XX000", "an error on purpose", 0), true
	}
	return n.execute(cmd, statement)
}

// execute runs a command, as its text says.
func (n *Node) execute(cmd *pgwire.Command, statement string) ([]byte, bool) {
	g := n.cluster.shards[n.Shard]
	_, text, _ := strings.Cut(statement, "*/")
	pos := n.appliedPosition()
	if text = strings.TrimSpace(text); !strings.HasPrefix(text, "INSERT") {
		value := "none"
		for _, e := range g.log[cmd.Session] {
			if e.position <= pos {
				value = e.value
			}
		}
		return n.appendStatus(encodeRow(value, "SELECT 1"), g.primary == n, pos), true
	}
	if g.primary != n {
		return pgwire.AppendError(nil, false, pgwire.CodeNoPrimary, "no primary", 0), true
	}
	if n.cluster.executions[cmd.ID]++; n.cluster.executions[cmd.ID] > 1 {
		n.cluster.recordViolation("command %s ran %d times", cmd.ID, n.cluster.executions[cmd.ID])
	}
	value := lastQuotedText(text)
	pos = max(pos, n.cluster.now())
	g.position = max(g.position, pos)
	g.log[cmd.Session] = append(g.log[cmd.Session], write{pos, value})
	return n.appendStatus(encodeRow(value, "INSERT 0 1"), true, pos), true
}

// lastText is the last quoted text of a statement.
func lastQuotedText(s string) string {
	end := strings.LastIndexByte(s, '\'')
	if end < 0 {
		return ""
	}
	from := strings.LastIndexByte(s[:end], '\'')
	return s[from+1 : end]
}

// Ran is how often a mutating command ran.
func (c *Cluster) Executions(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executions[id]
}

// load is the node's report: its position in Unix seconds, whether it leads, and commands in hand.
func (n *Node) loadReport() string {
	pos, lead := n.appliedPosition(), 0
	if n.cluster.shards[n.Shard].primary == n {
		lead = 1
	}
	return fmt.Sprintf("x0=%d.%06d,x1=%d,inflight=%d", pos/1e6, pos%1e6, lead, n.queued)
}

// standing adds what a node tells of itself beside an answer.
func (n *Node) appendStatus(reply []byte, lead bool, pos int64) []byte {
	role := "replica"
	if lead {
		role = "primary"
	}
	for _, one := range [][2]string{{"role", role}, {"applied_ms", strconv.FormatFloat(float64(pos)/1000, 'f', 3, 64)},
		{"load", n.loadReport()}} {
		reply = pgwire.Frame{Type: 'S', Body: []byte(one[0] + "\x00" + one[1] + "\x00")}.Append(reply)
	}
	return append(reply, readyForQuery...)
}

const readyForQuery = "Z\x00\x00\x00\x05I"

// row encodes one row of one column.
func encodeRow(value, tag string) []byte {
	out := pgwire.Frame{Type: 'T', Body: []byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")}.Append(nil)
	size := len(value)
	body := append([]byte{0, 1, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)}, value...)
	out = pgwire.Frame{Type: 'D', Body: body}.Append(out)
	return pgwire.Frame{Type: 'C', Body: []byte(tag + "\x00")}.Append(out)
}
