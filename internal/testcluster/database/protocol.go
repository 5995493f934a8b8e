package database

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"cairntiller/internal/pgwire"
)

// maxMessageBytes bounds what a router may send a node in one message.
const maxMessageBytes = 1 << 18

// coldSpeed is the share of its speed that a node has as it starts to warm up.
const coldSpeed = 0.2

// readyForQuery is the message that ends each reply.
const readyForQuery = "Z\x00\x00\x00\x05I"

// serve answers one connection until it ends: a welcome to the startup message, then one reply a query.
func (n *Node) serve(conn net.Conn) {
	splitter := pgwire.NewFrameDecoder(maxMessageBytes, true)
	buf := make([]byte, 1<<14)
	started := false
	for {
		size, err := conn.Read(buf)
		if err != nil {
			return
		}
		splitter.Feed(buf[:size])
		for {
			frame, complete, err := splitter.Next()
			if err != nil {
				return
			}
			if !complete {
				break
			}
			reply, ok := n.handleFrame(splitter, frame, &started)
			if !ok {
				return
			}
			if len(reply) == 0 {
				continue
			}
			if _, err := conn.Write(reply); err != nil {
				return
			}
		}
	}
}

// handleFrame returns the reply to one message, nil where the node hangs; ok is false where the connection has to end.
func (n *Node) handleFrame(splitter *pgwire.FrameDecoder, frame pgwire.Frame, started *bool) (reply []byte, ok bool) {
	if !*started {
		*started = true
		splitter.ExpectTyped(maxMessageBytes)
		if n.isHung() {
			return nil, true
		}
		return pgwire.AppendStartupResponse(nil, false, 1, 0), true
	}
	statement, ok := pgwire.DecodeQuery(frame)
	if frame.Type != 'Q' || !ok {
		return nil, false
	}
	reply, answered := n.answer(string(statement))
	if !answered {
		return nil, true
	}
	return reply, true
}

// answer returns the reply to a query; ok is false where the node says nothing at all.
func (n *Node) answer(statement string) (reply []byte, ok bool) {
	if statement == "SHOW load" {
		return n.answerProbe()
	}
	cmd, err := pgwire.DecodeCommand([]byte(statement))
	if err != nil {
		n.cluster.mu.Lock()
		defer n.cluster.mu.Unlock()
		n.cluster.recordViolation("node %s got a statement that no client sent: %v", n.Name, err)
		return pgwire.AppendError(nil, false, pgwire.CodeProtocolViolation, "unreadable", 0), true
	}
	work, queued, rejection := n.enqueue(cmd)
	if !queued {
		return rejection, rejection != nil
	}
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

// answerProbe returns the load report, and notes when it was asked for.
func (n *Node) answerProbe() (reply []byte, ok bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.probeTimes = append(n.probeTimes, n.cluster.now())
	return append(encodeRow(n.loadReport(), "SHOW"), readyForQuery...), !n.hung && !n.ignoresProbes
}

// enqueue takes a command in and returns the work that it makes. Where the command isn't queued, the rejection is its reply,
// nil where the node says nothing.
func (n *Node) enqueue(cmd *pgwire.Command) (work time.Duration, queued bool, rejection []byte) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	now := n.cluster.now()
	n.queryCount++
	if n.drainingSince > 0 && now > n.drainingSince+n.cluster.drainGrace {
		n.cluster.recordViolation("node %s got %s %d us after its drain began", n.Name, cmd.ID, now-n.drainingSince)
	}
	if n.hung {
		return 0, false, nil
	}
	if n.queued >= maxQueued {
		return 0, false, pgwire.AppendError(nil, false, pgwire.CodeRejected, "too much to do", 0)
	}
	n.queued++
	return n.workNow(now), true, nil
}

// workNow is the time that a command takes at the node now: a node that warms up begins at a fifth of its speed.
func (n *Node) workNow(now int64) time.Duration {
	age := now - n.startedAt
	if n.warmUp == 0 || age >= n.warmUp {
		return n.workPerCommand
	}
	speed := coldSpeed + (1-coldSpeed)*float64(age)/float64(n.warmUp)
	return time.Duration(float64(n.workPerCommand) / speed)
}

// execute runs a command as its text says; the caller holds the lock.
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

// lastQuotedText returns the last quoted text of a statement.
func lastQuotedText(s string) string {
	end := strings.LastIndexByte(s, '\'')
	if end < 0 {
		return ""
	}
	from := strings.LastIndexByte(s[:end], '\'')
	return s[from+1 : end]
}

// loadReport is what the node reports of itself: its position in Unix seconds, whether it is primary, and its queue.
func (n *Node) loadReport() string {
	pos, lead := n.appliedPosition(), 0
	if n.cluster.shards[n.Shard].primary == n {
		lead = 1
	}
	return fmt.Sprintf("x0=%d.%06d,x1=%d,inflight=%d", pos/1e6, pos%1e6, lead, n.queued)
}

// appendStatus adds the parameter statuses beside an answer, and the end of the reply.
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

// encodeRow encodes a result of one row with one column.
func encodeRow(value, tag string) []byte {
	out := pgwire.Frame{Type: 'T', Body: []byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")}.Append(nil)
	size := len(value)
	body := append([]byte{0, 1, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)}, value...)
	out = pgwire.Frame{Type: 'D', Body: body}.Append(out)
	return pgwire.Frame{Type: 'C', Body: []byte(tag + "\x00")}.Append(out)
}
