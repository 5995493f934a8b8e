package engine_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/testcluster/scriptedserver"
)

// Tests of race conditions: each test forces the problematic order of two events. docs/crossings.md lists them.

// errorCode returns the SQLSTATE of an error reply, or the summary of another reply.
func errorCode(p []byte) string {
	if _, rest, found := strings.Cut(string(p), "\x00VERROR\x00C"); found {
		return rest[:5]
	}
	return summary(p)
}

// cancelKey opens a connection and returns it with its cancel key (BackendKeyData).
func cancelKey(t *testing.T, r *testRouter) (c net.Conn, key []byte) {
	t.Helper()
	r.dial(t).Close() // waits until the router is ready
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
	if rest, err := io.ReadAll(c); err != nil || len(rest) > 0 { // the cancel has been handled once the connection closes
		t.Errorf("reply to a cancel: %q, %v", rest, err)
	}
	c.Close()
}

// TestCancel checks that a cancel with the right key ends the command in flight at once, at its node too, and leaves
// the connection open. Any other key, including that of a closed connection, has no effect.
func TestCancel(t *testing.T) {
	primary, replica := scriptedserver.Start(t, scriptedserver.Welcome), scriptedserver.Start(t, scriptedserver.Welcome, "", scriptedserver.Row+scriptedserver.Ready)
	r := startRouter(t, 9, primary, replica)
	closed, closedKey := cancelKey(t, r)
	closed.Close()
	c, key := cancelKey(t, r)
	other, otherKey := cancelKey(t, r)
	if binary.BigEndian.Uint32(key[4:]) == binary.BigEndian.Uint32(otherKey[4:]) {
		t.Errorf("two connections have the same secret: %x, %x", key, otherKey)
	}
	sendCommand(c, "1", "look", "15000")
	<-replica.Queries
	wrongKey := append([]byte(nil), key...)
	wrongKey[7]++
	for _, k := range [][]byte{closedKey, wrongKey, otherKey, make([]byte, 8), append(key[:4:4], 0, 0, 0, 0)} {
		r.cancel(t, nil, k)
	}
	if n := r.engine.Unanswered(); n != 1 {
		t.Fatalf("%d unanswered commands after cancels with wrong keys", n)
	}
	r.cancel(t, nil, key)
	if got := errorCode(readUntil(t, c, 'Z')); got != "57014" {
		t.Errorf("cancelled command: %q", got)
	}
	<-replica.Ended
	sendCommand(c, "2", "look", "900")
	if got := summary(readUntil(t, c, 'Z')); got != "row" {
		t.Errorf("next command: %q", got)
	}
	r.cancel(t, nil, key) // no command is in flight
	other.Write(pgwire.AppendQuery(nil, ""))
	if got := readUntil(t, other, 'Z'); got[0] != 'I' {
		t.Errorf("other connection: %q", got)
	}
}

// TestCancelRacesWithAnswer guards against a late cancel that ends the wrong command. Its connection opens during the
// first command, and its message arrives during the second one, which must not be cancelled.
func TestCancelRacesWithAnswer(t *testing.T) {
	primary, replica := scriptedserver.Start(t, scriptedserver.Welcome), scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready, "")
	r := startRouter(t, 9, primary, replica)
	c, k := cancelKey(t, r)
	sendCommand(c, "1", "look", "900")
	<-replica.Queries
	before := metrics.Value("client connections")
	cancelConn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	for metrics.Value("client connections") == before {
		time.Sleep(time.Millisecond)
	}
	if got := summary(readUntil(t, c, 'Z')); got != "row" {
		t.Fatal(got)
	}
	sendCommand(c, "2", "look", "15000")
	<-replica.Queries
	r.cancel(t, cancelConn, k)
	if n := r.engine.Unanswered(); n != 1 {
		t.Fatal("the cancel ended a later command")
	}
	replica.Opened()[0].Write([]byte(scriptedserver.Row + scriptedserver.Ready))
	if got := summary(readUntil(t, c, 'Z')); got != "row" {
		t.Errorf("later command: %q", got)
	}
}

// TestClientsDisconnectBeforeSend guards against sending commands of disconnected clients to a node. Two hundred
// clients wait for a node connection that opens late, then disconnect in each of four ways; none of their commands may
// be sent.
func TestClientsDisconnectBeforeSend(t *testing.T) {
	node := scriptedserver.StartHeld(t)
	r := startRouter(t, 999, &scriptedserver.Node{Addr: node.Addr})
	const clients = 200
	concluded := func() int64 { // some may be rejected before their clients disconnect, or read after that
		return metrics.Value("commands abandoned by clients") + metrics.Value("commands rejected") +
			metrics.Value("commands of clients that had gone")
	}
	before := concluded()
	var all []net.Conn
	for range clients {
		c, _ := cancelKey(t, r)
		all = append(all, c)
	}
	for i, c := range all {
		sendCommand(c, fmt.Sprint("x", i), "put", "15000")
	}
	conn := <-node.Startups // a limit lets a few attempts start; the rest queue in the routing module
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
	for r.engine.Unanswered() > 0 || concluded() < before+clients {
		time.Sleep(time.Millisecond)
	}
	node.Complete(conn)
	go func() {
		for c := range node.Startups {
			node.Complete(c)
		}
	}()
	c, _ := cancelKey(t, r)
	sendCommand(c, "connected", "put", "5000")
	if got := summary(readUntil(t, c, 'Z')); got != "row" {
		t.Errorf("connected client: %q", got)
	}
	for len(node.Queries) > 0 {
		if q := <-node.Queries; !strings.Contains(q, "id=connected") {
			t.Errorf("sent for a disconnected client: %q", q)
		}
	}
}

// TestCommandWhileDraining checks that while the router drains, commands sent after one in flight are rejected in
// order, none goes unanswered, and the connection is closed after the last answer.
func TestCommandWhileDraining(t *testing.T) {
	primary, replica := scriptedserver.Start(t, scriptedserver.Welcome), scriptedserver.Start(t, scriptedserver.Welcome, "")
	r := startRouter(t, 9, primary, replica)
	c := r.dial(t)
	sendCommand(c, "1", "look", "5000")
	<-replica.Queries
	r.frontend.BeginDrain()
	before := metrics.Value("commands while draining")
	for i := range 3 {
		sendCommand(c, fmt.Sprint("late", i), "look", "5000")
	}
	for metrics.Value("commands while draining") < before+3 {
		time.Sleep(time.Millisecond)
	}
	replica.Opened()[0].Write([]byte(scriptedserver.Row + scriptedserver.Ready))
	for i, want := range []string{"row", "57P03", "57P03", "57P03", "end"} {
		if got := errorCode(readUntil(t, c, 'Z')); got != want {
			t.Errorf("%d: %q, want %q", i, got, want)
		}
	}
	if n := len(replica.Queries) + len(primary.Queries); n > 0 {
		t.Errorf("%d more were sent to nodes", n)
	}
}

// TestShutdownWithHangingNodes checks that AbortRequests answers every command in flight even if no node replies.
func TestShutdownWithHangingNodes(t *testing.T) {
	primary, replica := scriptedserver.Start(t, scriptedserver.Welcome, ""), scriptedserver.Start(t, scriptedserver.Welcome)
	r := startRouter(t, 9, primary, replica)
	writer, queued := r.dial(t), r.dial(t)
	sendCommand(writer, "1", "put", "60000")
	<-primary.Queries
	for i := range 30 { // a limit keeps most of them queued
		sendCommand(queued, fmt.Sprint("w", i), "put", "60000")
	}
	for r.engine.Unanswered() < 31 {
		time.Sleep(time.Millisecond)
	}
	r.engine.AbortRequests()
	if got := summary(readUntil(t, writer, 'Z')); got != "58000" {
		t.Errorf("write that may have run: %q", got)
	}
	for i := range 30 {
		if got := summary(readUntil(t, queued, 'Z')); got != "58000" && got != "53300" {
			t.Errorf("%d: %q", i, got)
		}
	}
	if n := r.engine.Unanswered(); n > 0 {
		t.Errorf("%d still unanswered", n)
	}
}

// TestConnectionWhileDraining checks that a client that connects during a drain and sends its startup and a command in
// one segment gets the answer before the connection is closed.
func TestConnectionWhileDraining(t *testing.T) {
	replica := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready)
	r := startRouter(t, 9, scriptedserver.Start(t, scriptedserver.Welcome), replica)
	r.dial(t).Close()
	r.frontend.BeginDrain()
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
