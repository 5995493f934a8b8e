package database

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"cairntiller/internal/pgwire"
)

// maxMessageBytes bounds the size of a message from a router to a node.
const maxMessageBytes = 1 << 18

// coldSpeed is the share of its full speed at which a restarted node begins its warm-up.
const coldSpeed = 0.2

// readyForQuery is the encoded ReadyForQuery message that ends each reply.
const readyForQuery = "Z\x00\x00\x00\x05I"

// serve handles one connection until it is closed: it completes the startup, then sends one reply per query.
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
			reply, isCutOff := n.passThroughNetwork(reply, routerOf(frame.Body))
			if _, err := conn.Write(reply); err != nil {
				return
			}
			if isCutOff {
				resetConnection(conn)
				return
			}
		}
	}
}

// handleFrame returns the reply to one message, nil if the node sends none. ok is false if the connection must be closed.
func (n *Node) handleFrame(splitter *pgwire.FrameDecoder, frame pgwire.Frame, started *bool) (reply []byte, ok bool) {
	if !*started {
		*started = true
		splitter.ExpectTyped(maxMessageBytes)
		if n.isHung() {
			return nil, true
		}
		time.Sleep(n.startupDelay())
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

// answer returns the reply to a query. ok is false if the node sends no reply.
func (n *Node) answer(statement string) (reply []byte, ok bool) {
	if statement == "SHOW load" {
		return n.answerProbe()
	}
	cmd, err := pgwire.DecodeCommand([]byte(statement))
	if err != nil {
		n.cluster.mu.Lock()
		defer n.cluster.mu.Unlock()
		n.cluster.recordViolation("node %s received a statement that can't be decoded: %v", n.Name, err)
		return pgwire.AppendError(nil, false, pgwire.CodeProtocolViolation, "unreadable", 0), true
	}
	work, queued, rejection := n.enqueue(cmd, statement)
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
		return pgwire.AppendError(nil, false, "XX000", "injected error", 0), true
	}
	return n.execute(cmd, statement)
}

// answerProbe records the arrival time of a probe and returns the load report.
func (n *Node) answerProbe() (reply []byte, ok bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.probeTimes = append(n.probeTimes, n.cluster.now())
	return append(encodeRow(n.loadReport(), "SHOW"), readyForQuery...), !n.hung && !n.ignoresProbes
}

// enqueue admits a command and returns its processing time. If the command isn't queued, rejection is the reply to it, nil if
// the node sends none.
func (n *Node) enqueue(cmd *pgwire.Command, statement string) (work time.Duration, queued bool, rejection []byte) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	now := n.cluster.now()
	n.commandCount++
	if isWrite(statement) {
		n.cluster.arrivals[cmd.ID] = now
	}
	if n.drainingSince > 0 && now > n.drainingSince+n.cluster.drainGrace {
		n.cluster.recordViolation("node %s received command %s %d us after the start of its drain", n.Name, cmd.ID, now-n.drainingSince)
	}
	if n.hung {
		return 0, false, nil
	}
	if n.queued >= maxQueued {
		return 0, false, pgwire.AppendError(nil, false, pgwire.CodeRejected, "too many queued commands", 0)
	}
	n.queued++
	n.recordExcuse(cmd.ID, routerOf([]byte(statement)), now)
	return n.commandDuration(now), true, nil
}

// commandDuration returns the processing time of a command that starts now. During the warm-up, the speed rises linearly from
// coldSpeed to the full speed.
func (n *Node) commandDuration(now int64) time.Duration {
	age := now - n.startedAt
	if n.warmUp == 0 || age >= n.warmUp {
		return n.workPerCommand
	}
	speed := coldSpeed + (1-coldSpeed)*float64(age)/float64(n.warmUp)
	return time.Duration(float64(n.workPerCommand) / speed)
}

// execute executes a command, an INSERT or a SELECT of the session's row, and returns the reply. The caller holds the lock.
func (n *Node) execute(cmd *pgwire.Command, statement string) ([]byte, bool) {
	s := n.cluster.shards[n.Shard]
	pos := n.appliedPosition()
	if !isWrite(statement) {
		value := "none"
		for _, entry := range s.log[cmd.Session] {
			if entry.position <= pos {
				value = entry.value
			}
		}
		return n.appendStatus(encodeRow(value, "SELECT 1"), s.primary == n, pos), true
	}
	if s.primary != n {
		miss := bytes.TrimSuffix(pgwire.AppendError(nil, false, pgwire.CodeNoPrimary, "no primary", 0), []byte(readyForQuery))
		return n.appendStatus(miss, false, pos), true
	}
	if n.cluster.executions[cmd.ID]++; n.cluster.executions[cmd.ID] > 1 {
		n.cluster.recordViolation("command %s was executed %d times", cmd.ID, n.cluster.executions[cmd.ID])
	}
	value := lastQuotedText(statement)
	pos = max(pos, n.cluster.now())
	s.position = max(s.position, pos)
	s.log[cmd.Session] = append(s.log[cmd.Session], write{pos, value})
	return n.appendStatus(encodeRow(value, "INSERT 0 1"), true, pos), true
}

// isWrite reports whether a statement is an INSERT, behind its leading comment.
func isWrite(statement string) bool {
	_, text, _ := strings.Cut(statement, "*/")
	return strings.HasPrefix(strings.TrimSpace(text), "INSERT")
}

// lastQuotedText returns the last text in single quotes in a statement, "" if there is none.
func lastQuotedText(statement string) string {
	end := strings.LastIndexByte(statement, '\'')
	if end < 0 {
		return ""
	}
	start := strings.LastIndexByte(statement[:end], '\'')
	return statement[start+1 : end]
}

// loadReport returns the node's load report: its applied position in seconds since the Unix epoch (x0), whether it is the
// primary (x1), and the length of its queue.
func (n *Node) loadReport() string {
	pos, primary := n.appliedPosition(), 0
	if n.cluster.shards[n.Shard].primary == n {
		primary = 1
	}
	return fmt.Sprintf("x0=%d.%06d,x1=%d,inflight=%d", pos/1e6, pos%1e6, primary, n.queued)
}

// appendStatus appends the ParameterStatus messages that report the node's state, and the ReadyForQuery that ends the reply.
func (n *Node) appendStatus(reply []byte, isPrimary bool, pos int64) []byte {
	role := "replica"
	if isPrimary {
		role = "primary"
	}
	for _, parameter := range [][2]string{{"role", role}, {"applied_ms", strconv.FormatFloat(float64(pos)/1000, 'f', 3, 64)},
		{"load", n.periodicLoadReport()}} {
		reply = pgwire.Frame{Type: 'S', Body: []byte(parameter[0] + "\x00" + parameter[1] + "\x00")}.Append(reply)
	}
	return append(reply, readyForQuery...)
}

// encodeRow encodes a result of one row with one column: RowDescription, DataRow and CommandComplete.
func encodeRow(value, tag string) []byte {
	row := pgwire.Frame{Type: 'T', Body: []byte("\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")}.Append(nil)
	size := len(value)
	body := append([]byte{0, 1, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)}, value...)
	row = pgwire.Frame{Type: 'D', Body: body}.Append(row)
	return pgwire.Frame{Type: 'C', Body: []byte(tag + "\x00")}.Append(row)
}
