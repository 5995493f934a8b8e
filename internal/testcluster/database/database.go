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
	mu     sync.Mutex
	now    func() int64
	rng    *rand.Rand
	groups map[int]*group
	nodes  []*Node
	ran    map[string]int // executions of mutating commands, by id
	faults []string       // rules broken, as the nodes saw it
	grace  int64
}

type group struct {
	primary *Node
	head    int64 // position up to which the log is known; stands still without a primary
	log     map[string][]entry
}

type entry struct {
	pos   int64
	value string
}

// Node is one stand-in node.
type Node struct {
	Name, Zone string
	Group      int

	c       *Cluster
	address string
	ln      net.Listener
	conns   map[net.Conn]bool
	lag     int64 // us behind the head; applying stops where frozen
	frozen  int64 // position at which applying stopped, 0 for not
	hung    bool
	work    time.Duration
	cores   chan bool
	waiting int
	most    int // commands that may wait
	errs    float64
	started int64
	cold    int64 // us after its start in which it is cold
	drain   int64 // when it began to drain, 0 for not

	probes  []int64 // time of each probe
	queries int     // commands that arrived
	dark    bool    // it answers no probe, all else
}

// New makes a cluster without nodes. grace is the time in us after which a draining node may get nothing new.
func New(seed uint64, grace int64) *Cluster {
	zero := time.Now()
	start := zero.UnixMicro()
	return &Cluster{now: func() int64 { return start + time.Since(zero).Microseconds() },
		rng: rand.New(rand.NewPCG(seed, 2)), groups: map[int]*group{}, ran: map[string]int{}, grace: grace}
}

// Add starts a node; the first of a group is its primary. Each command takes work on one of its cores.
func (c *Cluster) Add(name, zone string, number, cores int, work time.Duration) (*Node, error) {
	n := &Node{Name: name, Zone: zone, Group: number, c: c, conns: map[net.Conn]bool{}, work: work,
		cores: make(chan bool, cores), most: 64, lag: 20_000}
	if err := n.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[number]
	if g == nil {
		g = &group{primary: n, head: c.now(), log: map[string][]entry{}}
		c.groups[number] = g
	}
	c.nodes = append(c.nodes, n)
	return n, nil
}

func (n *Node) listen(at string) error {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	n.ln, n.address = ln, ln.Addr().String()
	go n.accept(ln)
	return nil
}

// Address is where the node listens.
func (n *Node) Address() string { return n.address }

// Started is when the node last started anew, in us, 0 for long ago.
func (n *Node) Started() int64 {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.started
}

func (n *Node) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		n.c.mu.Lock()
		n.conns[conn] = true
		n.c.mu.Unlock()
		go func() {
			n.serve(conn)
			conn.Close()
			n.c.mu.Lock()
			delete(n.conns, conn)
			n.c.mu.Unlock()
		}()
	}
}

// Kill ends the node as a crash does: its connections are reset, new ones refused.
func (n *Node) Kill() {
	n.ln.Close()
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.c.advance(n.Group)
	for conn := range n.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	if g := n.c.groups[n.Group]; g.primary == n {
		g.primary = nil
	}
}

// Restart starts a killed node again under its address, cold for a time in us; it leads nothing.
func (n *Node) Restart(cold int64) error {
	n.c.mu.Lock()
	n.started, n.cold, n.hung, n.frozen, n.drain = n.c.now(), cold, false, 0, 0
	n.c.mu.Unlock()
	return n.listen(n.address)
}

// Hang lets the node keep its connections and answer nothing, or go on.
func (n *Node) Hang(on bool) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.c.advance(n.Group)
	n.hung = on
}

// Dark lets the node leave probes without an answer, or go on.
func (n *Node) Dark(on bool) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.dark = on
}

// Lag sets how far the node applies behind the log's head, in us.
func (n *Node) Lag(us int64) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.lag = us
}

// Freeze stops applying, or lets it go on.
func (n *Node) Freeze(on bool) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.frozen = 0
	if on {
		n.frozen = n.applied()
	}
}

// Errors sets the share of commands that the node answers with an error.
func (n *Node) Errors(share float64) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.errs = share
}

// Drain notes that the node is to get nothing new; the list must tell it.
func (n *Node) Drain() {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.drain = n.c.now()
}

// Promote makes a node its group's primary, with all of the log applied.
func (n *Node) Promote() {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.c.advance(n.Group)
	n.lag, n.frozen = 20_000, 0
	n.c.groups[n.Group].primary = n
}

// Primary tells whether the node leads its group.
func (n *Node) Primary() bool {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.c.groups[n.Group].primary == n
}

// advance moves a group's head to the present while it has a primary that works.
func (c *Cluster) advance(number int) {
	if g := c.groups[number]; g.primary != nil && !g.primary.hung {
		g.head = max(g.head, c.now())
	}
}

// applied is the node's position.
func (n *Node) applied() int64 {
	n.c.advance(n.Group)
	g := n.c.groups[n.Group]
	switch {
	case g.primary == n:
		return g.head
	case n.frozen > 0:
		return n.frozen
	}
	return min(g.head, n.c.now()-n.lag)
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

func (c *Cluster) broken(format string, args ...any) {
	if len(c.faults) < 100 {
		c.faults = append(c.faults, fmt.Sprintf(format, args...))
	}
}

// Broken are the rules that the nodes saw broken.
func (c *Cluster) Broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.faults...)
}

// Probes are the times of all probes that reached the node, in us of the cluster's clock.
func (n *Node) Probes() []int64 {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return append([]int64(nil), n.probes...)
}

// Queries is how many commands arrived.
func (n *Node) Queries() int {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.queries
}

// Now is the cluster's clock, in us of Unix time.
func (c *Cluster) Now() int64 { return c.now() }

// mostMessage bounds what a router may send a node.
const mostMessage = 1 << 18

// serve is one connection.
func (n *Node) serve(conn net.Conn) {
	split := pgwire.NewSplitter(mostMessage, true)
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
				split.ExpectTyped(mostMessage)
				if n.stuck() {
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

func (n *Node) stuck() bool {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.hung
}

// answer is what a query gets; ok is false for nothing at all.
func (n *Node) answer(statement string) (reply []byte, ok bool) {
	if statement == "SHOW load" {
		n.c.mu.Lock()
		defer n.c.mu.Unlock()
		n.probes = append(n.probes, n.c.now())
		return append(row(n.load(), "SHOW"), ready...), !n.hung && !n.dark
	}
	cmd, err := pgwire.DecodeCommand([]byte(statement))
	if err != nil {
		n.c.mu.Lock()
		defer n.c.mu.Unlock()
		n.c.broken("node %s got a statement that no client sent: %v", n.Name, err)
		return pgwire.AppendError(nil, false, pgwire.CodeProtocol, "unreadable", 0), true
	}
	n.c.mu.Lock()
	n.queries++
	if n.drain > 0 && n.c.now() > n.drain+n.c.grace {
		n.c.broken("node %s got %s %d us after its drain began", n.Name, cmd.ID, n.c.now()-n.drain)
	}
	if n.hung {
		n.c.mu.Unlock()
		return nil, false
	}
	if n.waiting >= n.most {
		n.c.mu.Unlock()
		return pgwire.AppendError(nil, false, pgwire.CodeRejected, "too much to do", 0), true
	}
	n.waiting++
	work := n.work
	if age := n.c.now() - n.started; n.cold > 0 && age < n.cold { // from a fifth of its speed up
		work = time.Duration(float64(work) / (0.2 + 0.8*float64(age)/float64(n.cold)))
	}
	n.c.mu.Unlock()
	n.cores <- true
	time.Sleep(work)
	<-n.cores
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.waiting--
	if n.hung {
		return nil, false
	}
	if n.errs > 0 && n.c.rng.Float64() < n.errs {
		return pgwire.AppendError(nil, false, "XX000", "an error on purpose", 0), true
	}
	return n.execute(cmd, statement)
}

// execute runs a command, as its text says.
func (n *Node) execute(cmd *pgwire.Command, statement string) ([]byte, bool) {
	g := n.c.groups[n.Group]
	_, text, _ := strings.Cut(statement, "*/")
	pos := n.applied()
	if text = strings.TrimSpace(text); !strings.HasPrefix(text, "INSERT") {
		value := "none"
		for _, e := range g.log[cmd.Session] {
			if e.pos <= pos {
				value = e.value
			}
		}
		return n.standing(row(value, "SELECT 1"), g.primary == n, pos), true
	}
	if g.primary != n {
		return pgwire.AppendError(nil, false, pgwire.CodeNoPrimary, "no primary", 0), true
	}
	if n.c.ran[cmd.ID]++; n.c.ran[cmd.ID] > 1 {
		n.c.broken("command %s ran %d times", cmd.ID, n.c.ran[cmd.ID])
	}
	value := lastText(text)
	pos = max(pos, n.c.now())
	g.head = max(g.head, pos)
	g.log[cmd.Session] = append(g.log[cmd.Session], entry{pos, value})
	return n.standing(row(value, "INSERT 0 1"), true, pos), true
}

// lastText is the last quoted text of a statement.
func lastText(s string) string {
	end := strings.LastIndexByte(s, '\'')
	if end < 0 {
		return ""
	}
	from := strings.LastIndexByte(s[:end], '\'')
	return s[from+1 : end]
}

// Ran is how often a mutating command ran.
func (c *Cluster) Ran(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ran[id]
}

// load is the node's report: its position in Unix seconds, whether it leads, and commands in hand.
func (n *Node) load() string {
	pos, lead := n.applied(), 0
	if n.c.groups[n.Group].primary == n {
		lead = 1
	}
	return fmt.Sprintf("x0=%d.%06d,x1=%d,inflight=%d", pos/1e6, pos%1e6, lead, n.waiting)
}

// standing adds what a node tells of itself beside an answer.
func (n *Node) standing(reply []byte, lead bool, pos int64) []byte {
	role := "replica"
	if lead {
		role = "primary"
	}
	for _, one := range [][2]string{{"role", role}, {"applied_ms", strconv.FormatFloat(float64(pos)/1000, 'f', 3, 64)},
		{"load", n.load()}} {
		reply = pgwire.Frame{Type: 'S', Body: []byte(one[0] + "\x00" + one[1] + "\x00")}.Append(reply)
	}
	return append(reply, ready...)
}

const ready = "Z\x00\x00\x00\x05I"

// row encodes one row of one column.
func row(value, tag string) []byte {
	out := pgwire.Frame{Type: 'T', Body: []byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")}.Append(nil)
	size := len(value)
	body := append([]byte{0, 1, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)}, value...)
	out = pgwire.Frame{Type: 'D', Body: body}.Append(out)
	return pgwire.Frame{Type: 'C', Body: []byte(tag + "\x00")}.Append(out)
}
