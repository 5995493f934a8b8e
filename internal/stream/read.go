package stream

import (
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// readBufferSize is the size of the largest piece of input that is read at once, in bytes.
const readBufferSize = 1 << 14

// readBuffers holds the buffers that are not in use. One is needed only while a piece of input is read and handled.
var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// input is the state of a stream's reader.
type input struct {
	behindSince atomic.Int64 // Unix time in ns since when there has been unread input at all times; 0 for none
	handling    sync.Mutex   // held from reading bytes until the owner has handled them
	waited      bool         // hasInput has found nothing, so that the next call follows a wait; used by the reader alone
	peeked      [1]byte      // used by the reader alone
}

// readUntilEnd passes input to the owner until the connection ends.
func (s *Stream) readUntilEnd(events Events) {
	ended := false
	read := func() { ended = s.readOnce(events.Received) }
	admit := events.Admit
	if admit == nil {
		admit = func(read func()) { read() }
	}
	hasInput := s.hasInput
	for !ended {
		s.input.waited = false
		switch err := s.raw.Read(hasInput); {
		case err == nil:
			admit(read)
		case errors.Is(err, os.ErrDeadlineExceeded): // set by interruptReader
			s.conn.SetReadDeadline(time.Time{})
			events.Received(nil)
		default:
			ended = true
		}
	}
	if s.markClosed() {
		s.conn.Close()
	}
	events.Closed()
}

// hasInput reports whether there may be bytes to be read, the end of the peer's stream or an error. If not, the caller
// waits for one of them and calls it again.
func (s *Stream) hasInput(fd uintptr) bool {
	if !s.input.waited {
		_, _, err := syscall.Recvfrom(int(fd), s.input.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) {
			s.input.behindSince.Store(0)
			s.input.waited = true
			return false
		}
	}
	s.input.behindSince.CompareAndSwap(0, time.Now().UnixNano())
	return true
}

// readOnce reads a piece of input and passes it to the owner. It returns whether the connection has ended.
func (s *Stream) readOnce(received func(p []byte)) (ended bool) {
	buffer := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(buffer)
	s.input.handling.Lock()
	defer s.input.handling.Unlock()
	n, err := s.readPiece(buffer[:])
	if n > 0 {
		received(buffer[:n])
		return false
	}
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// readPiece reads without blocking.
func (s *Stream) readPiece(p []byte) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, syscall.EBADF
	}
	return syscall.Read(s.fd, p)
}

// WaitHandled waits until the owner has handled the bytes that were passed to it. It must not be called by a callback.
func (s *Stream) WaitHandled() {
	s.input.handling.Lock()
	defer s.input.handling.Unlock()
}

// Behind returns for how long there has been unread input at all times, 0 if the reader has come to its end since.
func (s *Stream) Behind() time.Duration {
	since := s.input.behindSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(time.Now().UnixNano() - since)
}

// Idle reports whether the connection is open and nothing has arrived that the owner has not handled: neither bytes nor
// the end of the peer's stream.
func (s *Stream) Idle() bool {
	if !s.input.handling.TryLock() {
		return false
	}
	defer s.input.handling.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	var peeked [1]byte
	_, err := s.peek(peeked[:])
	return errors.Is(err, syscall.EAGAIN)
}

// peek reads bytes that have arrived without consuming them. 0 bytes without an error are the end of the peer's stream.
// The caller must hold s.mu.
func (s *Stream) peek(p []byte) (n int, err error) {
	if s.closed {
		return 0, syscall.EBADF
	}
	n, _, err = syscall.Recvfrom(s.fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
