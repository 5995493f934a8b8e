package stream

import (
	"errors"
	"syscall"
)

// PeerPresent reports whether the peer is still connected. It asks the kernel, because a FIN or reset may have arrived
// without having been read yet. A FIN behind unread bytes is not detected.
func (s *Stream) PeerPresent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	var peeked [1]byte
	n, err := s.peek(peeked[:])
	return n > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET)
}
