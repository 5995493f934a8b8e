// Package frontend is the client side: it takes connections and commands, and gives each command its one
// answer, in the order in which they came on their connection.
package frontend

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"cairntiller/internal/inflight"
	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/stream"
)

const (
	mostQuery   = 160_000   // bytes in one message: a value of 64 KiB in hex, and a statement
	mostStartup = 10_000    // bytes in an opening message, as PostgreSQL has it
	mostPiped   = 64        // commands in hand on one connection: some clients send many before they read
	mostOwed    = 128       // answers owed on one connection, our own errors among them; then it ends behind them
	heldPart    = 8         // part of the memory limit, one in so many, for commands and answers in hand
	begunPart   = 16        // the same for messages that have begun
	proveWait   = 2_200_000 // us for a connection's first command, and for a begun message to come whole: a
	// connection without a command may be closed after 2 s, and one that is of no use is owed an end within 3 s
	greetWait = 100_000   // us in which a usual client's first command has come, also where this router had no core
	idleWait  = 2_000_000 // us without a command after which a connection may be closed
	idlePart  = 16        // of the places, one in so many, that may stand idle for longer: whoever asked once and
	// stays holds a place that others need, at this router and in their own limits
	endingPart = 16                     // of the descriptors, one in so many, for connections that have ended and are read on
	sweepEvery = 100 * time.Millisecond // between looks for those: a twentieth of the wait
)

var (
	accepted  = metrics.New("client connections")
	evicted   = metrics.New("client connections evicted")
	turned    = metrics.New("client connections over limit")
	crowded   = metrics.New("commands over what is in hand")
	parted    = metrics.New("client connections long idle")
	silent    = metrics.New("client connections of no use")
	malformed = metrics.New("client streams malformed")
	unread    = metrics.New("queries refused")
	empties   = metrics.New("empty queries")
	crossed   = metrics.New("reads after our end")
	cancelled = metrics.New("commands cancelled")
	strangers = metrics.New("cancels without a command")
	parting   = metrics.New("commands while leaving")
)

// Front takes clients' connections.
type Server struct {
	now       func() int64
	taker     inflight.Intake
	groups    map[string]int
	tenants   map[string]int
	most      int   // connections at once
	mostEnded int   // more of them for those that have ended
	mostIdle  int   // of them that may stand idle for long
	mostHeld  int64 // bytes of commands and answers in hand on all of them
	mostBegun int64 // bytes of begun messages on all of them
	ready     atomic.Bool
	held      atomic.Int64
	begun     atomic.Int64

	ending atomic.Bool

	mu    sync.Mutex
	conns map[uint32]*conn // by number
	next  uint32
}

// New makes a front that knows command groups and tenants by name; it holds so many connections at most, and
// a part of so many bytes of memory.
func New(now func() int64, taker inflight.Intake, groups, tenants map[string]int, most int, memory int64) *Server {
	ended := most / endingPart
	return &Server{now: now, taker: taker, groups: groups, tenants: tenants, most: most - ended, mostEnded: ended, mostIdle: most / idlePart,
		mostHeld: memory / heldPart, mostBegun: memory / begunPart, conns: map[uint32]*conn{}}
}

// Open tells that commands can be taken from now on.
func (f *Server) SetReady() { f.ready.Store(true) }

// Serve takes connections; it returns only when that fails.
func (f *Server) Serve(ln net.Listener) error {
	loop, err := netpoll.NewEventLoop(func(context.Context, netpoll.Connection) error { return nil },
		netpoll.WithOnPrepare(func(c netpoll.Connection) context.Context {
			f.admit(c)
			return context.Background()
		}))
	if err != nil {
		return err
	}
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	go func() {
		for range sweep.C {
			f.sweep()
		}
	}()
	return loop.Serve(ln)
}

// admit takes a connection. At the limit another makes room, by rank; none with a command is ended. Guards against
// those who connect and ask nothing, and those who asked once and stay.
func (f *Server) admit(nc netpoll.Connection) {
	accepted.Add()
	c := &conn{front: f, split: pgwire.NewSplitter(mostStartup, true), stream: stream.New(nc)}
	var secret [4]byte
	rand.Read(secret[:])
	c.secret = binary.BigEndian.Uint32(secret[:])
	c.turn(fresh)
	f.mu.Lock()
	f.next++
	c.number = f.next
	out, ended, over := f.room()
	f.conns[c.number] = c
	f.mu.Unlock()
	if ended != nil {
		ended.stream.Close()
	}
	if out != nil {
		evicted.Add()
		out.evict()
	}
	c.stream.Start(stream.Events{Received: c.bytes, Closed: c.ended})
	if over {
		turned.Add()
		c.refuse(true, pgwire.CodeRejected, "too many connections")
	}
}

// room names the connection that has to end for one more, and one that has ended and must be closed for it; over
// tells that there is no place. Called under the lock.
func (f *Server) room() (out, ended *conn, over bool) {
	if len(f.conns) < f.most {
		return nil, nil, false
	}
	now, living, least := f.now(), 0, rankBusy
	older := func(a, b *conn) bool { return b == nil || a.since.Load() < b.since.Load() }
	for _, c := range f.conns {
		if c.phase.Load() == gone {
			if older(c, ended) {
				ended = c
			}
			continue
		}
		living++
		if r := c.rank(now - c.since.Load()); r < least || r == least && r < rankBusy && older(c, out) {
			out, least = c, r
		}
	}
	if len(f.conns) < f.most+f.mostEnded { // what was said last on those that have ended may not be read yet
		ended = nil
	}
	if living < f.most {
		out = nil
	}
	return out, ended, living >= f.most && out == nil
}

// all lists the connections.
func (f *Server) all() []*conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*conn, 0, len(f.conns))
	for _, c := range f.conns {
		all = append(all, c)
	}
	return all
}

// sweep ends connections of no use: without a command from the start, or with a message that does not get whole,
// and the longest idle where too many are.
func (f *Server) sweep() {
	now := f.now()
	var idle []*conn
	for _, c := range f.all() {
		p, age, at := c.phase.Load(), now-c.since.Load(), c.begunAt.Load()
		if p == fresh && age > proveWait || p != gone && at > 0 && now-at > proveWait {
			silent.Add()
			c.begunAt.Store(0)
			c.refuse(true, pgwire.CodeIdle, "nothing whole came in time")
		} else if p == calm && age > idleWait {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *conn) int { return cmp.Compare(a.since.Load(), b.since.Load()) })
	for _, c := range idle[:max(0, len(idle)-f.mostIdle)] {
		parted.Add()
		c.endBetween()
	}
}

// End closes connections as soon as nothing is owed on them; what still comes behind that is turned away.
func (f *Server) BeginDrain() {
	f.ending.Store(true)
	for _, c := range f.all() {
		c.endBetween()
	}
}

// Wait returns once clients have ended all connections, but for so long at most behind the last answer's leave; and
// until the last answers have left only up to a time.
func (f *Server) WaitClosed(most time.Duration, until time.Time) {
	for end := time.Now().Add(most); ; time.Sleep(5 * time.Millisecond) {
		now := time.Now()
		all := f.all()
		for _, c := range all {
			if !c.stream.WriteSideClosed() && c.phase.Load() != fresh { // who never asked anything is owed nothing
				end = now.Add(most)
			}
		}
		if len(all) == 0 || now.After(end) || now.After(until) {
			return
		}
	}
}

// cancel ends the command in hand on a connection, by the key that its client was told: its client has given it up.
func (f *Server) cancel(process, secret uint32, asked int64) {
	f.mu.Lock()
	c := f.conns[process]
	f.mu.Unlock()
	if c == nil || c.secret != secret || !c.cancel(asked) {
		strangers.Add()
	}
}

// phase is how far a connection has come.
type phase = int32

const (
	gone  phase = iota // our side has ended or is about to
	fresh              // no command has come yet
	calm               // it has had commands, and none is in hand
	busy
)

// conn is one client's connection.
type conn struct {
	front   *Server
	stream  *stream.Stream
	number  uint32
	secret  uint32 // who knows it may cancel the connection's commands
	phase   atomic.Int32
	since   atomic.Int64 // when it came to that
	begunAt atomic.Int64 // when a message began that is not whole yet, 0 for none

	split   *pgwire.Splitter // reader's goroutine
	started bool
	asked   bool  // it has asked for encryption
	begun   int64 // bytes of a message that is not whole yet

	mu     sync.Mutex
	slots  []*slot // answers owed, in the order of their commands
	closed bool    // our side has ended or is about to: nothing more is taken
}

// slot is the place of one answer.
type slot struct {
	x     *inflight.Request
	at    int64 // when its command came
	bytes []byte
	fatal bool
}

// turn notes that the connection comes to a phase.
func (c *conn) turn(p phase) {
	c.since.Store(c.front.now())
	c.phase.Store(p)
}

const rankBusy = 3

// rank tells how soon the connection makes room for another, having been in its phase for so long: those that had
// their time for a first command, then the long idle. Newcomers rank behind these, or a crowd of idle ones would leave
// them one place, where each ends the one before.
func (c *conn) rank(age int64) int {
	switch p := c.phase.Load(); {
	case p == fresh && age > greetWait:
		return 0
	case p == calm && age > idleWait:
		return 1
	case p == fresh:
		return 2
	}
	return rankBusy
}

// evict ends the connection for another, unless a command has come meanwhile.
func (c *conn) evict() {
	switch c.phase.Load() {
	case fresh:
		c.refuse(true, pgwire.CodeRejected, "too many connections")
	case calm:
		c.endBetween()
	}
}

// bytes takes what arrives.
func (c *conn) bytes(p []byte) {
	at := c.front.now()
	if !c.over() {
		c.split.Feed(p)
	}
	for !c.over() {
		f, whole, err := c.split.Next()
		if err != nil {
			malformed.Add()
			c.refuse(true, pgwire.CodeProtocol, err.Error())
			break
		}
		if !whole {
			c.hold(at, int64(c.split.Buffered()))
			return
		}
		c.begunAt.Store(0)
		if c.started {
			c.message(at, f)
		} else {
			c.open(f)
		}
	}
	crossed.Add() // read on, so that what was written arrives, but kept no more
	c.split = nil
	c.hold(at, 0)
}

// over tells whether our side has ended or is about to; it stays so.
func (c *conn) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// hold notes how much has come of a message that is not whole. Where all such together are too much, whoever
// holds more than an even part of it goes.
func (c *conn) hold(at, left int64) {
	f := c.front
	all := f.begun.Add(left - c.begun)
	c.begun = left
	if left == 0 {
		c.begunAt.Store(0)
	} else if c.begunAt.CompareAndSwap(0, at); all > f.mostBegun && left > f.mostBegun/int64(f.most) {
		turned.Add()
		c.refuse(true, pgwire.CodeRejected, "too much in hand")
		c.hold(at, 0)
	}
}

// open takes the messages before a connection is up.
func (c *conn) open(f pgwire.Frame) {
	switch opening := pgwire.DecodeOpening(f); {
	case opening == pgwire.OpenEncrypted && !c.asked:
		c.asked = true // "N": no; what follows is a startup in the clear
		c.stream.Write([]byte{'N'}, nil)
	case opening == pgwire.OpenCancel:
		if process, secret, ok := pgwire.DecodeCancel(f); ok {
			c.front.cancel(process, secret, c.since.Load())
		}
		c.local(nil, true) // nothing is ever said to one
	case opening == pgwire.OpenStartup || opening == pgwire.OpenStartupNewer:
		c.started = true
		c.split.ExpectTyped(mostQuery)
		c.stream.Write(pgwire.AppendWelcome(nil, opening == pgwire.OpenStartupNewer, c.number, c.secret), nil)
	default:
		malformed.Add()
		c.refuse(true, pgwire.CodeUnsupported, "unsupported frontend protocol")
	}
}

// message takes one message of a connection that is up.
func (c *conn) message(at int64, f pgwire.Frame) {
	switch f.Type {
	case 'Q':
		statement, ok := pgwire.DecodeQuery(f)
		if !ok {
			malformed.Add()
			c.refuse(true, pgwire.CodeProtocol, "invalid string in message")
			return
		}
		c.query(at, statement)
	case 'X':
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.stream.Close()
	case 'P', 'B', 'E', 'D', 'C', 'F', 'd', 'c', 'f':
		unread.Add()
		c.refuse(false, pgwire.CodeUnsupported, "only simple queries are supported")
	case 'S', 'H': // what follows the refused messages above
		c.local(pgwire.AppendReady(nil), false)
	default:
		malformed.Add()
		c.refuse(true, pgwire.CodeProtocol, "invalid frontend message type")
	}
}

// query takes a command.
func (c *conn) query(at int64, statement []byte) {
	if !c.front.ready.Load() {
		c.refuse(false, pgwire.CodeNotReady, "the router is starting up")
		return
	}
	if pgwire.IsEmptyQuery(statement) {
		empties.Add()
		c.local(pgwire.AppendEmpty(nil), false)
		return
	}
	cmd, err := pgwire.DecodeCommand(statement)
	group, known := 0, false
	tenant := -1
	if err == nil {
		if group, known = c.front.groups[cmd.Group]; !known {
			err = &pgwire.FieldError{Code: pgwire.CodeValue, Field: "c", Why: "unknown"}
		} else if cmd.Tenant != "" {
			if tenant, known = c.front.tenants[cmd.Tenant]; !known {
				err = &pgwire.FieldError{Code: pgwire.CodeValue, Field: "t", Why: "unknown"}
			}
		}
	}
	if err != nil {
		unread.Add()
		code := pgwire.CodeValue
		var field *pgwire.FieldError
		if errors.As(err, &field) {
			code = field.Code
		}
		slog.Debug("query refused", "err", err)
		c.refuse(false, code, err.Error())
		return
	}
	x := inflight.NewRequest(cmd, c, group, tenant, at)
	c.mu.Lock()
	if c.closed { // it was ended for another while this was read: an answer could not be given any more
		c.mu.Unlock()
		crossed.Add()
		return
	}
	// What comes behind other answers must not keep a router that leaves; who has just come is served once.
	leaving := c.front.ending.Load() && c.phase.Load() != fresh
	room := !leaving && len(c.slots) < mostPiped && c.front.held.Load() < c.front.mostHeld
	if room {
		c.turn(busy)
		c.front.held.Add(int64(cmd.Size()))
		c.slots = append(c.slots, &slot{x: x, at: at})
	}
	c.mu.Unlock()
	if room {
		c.front.taker.Submit(at, x)
	} else if leaving {
		parting.Add()
		c.refuse(false, pgwire.CodeNotReady, "the router is leaving; nothing was done")
	} else {
		crowded.Add()
		c.refuse(false, pgwire.CodeRejected, "too many commands in hand")
	}
}

// refuse answers with an error of the router's own; a fatal one ends the connection.
func (c *conn) refuse(fatal bool, code, message string) {
	c.local(pgwire.AppendError(nil, fatal, code, message, 0), fatal)
}

// local answers without a node, in its turn.
func (c *conn) local(p []byte, fatal bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if !fatal && len(c.slots) >= mostOwed {
		turned.Add()
		p, fatal = pgwire.AppendError(nil, true, pgwire.CodeRejected, "too many answers owed", 0), true
	}
	if fatal {
		c.closed = true
		if len(c.slots) == 0 {
			c.turn(gone)
		}
	}
	c.slots = append(c.slots, &slot{bytes: p, fatal: fatal})
	c.flush()
}

// flush writes the answers that are next in turn. While the router leaves, the last one owed is the last of the
// connection; a welcome is none, for one that has just come up may bring its command with its startup. Called under
// the lock.
func (c *conn) flush() {
	wrote := false
	for len(c.slots) > 0 && (c.slots[0].bytes != nil || c.slots[0].fatal) {
		s := c.slots[0]
		c.slots = c.slots[1:]
		wrote = true
		if s.bytes != nil {
			n := int64(len(s.bytes))
			c.front.held.Add(n)
			c.stream.Write(s.bytes, func(error) { c.front.held.Add(-n) })
		}
		if s.fatal {
			c.turn(gone)
			c.stream.CloseGracefully()
			return
		}
	}
	if len(c.slots) == 0 && c.phase.Load() == busy {
		c.turn(calm)
	}
	if wrote && c.front.ending.Load() {
		c.endIfDone()
	}
}

// endBetween ends our side if nothing is owed on it.
func (c *conn) endBetween() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endIfDone()
}

// endIfDone ends our side between commands. Called under the lock.
func (c *conn) endIfDone() {
	if len(c.slots) == 0 && !c.closed {
		c.closed = true
		c.turn(gone)
		c.stream.CloseGracefully()
	}
}

// fill puts a command's answer in its place.
func (c *conn) fill(x *inflight.Request, p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.slots {
		if s.x == x && s.bytes == nil {
			s.bytes = p
			c.front.held.Add(-int64(x.Command.Size()))
		}
	}
	c.flush()
}

// cancel ends the command that is next to be answered, where it had come before the cancel's connection did: one that
// came later is not meant, for its client has had the answer that the cancel crossed. It tells whether there was one.
func (c *conn) cancel(asked int64) bool {
	c.mu.Lock()
	if len(c.slots) == 0 || c.slots[0].x == nil || c.slots[0].at >= asked {
		c.mu.Unlock()
		return false
	}
	s := c.slots[0]
	s.bytes = pgwire.AppendError(nil, false, pgwire.CodeCanceled, "canceling statement due to user request", 0)
	c.front.held.Add(-int64(s.x.Command.Size()))
	c.flush()
	c.mu.Unlock()
	cancelled.Add()
	c.front.taker.ClientGone(c.front.now(), s.x)
	return true
}

// Here implements inflight.Client.
func (c *conn) Connected() bool {
	if c.stream.PeerPresent() {
		return true
	}
	c.leave(c.front.now())
	return false
}

// Answer implements inflight.Client.
func (c *conn) Answer(x *inflight.Request, value []byte) { c.fill(x, pgwire.AppendReady(value)) }

// Throttle implements inflight.Client.
func (c *conn) Reject(x *inflight.Request, wait int64) {
	c.fill(x, pgwire.AppendError(nil, false, pgwire.CodeRejected, "not now; nothing was done", wait))
}

// Fail implements inflight.Client.
func (c *conn) Fail(x *inflight.Request) {
	c.fill(x, pgwire.AppendError(nil, false, pgwire.CodeFailed, "the command failed", 0))
}

// ended is told when the connection has ended: whoever waited on it has gone.
func (c *conn) ended() {
	at := c.front.now()
	c.front.mu.Lock()
	delete(c.front.conns, c.number)
	c.front.mu.Unlock()
	c.hold(at, 0)
	c.leave(at)
}

// leave gives up what the client is owed, for it has gone.
func (c *conn) leave(at int64) {
	c.mu.Lock()
	c.closed = true
	owed := c.slots
	c.slots = nil
	c.mu.Unlock()
	for _, s := range owed {
		if s.x != nil {
			if s.bytes == nil {
				c.front.held.Add(-int64(s.x.Command.Size()))
			}
			c.front.taker.ClientGone(at, s.x)
		}
	}
}
