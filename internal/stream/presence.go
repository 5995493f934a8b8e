package stream

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Presence is what is known of a peer.
type Presence int

// What may be known of a peer.
const (
	PeerPresent Presence = iota
	PeerGone             // it has closed its side or the connection
	PeerUnknown          // so much of its input is unread that its end may not have found room in the kernel
)

// maxUnreadBeforeEnd is the number of unread bytes from which on the end of a peer's stream may be held back, in bytes.
// The kernel's buffer takes many times that, but far less if it arrives in small pieces.
const maxUnreadBeforeEnd = 1 << 12

// Peer returns whether the peer is still connected. It asks the kernel, because a FIN or reset may have arrived without
// having been read yet, also behind unread bytes.
func (s *Stream) Peer() Presence {
	buffer := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(buffer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return PeerGone
	}
	n, err := s.peek(buffer[:maxUnreadBeforeEnd])
	switch {
	case n > 0 && s.peerEnded():
		return PeerGone
	case n == maxUnreadBeforeEnd:
		return PeerUnknown
	case n > 0:
		return PeerPresent
	case err == nil || errors.Is(err, syscall.ECONNRESET):
		return PeerGone
	}
	return PeerPresent
}

// peerEnded reports whether a FIN or reset has arrived, behind whatever is unread. The caller must hold s.mu.
func (s *Stream) peerEnded() bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	poll := []unix.PollFd{{Fd: int32(s.fd), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(poll, 0)
	return err == nil && ready > 0 && poll[0].Revents&ended != 0
}
