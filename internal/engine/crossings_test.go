package engine_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cairntiller/internal/pgwire"
	"cairntiller/internal/testcluster/scriptedserver"
)

// Each test here makes two events meet in their bad order; docs/crossings.md has the table.

// errorCode is an error's.
func errorCode(p []byte) string {
	if _, rest, found := strings.Cut(string(p), "\x00VERROR\x00C"); found {
		return rest[:5]
	}
	return summary(p)
}

// cancelKey is what a welcome tells, to cancel a connection's commands by.
func cancelKey(t *testing.T, r *testRouter) (c net.Conn, key []byte) {
	t.Helper()
	r.dial(t).Close() // it is ready
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	c.Write(pgwire.AppendStartup(nil, "portal", "crm"))
	all := string(readUntil(t, c, 'Z'))
	at := strings.Index(all, "K\x00\x00\x00\x0c")
	if at < 0 {
		t.Fatalf("no key in %q", all)
	}
	return c, []byte(all[at+5 : at+13])
}

func (r *testRouter) cancel(t *testing.T, c net.Conn, key []byte) {
	t.Helper()
	if c == nil {
		var err error
		if c, err = net.Dial("tcp", r.addr); err != nil {
			t.Fatal(err)
		}
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	c.Write(append([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), key...))
	if rest, err := io.ReadAll(c); err != nil || len(rest) > 0 { // read and carried out, once it ends
		t.Errorf("a cancel was told %q, %v", rest, err)
	}
	c.Close()
}

// TestCancel: the key of its connection ends the command in hand at once, at its node too; no other key does anything,
// nor does one whose connection has ended. The connection lives on.
func TestCancel(t *testing.T) {
	primary, replica := scriptedserver.Start(t, scriptedserver.Welcome), scriptedserver.Start(t, scriptedserver.Welcome, "", scriptedserver.Row+scriptedserver.Ready)
	r := startRouter(t, 9, primary, replica)
	gone, old := cancelKey(t, r)
	gone.Close()
	c, right := cancelKey(t, r)
	other, others := cancelKey(t, r)
	if binary.BigEndian.Uint32(right[4:]) == binary.BigEndian.Uint32(others[4:]) {
		t.Errorf("two connections have one key: %x, %x", right, others)
	}
	sendCommand(c, "1", "look", "15000")
	<-replica.Queries
	wrong := append([]byte(nil), right...)
	wrong[7]++
	for _, k := range [][]byte{old, wrong, others, make([]byte, 8), append(right[:4:4], 0, 0, 0, 0)} {
		r.cancel(t, nil, k)
	}
	if n := r.engine.Unanswered(); n != 1 {
		t.Fatalf("%d commands owed after cancels with wrong keys", n)
	}
	r.cancel(t, nil, right)
	if got := errorCode(readUntil(t, c, 'Z')); got != "57014" {
		t.Errorf("cancelled: %q", got)
	}
	<-replica.Ended
	sendCommand(c, "2", "look", "900")
	if got := summary(readUntil(t, c, 'Z')); got != "row" {
		t.Errorf("the next command: %q", got)
	}
	r.cancel(t, nil, right) // nothing is in hand
	other.Write(pgwire.AppendQuery(nil, ""))
	if got := readUntil(t, other, 'Z'); got[0] != 'I' {
		t.Errorf("another connection: %q", got)
	}
}

// TestACancelThatCrossesItsAnswer hits no later command: its connection is there before the next command comes, and
// what it says is read behind that.
func TestACancelThatCrossesItsAnswer(t *testing.T) {
	primary, replica := scriptedserver.Start(t, scriptedserver.Welcome), scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready, "")
	r := startRouter(t, 9, primary, replica)
	c, k := cancelKey(t, r)
	sendCommand(c, "1", "look", "900")
	<-replica.Queries
	before := counterValue("client connections ")
	late, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	for counterValue("client connections ") == before {
		time.Sleep(time.Millisecond)
	}
	if got := summary(readUntil(t, c, 'Z')); got != "row" {
		t.Fatal(got)
	}
	sendCommand(c, "2", "look", "15000")
	<-replica.Queries
	r.cancel(t, late, k)
	if n := r.engine.Unanswered(); n != 1 {
		t.Fatal("the command that came behind the cancelled one was hit")
	}
	replica.Opened()[0].Write([]byte(scriptedserver.Row + scriptedserver.Ready))
	if got := summary(readUntil(t, c, 'Z')); got != "row" {
		t.Errorf("the later command: %q", got)
	}
}

// TestACrowdThatLeaves guards against what is sent on for clients that have gone: hundreds wait for one connection that
// comes up late, then leave in each way there is; nothing is written for them.
func TestACrowdThatLeaves(t *testing.T) {
	node := scriptedserver.StartHeld(t)
	r := startRouter(t, 999, &scriptedserver.Node{Addr: node.Addr})
	const crowd = 200
	over := func() int64 { // a few may have had their attempts before their clients went
		return counterValue("commands abandoned by clients") + counterValue("commands rejected")
	}
	before := over()
	var all []net.Conn
	for range crowd {
		c, _ := cancelKey(t, r)
		all = append(all, c)
	}
	for i, c := range all {
		sendCommand(c, fmt.Sprint("x", i), "put", "15000")
	}
	conn := <-node.Startups // the limit lets a few go out; the rest wait in the module
	for i, c := range all {
		switch i % 4 {
		case 0:
			c.Close()
		case 1:
			c.(*net.TCPConn).CloseWrite()
		case 2:
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		case 3:
			c.Write([]byte("X\x00\x00\x00\x04"))
		}
	}
	for r.engine.Unanswered() > 0 || over() < before+crowd {
		time.Sleep(time.Millisecond)
	}
	node.Complete(conn)
	go func() {
		for c := range node.Startups {
			node.Complete(c)
		}
	}()
	c, _ := cancelKey(t, r)
	sendCommand(c, "stays", "put", "5000")
	if got := summary(readUntil(t, c, 'Z')); got != "row" {
		t.Errorf("who stays: %q", got)
	}
	for len(node.Queries) > 0 {
		if q := <-node.Queries; !strings.Contains(q, "id=stays") {
			t.Errorf("sent on for a client that has gone: %q", q)
		}
	}
}

// TestACommandBehindTheLastAnswer: while the router leaves, what a client sends behind a command in hand is turned away
// in its turn and nothing is lost; the connection ends behind it.
func TestACommandBehindTheLastAnswer(t *testing.T) {
	primary, replica := scriptedserver.Start(t, scriptedserver.Welcome), scriptedserver.Start(t, scriptedserver.Welcome, "")
	r := startRouter(t, 9, primary, replica)
	c := r.dial(t)
	sendCommand(c, "1", "look", "5000")
	<-replica.Queries
	r.front.BeginDrain()
	before := counterValue("commands while draining")
	for i := range 3 {
		sendCommand(c, fmt.Sprint("late", i), "look", "5000")
	}
	for counterValue("commands while draining") < before+3 {
		time.Sleep(time.Millisecond)
	}
	replica.Opened()[0].Write([]byte(scriptedserver.Row + scriptedserver.Ready))
	for i, want := range []string{"row", "57P03", "57P03", "57P03", "end"} {
		if got := errorCode(readUntil(t, c, 'Z')); got != want {
			t.Errorf("%d: %q, want %q", i, got, want)
		}
	}
	if n := len(replica.Queries) + len(primary.Queries); n > 0 {
		t.Errorf("%d more were sent on", n)
	}
}

// TestStoppedWhileNodesHang: what is owed when the router must be gone is answered then.
func TestStoppedWhileNodesHang(t *testing.T) {
	primary, replica := scriptedserver.Start(t, scriptedserver.Welcome, ""), scriptedserver.Start(t, scriptedserver.Welcome)
	r := startRouter(t, 9, primary, replica)
	write, waits := r.dial(t), r.dial(t)
	sendCommand(write, "1", "put", "60000")
	<-primary.Queries
	for i := range 30 { // most wait unsent behind a limit
		sendCommand(waits, fmt.Sprint("w", i), "put", "60000")
	}
	for r.engine.Unanswered() < 31 {
		time.Sleep(time.Millisecond)
	}
	r.engine.GiveUpAll()
	if got := summary(readUntil(t, write, 'Z')); got != "58000" {
		t.Errorf("a write that may have run: %q", got)
	}
	for i := range 30 {
		if got := summary(readUntil(t, waits, 'Z')); got != "58000" && got != "53300" {
			t.Errorf("%d: %q", i, got)
		}
	}
	if n := r.engine.Unanswered(); n > 0 {
		t.Errorf("%d still owed", n)
	}
}

// TestComeWhileLeaving: one that has just come brings its command with its startup, in one segment, and is served once.
func TestComeWhileLeaving(t *testing.T) {
	replica := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready)
	r := startRouter(t, 9, scriptedserver.Start(t, scriptedserver.Welcome), replica)
	r.dial(t).Close()
	r.front.BeginDrain()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	c.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "portal", "crm"), "/* id=1,c=look,t=acme,d=900,cluster=0 */ SELECT '1'"))
	readUntil(t, c, 'Z')
	for _, want := range []string{"row", "end"} {
		if got := errorCode(readUntil(t, c, 'Z')); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
