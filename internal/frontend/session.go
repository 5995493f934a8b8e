package frontend

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/netpoll"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/stream"
)

// phase is how far a session has come; the package comment shows what leads from one to the next.
type phase int32

const (
	phaseClosing phase = iota
	phaseNew
	phaseIdle
	phaseBusy
)

// session is one connection of a client.
type session struct {
	server *Server
	stream *stream.Stream
	number uint32 // with secret the key by which a client cancels the session's commands
	secret uint32

	phase        atomic.Int32 // a phase; read by currentPhase, set by enter
	phaseSince   atomic.Int64 // us
	partialSince atomic.Int64 // us: when a message began to arrive that is still incomplete, 0 for none

	// The reader's goroutine alone uses these.
	frames          *pgwire.Splitter // nil once nothing more is taken
	started         bool             // its startup message has come
	encryptionAsked bool
	partialBytes    int64 // bytes of a message that is still incomplete

	mu      sync.Mutex
	answers []*answer // owed, in the order of their commands
	closing bool      // nothing more is taken, and the session ends after the queued answers; never reset
}

func newSession(s *Server, conn netpoll.Connection) *session {
	c := &session{server: s, frames: pgwire.NewSplitter(maxStartupBytes, true), stream: stream.New(conn)}
	var secret [4]byte
	rand.Read(secret[:])
	c.secret = binary.BigEndian.Uint32(secret[:])
	c.enter(phaseNew)
	return c
}

// start begins to read; events may come before it returns.
func (c *session) start() {
	c.stream.Start(stream.Events{Received: c.receive, Closed: c.ended})
}

// enter notes that the session comes to a phase.
func (c *session) enter(p phase) {
	c.phaseSince.Store(c.server.now())
	c.phase.Store(int32(p))
}

func (c *session) currentPhase() phase { return phase(c.phase.Load()) }

// isClosing reports whether nothing more is taken.
func (c *session) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// receive takes the bytes that have arrived. After the router has closed its side they are still read and dropped:
// closing a socket with unread bytes sends a reset, which would take the last answer away from the client.
func (c *session) receive(p []byte) {
	at := c.server.now()
	if !c.isClosing() {
		c.frames.Feed(p)
	}
	for !c.isClosing() {
		frame, complete, err := c.frames.Next()
		if err != nil {
			malformedStreams.Add()
			c.sendFatalError(pgwire.CodeProtocol, err.Error())
			break
		}
		if !complete {
			c.notePartial(at, int64(c.frames.Buffered()))
			return
		}
		c.partialSince.Store(0)
		if c.started {
			c.handleMessage(at, frame)
		} else {
			c.handleFirstMessage(frame)
		}
	}
	readsAfterClose.Add()
	c.frames = nil
	c.notePartial(at, 0)
}

// handleFirstMessage handles the messages before a session is up: a request for encryption, which is declined, then a
// startup or a cancel.
func (c *session) handleFirstMessage(frame pgwire.Frame) {
	opening := pgwire.DecodeOpening(frame)
	switch {
	case opening == pgwire.OpenEncrypted && !c.encryptionAsked:
		c.encryptionAsked = true
		c.stream.Write([]byte{'N'}, nil)
	case opening == pgwire.OpenCancel:
		if process, secret, ok := pgwire.DecodeCancel(frame); ok {
			c.server.cancel(process, secret, c.phaseSince.Load())
		}
		c.queueLast(nil) // a cancel never gets an answer
	case opening == pgwire.OpenStartup || opening == pgwire.OpenStartupNewer:
		c.started = true
		c.frames.ExpectTyped(maxQueryBytes)
		c.stream.Write(pgwire.AppendWelcome(nil, opening == pgwire.OpenStartupNewer, c.number, c.secret), nil)
	default:
		malformedStreams.Add()
		c.sendFatalError(pgwire.CodeUnsupported, "unsupported frontend protocol")
	}
}

// handleMessage handles one message of a session that is up.
func (c *session) handleMessage(at int64, frame pgwire.Frame) {
	switch frame.Type {
	case 'Q': // Query
		statement, ok := pgwire.DecodeQuery(frame)
		if !ok {
			malformedStreams.Add()
			c.sendFatalError(pgwire.CodeProtocol, "invalid string in message")
			return
		}
		c.handleQuery(at, statement)
	case 'X': // Terminate
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
		c.stream.Close()
	case 'P', 'B', 'E', 'D', 'C', 'F', 'd', 'c', 'f': // the extended query protocol, function calls and copies
		rejectedQueries.Add()
		c.sendError(pgwire.CodeUnsupported, "only simple queries are supported")
	case 'S', 'H': // Sync and Flush, which follow the messages rejected above
		c.queue(pgwire.AppendReady(nil))
	default:
		malformedStreams.Add()
		c.sendFatalError(pgwire.CodeProtocol, "invalid frontend message type")
	}
}

// ended is called once the connection has ended, whichever side closed it: the client of its requests has gone.
func (c *session) ended() {
	at := c.server.now()
	c.server.forget(c.number)
	c.notePartial(at, 0)
	c.abandonAnswers(at)
}
