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

func listen(t *testing.T) (*Server, string) {
	t.Helper()
	socket := filepath.Join(t.TempDir(), "s")
	s, err := Listen(Settings{Enabled: true, Socket: socket})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, socket
}

// TestRequests: a request is answered in several lines and followed by a further one; others are refused, with the reason,
// because the handler fails, because nobody handles the command, or because the line can't be read.
func TestRequests(t *testing.T) {
	s, socket := listen(t)
	s.Handle("count", func(_ context.Context, x *Session) error {
		for n := range 3 {
			x.Reply(n)
		}
		var more string
		if err := x.ReadLine(&more); err != nil {
			return err
		}
		return x.Reply(more + x.Name + x.Args["a"])
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
		t.Error("after the end", more, err)
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

// TestSocketIsGuarded: nobody but the owner may open the socket. A second router does not take the socket of one that is
// alive, it takes that of one that is dead, and it leaves a file that is no socket alone.
func TestSocketIsGuarded(t *testing.T) {
	s, socket := listen(t)
	if st, err := os.Stat(socket); err != nil || st.Mode().Perm() != 0o600 {
		t.Error(st.Mode(), err)
	}
	if _, err := Listen(s.settings); !errors.Is(err, ErrSocketInUse) {
		t.Error("a second router took the socket:", err)
	}
	s.Close()
	left, err := net.ListenUnix("unix", &net.UnixAddr{Name: socket})
	if err != nil {
		t.Fatal(err)
	}
	left.SetUnlinkOnClose(false)
	left.Close()
	again, err := Listen(s.settings)
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
	if err := os.WriteFile(socket, []byte("a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(s.settings); !errors.Is(err, ErrNotASocket) {
		t.Error("a file was taken for a socket:", err)
	}
}

// TestTooManyRequests: as many operators' requests are under way as a router takes, each by a lease that is held. Seen: the next
// one's connection is closed without a word. It is told why, and is served once another has ended.
func TestTooManyRequests(t *testing.T) {
	s, socket := listen(t)
	begun := make(chan bool, maxConnections)
	s.Handle("hold", func(_ context.Context, x *Session) error {
		begun <- true
		var line string
		return x.ReadLine(&line)
	})
	s.Handle("ask", func(_ context.Context, x *Session) error { return x.Reply("answer") })
	var held []*Call
	for range maxConnections {
		c, err := Dial(socket, Request{Command: "hold"})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		held = append(held, c)
		<-begun
	}
	var answer string
	var refused *RefusedError
	if err := Ask(socket, Request{Command: "ask"}, &answer); !errors.As(err, &refused) || !strings.Contains(err.Error(), "takes no more") {
		t.Error("over the limit:", err)
	}
	held[0].Close()
	for end := time.Now().Add(20 * time.Second); Ask(socket, Request{Command: "ask"}, &answer) != nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not served after another has ended")
		}
	}
	if answer != "answer" {
		t.Errorf("%q", answer)
	}
}
