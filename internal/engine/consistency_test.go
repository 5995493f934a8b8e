package engine_test

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"cairntiller/internal/discovery"
	"cairntiller/internal/metrics"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/testcluster/scriptedserver"
)

// completeStartup answers the startup of a node's connection.
func completeStartup(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, scriptedserver.Welcome); err != nil {
		t.Fatal(err)
	}
}

// readQuery reads a query that a node has received.
func readQuery(t *testing.T, conn net.Conn) string {
	t.Helper()
	query, err := scriptedserver.ReadFrame(conn, true)
	if err != nil {
		t.Fatal(err)
	}
	return string(query)
}

// waitForCounter waits until a counter exceeds a value.
func waitForCounter(t *testing.T, name string, before int64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); metrics.Value(name) <= before; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: still %d", name, metrics.Value(name))
		}
	}
}

// TestReadWaitingAtFormerPrimaryIsNotSent guards against stale reads from a node that has answered that it is no longer
// the primary: a read of a session was routed there before that answer and waits for its connection.
func TestReadWaitingAtFormerPrimaryIsNotSent(t *testing.T) {
	node := scriptedserver.StartHeld(t)
	r := startRouter(t, 9, &scriptedserver.Node{Addr: node.Addr})
	writer, reader := r.dial(t), r.dial(t)

	sendCommand(writer, "1", "put", "900")
	first := <-node.Startups
	completeStartup(t, first)
	readQuery(t, first)
	io.WriteString(first, scriptedserver.Row+scriptedserver.Status("role", "primary")+scriptedserver.Ready)
	if got := summary(readUntil(t, writer, 'Z')); got != "row" {
		t.Fatal(got)
	}
	time.Sleep(20 * time.Millisecond) // the connection becomes idle

	sendCommand(writer, "2", "put", "900") // on the idle connection
	readQuery(t, first)
	reader.Write(pgwire.AppendQuery(nil, "/* id=3,c=own,t=acme,d=900,cluster=0,after="+millisAgo(time.Second)+" */ SELECT data FROM facts WHERE code = 'k'"))
	second := <-node.Startups // the read waits for it
	before := metrics.Value("attempts not primary")
	notPrimary := strings.TrimSuffix(scriptedserver.Failure("25006"), scriptedserver.Ready) + scriptedserver.Status("role", "replica") + scriptedserver.Ready
	io.WriteString(first, notPrimary)
	waitForCounter(t, "attempts not primary", before)
	reads := make(chan string, 9)
	for _, conn := range []net.Conn{first, second} { // the write may be sent again to find the primary
		go func() {
			if conn == second {
				io.WriteString(conn, scriptedserver.Welcome)
			}
			for {
				query, err := scriptedserver.ReadFrame(conn, true)
				if err != nil {
					return
				}
				if strings.Contains(string(query), "c=own") {
					reads <- string(query)
					io.WriteString(conn, scriptedserver.Row+scriptedserver.Status("role", "replica")+scriptedserver.Ready)
					continue
				}
				io.WriteString(conn, notPrimary)
			}
		}()
	}
	if got := summary(readUntil(t, reader, 'Z')); got != "53300" {
		t.Errorf("read: %q", got)
	}
	if len(reads) > 0 {
		t.Errorf("sent to the former primary: %q", <-reads)
	}
}

// millisAgo returns a past time as nodes and clients write it.
func millisAgo(age time.Duration) string {
	return strconv.FormatInt(time.Now().Add(-age).UnixMilli(), 10)
}

// TestReportsOfFormerShard guards against reads that miss data because their node's position was reported in reply to an
// attempt or a health check that began before the list moved it to another shard, whose data the position applies to.
func TestReportsOfFormerShard(t *testing.T) {
	value := fmt.Sprintf("x0=%d,x1=0", time.Now().Unix())
	load := pgwire.Frame{Type: 'D', Body: []byte("\x00\x01\x00\x00\x00" + string(rune(len(value))) + value)}.Append(nil)
	for name, c := range map[string]struct {
		start func(t *testing.T, r *testRouter)
		reply string
	}{
		"attempt": {
			func(t *testing.T, r *testRouter) { sendCommand(r.dial(t), "1", "look", "900") },
			scriptedserver.Row + scriptedserver.Status("role", "replica") + scriptedserver.Status("applied_ms", millisAgo(0)) + scriptedserver.Ready,
		},
		"health check": {
			func(t *testing.T, r *testRouter) {
				r.dial(t) // the node is listed
				r.engine.Post(0, func(int64) { r.engine.CheckHealth("n1") })
			},
			scriptedserver.RowStart + string(load) + scriptedserver.RowEnd + scriptedserver.Ready,
		},
	} {
		for _, moves := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/moves_%v", name, moves), func(t *testing.T) {
				node := scriptedserver.Start(t, scriptedserver.Welcome, "", scriptedserver.Row+scriptedserver.Ready)
				r := startRouter(t, 9, scriptedserver.Start(t, scriptedserver.Welcome), node)
				c.start(t, r)
				<-node.Queries
				shard, want := 0, "row"
				if moves {
					shard, want = 1, "53300"
					r.engine.Post(0, func(now int64) {
						r.engine.ApplyEndpointList(now, &discovery.EndpointList{Version: 2, Endpoints: []discovery.Endpoint{
							{Name: "n1", Address: node.Addr, Zone: "a", Kind: "m", Shard: shard}}})
					})
				}
				io.WriteString(node.Opened()[0], c.reply)
				time.Sleep(20 * time.Millisecond) // the reply is handled
				reader := r.dial(t)
				reader.Write(pgwire.AppendQuery(nil, fmt.Sprintf("/* id=2,c=own,t=acme,d=900,cluster=%d,after=%s */ SELECT data FROM facts WHERE code = 'k'", shard, millisAgo(2*time.Second))))
				if got := summary(readUntil(t, reader, 'Z')); got != want {
					t.Errorf("read of the session: %q, want %q", got, want)
				}
			})
		}
	}
}

// loadReport is a node's load report along with an answer: the position that it had some time ago, and its role.
func loadReport(age time.Duration, primary string) string {
	at := time.Now().Add(-age).UnixMilli()
	return scriptedserver.Status("load", fmt.Sprintf("x0=%d.%03d,x1=%s", at/1000, at%1000, primary))
}

// TestReadAfterWriteCutOffBeforePosition guards against reads that miss a write of their session. The write's answer is
// cut off behind its row and a load report, whose older position must not be taken for the write's.
func TestReadAfterWriteCutOffBeforePosition(t *testing.T) {
	primary := scriptedserver.Start(t, scriptedserver.Welcome,
		scriptedserver.Row+loadReport(400*time.Millisecond, "1")+"!", scriptedserver.Row+scriptedserver.Ready)
	replica := scriptedserver.Start(t, scriptedserver.Welcome,
		scriptedserver.Row+scriptedserver.Status("role", "replica")+scriptedserver.Status("applied_ms", millisAgo(100*time.Millisecond))+scriptedserver.Ready,
		scriptedserver.Row+scriptedserver.Ready)
	r := startRouterWithTokens(t, "remembered", 9, primary, replica)
	c := r.dial(t)
	for id, group := range []string{"look", "put", "own"} {
		c.Write(pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%d,c=%s,t=acme,d=900,cluster=0 */ SELECT data FROM facts WHERE code = 'k'", id, group)))
		if got := summary(readUntil(t, c, 'Z')); got != "row" {
			t.Fatalf("%s: %q", group, got)
		}
	}
	if n := len(replica.Queries); n != 1 {
		t.Errorf("%d queries at the replica, want only the first one", n)
	}
	if n := len(primary.Queries); n != 2 {
		t.Errorf("%d queries at the primary, want the write and its session's read", n)
	}
}
