// Package simwire speaks the bench's text dialect and hosts isolated instances of the decision module.
// It is the only place where the bench's words occur; it decides nothing.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"

	"cairntiller/internal/decimal"
	"cairntiller/internal/routing"
)

const maxSheets = 16

// host is one process: its instances, the numbered lists and the reply being written.
type host struct {
	routers map[string]*outlet
	sheets  [maxSheets][][]byte
	reply   []byte
	fields  [][]byte
	line    int
	clock   int64
}

// outlet writes one instance's actions into the process's reply.
type outlet struct {
	h      *host
	name   string
	router *routing.Router
	dead   bool
	zero   int64
	groups map[string]int
	teams  map[string]int
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{routers: make(map[string]*outlet)}
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	open := false
	var batch string
	var long []byte
	for {
		part, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if len(long) > 0 {
			long = append(long, part...)
			part = long
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if err != nil && len(part) == 0 {
			if open {
				return h.bad("eob", "input ends within a batch")
			}
			return nil
		}
		h.line++
		text := bytes.TrimRight(part, "\r\n")
		h.split(text)
		switch {
		case len(h.fields) == 0:
			return h.bad("message", "empty line")
		case !open:
			if string(h.fields[0]) != "clock" || len(h.fields) < 3 {
				return h.bad("clock", "batch does not start with a clock line")
			}
			if h.clock, err = decimal.Micros(h.fields[1]); err != nil {
				return h.bad("clock", err.Error())
			}
			batch, open = string(h.fields[2]), true
		case string(h.fields[0]) == "eob":
			h.reply = append(append(append(h.reply, "finished "...), batch...), '\n')
			if _, err := w.Write(h.reply); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
			h.reply, open = h.reply[:0], false
		case string(h.fields[0]) == "inventory":
			if err := h.inventory(r); err != nil {
				return err
			}
		default:
			if err := h.event(); err != nil {
				return err
			}
		}
		long = long[:0]
	}
}

func (h *host) bad(field, why string) error {
	return fmt.Errorf("line %d, field %s: %s", h.line, field, why)
}

func (h *host) split(text []byte) {
	h.fields = h.fields[:0]
	for len(text) > 0 {
		i := bytes.IndexByte(text, ' ')
		if i < 0 {
			h.fields = append(h.fields, text)
			return
		}
		h.fields = append(h.fields, text[:i])
		text = text[i+1:]
	}
}

func (h *host) inventory(r *bufio.Reader) error {
	if len(h.fields) < 3 {
		return h.bad("items", "too few fields")
	}
	sheet, err := strconv.Atoi(string(h.fields[1]))
	if err != nil || sheet < 0 || sheet >= maxSheets {
		return h.bad("sheet", "no list number")
	}
	count, err := strconv.Atoi(string(h.fields[2]))
	if err != nil || count < 0 {
		return h.bad("items", "no count")
	}
	rows := make([][]byte, 0, min(count, 1<<16))
	for range count {
		text, err := r.ReadBytes('\n')
		if err != nil {
			return h.bad("items", "input ends within a list")
		}
		h.line++
		if !bytes.HasPrefix(text, []byte("m ")) {
			return h.bad("items", "not a list entry")
		}
		rows = append(rows, bytes.TrimRight(text, "\r\n"))
	}
	h.sheets[sheet] = rows
	return nil
}

// arity is the least number of fields of each event, its name included.
var arity = map[string]int{
	"open_instance": 3, "detach": 2, "peers_known": 5, "req": 11, "started": 6, "result": 9,
	"gone": 3, "elapsed": 3, "checked": 5, "note_from": 4,
}

func (h *host) event() error {
	f := h.fields
	least, known := arity[string(f[0])]
	if !known {
		return h.bad("message", fmt.Sprintf("unknown event %q", f[0]))
	}
	if len(f) < least {
		return h.bad(string(f[0]), "too few fields")
	}
	switch string(f[0]) {
	case "open_instance":
		return h.openInstance(f)
	case "detach":
		delete(h.routers, string(f[1]))
		return nil
	}
	o := h.routers[string(f[1])]
	if o == nil || o.dead {
		return nil
	}
	return o.deliver(f)
}

// deliver hands one event to the module; a panic there becomes the wire's own report of it.
func (o *outlet) deliver(f [][]byte) (err error) {
	defer func() {
		if p := recover(); p != nil {
			o.dead = true
			o.h.reply = fmt.Appendf(o.h.reply, "bail_out %s %q\n", o.name, fmt.Sprint(p))
		}
	}()
	n := reader{h: o.h}
	now, r := o.h.clock, o.router
	switch string(f[0]) {
	case "peers_known":
		return o.list(f, &n)
	case "req":
		group, known := o.groups[string(f[3])]
		if !known {
			return o.h.bad("grade", "unknown class")
		}
		team := -1
		if t, known := o.teams[string(f[4])]; known {
			team = t
		}
		left, shard, since := n.time(f[6], "timeLeft"), n.num(f[8], "clusterNo"), n.time(f[9], "sinceWriteMs")
		if n.num(f[10], "marks"); n.err == nil {
			r.RequestArrived(now, string(f[2]), group, team, text(f[5]), left, int(shard), since)
		}
	case "result":
		what := outcome(n.num(f[5], "result"))
		hop, took, stand := n.num(f[6], "hop"), n.time(f[7], "delaySeen"), n.num(f[8], "stand")
		final := n.num(f[4], "final") != 0
		if n.err != nil {
			return n.err
		}
		role, pos := routing.RoleUnknown, int64(0)
		if stand&3 == 1 || stand&3 == 2 {
			role = routing.Role(stand & 3)
		}
		if stand>>2 > 0 {
			pos = (stand>>2)*1000 + o.zero
		}
		r.ObserveReply(now, string(f[3]), role, pos)
		if len(f) > 9 {
			o.report(now, string(f[3]), f[9], &n)
		}
		if n.err == nil {
			r.AttemptEnded(now, string(f[2]), int(hop), what, took, final)
		}
	case "checked":
		n.time(f[3], "delaySeen")
		what := outcome(n.num(f[4], "result"))
		if len(f) > 5 && n.err == nil {
			o.report(now, string(f[2]), f[5], &n)
		}
		if n.err == nil {
			r.HealthChecked(now, string(f[2]), what)
		}
	case "gone":
		r.ClientGone(now, string(f[2]))
	case "elapsed":
		if _, err := strconv.ParseUint(string(f[2]), 10, 64); err != nil {
			return o.h.bad("cookie", "no number")
		}
		r.TimerFired(now)
	case "note_from": // none is sent yet
		if _, err := hex.DecodeString(text(f[3])); err != nil {
			return o.h.bad("bytes", "no hex digits")
		}
		n.num(f[2], "from")
	}
	return n.err
}

// report passes on the figures that a node tells of itself.
func (o *outlet) report(now int64, node string, pairs []byte, n *reader) {
	for len(pairs) > 0 && string(pairs) != "-" {
		one, rest, _ := bytes.Cut(pairs, []byte(","))
		pairs = rest
		name, value, ok := bytes.Cut(one, []byte(":"))
		if !ok {
			n.fail("healthInfo", "not a pair")
			return
		}
		switch string(name) {
		case "x0":
			if pos := n.seconds(value, "x0"); n.err == nil {
				o.router.ReportedPosition(now, node, pos+o.zero)
			}
		case "x1":
			if lead := n.float(value, "x1"); n.err == nil {
				o.router.ReportedRole(now, node, lead >= 0.5)
			}
		}
	}
}

func (o *outlet) list(f [][]byte, n *reader) error {
	kind := string(f[2])
	if kind == "FAILED" {
		o.router.EndpointListFailed(o.h.clock)
		return nil
	}
	if kind != "FULL" && kind != "SAVED" && kind != "INCREMENTAL" {
		return o.h.bad("kind", "unknown kind of list")
	}
	sheet := n.num(f[4], "sheet")
	if n.err != nil {
		return n.err
	}
	if sheet < 0 || sheet >= maxSheets {
		return o.h.bad("sheet", "no list number")
	}
	now := o.h.clock
	o.router.BeginEndpointList(now, kind != "INCREMENTAL")
	for _, row := range o.h.sheets[sheet] {
		o.h.split(row)
		e := o.h.fields
		if len(e) < 9 {
			return o.h.bad("items", "too few fields in a list entry")
		}
		state := routing.Up
		switch string(e[6]) {
		case "up":
		case "draining":
			state = routing.Draining
		case "removed":
			state = routing.Removed
		default:
			return o.h.bad("availability", "unknown state")
		}
		leads, shard := n.float(e[3], "leads"), n.num(e[5], "cluster")
		started := n.time(e[8], "readyAt")
		if n.err != nil {
			return n.err
		}
		o.router.UpdateEndpoint(now, string(e[1]), text(e[2]), text(e[4]), int(shard), state, leads >= 0.5, started)
	}
	o.router.EndEndpointList(now)
	return nil
}

// reader turns fields into numbers and keeps the first fault.
type reader struct {
	h   *host
	err error
}

func (n *reader) fail(field, why string) {
	if n.err == nil {
		n.err = n.h.bad(field, why)
	}
}

func (n *reader) num(f []byte, field string) int64 {
	if string(f) == "-" {
		return 0
	}
	v, err := strconv.ParseInt(string(f), 10, 64)
	if err != nil {
		n.fail(field, "no whole number")
	}
	return v
}

func (n *reader) float(f []byte, field string) float64 {
	if string(f) == "-" {
		return 0
	}
	v, err := strconv.ParseFloat(string(f), 64)
	if err != nil {
		n.fail(field, "no number")
	}
	return v
}

func (n *reader) time(f []byte, field string) int64 {
	v, err := decimal.Micros(f)
	if err != nil {
		n.fail(field, err.Error())
	}
	return v
}

func (n *reader) seconds(f []byte, field string) int64 {
	v, err := decimal.Scaled(f, 6)
	if err != nil {
		n.fail(field, err.Error())
	}
	return v
}

func text(f []byte) string {
	if string(f) == "-" {
		return ""
	}
	return string(f)
}

// outcome translates the wire's number; an unknown one may have run.
func outcome(v int64) routing.Outcome {
	names := [...]routing.Outcome{routing.Errored, routing.Answered, routing.Rejected, routing.TimedOut, routing.ConnectFailed,
		routing.ConnectionLost, routing.Canceled, routing.NotSent, routing.NotPrimary}
	if v < 0 || int(v) >= len(names) {
		return routing.Errored
	}
	return names[v]
}

func (o *outlet) action(name string) { o.h.reply = fmt.Appendf(o.h.reply, "%s %s", name, o.name) }

func (o *outlet) millis(t int64) {
	o.h.reply = append(o.h.reply, ' ')
	if t < 0 {
		o.h.reply = append(o.h.reply, '-')
		t = -t
	}
	o.h.reply = strconv.AppendInt(o.h.reply, t/1000, 10)
	o.h.reply = append(o.h.reply, '.', byte('0'+t/100%10), byte('0'+t/10%10), byte('0'+t%10))
}

func (o *outlet) word(s string) { o.h.reply = append(append(o.h.reply, ' '), s...) }

func (o *outlet) end() { o.h.reply = append(o.h.reply, '\n') }

// StartAttempt implements routing.Actions.
func (o *outlet) StartAttempt(cmd, node string, timeout, _ int64) { // what is sent here begins at once
	o.action("transmit")
	o.word(cmd)
	o.word(node)
	o.millis(timeout)
	o.end()
}

// RejectWithRetry implements routing.Actions.
func (o *outlet) RejectWithRetry(cmd string, retryIn int64) {
	o.action("not_now")
	o.word(cmd)
	o.millis(retryIn)
	o.end()
}

// Fail implements routing.Actions.
func (o *outlet) Fail(cmd string) {
	o.action("report_failure")
	o.word(cmd)
	o.end()
}

// CancelAttempt implements routing.Actions.
func (o *outlet) CancelAttempt(cmd string, dispatch int) {
	o.action("withdraw")
	o.word(cmd)
	o.h.reply = strconv.AppendInt(append(o.h.reply, ' '), int64(dispatch), 10)
	o.end()
}

// SetTimer implements routing.Actions; the module has one kind of timer, so the wire's cookie is always 0.
func (o *outlet) SetTimer(in int64) {
	o.action("timer")
	o.millis(in)
	o.word("0")
	o.end()
}

// CheckHealth implements routing.Actions.
func (o *outlet) CheckHealth(node string) {
	o.action("probe")
	o.word(node)
	o.end()
}

// ForgetNode implements routing.Actions; the wire has no word for it.
func (o *outlet) ForgetNode(string) {}

// StopNewAttempts implements routing.Actions; nothing waits on this wire.
func (o *outlet) StopNewAttempts(string) {}

// CloseIdleConnections implements routing.Actions.
func (o *outlet) CloseIdleConnections(node string) {
	o.action("drop_conns")
	o.word(node)
	o.end()
}

// WatchEndpoints implements routing.Actions.
func (o *outlet) WatchEndpoints() {
	o.action("keep_informed")
	o.word("1")
	o.end()
}
