package engine_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cairntiller/internal/backend"
	"cairntiller/internal/engine"
	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
	"cairntiller/internal/testcluster/scriptedserver"
)

// Each test here makes two events meet in their bad order; docs/crossings.md has the table.

// goneClient is a client that has gone without anyone having been told.
type goneClient struct{ stayingClient }

func (goneClient) Connected() bool { return false }

// heldNode is a node whose connections come up only once they are let.
type heldNode struct {
	addr     string
	startups chan net.Conn
	queries  chan string
}

func startHeldNode(t *testing.T) *heldNode {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &heldNode{ln.Addr().String(), make(chan net.Conn, 99), make(chan string, 99)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			if _, err := scriptedserver.ReadFrame(c, false); err == nil {
				h.startups <- c
			}
		}
	}()
	return h
}

// complete lets a connection come up, and tells what it is asked.
func (h *heldNode) complete(c net.Conn) {
	io.WriteString(c, scriptedserver.Welcome)
	go func() {
		for {
			q, err := scriptedserver.ReadFrame(c, true)
			if err != nil {
				return
			}
			h.queries <- string(q)
			io.WriteString(c, scriptedserver.Row+scriptedserver.Ready)
		}
	}()
}

// TestLookedAtAgainAsItBegins: what was true as an attempt was decided is looked at again as its connection comes up:
// whether its client is there, its command owed an answer, its window of repeats open, its node in use. None is written.
func TestLookedAtAgainAsItBegins(t *testing.T) {
	for name, c := range map[string]struct {
		client    inflight.Client
		within    int64
		meanwhile func(p interface{ FailWaiting(string) }, x *inflight.Request)
		want      string
	}{
		"nothing happened":      {stayingClient{}, 400_000, nil, "written"},
		"its client has gone":   {goneClient{}, 0, nil, "unsent"},
		"its command is over":   {stayingClient{}, 0, func(_ interface{ FailWaiting(string) }, x *inflight.Request) { x.ClientGone() }, "unsent"},
		"its window has passed": {stayingClient{}, 1, nil, "unsent"},
		"its node drains":       {stayingClient{}, 0, func(p interface{ FailWaiting(string) }, _ *inflight.Request) { p.FailWaiting("n0") }, "unsent"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node := startHeldNode(t)
			p, harness := startPool(t, 9, &scriptedserver.Node{Addr: node.addr})
			x := harness.dispatch(p, "n0", c.client, 0, c.within).Request
			conn := <-node.startups // it waits for this one
			harness.mu.Lock()
			if c.meanwhile != nil {
				c.meanwhile(p, x)
			}
			harness.mu.Unlock()
			node.complete(conn)
			got := <-harness.results
			if c.want == "unsent" && got.outcome != routing.NotSent || c.want == "written" && got.outcome != routing.Answered {
				t.Errorf("%d, want it %s", got.outcome, c.want)
			}
			harness.send(p, "n0", 0) // the connection is as good as before; nothing else was ever written on it
			if c.want == "unsent" {
				if got := <-harness.results; got.outcome != routing.Answered || len(node.queries) != 1 {
					t.Errorf("the next one: %d, %d queries", got.outcome, len(node.queries))
				}
			}
		})
	}
}

// TestDescriptorsOfConnectionsThatClose count: attempts that are cancelled in a row never hold more connections to a
// node than may be open and closing, and none is forgotten.
func TestDescriptorsOfConnectionsThatClose(t *testing.T) {
	node := startHeldNode(t)
	p, harness := startPool(t, 4, &scriptedserver.Node{Addr: node.addr})
	for range 200 {
		d := harness.send(p, "n0", 0)
		select {
		case c := <-node.startups:
			io.WriteString(c, scriptedserver.Welcome)
			if _, err := scriptedserver.ReadFrame(c, true); err != nil {
				t.Fatal(err)
			}
			harness.mu.Lock()
			p.Cancel(d)
			harness.mu.Unlock()
		case got := <-harness.results:
			t.Fatalf("no room: %d", got.outcome)
		}
	}
}

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
	node := startHeldNode(t)
	r := startRouter(t, 999, &scriptedserver.Node{Addr: node.addr})
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
	conn := <-node.startups // the limit lets a few go out; the rest wait in the module
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
	node.complete(conn)
	go func() {
		for c := range node.startups {
			node.complete(c)
		}
	}()
	c, _ := cancelKey(t, r)
	sendCommand(c, "stays", "put", "5000")
	if got := summary(readUntil(t, c, 'Z')); got != "row" {
		t.Errorf("who stays: %q", got)
	}
	for len(node.queries) > 0 {
		if q := <-node.queries; !strings.Contains(q, "id=stays") {
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

// TestAShortIdleLimit: a node that closes idle connections soon has each used again all the same, for half of that time.
func TestAShortIdleLimit(t *testing.T) {
	s := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready, scriptedserver.Row+scriptedserver.Ready, scriptedserver.Row+scriptedserver.Ready)
	harness := &poolHarness{now: engine.NewClock(), queue: make(chan func(), 999), results: make(chan result, 99)}
	go harness.run()
	p := backend.New(harness.now, harness.post, harness.after, harness, backend.Config{ConnectTimeout: 500_000, IdleLimit: 900_000, MaxConnections: 9})
	p.SetAddress("n0", s.Addr)
	for i, rest := range []time.Duration{0, 0, 700 * time.Millisecond} {
		time.Sleep(rest) // past half of the limit, not past the limit
		harness.send(p, "n0", 0)
		if got := <-harness.results; got.outcome != routing.Answered {
			t.Fatal(got.outcome)
		}
		if n := len(s.Opened()); n != 1+i/2 {
			t.Errorf("%d connections after %d queries", n, i+1)
		}
	}
}

// TestAnAddressMovesUnderAWait: an attempt that waits for a connection goes to the node's new address, and the
// connection that comes up late at the old one carries nothing.
func TestAnAddressMovesUnderAWait(t *testing.T) {
	before, after := startHeldNode(t), startHeldNode(t)
	p, harness := startPool(t, 9, &scriptedserver.Node{Addr: before.addr})
	harness.send(p, "n0", 0)
	old := <-before.startups
	harness.mu.Lock()
	p.SetAddress("n0", after.addr)
	harness.mu.Unlock()
	before.complete(old)
	after.complete(<-after.startups)
	if got := <-harness.results; got.outcome != routing.Answered || len(before.queries) != 0 || len(after.queries) != 1 {
		t.Errorf("%d, %d queries at the old address, %d at the new one", got.outcome, len(before.queries), len(after.queries))
	}
}
