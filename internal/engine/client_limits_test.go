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

// TestQueuedAnswersLimit checks that the errors queued behind an unanswered command are limited in number. Beyond the
// limit the commands accepted so far are answered and the connection is closed.
func TestQueuedAnswersLimit(t *testing.T) {
	primary := scriptedserver.Start(t, scriptedserver.Welcome, "")
	r := startRouter(t, 9, primary)
	c := r.dial(t)
	sendCommand(c, "1", "put", "400") // gets no answer from the node, so the errors queue behind it
	for range 500 {
		c.Write(pgwire.AppendQuery(nil, "SELECT 1"))
	}
	if got := summary(readUntil(t, c, 'Z')); got != "58000" {
		t.Errorf("accepted command: %q", got)
	}
	rest := readUntil(t, c, 0)
	if n := bytes.Count(rest, []byte("C22023")); n > 128 || !bytes.Contains(rest, []byte("C53300")) {
		t.Errorf("%d errors, or no final 53300", n)
	}
}

// TestUnusedConnectionsAreEvicted opens connections that send nothing or an incomplete message. A normal client must be
// served at once beside them, and each of them must get an error within its timeout.
func TestUnusedConnectionsAreEvicted(t *testing.T) {
	t.Parallel()
	r := startRouter(t, 40, scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready, scriptedserver.Row+scriptedserver.Ready))
	partial := pgwire.AppendQuery(nil, "/* id=9,c=look,t=acme,d=900,cluster=0 */ SELECT '"+strings.Repeat("x", 150_000))
	partial = append(pgwire.AppendStartup(nil, "a", "b"), partial[:len(partial)-9]...)
	var unused []net.Conn
	for i := range 120 {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		if unused = append(unused, c); i%4 == 0 { // together these exceed the limit on partial messages
			c.Write(partial)
		}
	}
	normal := r.dial(t)
	checkServed := func(id string) {
		sendCommand(normal, id, "put", "900")
		if got := summary(readUntil(t, normal, 'Z')); got != "row" {
			t.Errorf("normal client: %q", got)
		}
	}
	checkServed("1")
	began := time.Now()
	for i, c := range unused {
		all := readUntil(t, c, 'E')
		if i%4 == 0 && len(all) > 0 && all[0] == 'R' {
			all = all[bytes.Index(all, []byte(scriptedserver.Ready))+len(scriptedserver.Ready):]
		}
		if got := summary(all); got != "53300" && got != "57P05" && got != "end" {
			t.Fatalf("%d: %q", i, got)
		}
	}
	if took := time.Since(began); took > 4*time.Second { // 3 s, plus a margin for slow machines
		t.Errorf("the last unused connection got its error after %v", took)
	}
	checkServed("2")
}

// TestNewConnectionsReplaceIdleOnes guards against clients that send one command and then occupy a session for good.
// New connections that arrive together must evict idle ones, and not one another before their first command.
func TestNewConnectionsReplaceIdleOnes(t *testing.T) {
	t.Parallel()
	r := startRouter(t, 20, scriptedserver.Start(t, scriptedserver.Welcome, strings.Split(strings.Repeat(scriptedserver.Row+scriptedserver.Ready+";", 40), ";")...))
	checkServed := func(c net.Conn, id string) {
		t.Helper()
		sendCommand(c, id, "put", "900")
		if got := summary(readUntil(t, c, 'Z')); got != "row" {
			t.Fatalf("%s: %q", id, got)
		}
	}
	for i := range 20 {
		checkServed(r.dial(t), fmt.Sprint("idle", i))
	}
	time.Sleep(2100 * time.Millisecond)
	var added []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		c.Write(pgwire.AppendStartup(nil, "a", "b"))
		added = append(added, c)
	}
	for i, c := range added {
		readUntil(t, c, 'Z')
		checkServed(c, fmt.Sprint("new", i))
	}
}

// TestIdleConnectionsLimit guards against clients that use up their own connection limit with connections that they
// never use again. Only a sixteenth of the sessions may stay idle; the others are closed, those idle the longest first.
func TestIdleConnectionsLimit(t *testing.T) {
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
			t.Errorf("connection idle beyond the limit: %q", got)
		}
	}
	for i, c := range conns[8:] {
		sendCommand(c, fmt.Sprint("again", i), "put", "900")
		if got := summary(readUntil(t, c, 'Z')); got != "row" {
			t.Errorf("idle connection within the limit: %q", got)
		}
	}
}

// TestInputAfterFatalErrorIsDiscarded announces a huge message. The error is sent at once; the bytes that follow are
// read, so that the error reaches the client, but not kept.
func TestInputAfterFatalErrorIsDiscarded(t *testing.T) {
	r := startRouter(t, 9, scriptedserver.Start(t, scriptedserver.Welcome))
	c := r.dial(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	io.WriteString(c, "Q\x7f\x00\x00\x00")
	for sent, chunk := 0, make([]byte, 1<<20); sent < 40<<20; sent += len(chunk) {
		if _, err := c.Write(chunk); err != nil {
			break // the router stopped reading after its lingering close
		}
	}
	// Pools of buffers are only emptied by the second collection.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if got := summary(readUntil(t, c, 'E')); got != "08P01" {
		t.Errorf("%q", got)
	}
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 1<<20 {
		t.Errorf("heap grew by %d bytes", grown)
	}
}
