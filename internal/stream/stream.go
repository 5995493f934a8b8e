// Package stream wraps one connection of the network library: it writes in order without blocking the caller, passes on
// received bytes as they arrive, and reports the end of the connection once.
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
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

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
	// receiveBuffer is the size of the kernel's receive buffer, which the kernel doubles. The library reads all of it
	// at once, into a buffer that grows with what a peer sends at full speed.
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

// Events holds the callbacks of a stream's owner. They are called on a goroutine of the library.
type Events struct {
	Received func(p []byte) // p is valid only until Received returns
	Closed   func()         // called once, whichever side ended the connection
}

// Stream is one connection. Its methods may be called from any goroutine.
type Stream struct {
	conn netpoll.Connection
	fd   int // -1 if the library has none; system calls on it fail

	mu          sync.Mutex
	queue       []queuedWrite
	queuedBytes int  // in queue and in what is being written
	writing     bool // writeQueued is running
	closing     bool // no more writes are accepted; the write side is shut down once the queue is empty
	closed      bool // fd may have been reused for another connection
	peekBuffer  [1]byte
}

type queuedWrite struct {
	bytes []byte
	done  func(error) // may be nil
}

// ConfigureLibrary configures the library with one poller, which is enough for one core, and a writer for its log.
func ConfigureLibrary(log io.Writer) error {
	return netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: log})
}

// Dial opens a connection. It blocks for at most the timeout.
func Dial(address string, timeout time.Duration) (netpoll.Connection, error) {
	return netpoll.DialConnection("tcp", address, timeout)
}

// New returns a stream that takes over a connection. Nothing is read before Start.
func New(conn netpoll.Connection) *Stream {
	conn.SetWriteTimeout(writeTimeout)
	s := &Stream{conn: conn, fd: -1}
	if c, ok := conn.(interface{ Fd() int }); ok {
		s.fd = c.Fd()
	}
	s.setReceiveBuffer(receiveBuffer)
	return s
}

// Start begins to read. Callbacks may be called before it returns.
func (s *Stream) Start(events Events) {
	s.conn.AddCloseCallback(func(netpoll.Connection) error {
		s.mu.Lock()
		s.closed = true
		s.closing = true
		s.mu.Unlock()
		events.Closed()
		return nil
	})
	s.conn.SetOnRequest(func(_ context.Context, c netpoll.Connection) error {
		r := c.Reader()
		p, err := r.Next(r.Len())
		if err != nil {
			return err
		}
		events.Received(p)
		return r.Release()
	})
	if !s.conn.IsActive() { // the connection ended before the callbacks were set
		s.conn.Close()
	}
}

// PeerAddress returns the peer's address, for logs.
func (s *Stream) PeerAddress() string { return s.conn.RemoteAddr().String() }

// Idle reports whether the connection is open and nothing unread has arrived: neither bytes nor the end of the peer's
// stream.
func (s *Stream) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || s.conn.Reader().Len() > 0 {
		return false
	}
	_, err := s.peek()
	return errors.Is(err, syscall.EAGAIN)
}

// PeerPresent reports whether the peer is still connected. It asks the kernel, because a FIN or reset may have arrived
// without having been read yet. A FIN behind unread bytes is not detected.
func (s *Stream) PeerPresent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	n, err := s.peek()
	return n > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET)
}

// peek checks whether a byte has arrived, without consuming it. 0 bytes without an error are the end of the peer's
// stream. The caller must hold s.mu.
func (s *Stream) peek() (n int, err error) {
	n, _, err = syscall.Recvfrom(s.fd, s.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

func (s *Stream) setReceiveBuffer(bytes int) {
	syscall.SetsockoptInt(s.fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
}
