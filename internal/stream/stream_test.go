package stream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// dialUnstarted opens a connection to a peer that reads nothing by itself, and is not started: nobody is told of its end.
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

// dialStarted opens such a connection, started.
func dialStarted(t *testing.T) (*Stream, net.Conn, chan []byte, chan struct{}) {
	t.Helper()
	s, peer := dialUnstarted(t)
	in, ended := make(chan []byte, 9), make(chan struct{})
	s.Start(Events{Received: func(p []byte) { in <- append([]byte(nil), p...) }, Closed: func() { close(ended) }})
	return s, peer, in, ended
}

// TestAPeerThatReadsNothingHoldsUpNobody: the library's flush would wait for it, and what waits would pile up.
func TestAPeerThatReadsNothingHoldsUpNobody(t *testing.T) {
	s, peer, _, ended := dialStarted(t)
	done := make(chan error, 2)
	s.Write(make([]byte, 32<<20), func(err error) { done <- err })
	if _, err := peer.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-done:
		t.Fatalf("32 MB went to a peer that reads nothing: %v", err)
	default:
	}
	s.Write([]byte("behind"), func(err error) { done <- err }) // too much waits for it by now
	<-ended
	if err := <-done; err == nil || errors.Is(err, ErrUnwritten) {
		t.Errorf("a part was written: %v", err)
	}
	if err := <-done; !errors.Is(err, ErrUnwritten) {
		t.Errorf("nothing of the second was written: %v", err)
	}
}

// TestCloseGracefullyLetsAllBytesOut: all that was written before the end arrives, and nothing is taken after it.
func TestCloseGracefullyLetsAllBytesOut(t *testing.T) {
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

// TestShutdownNowIsSeenAtOnceAndEndsOnce: the peer sees our end without a delay, and the owner is told once.
func TestShutdownNowIsSeenAtOnceAndEndsOnce(t *testing.T) {
	s, peer, in, ended := dialStarted(t)
	peer.Write([]byte("x"))
	if p := <-in; string(p) != "x" {
		t.Errorf("%q", p)
	}
	s.ShutdownNow()
	if _, err := peer.Read(make([]byte, 1)); err == nil {
		t.Error("the peer still reads something")
	}
	<-ended // closed twice, the test would panic
	s.Close()
	s.Write([]byte("y"), func(err error) {
		if !errors.Is(err, ErrUnwritten) {
			t.Error(err)
		}
	})
}

// TestPeerPresent: a peer's end is known before anyone has read it, whichever way it went.
func TestPeerPresent(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn){
		"closed":      func(c *net.TCPConn) { c.Close() },
		"half-closed": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":       func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		s, peer := dialUnstarted(t)
		if !s.PeerPresent() {
			t.Errorf("%s: gone before it went", name)
		}
		leave(peer.(*net.TCPConn))
		for end := time.Now().Add(5 * time.Second); s.PeerPresent(); {
			if time.Now().After(end) {
				t.Fatalf("%s: still present", name)
			}
		}
		s.Close()
	}
}

// TestSmallWritesGoOutAtOnce on both sides: what the system held back would go with a reset.
func TestSmallWritesGoOutAtOnce(t *testing.T) {
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
	accepted := make(chan int, 1)
	loop, err := netpoll.NewEventLoop(func(context.Context, netpoll.Connection) error { return nil },
		netpoll.WithOnPrepare(func(c netpoll.Connection) context.Context {
			accepted <- nodelay(New(c))
			return context.Background()
		}))
	if err != nil {
		t.Fatal(err)
	}
	go loop.Serve(ln)
	defer loop.Shutdown(t.Context())
	conn, err := Dial(ln.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if us, them := nodelay(New(conn)), <-accepted; us == 0 || them == 0 {
		t.Errorf("TCP_NODELAY %d on what we open, %d on what we take", us, them)
	}
}

// TestAnEndOverUnreadBytes guards against a reset that takes the last words with it: the peer goes on sending as our
// side ends, reads everything, and only then is closed, in bounded time.
func TestAnEndOverUnreadBytes(t *testing.T) {
	s, peer, in, ended := dialStarted(t)
	go func() {
		for range in {
		}
	}()
	began := time.Now()
	metReset := make(chan time.Time, 1)
	go func() { // it sends for longer than the linger lasts
		for {
			if _, err := peer.Write(make([]byte, 1000)); err != nil {
				metReset <- time.Now()
				return
			}
		}
	}()
	s.Write([]byte("the last words"), nil)
	s.CloseGracefully()
	all := make([]byte, 0, 99)
	for p := make([]byte, 99); ; {
		n, err := peer.Read(p)
		if all = append(all, p[:n]...); err == io.EOF {
			break
		} else if err != nil {
			t.Fatalf("it read %q and met %v, not our end", all, err)
		}
	}
	endReadAt := time.Now()
	if string(all) != "the last words" {
		t.Errorf("it read %q", all)
	}
	if after := (<-metReset).Sub(endReadAt); after < lingerTimeout/5 || after > time.Hour {
		t.Errorf("it met a reset %v after our end", after)
	}
	<-ended
	if took := time.Since(began); took > 4*lingerTimeout {
		t.Errorf("it ended after %v", took)
	}
}

// TestAWriteBehindAReset: what is written after the peer's reset has come has surely not left, also where nobody has
// noticed the reset yet.
func TestAWriteBehindAReset(t *testing.T) {
	s, peer := dialUnstarted(t)
	peer.(*net.TCPConn).SetLinger(0)
	peer.Close()
	for { // the reset has come once the kernel says so; asking takes its first error away
		if _, _, err := syscall.Recvfrom(s.fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT); !errors.Is(err, syscall.EAGAIN) {
			break
		}
	}
	done := make(chan error, 1)
	s.Write([]byte("a command"), func(err error) { done <- err })
	if err := <-done; !errors.Is(err, ErrUnwritten) {
		t.Errorf("behind a reset: %v", err)
	}
	s.Close()

	s, _, _, _ = dialStarted(t) // the library knows of no end, and the kernel refuses its first call
	syscall.Shutdown(s.fd, syscall.SHUT_WR)
	s.Write([]byte("a command"), func(err error) { done <- err })
	if err := <-done; !errors.Is(err, ErrUnwritten) {
		t.Errorf("refused by the kernel: %v", err)
	}
}
