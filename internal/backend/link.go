package backend

import (
	"sync/atomic"
	"time"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
	"cairntiller/internal/stream"
)

const mostReply = 1 << 17 // bytes in one message of a node: a value of 64 KiB, and room for one in text

// link is one connection to a node. What it reads is put together on the library's goroutine; which job it
// carries is known to the engine's goroutine alone.
type link struct {
	node   *node
	stream *stream.Stream
	pool   *Pool

	job     *job // engine's goroutine
	up      bool
	dropped bool          // it counts as open no more
	over    bool          // it has ended
	since   int64         // when it became idle
	lost    bool          // it ended before it was known whether its query was written
	last    *pgwire.Reply // what had come by then
	heard   int64         // replies taken from it

	asked atomic.Int64 // queries written to it
	ended atomic.Bool
	spent atomic.Bool // nothing more of it can be believed

	split    *pgwire.Splitter // reader's goroutine
	greeting *pgwire.StartupReply
	reply    *pgwire.Reply
	told     int64 // replies read from it
	begun    int64 // the last of them that began, by its number
	ready    chan greeted
}

// connect opens a connection and signs on; it blocks, for so long at most. code is the node's own error.
func connect(n *node, wait int64, p *Pool) (l *link, code string, err error) {
	began := time.Now()
	limit := time.Duration(wait) * time.Microsecond
	conn, err := stream.Dial(n.address, limit)
	if err != nil {
		return nil, "", err
	}
	l = &link{node: n, pool: p, split: pgwire.NewSplitter(mostReply, false), greeting: &pgwire.StartupReply{},
		reply: &pgwire.Reply{}, ready: make(chan greeted, 1)}
	l.stream = stream.New(conn)
	l.stream.Start(stream.Events{Received: l.bytes, Closed: l.end})
	l.stream.Write(pgwire.AppendStartup(nil, pgwire.User, pgwire.Database), nil)
	left := time.NewTimer(limit - time.Since(began))
	defer left.Stop()
	select {
	case g := <-l.ready:
		if code, err = g.code, g.err; err == nil && code != "" {
			err = errRefused
		}
	case <-left.C:
		err = errSilent
	}
	if err != nil {
		l.stream.Close()
	}
	return l, code, err
}

// greeted is how signing on ended.
type greeted struct {
	code string
	err  error
}

type fault string

func (f fault) Error() string { return string(f) }

const (
	errRefused fault = "the node refused the connection"
	errSilent  fault = "the node did not complete the connection in time"
	errEnded   fault = "the connection ended"
)

// usable tells whether the connection may carry a query: it lives, has not been idle for too long, and has
// nothing to say that nobody asked for.
func (l *link) usable(now int64) bool {
	return l.up && !l.ended.Load() && !l.spent.Load() && now-l.since < l.pool.idle && l.stream.Quiet()
}

func (l *link) signal(code string, err error) {
	select {
	case l.ready <- greeted{code, err}:
	default:
	}
}

// bytes puts together what arrives and passes on whole replies.
func (l *link) bytes(p []byte) {
	if l.spent.Load() {
		return
	}
	at := l.pool.now()
	l.split.Feed(p)
	for !l.spent.Load() {
		f, whole, err := l.split.Next()
		if err == nil && !whole {
			if begun := l.told + 1; l.greeting == nil && l.begun != begun && (l.split.Buffered() > 0 || l.reply.Begun()) {
				l.begun = begun
				l.pool.post(at, func(int64) { l.pool.expect(l, begun) })
			}
			return
		}
		refused := false
		if err == nil && l.greeting != nil {
			refused, err = l.greet(f)
		} else if err == nil {
			err = l.answer(at, f)
		}
		if err != nil {
			l.distrust(at, err)
		}
		if err != nil || refused {
			return
		}
	}
}

// greet takes a message of signing on; refused tells that the node has ended it.
func (l *link) greet(f pgwire.Frame) (refused bool, err error) {
	done, err := l.greeting.Add(f)
	if !done || err != nil {
		return false, err
	}
	code := l.greeting.Code
	l.signal(code, nil)
	l.greeting = nil
	if code != "" {
		l.stream.Close()
	}
	return code != "", nil
}

// answer takes a message of a reply and passes on a whole one.
func (l *link) answer(at int64, f pgwire.Frame) error {
	done, err := l.reply.Add(f)
	if err != nil {
		return err
	}
	if l.told == l.asked.Load() && (done || l.reply.Begun()) { // it answers what nobody asked
		return pgwire.ErrUnexpectedMessage
	}
	if done {
		l.told++
		r := l.reply
		l.reply = &pgwire.Reply{}
		if l.split.Buffered() > 0 { // the answer is good, but what stands behind it must not meet the next query
			surplus.Add()
			l.spent.Store(true)
		}
		l.pool.post(at, func(now int64) { l.pool.replied(now, l, r) })
	}
	return nil
}

// distrust ends a connection of which nothing more can be believed; what it carries may have run.
func (l *link) distrust(at int64, err error) {
	garbage.Add()
	l.spent.Store(true)
	l.signal("", err)
	l.reply = &pgwire.Reply{}
	l.stream.Close()
	l.pool.post(at, func(now int64) { l.pool.lost(now, l, nil) })
}

// end is told when the connection has ended; a row or an error that came whole before it counts.
func (l *link) end() {
	l.ended.Store(true)
	l.signal("", errEnded)
	at, r := l.pool.now(), l.reply
	l.pool.post(at, func(now int64) {
		l.pool.closed(l)
		l.pool.lost(now, l, r)
	})
}

// replied ends the job of a connection, which is ready for its next after a moment: what a node wrongly sends
// right behind an answer has come by then, and would else pass for the next one.
func (p *Pool) replied(now int64, l *link, r *pgwire.Reply) {
	j, n := l.job, l.node
	l.job = nil
	l.heard++
	if r.Fatal || !l.up || l.spent.Load() {
		p.drop(l)
	} else {
		n.settling++
		release := n.released
		p.after(settle, func(now int64) {
			n.settling--
			if n.released == release {
				p.free(now, l)
			} else {
				p.drop(l)
			}
			p.supply(n)
		})
	}
	if j != nil {
		p.end(now, j, outcome(r), r)
	}
}

// expect gives up a reply that began and does not get whole, unless it was this router that did not read.
func (p *Pool) expect(l *link, reply int64) {
	p.after(p.connect/partOfConnect, func(int64) {
		switch {
		case l.heard >= reply || !l.up:
		case l.stream.Quiet():
			garbage.Add()
			l.spent.Store(true)
			l.stream.Close() // its job ends with it
		default:
			p.expect(l, reply)
		}
	})
}

// lost ends the job of a connection that has ended.
func (p *Pool) lost(now int64, l *link, r *pgwire.Reply) {
	p.drop(l)
	j := l.job
	if j == nil {
		return
	}
	if !j.resolved { // whether it may have run is known once its write has ended
		l.lost, l.last = true, r
		return
	}
	l.job = nil
	if r != nil && (r.Complete() || r.Code != "") {
		p.end(now, j, outcome(r), r)
	} else {
		p.end(now, j, routing.ConnectionLost, nil)
	}
}

// outcome is the protocol page's table. An error that breaks off a row that has begun says nothing of never having run.
func outcome(r *pgwire.Reply) routing.Outcome {
	if r.Code != "" && len(r.Value) > 0 {
		return routing.Errored
	}
	switch r.Code {
	case "":
		return routing.Answered
	case pgwire.CodeRejected:
		return routing.Rejected
	case pgwire.CodeNoPrimary, pgwire.CodeTooOld:
		return routing.NotPrimary
	}
	return routing.Errored
}
