package stream

import (
	"errors"
	"syscall"
)

// Write queues bytes, which belong to the stream from here on; it never blocks. done, if not nil, is called once: with
// nil if the kernel has accepted all of the bytes, with ErrUnwritten only if it has certainly accepted none. If the queue
// has no room for the bytes, the connection is closed; an owner that may write a lot at once calls HasRoom first.
func (s *Stream) Write(p []byte, done func(error)) {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		if done != nil {
			done(ErrUnwritten)
		}
		return
	}
	overLimit := !s.hasRoom(len(p))
	s.queue = append(s.queue, queuedWrite{p, done})
	s.queuedBytes += len(p)
	startWriter := !s.writing
	s.writing = true
	s.mu.Unlock()
	if startWriter {
		go s.writeQueued()
	}
	if overLimit {
		s.CloseSlowReader()
	}
}

// HasRoom reports whether the queue has room for a write of the given size: at most maxQueuedBytes wait in it, or a
// single larger write.
func (s *Stream) HasRoom(size int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasRoom(size)
}

// hasRoom is HasRoom for a caller that holds s.mu.
func (s *Stream) hasRoom(size int) bool { return s.queuedBytes+size <= max(maxQueuedBytes, size) }

// writeQueued writes until the queue is empty. It runs on a separate goroutine, because the library's flush blocks
// while the peer reads nothing.
func (s *Stream) writeQueued() {
	var earlierErr error
	for {
		writes := s.takeQueued(earlierErr == nil)
		if writes == nil {
			return
		}
		for i, write := range writes {
			writes[i] = queuedWrite{} // later writes may wait for long, and must not keep this one in memory
			err := earlierErr
			if err == nil {
				err = s.writeBlocking(write.bytes)
			}
			if err != nil && earlierErr == nil {
				earlierErr = ErrUnwritten // nothing of the later writes was sent
				failedWrites.Add()
				s.Close()
			}
			s.mu.Lock()
			s.queuedBytes -= len(write.bytes)
			s.mu.Unlock()
			if write.done != nil {
				write.done(err)
			}
		}
	}
}

// takeQueued removes and returns the queued writes. If there are none, it returns nil and the writer ends; if the
// stream is closing and all was written, the write side is then shut down.
func (s *Stream) takeQueued(allWritten bool) []queuedWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes := s.queue
	s.queue = nil
	if len(writes) > 0 {
		return writes
	}
	s.writing = false
	if s.closing && allWritten {
		s.closeWriteSide()
	}
	return nil
}

// writeBlocking passes bytes to the kernel; it blocks while the peer reads nothing.
func (s *Stream) writeBlocking(p []byte) error {
	if !s.conn.IsActive() {
		return ErrUnwritten
	}
	_, err := s.conn.Write(p)
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		// The library's Write stops at the first failing call to the kernel. EPIPE and ECONNRESET come only from the
		// first call, so nothing was sent: its poller makes the later calls, and their failure arrives as a closed
		// connection. This depends on the Write of cloudwego/netpoll; check it when the library is updated.
		return ErrUnwritten
	}
	return err
}
