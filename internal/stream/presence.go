package stream

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerPresent reports whether the peer is still connected. It asks the kernel, because a FIN or reset may have arrived
// without having been read yet, also behind unread bytes. It can't tell if so many bytes are unread that the peer's FIN
// has found no room in the kernel; see Behind.
func (s *Stream) PeerPresent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	var peeked [1]byte
	n, err := s.peek(peeked[:])
	if n > 0 {
		return !s.peerEnded()
	}
	return err != nil && !errors.Is(err, syscall.ECONNRESET)
}

// peerEnded reports whether a FIN or reset has arrived, behind whatever is unread. The caller must hold s.mu.
func (s *Stream) peerEnded() bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	poll := []unix.PollFd{{Fd: int32(s.fd), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(poll, 0)
	return err == nil && ready > 0 && poll[0].Revents&ended != 0
}
