package stream

import (
	"cmp"
	"errors"
	"syscall"
	"time"
)

const (
	// writeOverhead is what a queued write takes in memory besides its bytes, in bytes.
	writeOverhead = 128
	// maxBatchBytes limits the bytes of the writes that are passed to the kernel at once, unless a single one is larger.
	maxBatchBytes = 1 << 16
)

type queuedWrite struct {
	bytes []byte
	done  func(error) // may be nil
}

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
	s.queuedBytes += len(p) + writeOverhead
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
func (s *Stream) hasRoom(size int) bool {
	size += writeOverhead
	return s.queuedBytes+size <= max(maxQueuedBytes, size)
}

// writeQueued writes until the queue is empty. It runs on a separate goroutine, because writing blocks while the peer
// reads nothing.
func (s *Stream) writeQueued() {
	failed := false
	for {
		batch := s.takeBatch(!failed)
		if batch == nil {
			return
		}
		accepted := 0
		err := ErrUnwritten
		if !failed {
			accepted, err = s.writeBatch(batch)
		}
		if err != nil && !failed {
			failed = true
			failedWrites.Add()
			s.Close()
		}
		s.endBatch(batch, accepted, err)
	}
}

// takeBatch removes and returns the first queued writes. If there are none, it returns nil and the writer ends; if the
// stream is closing and all was written, the write side is then shut down.
func (s *Stream) takeBatch(allWritten bool) []queuedWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, count := 0, 0
	for count < len(s.queue) && (count == 0 || size+len(s.queue[count].bytes) <= maxBatchBytes) {
		size += len(s.queue[count].bytes)
		count++
	}
	batch := s.queue[:count:count]
	s.queue = s.queue[count:]
	if count > 0 {
		return batch
	}
	s.queue = nil
	s.writing = false
	if s.closing && allWritten {
		s.closeWriteSide()
	}
	return nil
}

// writeBatch passes writes to the kernel and returns the number of bytes accepted. It blocks while the peer reads nothing,
// for at most writeTimeout.
func (s *Stream) writeBatch(batch []queuedWrite) (accepted int, err error) {
	p := batch[0].bytes
	if len(batch) > 1 {
		p = make([]byte, 0, maxBatchBytes)
		for _, write := range batch {
			p = append(p, write.bytes...)
		}
	}
	var result error
	blocked := false
	err = s.raw.Write(func(fd uintptr) bool {
		for accepted < len(p) {
			n, err := syscall.Write(int(fd), p[accepted:])
			switch {
			case n > 0:
				accepted += n
			case errors.Is(err, syscall.EINTR):
			case errors.Is(err, syscall.EAGAIN):
				if !blocked {
					blocked = true
					s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
				}
				return false
			default:
				result = err
				return true
			}
		}
		return true
	})
	if blocked {
		s.conn.SetWriteDeadline(time.Time{})
	}
	return accepted, cmp.Or(err, result)
}

// endBatch reports the end of each write of a batch of which the kernel has accepted a number of bytes.
func (s *Stream) endBatch(batch []queuedWrite, accepted int, err error) {
	for i, write := range batch {
		batch[i] = queuedWrite{} // the queue may share the array, which must not keep the write
		size := len(write.bytes)
		s.mu.Lock()
		s.queuedBytes -= size + writeOverhead
		s.mu.Unlock()
		result := err
		switch {
		case err == nil || accepted >= size:
			result = nil
		case accepted <= 0:
			result = ErrUnwritten
		}
		accepted -= size
		if write.done != nil {
			write.done(result)
		}
	}
}
