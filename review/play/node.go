//go:build review

package play

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

// Node is a stand-in of a node: it takes connections, does the work of each command on its cores, and answers.
type Node struct {
	Name, Address string
	Group         int

	run   *Run
	cores chan bool
	mu    sync.Mutex
	// Set these before the node is used, or with Set.
	Primary   bool
	Hung      bool                                       // takes commands and answers none; a probe shows only that the process runs
	Work      func() time.Duration                       // of one command
	Value     func(command *pgwire.Command) string       // of the answer
	Reply     func(conn net.Conn, id string, raw []byte) // sends an answer; nil: in one write
	OnCommand func(n *Node, command *pgwire.Command)     // called as each command arrives
}

// StartNode starts a node with a number of cores.
func (r *Run) StartNode(name string, group int, primary bool, cores int) *Node {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err)
	n := &Node{Name: name, Address: ln.Addr().String(), Group: group, run: r, cores: make(chan bool, cores), Primary: primary}
	n.Work = func() time.Duration { return Between(69, 120) }
	n.Value = func(command *pgwire.Command) string { return "made for " + command.ID }
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n
}

// Between returns a random time between two numbers of milliseconds.
func Between(low, high int) time.Duration {
	return time.Duration(low*1000+rand.IntN((high-low)*1000+1)) * time.Microsecond
}

// Set changes the node under its lock.
func (n *Node) Set(change func(*Node)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

func (n *Node) state() (primary, hung bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Primary, n.Hung
}

// Endpoint returns the node's entry in the list.
func (n *Node) Endpoint() Endpoint {
	role := "replica"
	if n.Primary {
		role = "primary"
	}
	return Endpoint{Name: n.Name, Address: n.Address, Zone: "colombo", Type: "std-3c", Group: n.Group, Status: "active", Role: role, Weight: 1}
}

// serve serves one connection: the startup, then one query after the other.
func (n *Node) serve(conn net.Conn) {
	defer conn.Close()
	frames := pgwire.NewFrameDecoder(1<<18, true)
	buffer := make([]byte, 1<<14)
	started := false
	for {
		size, err := conn.Read(buffer)
		if err != nil {
			return
		}
		frames.Feed(buffer[:size])
		for {
			frame, complete, err := frames.Next()
			if err != nil {
				return
			}
			if !complete {
				break
			}
			if !started {
				started = true
				frames.ExpectTyped(1 << 18)
				conn.Write(pgwire.AppendStartupResponse(nil, false, 1, 0))
				continue
			}
			statement, ok := pgwire.DecodeQuery(frame)
			if frame.Type != 'Q' || !ok {
				return
			}
			n.query(conn, string(statement))
		}
	}
}

// query answers one query.
func (n *Node) query(conn net.Conn, statement string) {
	switch {
	case statement == "SHOW load":
		conn.Write(append(row(n.load(), "SHOW"), ready...))
		return
	case strings.TrimSpace(statement) == "":
		conn.Write(pgwire.AppendEmptyQueryResponse(nil))
		return
	}
	command, err := pgwire.DecodeCommand([]byte(statement))
	if err != nil {
		n.run.Logf("node %s got what no client sent: %q", n.Name, statement)
		conn.Write(pgwire.AppendError(nil, false, pgwire.CodeProtocolViolation, "unreadable", 0))
		return
	}
	if n.OnCommand != nil {
		n.OnCommand(n, command)
	}
	primary, hung := n.state()
	n.run.Logf("node %s gets %s (%s), d=%d ms", n.Name, command.ID, command.Group, command.Timeout/1000)
	if hung {
		return
	}
	_, text, _ := strings.Cut(statement, "*/")
	isWrite := strings.HasPrefix(strings.TrimSpace(text), "INSERT")
	if isWrite && !primary {
		conn.Write(pgwire.AppendError(nil, false, pgwire.CodeNoPrimary, "no primary", 0))
		return
	}
	n.cores <- true
	time.Sleep(n.Work())
	<-n.cores
	if _, hung = n.state(); hung {
		return
	}
	tag := "SELECT 1"
	if isWrite {
		tag = "INSERT 0 1"
	}
	n.run.Logf("node %s has run %s", n.Name, command.ID)
	raw := append(row(n.Value(command), tag), n.status()...)
	if n.Reply != nil {
		n.Reply(conn, command.ID, append(raw, ready...))
		return
	}
	conn.Write(append(raw, ready...))
}

const ready = "Z\x00\x00\x00\x05I"

// position returns the position that the node reports: a replica is 10 ms behind.
func (n *Node) position() time.Time {
	if primary, _ := n.state(); primary {
		return time.Now()
	}
	return time.Now().Add(-10 * time.Millisecond)
}

func (n *Node) load() string {
	primary, _ := n.state()
	x1 := 0
	if primary {
		x1 = 1
	}
	us := n.position().UnixMicro()
	return fmt.Sprintf("x0=%d.%06d,x1=%d,inflight=%d", us/1e6, us%1e6, x1, len(n.cores))
}

// status returns the ParameterStatus messages that come with an answer.
func (n *Node) status() (raw []byte) {
	role := "replica"
	if primary, _ := n.state(); primary {
		role = "primary"
	}
	position := strconv.FormatInt(n.position().UnixMilli(), 10)
	for _, pair := range [][2]string{{"role", role}, {"applied_ms", position}, {"load", n.load()}} {
		raw = pgwire.Frame{Type: 'S', Body: []byte(pair[0] + "\x00" + pair[1] + "\x00")}.Append(raw)
	}
	return raw
}

// row encodes an answer of one row with one column: RowDescription, DataRow and CommandComplete.
func row(value, tag string) []byte {
	raw := pgwire.Frame{Type: 'T', Body: []byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")}.Append(nil)
	size := len(value)
	body := append([]byte{0, 1, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)}, value...)
	raw = pgwire.Frame{Type: 'D', Body: body}.Append(raw)
	return pgwire.Frame{Type: 'C', Body: []byte(tag + "\x00")}.Append(raw)
}
