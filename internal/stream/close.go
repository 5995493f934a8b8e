package stream

import (
	"log/slog"
	"time"
)

// CloseGracefully shuts down the write side once all queued bytes are written, and closes the connection once the peer
// has closed its side or lingerTimeout has elapsed.
func (s *Stream) CloseGracefully() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return
	}
	s.closing = true
	if !s.writing {
		s.closeWriteSide()
	}
}

// closeWriteSide shuts down the write side, and closes the connection if the peer doesn't do so within lingerTimeout.
// The caller must hold s.mu.
func (s *Stream) closeWriteSide() {
	if s.closed {
		return
	}
	s.conn.CloseWrite()
	s.setReceiveBuffer(closingReceiveBuffer)
	s.interruptReader()
	time.AfterFunc(lingerTimeout, s.Close)
}

// InterruptReader makes the stream's goroutine call Events.Received once without bytes, also if nothing arrives.
func (s *Stream) InterruptReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interruptReader()
}

// interruptReader is InterruptReader for a caller that holds s.mu.
func (s *Stream) interruptReader() { s.conn.SetReadDeadline(time.Unix(1, 0)) }

// ShutdownNow shuts down the write side at once, so that the peer sees it before anything that is sent elsewhere after
// ShutdownNow returns. The connection is closed soon after.
func (s *Stream) ShutdownNow() {
	s.mu.Lock()
	s.closing = true
	if !s.closed {
		s.conn.CloseWrite()
	}
	s.mu.Unlock()
	s.Close()
}

// CloseSlowReader closes the connection of a peer that does not read what is written to it. Queued bytes are dropped.
func (s *Stream) CloseSlowReader() {
	s.mu.Lock()
	s.closing = true
	queued := s.queuedBytes
	s.mu.Unlock()
	slowReaders.Add()
	slog.Debug("connection closed: the peer reads too slowly", "peer", s.conn.RemoteAddr(), "queued_bytes", queued)
	s.Close()
}

// Close closes the connection at once. It does not wait: the standard library's Close does, for a read or a write in
// progress to return.
func (s *Stream) Close() {
	if s.markClosed() {
		go s.conn.Close()
	}
}

// markClosed makes the stream closed, and returns whether the caller has to close the connection.
func (s *Stream) markClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.closing = true
	s.closed = true
	return true
}

// WriteSideClosed reports whether nothing more will be sent: the stream is closing and all queued bytes are written, or
// the connection is closed.
func (s *Stream) WriteSideClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.closing && !s.writing
}
