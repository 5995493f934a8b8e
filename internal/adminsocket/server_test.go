package adminsocket

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	socket := filepath.Join(t.TempDir(), "s")
	s, err := Listen(Settings{Enabled: true, Socket: socket})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, socket
}

// TestRequests checks a request that is answered in several lines and sends another line itself, and requests that are
// refused with a reason: the handler fails, no handler is registered for the command, or the line is not valid JSON.
func TestRequests(t *testing.T) {
	s, socket := startServer(t)
	s.Handle("count", func(_ context.Context, session *Session) error {
		for n := range 3 {
			session.Reply(n)
		}
		var more string
		if err := session.ReadLine(&more); err != nil {
			return err
		}
		return session.Reply(more + session.Name + session.Args["a"])
	})
	s.Handle("refuse", func(context.Context, *Session) error { return errors.New("not today") })
	c, err := Dial(socket, Request{Command: "count", Name: "n", Args: map[string]string{"a": "b"}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for want := range 3 {
		var n int
		if more, err := c.ReadLine(&n); !more || err != nil || n != want {
			t.Fatal(n, more, err)
		}
	}
	c.Send("more ")
	var text string
	if more, err := c.ReadLine(&text); !more || err != nil || text != "more nb" {
		t.Error(text, more, err)
	}
	if more, err := c.ReadLine(&text); more || err != nil {
		t.Error("after the last line:", more, err)
	}
	for command, want := range map[string]string{"refuse": "not today", "unknown": "does not know"} {
		c, err := Dial(socket, Request{Command: command})
		if err != nil {
			t.Fatal(err)
		}
		var refused *RefusedError
		if more, err := c.ReadLine(&text); more || !errors.As(err, &refused) || !strings.Contains(err.Error(), want) {
			t.Error(command, more, err)
		}
		c.Close()
	}
	raw, err := net.Dial("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	raw.Write([]byte("no JSON\n"))
	buf := make([]byte, 100)
	if n, _ := raw.Read(buf); !strings.Contains(string(buf[:n]), "can't be read") {
		t.Errorf("%q", buf[:n])
	}
}

// TestSocketProtection checks that only the owner may open the socket, and that a second router does not replace the
// socket of a running one, replaces a stale one, and does not touch a file that is not a socket.
func TestSocketProtection(t *testing.T) {
	s, socket := startServer(t)
	if st, err := os.Stat(socket); err != nil || st.Mode().Perm() != 0o600 {
		t.Error(st.Mode(), err)
	}
	if _, err := Listen(s.settings); !errors.Is(err, ErrSocketInUse) {
		t.Error("a second router replaced the socket of a running one:", err)
	}
	s.Close()
	stale, err := net.ListenUnix("unix", &net.UnixAddr{Name: socket})
	if err != nil {
		t.Fatal(err)
	}
	stale.SetUnlinkOnClose(false)
	stale.Close()
	again, err := Listen(s.settings)
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
	if err := os.WriteFile(socket, []byte("a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(s.settings); !errors.Is(err, ErrNotASocket) {
		t.Error("a regular file was treated as a socket:", err)
	}
}

// TestConnectionLimit opens as many requests as a router accepts, as held leases do. It checks that the next request is
// refused with a reason, where the connection was once closed without one, and is served after another request has
// ended.
func TestConnectionLimit(t *testing.T) {
	s, socket := startServer(t)
	begun := make(chan bool, maxConnections)
	s.Handle("hold", func(_ context.Context, session *Session) error {
		begun <- true
		var line string
		return session.ReadLine(&line)
	})
	s.Handle("ask", func(_ context.Context, session *Session) error { return session.Reply("answer") })
	var calls []*Call
	for range maxConnections {
		c, err := Dial(socket, Request{Command: "hold"})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		calls = append(calls, c)
		<-begun
	}
	var answer string
	var refused *RefusedError
	if err := Do(socket, Request{Command: "ask"}, &answer); !errors.As(err, &refused) || !strings.Contains(err.Error(), "takes no more") {
		t.Error("over the limit:", err)
	}
	calls[0].Close()
	for end := time.Now().Add(20 * time.Second); Do(socket, Request{Command: "ask"}, &answer) != nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no request was served after another had ended")
		}
	}
	if answer != "answer" {
		t.Errorf("%q", answer)
	}
}
