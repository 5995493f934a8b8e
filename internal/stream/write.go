package stream

import (
	"errors"
	"syscall"
)

// Write queues bytes, which are the stream's from here on; it never blocks. done, if not nil, is called once with whether
// the kernel has all of them: ErrUnwritten only if it surely has none. A peer for which more than maxQueuedBytes wait has
// its connection closed; a single larger write is allowed while nothing else waits.
func (s *Stream) Write(p []byte, done func(error)) {
	s.mu.Lock()
	if s.ending {
		s.mu.Unlock()
		if done != nil {
			done(ErrUnwritten)
		}
		return
	}
	s.queue = append(s.queue, queuedWrite{p, done})
	s.queuedBytes += len(p)
	tooMuch := s.queuedBytes > max(maxQueuedBytes, len(p))
	if tooMuch {
		s.ending = true
	}
	startWriter := !s.writing
	s.writing = true
	s.mu.Unlock()
	if startWriter {
		go s.writeQueued()
	}
	if tooMuch {
		slowReaders.Add()
		go s.Close() // it calls the owner, who may be waiting for this to return
	}
}

// writeQueued writes what is queued, until nothing is. It has a goroutine of its own, for the library's flush blocks
// while the peer reads nothing.
func (s *Stream) writeQueued() {
	var failed error
	for {
		writes := s.takeQueued(failed == nil)
		if writes == nil {
			return
		}
		for _, one := range writes {
			err := failed
			if err == nil {
				err = s.writeNow(one.bytes)
			}
			if err != nil && failed == nil {
				failed = ErrUnwritten // of those after it nothing has left
				failedWrites.Add()
				s.Close()
			}
			s.mu.Lock()
			s.queuedBytes -= len(one.bytes)
			s.mu.Unlock()
			if one.done != nil {
				one.done(err)
			}
		}
	}
}

// takeQueued takes what is queued. Where that is nothing the writer ends, and our side with it if it is ending and all
// was written.
func (s *Stream) takeQueued(allWritten bool) []queuedWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes := s.queue
	s.queue = nil
	if len(writes) > 0 {
		return writes
	}
	s.writing = false
	if s.ending && allWritten {
		s.endWriteSide()
	}
	return nil
}

// writeNow hands bytes to the kernel; it blocks while the peer reads nothing.
func (s *Stream) writeNow(p []byte) error {
	if !s.conn.IsActive() {
		return ErrUnwritten
	}
	_, err := s.conn.Write(p)
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		// The library's Write stops at the first failing call to the kernel. EPIPE and ECONNRESET come only from the first
		// call, so nothing was sent: its poller makes the later calls, and their failure arrives as a closed connection.
		// This rests on cloudwego/netpoll's Write; look at it again with a new version.
		return ErrUnwritten
	}
	return err
}
