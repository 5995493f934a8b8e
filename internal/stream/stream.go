// Package stream holds one connection of the network library: bytes out in order without ever blocking the
// caller, bytes in as they come, and one end.
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
	writeWait  = 5 * time.Second // for a peer that reads nothing; its connection ends then, and nothing else waits
	lingerWait = time.Second     // for a peer to end its side after ours, so that it reads all we wrote
	mostQueued = 1 << 20         // bytes that wait for such a peer: 16 answers with values of 64 KiB
	readRoom   = 1 << 16         // bytes that the kernel keeps unread, doubled by it: the library reads all of
	// them at once, into room that grows with what a peer sends at full speed
	endedRoom = 1 << 12 // the same once our side has ended, for what is only thrown away
)

var (
	stuck   = metrics.New("writes given up")
	flooded = metrics.New("peers that read too little")
)

// ErrUnwritten tells that the peer's machine was handed nothing of what was to be written.
var ErrUnwritten = errors.New("nothing was written")

// Events are what a connection tells its owner; each is called on a goroutine of the library's.
type Events struct {
	Received func(p []byte) // p stands only until it returns
	Closed   func()         // once, whoever ended the connection
}

// Stream is one connection.
type Stream struct {
	conn    netpoll.Connection
	fd      int // -1 where the library tells none; the kernel refuses that
	mu      sync.Mutex
	out     []piece
	queued  int // bytes in out and in what is being written
	writing bool
	ending  bool // nothing more is taken; our side ends once all is out
	closed  bool // the connection's descriptor may be another's by now
	peek    [1]byte
}

type piece struct {
	bytes []byte
	done  func(error)
}

// Setup gives the library one poller, which is enough for one core, and a place for its log.
func ConfigureLibrary(log io.Writer) error {
	return netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: log})
}

// Dial opens a connection, bounded in time; it blocks.
func Dial(address string, wait time.Duration) (netpoll.Connection, error) {
	return netpoll.DialConnection("tcp", address, wait)
}

// New takes a connection over; nothing is read before Start.
func New(conn netpoll.Connection) *Stream {
	conn.SetWriteTimeout(writeWait)
	s := &Stream{conn: conn, fd: -1}
	if c, ok := conn.(interface{ Fd() int }); ok {
		s.fd = c.Fd()
	}
	s.room(readRoom)
	return s
}

// Start begins to read; events may come before it returns.
func (s *Stream) Start(ev Events) {
	conn := s.conn
	conn.AddCloseCallback(func(netpoll.Connection) error {
		s.mu.Lock()
		s.closed, s.ending = true, true
		s.mu.Unlock()
		ev.Closed()
		return nil
	})
	conn.SetOnRequest(func(_ context.Context, c netpoll.Connection) error {
		r := c.Reader()
		p, err := r.Next(r.Len())
		if err == nil {
			ev.Received(p)
			err = r.Release()
		}
		return err
	})
	if !conn.IsActive() { // it ended before anyone could be told
		conn.Close()
	}
}

// Write queues bytes, which are the stream's from here on; it never blocks. done, where given, is told once
// whether the kernel has all of them: ErrUnwritten only where it surely has none.
func (s *Stream) Write(p []byte, done func(error)) {
	s.mu.Lock()
	if s.ending {
		s.mu.Unlock()
		if done != nil {
			done(ErrUnwritten)
		}
		return
	}
	s.out = append(s.out, piece{p, done})
	s.queued += len(p)
	start, flood := !s.writing, s.queued > max(mostQueued, len(p))
	s.writing = true
	s.ending = s.ending || flood
	s.mu.Unlock()
	if start {
		go s.drain()
	}
	if flood {
		flooded.Add()
		go s.Close() // it calls the owner, who may be waiting for this to return
	}
}

// drain writes what is queued; the library's flush blocks while the peer reads nothing, so it has its own goroutine.
func (s *Stream) drain() {
	var failed error
	for {
		s.mu.Lock()
		todo := s.out
		s.out = nil
		if len(todo) == 0 {
			s.writing = false
			if s.ending && failed == nil {
				s.finish()
			}
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		for _, one := range todo {
			err := failed
			if err == nil {
				if err = s.put(one.bytes); err != nil {
					failed = ErrUnwritten // of those behind it nothing has left
					stuck.Add()
					s.Close()
				}
			}
			s.mu.Lock()
			s.queued -= len(one.bytes)
			s.mu.Unlock()
			if one.done != nil {
				one.done(err)
			}
		}
	}
}

func (s *Stream) put(p []byte) error {
	if !s.conn.IsActive() {
		return ErrUnwritten
	}
	_, err := s.conn.Write(p)
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		return ErrUnwritten // the first call to the kernel failed: it takes a part or fails, never both
	}
	return err
}

func (s *Stream) room(bytes int) {
	syscall.SetsockoptInt(s.fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
}

// finish ends our side; the peer then ends its own, or is cut. Called under the lock.
func (s *Stream) finish() {
	if !s.closed {
		s.half()
		s.room(endedRoom)
		time.AfterFunc(lingerWait, s.Close)
	}
}

func (s *Stream) half() { syscall.Shutdown(s.fd, syscall.SHUT_WR) }

// Quiet tells whether the connection lives and nothing has come that was not read: neither bytes nor its end.
func (s *Stream) Quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending || s.conn.Reader().Len() > 0 {
		return false
	}
	_, _, err := syscall.Recvfrom(s.fd, s.peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN)
}

// Present tells whether the peer has not gone, as the kernel knows it now: its end may have come and not been read.
// What it sent before its end hides that.
func (s *Stream) PeerPresent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	n, _, err := syscall.Recvfrom(s.fd, s.peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET)
}

// Finished tells whether nothing more will leave: our side has ended, behind all that was queued.
func (s *Stream) WriteSideClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.ending && !s.writing
}

// End closes the connection once all that is queued is out and read.
func (s *Stream) CloseGracefully() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ending {
		s.ending = true
		if !s.writing {
			s.finish()
		}
	}
}

// Cut ends our side at once: the peer sees it before anything that is sent elsewhere after this returns.
func (s *Stream) ShutdownNow() {
	s.mu.Lock()
	s.ending = true
	if !s.closed {
		s.half()
	}
	s.mu.Unlock()
	go s.Close() // it may wait for whoever is reading
}

// Close ends the connection at once.
func (s *Stream) Close() { s.conn.Close() }
