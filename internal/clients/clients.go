// Package clients is the client side: it takes connections and commands, and gives each command its one
// answer, in the order in which they came on their connection.
package clients

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"cairntiller/internal/counters"
	"cairntiller/internal/exchange"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/stream"
)

const (
	mostQuery   = 160_000 // bytes in one message: a value of 64 KiB in hex, and a statement
	mostStartup = 10_000  // bytes in an opening message, as PostgreSQL has it
	mostPiped   = 64      // commands in hand on one connection; our clients send the next after the answer
	mostHeld    = 1 << 25 // bytes of commands in hand on all connections: a sixth of the least memory we are given
)

var (
	accepted  = counters.New("client connections")
	turned    = counters.New("client connections over limit")
	malformed = counters.New("client streams malformed")
	unread    = counters.New("queries refused")
	empties   = counters.New("empty queries")
	crossed   = counters.New("bytes after our end")
)

// Front takes clients' connections.
type Front struct {
	now     func() int64
	taker   exchange.Taker
	groups  map[string]int
	tenants map[string]int
	most    int // connections at once
	ready   atomic.Bool
	held    atomic.Int64 // bytes of commands in hand

	ending atomic.Bool

	mu    sync.Mutex
	conns map[*conn]bool
	next  uint32
}

// New makes a front that knows command groups and tenants by name.
func New(now func() int64, taker exchange.Taker, groups, tenants map[string]int, most int) *Front {
	return &Front{now: now, taker: taker, groups: groups, tenants: tenants, most: most, conns: map[*conn]bool{}}
}

// Open tells that commands can be taken from now on.
func (f *Front) Open() { f.ready.Store(true) }

// Serve takes connections; it returns only when that fails.
func (f *Front) Serve(ln net.Listener) error {
	loop, err := netpoll.NewEventLoop(func(context.Context, netpoll.Connection) error { return nil },
		netpoll.WithOnPrepare(func(c netpoll.Connection) context.Context {
			f.admit(c)
			return context.Background()
		}))
	if err != nil {
		return err
	}
	return loop.Serve(ln)
}

func (f *Front) admit(nc netpoll.Connection) {
	accepted.Add()
	c := &conn{front: f, split: pgwire.NewSplitter(mostStartup, true), stream: stream.New(nc)}
	f.mu.Lock()
	f.next++
	c.number = f.next
	f.conns[c] = true
	c.over = len(f.conns) > f.most
	if c.over { // one that has nothing to do can be opened again; none with a command is ended
		for other := range f.conns {
			if other != c && other.calm.Load() {
				defer other.endBetween()
				c.over = false
				break
			}
		}
	}
	f.mu.Unlock()
	c.stream.Start(stream.Events{Bytes: c.bytes, Ended: c.ended})
}

// End closes connections as soon as nothing is owed on them; what still comes on others is taken.
func (f *Front) End() {
	f.ending.Store(true)
	f.mu.Lock()
	all := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		all = append(all, c)
	}
	f.mu.Unlock()
	for _, c := range all {
		c.endBetween()
	}
}

// Wait returns once all connections have ended, or after a time.
func (f *Front) Wait(most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		n := len(f.conns)
		f.mu.Unlock()
		if n == 0 {
			return
		}
	}
}

// conn is one client's connection.
type conn struct {
	front  *Front
	stream *stream.Stream
	number uint32
	over   bool        // beyond the limit: it is turned away as soon as it asks
	calm   atomic.Bool // it is up, and no answer is owed on it

	split   *pgwire.Splitter // reader's goroutine
	started bool
	asked   bool // it has asked for encryption

	mu     sync.Mutex
	slots  []*slot // answers owed, in the order of their commands
	closed bool    // our side has ended or is about to: nothing more is taken
}

// slot is the place of one answer.
type slot struct {
	x     *exchange.Exchange
	bytes []byte
	fatal bool
}

// bytes takes what arrives.
func (c *conn) bytes(p []byte) {
	at := c.front.now()
	c.split.Feed(p)
	for {
		c.mu.Lock()
		closed := c.closed
		c.mu.Unlock()
		if closed {
			crossed.Add()
			return
		}
		f, whole, err := c.split.Next()
		if err != nil {
			malformed.Add()
			c.refuse(true, pgwire.CodeProtocol, err.Error())
			return
		}
		if !whole {
			return
		}
		if c.started {
			c.message(at, f)
		} else {
			c.open(f)
		}
	}
}

// open takes the messages before a connection is up.
func (c *conn) open(f pgwire.Frame) {
	switch opening := pgwire.DecodeOpening(f); {
	case opening == pgwire.OpenEncrypted && !c.asked:
		c.asked = true // "N": no; what follows is a startup in the clear
		c.stream.Write([]byte{'N'}, nil)
	case opening == pgwire.OpenCancel:
		c.local(nil, true)
	case opening == pgwire.OpenStartup || opening == pgwire.OpenStartupNewer:
		if c.over {
			turned.Add()
			c.refuse(true, pgwire.CodeThrottled, "too many connections")
			return
		}
		c.started = true
		c.split.Typed(mostQuery)
		c.local(pgwire.AppendWelcome(nil, opening == pgwire.OpenStartupNewer, c.number), false)
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
	if pgwire.Blank(statement) {
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
	x := exchange.New(cmd, c, group, tenant, at)
	c.mu.Lock()
	room := len(c.slots) < mostPiped && c.front.held.Load() < mostHeld
	if room {
		c.calm.Store(false)
		c.front.held.Add(int64(cmd.Size()))
		c.slots = append(c.slots, &slot{x: x})
	}
	c.mu.Unlock()
	if room {
		c.front.taker.Take(at, x)
	} else {
		c.refuse(false, pgwire.CodeThrottled, "too many commands in hand")
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
	if fatal {
		c.closed = true
	}
	c.slots = append(c.slots, &slot{bytes: p, fatal: fatal})
	c.flush()
}

// flush writes the answers that are next in turn. While the router leaves, a command's answer is the last: a
// connection that has just come up may bring its command with its startup. Called under the lock.
func (c *conn) flush() {
	last := false
	for len(c.slots) > 0 && (c.slots[0].bytes != nil || c.slots[0].fatal) {
		s := c.slots[0]
		c.slots = c.slots[1:]
		last = last || s.x != nil
		if s.bytes != nil {
			c.stream.Write(s.bytes, nil)
		}
		if s.fatal {
			c.stream.End()
			return
		}
	}
	c.calm.Store(len(c.slots) == 0 && c.started && !c.closed)
	if last && c.front.ending.Load() {
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
		c.calm.Store(false)
		c.stream.End()
	}
}

// fill puts a command's answer in its place.
func (c *conn) fill(x *exchange.Exchange, p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.slots {
		if s.x == x {
			s.bytes = p
			c.front.held.Add(-int64(x.Command.Size()))
		}
	}
	c.flush()
}

// Answer implements exchange.Client.
func (c *conn) Answer(x *exchange.Exchange, value []byte) { c.fill(x, pgwire.AppendReady(value)) }

// Throttle implements exchange.Client.
func (c *conn) Throttle(x *exchange.Exchange, wait int64) {
	c.fill(x, pgwire.AppendError(nil, false, pgwire.CodeThrottled, "not now; nothing was done", wait))
}

// Fail implements exchange.Client.
func (c *conn) Fail(x *exchange.Exchange) {
	c.fill(x, pgwire.AppendError(nil, false, pgwire.CodeFailed, "the command failed", 0))
}

// ended is told when the connection has ended: whoever waited on it has gone.
func (c *conn) ended() {
	at := c.front.now()
	c.mu.Lock()
	c.closed = true
	owed := c.slots
	c.slots = nil
	c.mu.Unlock()
	c.front.mu.Lock()
	delete(c.front.conns, c)
	c.front.mu.Unlock()
	for _, s := range owed {
		if s.x != nil {
			if s.bytes == nil {
				c.front.held.Add(-int64(s.x.Command.Size()))
			}
			c.front.taker.Gone(at, s.x)
		}
	}
}
