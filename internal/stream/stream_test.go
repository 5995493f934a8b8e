package stream

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// dialUnstarted returns an unstarted stream, whose end is not reported, and its peer, which reads nothing by itself.
func dialUnstarted(t *testing.T) (*Stream, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := Dial(ln.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return New(conn), peer
}

// dialStarted is like dialUnstarted, but starts the stream. It also returns the received bytes and the end of the
// stream.
func dialStarted(t *testing.T) (*Stream, net.Conn, chan []byte, chan struct{}) {
	t.Helper()
	s, peer := dialUnstarted(t)
	in, ended := make(chan []byte, 9), make(chan struct{})
	s.Start(Events{Received: func(p []byte) { in <- append([]byte(nil), p...) }, Closed: func() { close(ended) }})
	return s, peer, in, ended
}

// TestWriteDoesNotBlockOnStalledPeer checks that Write returns although the peer reads nothing, and that the queue can't
// grow without bound.
func TestWriteDoesNotBlockOnStalledPeer(t *testing.T) {
	s, peer, _, ended := dialStarted(t)
	done := make(chan error, 2)
	s.Write(make([]byte, 32<<20), func(err error) { done <- err })
	if _, err := peer.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-done:
		t.Fatalf("32 MB were written to a peer that reads nothing: %v", err)
	default:
	}
	s.Write([]byte("behind"), func(err error) { done <- err }) // exceeds maxQueuedBytes
	<-ended
	if err := <-done; err == nil || errors.Is(err, ErrUnwritten) {
		t.Errorf("after a partial write: %v", err)
	}
	if err := <-done; !errors.Is(err, ErrUnwritten) {
		t.Errorf("second write, of which nothing was sent: %v", err)
	}
}

// TestCloseGracefullyWritesQueuedBytes checks that all bytes written before CloseGracefully arrive, and that later
// writes fail.
func TestCloseGracefullyWritesQueuedBytes(t *testing.T) {
	s, peer, _, ended := dialStarted(t)
	s.Write(make([]byte, 4<<20), nil)
	s.CloseGracefully()
	s.Write([]byte("late"), func(err error) {
		if !errors.Is(err, ErrUnwritten) {
			t.Error(err)
		}
	})
	if p, err := io.ReadAll(peer); err != nil || len(p) != 4<<20 {
		t.Errorf("%d bytes, %v", len(p), err)
	}
	peer.Close()
	<-ended
}

// TestShutdownNow checks that the peer sees the end of the stream without delay, and that Closed is called once.
func TestShutdownNow(t *testing.T) {
	s, peer, in, ended := dialStarted(t)
	peer.Write([]byte("x"))
	if p := <-in; string(p) != "x" {
		t.Errorf("%q", p)
	}
	s.ShutdownNow()
	if _, err := peer.Read(make([]byte, 1)); err == nil {
		t.Error("the peer read a byte after the shutdown")
	}
	<-ended // a second call of Closed would panic
	s.Close()
	s.Write([]byte("y"), func(err error) {
		if !errors.Is(err, ErrUnwritten) {
			t.Error(err)
		}
	})
}

// TestPeer checks that the end of a peer is detected before it has been read, however the peer ended the
// connection.
func TestPeer(t *testing.T) {
	for name, disconnect := range map[string]func(c *net.TCPConn){
		"closed":      func(c *net.TCPConn) { c.Close() },
		"half-closed": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":       func(c *net.TCPConn) { c.SetLinger(0); c.Close() },

		"closed behind unread bytes":      func(c *net.TCPConn) { c.Write(make([]byte, 1000)); c.Close() },
		"half-closed behind unread bytes": func(c *net.TCPConn) { c.Write(make([]byte, 1000)); c.CloseWrite() },
		"reset behind unread bytes":       func(c *net.TCPConn) { c.Write(make([]byte, 1000)); c.SetLinger(0); c.Close() },
	} {
		s, peer := dialUnstarted(t)
		if s.Peer() != PeerPresent {
			t.Errorf("%s: not present while connected", name)
		}
		peer.Write([]byte("x"))
		if s.Peer() != PeerPresent {
			t.Errorf("%s: not present while connected, with an unread byte", name)
		}
		disconnect(peer.(*net.TCPConn))
		for end := time.Now().Add(5 * time.Second); s.Peer() != PeerGone; {
			if time.Now().After(end) {
				t.Fatalf("%s: still present after the disconnect", name)
			}
		}
		s.Close()
	}
}

// TestPeerIsUnknownBehindMuchInput guards against taking a peer for present while so much of its input is unread that its
// end can't have arrived.
func TestPeerIsUnknownBehindMuchInput(t *testing.T) {
	s, peer := dialUnstarted(t)
	peer.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := peer.Write(make([]byte, 16<<20)); err == nil {
		t.Fatal("the kernel has taken all of it")
	}
	peer.Close()
	if got := s.Peer(); got != PeerUnknown {
		t.Errorf("presence %d, want %d", got, PeerUnknown)
	}
	s.Close()
}

// TestNoDelayIsSet checks that TCP_NODELAY is set on dialed and accepted connections: small writes that the system
// delayed would be lost in a reset.
func TestNoDelayIsSet(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nodelay := func(s *Stream) int {
		v, err := syscall.GetsockoptInt(s.fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		if err != nil {
			t.Error(err)
		}
		return v
	}
	defer ln.Close()
	conn, err := Dial(ln.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if dialed, acceptedValue := nodelay(New(conn)), nodelay(New(accepted.(*net.TCPConn))); dialed == 0 || acceptedValue == 0 {
		t.Errorf("TCP_NODELAY %d on the dialed connection, %d on the accepted one", dialed, acceptedValue)
	}
}

// TestCloseGracefullyWithUnreadBytes guards against a reset that makes the peer lose the last bytes: a peer that keeps
// sending while the stream closes must be able to read everything before the connection is closed, in bounded time.
func TestCloseGracefullyWithUnreadBytes(t *testing.T) {
	s, peer, in, ended := dialStarted(t)
	go func() {
		for range in {
		}
	}()
	began := time.Now()
	resetAt := make(chan time.Time, 1)
	go func() { // sends for longer than lingerTimeout
		for {
			if _, err := peer.Write(make([]byte, 1000)); err != nil {
				resetAt <- time.Now()
				return
			}
		}
	}()
	s.Write([]byte("the last words"), nil)
	s.CloseGracefully()
	received := make([]byte, 0, 99)
	for p := make([]byte, 99); ; {
		n, err := peer.Read(p)
		if received = append(received, p[:n]...); err == io.EOF {
			break
		} else if err != nil {
			t.Fatalf("the peer read %q and got %v, want EOF", received, err)
		}
	}
	endReadAt := time.Now()
	if string(received) != "the last words" {
		t.Errorf("the peer read %q", received)
	}
	if after := (<-resetAt).Sub(endReadAt); after < lingerTimeout/5 || after > time.Hour {
		t.Errorf("the peer got a reset %v after the end of the stream", after)
	}
	<-ended
	if took := time.Since(began); took > 4*lingerTimeout {
		t.Errorf("the connection was closed after %v", took)
	}
}

// TestWriteAfterReset checks that a write after the peer's reset has arrived fails with ErrUnwritten, even if the reset
// has not been read yet.
func TestWriteAfterReset(t *testing.T) {
	s, peer := dialUnstarted(t)
	peer.(*net.TCPConn).SetLinger(0)
	peer.Close()
	for { // wait until the reset has arrived; this call consumes its first error
		if _, _, err := syscall.Recvfrom(s.fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT); !errors.Is(err, syscall.EAGAIN) {
			break
		}
	}
	done := make(chan error, 1)
	s.Write([]byte("a command"), func(err error) { done <- err })
	if err := <-done; !errors.Is(err, ErrUnwritten) {
		t.Errorf("after a reset: %v", err)
	}
	s.Close()

	s, _, _, _ = dialStarted(t) // the end is not seen, but the first call to the kernel fails
	syscall.Shutdown(s.fd, syscall.SHUT_WR)
	s.Write([]byte("a command"), func(err error) { done <- err })
	if err := <-done; !errors.Is(err, ErrUnwritten) {
		t.Errorf("refused by the kernel: %v", err)
	}
}

// TestInputIsNotReadAheadOfOwner guards against input that piles up in memory while its owner is busy: a peer that sends
// at full speed has to wait.
func TestInputIsNotReadAheadOfOwner(t *testing.T) {
	const sent = 16 << 20
	s, peer := dialUnstarted(t)
	handle, ended := make(chan struct{}), make(chan struct{})
	received := 0
	s.Start(Events{
		Received: func(p []byte) {
			<-handle
			received += len(p)
		},
		Closed: func() { close(ended) },
	})
	peer.SetDeadline(time.Now().Add(300 * time.Millisecond))
	accepted, err := peer.Write(make([]byte, sent))
	if err == nil || s.Behind() == 0 {
		t.Errorf("%d bytes were taken from the peer while the owner handled none, behind for %v", accepted, s.Behind())
	}
	peer.Close()
	close(handle)
	<-ended
	if received != accepted {
		t.Errorf("%d bytes were received, the peer sent %d", received, accepted)
	}
}

// TestWritesAreBatched checks that many small writes arrive in order and are each reported once, also if the peer reads
// only later.
func TestWritesAreBatched(t *testing.T) {
	const writes = 5000
	s, peer, _, _ := dialStarted(t)
	results := make(chan error, writes)
	for i := range writes {
		s.Write([]byte{byte(i)}, func(err error) { results <- err })
	}
	got := make([]byte, writes)
	if _, err := io.ReadFull(peer, got); err != nil {
		t.Fatal(err)
	}
	for i := range writes {
		if err := <-results; err != nil || got[i] != byte(i) {
			t.Fatalf("write %d: %v, byte %d", i, err, got[i])
		}
	}
	s.Close()
}
