package database

import (
	"bytes"
	"encoding/binary"
	"net"
	"time"
)

// excusedAfterTold is the time in us after a former primary has answered as a replica for which a read may still reach it: what
// an answer tells counts as known after 0.1 s, and time limits are 0.05 s longer on sockets.
const excusedAfterTold = 150_000

// messageHeader is the length of a message's type and length.
const messageHeader = 5

// NetworkFaults are the faults of the network between a node and its router, as shares from 0 to 1.
type NetworkFaults struct {
	LateStartups    float64       // of the connections that come up late
	MaxStartupDelay time.Duration // of those
	CutOffRows      float64       // of the rows whose connection is reset behind a load report, before any other status
	MaxReportAge    time.Duration // of load reports along with answers
}

// SetNetworkFaults sets the faults of the network from now on.
func (n *Node) SetNetworkFaults(faults NetworkFaults) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.faults = faults
}

// ResetConnections resets a share of the node's connections, also under commands.
func (n *Node) ResetConnections(share float64) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for conn := range n.connections {
		if n.cluster.random.Float64() < share {
			resetConnection(conn)
		}
	}
}

func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// startupDelay returns how late a connection comes up.
func (n *Node) startupDelay() time.Duration {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.faults.MaxStartupDelay <= 0 || n.cluster.random.Float64() >= n.faults.LateStartups {
		return 0
	}
	return time.Duration(n.cluster.random.Int64N(int64(n.faults.MaxStartupDelay)))
}

// periodicLoadReport returns the load report that goes along with an answer. The caller holds the lock.
func (n *Node) periodicLoadReport() string {
	now := n.cluster.now()
	if n.lastReport == "" || now-n.lastReportAt >= n.faults.MaxReportAge.Microseconds() {
		n.lastReport = n.loadReport()
		n.lastReportAt = now
	}
	return n.lastReport
}

// routerOf returns the name of the router that a command came through: the part of its id before a dot, "" if there is none.
func routerOf(statement []byte) string {
	_, id, _ := bytes.Cut(statement, []byte("id="))
	id, _, _ = bytes.Cut(id, []byte(","))
	name, _, found := bytes.Cut(id, []byte("."))
	if !found {
		return ""
	}
	return string(name)
}

// passThroughNetwork returns the part of a reply that reaches the router, and whether the connection is reset behind it. A
// complete reply tells the router the node's role.
func (n *Node) passThroughNetwork(reply []byte, router string) (received []byte, isCutOff bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.faults.CutOffRows > 0 && reply[0] == 'T' && n.cluster.random.Float64() < n.faults.CutOffRows {
		return cutOffReply(reply), true
	}
	if n.wasPrimary && n.toldReplicaAt[router] == 0 && bytes.Contains(reply, []byte("role\x00replica\x00")) {
		n.toldReplicaAt[router] = n.cluster.now()
	}
	return reply, false
}

// cutOffReply returns the messages of a row, and its load report if it has one.
func cutOffReply(reply []byte) (kept []byte) {
	for len(reply) >= messageHeader {
		end := 1 + int(binary.BigEndian.Uint32(reply[1:]))
		message := reply[:end]
		reply = reply[end:]
		switch message[0] {
		case 'T', 'D', 'C':
			kept = append(kept, message...)
		case 'S':
			if bytes.HasPrefix(message[messageHeader:], []byte("load\x00")) {
				kept = append(kept, message...)
			}
		}
	}
	return kept
}

// recordExcuse notes that a command may see older data, if it has reached a former primary in time. The caller holds the lock.
func (n *Node) recordExcuse(id, router string, now int64) {
	if !n.wasPrimary || n.cluster.shards[n.Shard].primary == n {
		return
	}
	if told := n.toldReplicaAt[router]; told == 0 || now <= told+excusedAfterTold {
		n.cluster.excused[id] = true
	}
}
