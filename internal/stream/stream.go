// Package stream holds one connection of the network library: bytes out in order without ever blocking the caller, bytes
// in as they come, and one end.
//
// A stream takes writes until its side is ending:
//
//	CloseGracefully  all that is queued is written, then our side is shut. What the peer still sends is read for
//	                 lingerTimeout at most, for its owner to drop: closing a socket over unread bytes sends a reset, which
//	                 would take our last bytes away from the peer. Then the connection is closed.
//	ShutdownNow      our side is shut before the call returns, and the connection is closed soon after
//	Close            the connection is closed
//
// A peer that reads too little is closed. Events.Closed is called once, whichever side ended the connection.
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
	// writeTimeout is for a peer that reads nothing: its connection ends then, and nothing else waits for it.
	writeTimeout = 5 * time.Second
	// lingerTimeout is for a peer to end its side after ours, so that it reads all that we wrote.
	lingerTimeout = time.Second
	// maxQueuedBytes is what may wait for a peer that reads too little: 16 answers with values of 64 KiB.
	maxQueuedBytes = 1 << 20
	// receiveBuffer is the bytes that the kernel keeps unread, doubled by it: the library reads all of them at once, into
	// room that grows with what a peer sends at full speed.
	receiveBuffer = 1 << 16
	// endedReceiveBuffer is the same once our side has ended, for what is only thrown away.
	endedReceiveBuffer = 1 << 12
)

var (
	failedWrites = metrics.New("writes failed")
	slowReaders  = metrics.New("peers that read too slowly")
)

// ErrUnwritten is the error of a write of which surely no byte reached the peer's machine.
var ErrUnwritten = errors.New("nothing was written")

// Events are what a connection tells its owner; each is called on a goroutine of the library's.
type Events struct {
	Received func(p []byte) // p is valid only until it returns
	Closed   func()         // once, whoever ended the connection
}

// Stream is one connection. Its methods may be called from any goroutine.
type Stream struct {
	conn netpoll.Connection
	fd   int // -1 if the library has none; the kernel refuses that

	mu          sync.Mutex
	queue       []queuedWrite
	queuedBytes int  // in queue and in what is being written
	writing     bool // a goroutine writes
	ending      bool // nothing more is taken; our side ends once all is out
	closed      bool // the connection's descriptor may be another's by now
	peeked      [1]byte
}

type queuedWrite struct {
	bytes []byte
	done  func(error) // may be nil
}

// ConfigureLibrary gives the library one poller, which is enough for one core, and a place for its log.
func ConfigureLibrary(log io.Writer) error {
	return netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: log})
}

// Dial opens a connection, bounded in time; it blocks.
func Dial(address string, timeout time.Duration) (netpoll.Connection, error) {
	return netpoll.DialConnection("tcp", address, timeout)
}

// New takes a connection over; nothing is read before Start.
func New(conn netpoll.Connection) *Stream {
	conn.SetWriteTimeout(writeTimeout)
	s := &Stream{conn: conn, fd: -1}
	if c, ok := conn.(interface{ Fd() int }); ok {
		s.fd = c.Fd()
	}
	s.setReceiveBuffer(receiveBuffer)
	return s
}

// Start begins to read; events may come before it returns.
func (s *Stream) Start(events Events) {
	s.conn.AddCloseCallback(func(netpoll.Connection) error {
		s.mu.Lock()
		s.closed = true
		s.ending = true
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
	if !s.conn.IsActive() { // it ended before anyone could be told
		s.conn.Close()
	}
}

// Quiet reports whether the connection is open and nothing unread has arrived: neither bytes nor the peer's end.
func (s *Stream) Quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending || s.conn.Reader().Len() > 0 {
		return false
	}
	_, err := s.peek()
	return errors.Is(err, syscall.EAGAIN)
}

// PeerPresent reports whether the peer is still connected, by asking the kernel: the peer's end may have arrived without
// having been read yet. Unread bytes that the peer sent before its end hide the end.
func (s *Stream) PeerPresent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	n, err := s.peek()
	return n > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET)
}

// peek asks the kernel whether a byte has come, without taking it. 0 bytes without an error are the peer's end. Called
// with the lock held.
func (s *Stream) peek() (n int, err error) {
	n, _, err = syscall.Recvfrom(s.fd, s.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

func (s *Stream) setReceiveBuffer(bytes int) {
	syscall.SetsockoptInt(s.fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
}
