package engine_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/testcluster/scriptedserver"
)

// TestAnswersOwedAreBounded: behind a command in hand a client can pile up errors of ours only to a bound; what was
// taken is answered first, then the connection ends.
func TestAnswersOwedAreBounded(t *testing.T) {
	primary := scriptedserver.Start(t, scriptedserver.Welcome, "")
	r := startRouter(t, 9, primary)
	c := r.dial(t)
	sendCommand(c, "1", "put", "400") // it has no answer, so the errors wait behind it
	for range 500 {
		c.Write(pgwire.AppendQuery(nil, "SELECT 1"))
	}
	if got := summary(readUntil(t, c, 'Z')); got != "58000" {
		t.Errorf("what was taken: %q", got)
	}
	rest := readUntil(t, c, 0)
	if n := bytes.Count(rest, []byte("C22023")); n > 128 || !bytes.Contains(rest, []byte("C53300")) {
		t.Errorf("%d errors", n)
	}
}

// TestACrowdOfNoUse guards against those who connect and say nothing, or never say all: usual clients find
// room among them at once, and each of them is told an error in its time.
func TestACrowdOfNoUse(t *testing.T) {
	t.Parallel()
	r := startRouter(t, 40, scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready, scriptedserver.Row+scriptedserver.Ready))
	half := pgwire.AppendQuery(nil, "/* id=9,c=look,t=acme,d=900,cluster=0 */ SELECT '"+strings.Repeat("x", 150_000))
	half = append(pgwire.AppendStartup(nil, "a", "b"), half[:len(half)-9]...)
	var crowd []net.Conn
	for i := range 120 {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		if crowd = append(crowd, c); i%4 == 0 { // together these are more than may be in hand
			c.Write(half)
		}
	}
	usual := r.dial(t)
	served := func(id string) {
		sendCommand(usual, id, "put", "900")
		if got := summary(readUntil(t, usual, 'Z')); got != "row" {
			t.Errorf("the usual client: %q", got)
		}
	}
	served("1")
	began := time.Now()
	for i, c := range crowd {
		all := readUntil(t, c, 'E')
		if i%4 == 0 && len(all) > 0 && all[0] == 'R' {
			all = all[bytes.Index(all, []byte(scriptedserver.Ready))+len(scriptedserver.Ready):]
		}
		if got := summary(all); got != "53300" && got != "57P05" && got != "end" {
			t.Fatalf("%d: %q", i, got)
		}
	}
	if took := time.Since(began); took > 4*time.Second { // 3 s, and a slow machine's share
		t.Errorf("the last of the crowd was told after %v", took)
	}
	served("2")
}

// TestNewcomersAmongTheIdle guards against places held by clients that asked once and stayed: many newcomers at a
// time find room, and do not end one another before they have asked.
func TestNewcomersAmongTheIdle(t *testing.T) {
	t.Parallel()
	r := startRouter(t, 20, scriptedserver.Start(t, scriptedserver.Welcome, strings.Split(strings.Repeat(scriptedserver.Row+scriptedserver.Ready+";", 40), ";")...))
	served := func(c net.Conn, id string) {
		t.Helper()
		sendCommand(c, id, "put", "900")
		if got := summary(readUntil(t, c, 'Z')); got != "row" {
			t.Fatalf("%s: %q", id, got)
		}
	}
	for i := range 20 {
		served(r.dial(t), fmt.Sprint("stays", i))
	}
	time.Sleep(2100 * time.Millisecond)
	var fresh []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		c.Write(pgwire.AppendStartup(nil, "a", "b"))
		fresh = append(fresh, c)
	}
	for i, c := range fresh {
		readUntil(t, c, 'Z')
		served(c, fmt.Sprint("new", i))
	}
}

// TestFewStandIdle guards against clients whose own limit is taken by connections that they never use again: all
// but a sixteenth of the places are freed of them, the longest idle first.
func TestFewStandIdle(t *testing.T) {
	t.Parallel()
	r := startRouter(t, 32, scriptedserver.Start(t, scriptedserver.Welcome, strings.Split(strings.Repeat(scriptedserver.Row+scriptedserver.Ready+";", 20), ";")...))
	var conns []net.Conn
	for i := range 10 {
		c := r.dial(t)
		sendCommand(c, fmt.Sprint(i), "put", "900")
		readUntil(t, c, 'Z')
		conns = append(conns, c)
	}
	for _, c := range conns[:8] {
		if got := readUntil(t, c, 0); string(got) != "end" {
			t.Errorf("a long idle connection: %q", got)
		}
	}
	for i, c := range conns[8:] {
		sendCommand(c, fmt.Sprint("again", i), "put", "900")
		if got := summary(readUntil(t, c, 'Z')); got != "row" {
			t.Errorf("one of the few that stay: %q", got)
		}
	}
}

// TestWhatComesAfterAnErrorIsNotKept: the claim of a huge value is answered at once, and what follows is read,
// so that the error arrives, and thrown away.
func TestWhatComesAfterAnErrorIsNotKept(t *testing.T) {
	r := startRouter(t, 9, scriptedserver.Start(t, scriptedserver.Welcome))
	c := r.dial(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	io.WriteString(c, "Q\x7f\x00\x00\x00")
	for sent, chunk := 0, make([]byte, 1<<20); sent < 40<<20; sent += len(chunk) {
		if _, err := c.Write(chunk); err != nil {
			break // it has lingered for long enough
		}
	}
	// Twice: what the library has read and given back lies in its pools, and those are emptied by the second one. How
	// much that is goes by how late its reader gets a core: with 15 ms it was 25 MB, none of it kept.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if got := summary(readUntil(t, c, 'E')); got != "08P01" {
		t.Errorf("%q", got)
	}
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 1<<20 {
		t.Errorf("%d bytes more in use", grown)
	}
}
