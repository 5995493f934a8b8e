package stream

import (
	"syscall"
	"time"
)

// CloseGracefully ends our side once all that is queued is out, and closes the connection once the peer has read it or
// its time to do so is over.
func (s *Stream) CloseGracefully() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending {
		return
	}
	s.ending = true
	if !s.writing {
		s.endWriteSide()
	}
}

// endWriteSide ends our side; the peer then ends its own, or is cut off. Called with the lock held.
func (s *Stream) endWriteSide() {
	if s.closed {
		return
	}
	s.shutdownWrite()
	s.setReceiveBuffer(endedReceiveBuffer)
	time.AfterFunc(lingerTimeout, s.Close)
}

// ShutdownNow ends our side at once: the peer sees it before anything that is sent elsewhere after this returns. The
// connection is closed soon after.
func (s *Stream) ShutdownNow() {
	s.mu.Lock()
	s.ending = true
	if !s.closed {
		s.shutdownWrite()
	}
	s.mu.Unlock()
	go s.Close() // it may wait for whoever is reading
}

// Close closes the connection at once.
func (s *Stream) Close() { s.conn.Close() }

// WriteSideClosed reports whether nothing more will leave: our side has ended, after all that was queued.
func (s *Stream) WriteSideClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.ending && !s.writing
}

func (s *Stream) shutdownWrite() { syscall.Shutdown(s.fd, syscall.SHUT_WR) }
