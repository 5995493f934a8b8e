// Package stream wraps one TCP connection: it writes in order without blocking the caller, passes on received bytes as
// they arrive, and reports the end of the connection once.
//
// Input is read a piece at a time, and the next piece only once the owner has handled the one before. What the owner has
// not taken stays in the kernel, whose receive buffer is limited, so that a peer can't send faster than its input is
// handled.
//
// A stream accepts writes until it is closing:
//
//	CloseGracefully  all queued bytes are written, then the write side is shut down. What the peer still sends is read
//	                 for at most lingerTimeout, and the owner discards it: closing a socket with unread bytes sends a
//	                 reset, with which the peer would lose the last bytes written. Then the connection is closed.
//	ShutdownNow      the write side is shut down before the call returns, and the connection is closed soon after
//	Close            the connection is closed
//
// The bytes that wait to be accepted by the kernel are limited. An owner that has more to write waits for room, and
// closes the connection of a peer that reads too slowly with CloseSlowReader. Events.Closed is called once, whichever
// side ended the connection.
package stream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"cairntiller/internal/metrics"
)

const (
	// writeTimeout bounds a write to a peer that reads nothing. Its connection is closed then; nothing else waits for
	// it.
	writeTimeout = 5 * time.Second
	// lingerTimeout is how long a peer may take to close its side after the write side was shut down, so that it can
	// read all bytes written.
	lingerTimeout = time.Second
	// maxQueuedBytes limits the bytes that wait to be accepted by the kernel: 16 answers with values of 64 KiB.
	maxQueuedBytes = 1 << 20
	// receiveBuffer is the size of the kernel's receive buffer, which the kernel doubles.
	receiveBuffer = 1 << 16
	// closingReceiveBuffer is the same after the write side was shut down, when received bytes are only discarded.
	closingReceiveBuffer = 1 << 12
)

var (
	failedWrites = metrics.New("writes failed")
	slowReaders  = metrics.New("peers that read too slowly")
)

// ErrUnwritten is the error of a write of which certainly no byte reached the peer's machine.
var ErrUnwritten = errors.New("nothing was written")

// Events holds the callbacks of a stream's owner. They are called on the stream's own goroutine, one at a time.
type Events struct {
	// Admit is called when input has arrived; it calls read, which passes a piece of it to Received. It may block before
	// that. If Admit is nil, input is read as soon as it arrives.
	Admit func(read func())
	// Received is called with the bytes read, which are valid until it returns. It is called with none after
	// InterruptReader, and once the write side has been shut down, so that the owner can release what it keeps of earlier
	// input.
	Received func(p []byte)
	// Closed is called once, whichever side ended the connection.
	Closed func()
}

// Stream is one connection. Its methods may be called from any goroutine.
type Stream struct {
	conn  *net.TCPConn
	raw   syscall.RawConn
	input input

	mu          sync.Mutex
	fd          int // valid until closed is set
	queue       []queuedWrite
	queuedBytes int  // in queue and in what is being written, with writeOverhead for each write
	writing     bool // writeQueued is running
	closing     bool // no more writes are accepted; the write side is shut down once the queue is empty
	closed      bool
}

// noKeepAlive turns the kernel's keep-alive off: silence is noticed by the deadlines of commands, long before.
const noKeepAlive = -1

// Dial opens a connection. It blocks for at most the timeout.
func Dial(address string, timeout time.Duration) (*net.TCPConn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: noKeepAlive}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// Listen listens for connections that New takes over.
func Listen(address string) (*net.TCPListener, error) {
	config := net.ListenConfig{KeepAlive: noKeepAlive}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// New returns a stream that takes over a connection. Nothing is read before Start.
func New(conn *net.TCPConn) *Stream {
	s := &Stream{conn: conn, fd: -1}
	raw, err := conn.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { s.fd = int(fd) })
	}
	if err != nil { // the connection is closed already
		s.closed = true
		s.closing = true
	}
	s.raw = raw
	s.setReceiveBuffer(receiveBuffer)
	return s
}

// Start begins to read. Callbacks may be called before it returns.
func (s *Stream) Start(events Events) { go s.readUntilEnd(events) }

// PeerAddress returns the peer's address, for logs.
func (s *Stream) PeerAddress() string { return s.conn.RemoteAddr().String() }

// setReceiveBuffer sets the size of the kernel's receive buffer. The caller must hold s.mu, unless nobody else has s yet.
func (s *Stream) setReceiveBuffer(bytes int) {
	if !s.closed {
		syscall.SetsockoptInt(s.fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	}
}
