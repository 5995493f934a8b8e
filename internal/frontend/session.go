package frontend

import (
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/stream"
)

// phase is the phase of a session's life cycle; the package comment describes the transitions.
type phase int32

const (
	phaseClosing phase = iota
	phaseNew
	phaseIdle
	phaseBusy
)

// session is a client connection.
type session struct {
	server *Server
	stream *stream.Stream
	number uint32 // with secret, the key with which the client can cancel the session's commands
	secret uint32

	phase          atomic.Int32 // a phase; read by currentPhase, set by setPhase
	phaseSince     atomic.Int64 // us: start of the phase
	partialBytes   atomic.Int64 // of memory that an incomplete message takes
	releasingBytes atomic.Int64 // of partialBytes, once the session has been closed for them
	partialSince   atomic.Int64 // us: when the first bytes of an incomplete message arrived, 0 for none
	noRoomSince    atomic.Int64 // us: since when the connection has had no room for the next answer and accepted none; 0 if it has

	inFlightBytes atomic.Int64 // of commands without an answer, and of answers that the kernel has not accepted
	commands      atomic.Int64 // without an answer

	acceptedAt int64                     // us
	usage      usage                     // what the session has cost
	endReason  atomic.Pointer[endReason] // why the router ends the session; nil if the client does

	// Guarded by the scheduler's lock.
	handledUntil int64      // in units of cost: end of the session's last turn
	waitingTurn  *inputTurn // nil if the session waits for no turn

	// Used only on the reader's goroutine.
	frames          *pgwire.FrameDecoder // nil once input is discarded
	started         bool                 // the startup message has been handled
	encryptionAsked bool

	mu            sync.Mutex
	answers       []*answer // pending answers in the order of their commands
	unsubmitted   int       // answers whose commands have been admitted and not yet submitted
	handlingInput bool      // the router's own answers are written together once the piece of input is handled
	closing       bool      // no more commands are accepted, and the session closes after the queued answers; never reset
}

func newSession(s *Server, conn *net.TCPConn) *session {
	c := &session{
		server:     s,
		acceptedAt: s.now(),
		frames:     pgwire.NewFrameDecoder(maxStartupBytes, true),
		stream:     stream.New(conn),
	}
	var secret [4]byte
	rand.Read(secret[:])
	c.secret = binary.BigEndian.Uint32(secret[:])
	c.setPhase(phaseNew)
	return c
}

// start starts reading; events may occur before it returns.
func (c *session) start() {
	c.stream.Start(stream.Events{Admit: c.handleInput, Received: c.receive, Closed: c.handleStreamEnd})
}

// setPhase records the start of a phase.
func (c *session) setPhase(p phase) {
	c.phaseSince.Store(c.server.now())
	c.phase.Store(int32(p))
}

func (c *session) currentPhase() phase { return phase(c.phase.Load()) }

// isClosing reports whether the session accepts no more commands.
func (c *session) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// stopAccepting makes the session accept no more commands and wait for no turn. The caller must hold c.mu.
func (c *session) stopAccepting() {
	c.closing = true
	c.server.input.skip(c)
}

// receive handles received bytes. After the router has closed its side, they are still read and discarded: closing a
// socket with unread bytes sends a reset, which could destroy the last answer before the client reads it.
func (c *session) receive(p []byte) {
	at := c.server.now()
	c.usage.bytes.Add(int64(len(p)))
	c.setHandlingInput(true)
	defer c.setHandlingInput(false)
	if c.isClosing() {
		readsAfterClose.Add()
	} else {
		c.frames.Feed(p)
	}
	for !c.isClosing() {
		frame, complete, err := c.frames.Next()
		if err != nil {
			malformedStreams.Add()
			c.sendFatalError(endedMalformed, pgwire.CodeProtocolViolation, err.Error())
			break
		}
		if !complete {
			c.recordPartial(at, int64(c.frames.Held()))
			break
		}
		c.usage.messages.Add(1)
		c.partialSince.Store(0)
		if c.started {
			c.handleMessage(at, frame)
		} else {
			c.handleFirstMessage(frame)
		}
	}
	if c.isClosing() {
		c.frames = nil
		c.recordPartial(at, 0)
	}
}

// handleFirstMessage handles the messages before the startup is complete: an encryption request, which is declined, and
// then a startup or a cancel request.
func (c *session) handleFirstMessage(frame pgwire.Frame) {
	opening := pgwire.DecodeStartupPacket(frame)
	switch {
	case opening == pgwire.EncryptionRequest && !c.encryptionAsked:
		c.encryptionAsked = true
		c.stream.Write([]byte{'N'}, nil)
	case opening == pgwire.CancelRequest:
		if process, secret, ok := pgwire.DecodeCancel(frame); ok {
			c.server.cancel(process, secret, c.phaseSince.Load())
		}
		c.queueLast(nil) // a cancel request gets no reply
	case opening == pgwire.StartupMessage || opening == pgwire.StartupMessageNewer:
		c.started = true
		c.frames.ExpectTyped(maxQueryBytes)
		c.stream.Write(pgwire.AppendStartupResponse(nil, opening == pgwire.StartupMessageNewer, c.number, c.secret), nil)
	default:
		malformedStreams.Add()
		c.sendFatalError(endedMalformed, pgwire.CodeUnsupported, "unsupported frontend protocol")
	}
}

// handleMessage handles a message after the startup.
func (c *session) handleMessage(at int64, frame pgwire.Frame) {
	switch frame.Type {
	case 'Q': // Query
		statement, ok := pgwire.DecodeQuery(frame)
		if !ok {
			malformedStreams.Add()
			c.sendFatalError(endedMalformed, pgwire.CodeProtocolViolation, "invalid string in message")
			return
		}
		c.handleQuery(at, statement)
	case 'X': // Terminate
		c.mu.Lock()
		c.stopAccepting()
		c.mu.Unlock()
		c.stream.Close()
	case 'P', 'B', 'E', 'D', 'C', 'F', 'd', 'c', 'f': // the extended query protocol, function calls and copies
		rejectedQueries.Add()
		c.sendError(pgwire.CodeUnsupported, "only simple queries are supported")
	case 'S', 'H': // Sync and Flush, which follow the messages rejected above
		c.queue(pgwire.AppendReadyForQuery(nil))
	default:
		malformedStreams.Add()
		c.sendFatalError(endedMalformed, pgwire.CodeProtocolViolation, "invalid frontend message type")
	}
}

// handleStreamEnd is called once the connection has ended, whichever side closed it, and abandons its requests.
func (c *session) handleStreamEnd() {
	at := c.server.now()
	c.server.removeSession(c.number)
	c.logEnd(at)
	c.recordPartial(at, 0)
	c.abandonAnswers(at)
}
