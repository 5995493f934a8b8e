package backend_test

import (
	"io"
	"testing"
	"time"

	"cairntiller/internal/backend"
	"cairntiller/internal/engine"
	"cairntiller/internal/inflight"
	"cairntiller/internal/routing"
	"cairntiller/internal/testcluster/scriptedserver"
)

// Each test here makes two events meet in their bad order; docs/crossings.md has the table.

// goneClient is a client that has gone without anyone having been told.
type goneClient struct{ stayingClient }

func (goneClient) Connected() bool { return false }

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
			node := scriptedserver.StartHeld(t)
			p, harness := startPool(t, 9, &scriptedserver.Node{Addr: node.Addr})
			x := harness.dispatch(p, "n0", c.client, 0, c.within).Request
			conn := <-node.Startups // it waits for this one
			harness.mu.Lock()
			if c.meanwhile != nil {
				c.meanwhile(p, x)
			}
			harness.mu.Unlock()
			node.Complete(conn)
			got := <-harness.results
			if c.want == "unsent" && got.outcome != routing.NotSent || c.want == "written" && got.outcome != routing.Answered {
				t.Errorf("%d, want it %s", got.outcome, c.want)
			}
			harness.send(p, "n0", 0) // the connection is as good as before; nothing else was ever written on it
			if c.want == "unsent" {
				if got := <-harness.results; got.outcome != routing.Answered || len(node.Queries) != 1 {
					t.Errorf("the next one: %d, %d queries", got.outcome, len(node.Queries))
				}
			}
		})
	}
}

// TestDescriptorsOfConnectionsThatClose count: attempts that are cancelled in a row never hold more connections to a
// node than may be open and closing, and none is forgotten.
func TestDescriptorsOfConnectionsThatClose(t *testing.T) {
	node := scriptedserver.StartHeld(t)
	p, harness := startPool(t, 4, &scriptedserver.Node{Addr: node.Addr})
	for range 200 {
		d := harness.send(p, "n0", 0)
		select {
		case c := <-node.Startups:
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
	before, after := scriptedserver.StartHeld(t), scriptedserver.StartHeld(t)
	p, harness := startPool(t, 9, &scriptedserver.Node{Addr: before.Addr})
	harness.send(p, "n0", 0)
	old := <-before.Startups
	harness.mu.Lock()
	p.SetAddress("n0", after.Addr)
	harness.mu.Unlock()
	before.Complete(old)
	after.Complete(<-after.Startups)
	if got := <-harness.results; got.outcome != routing.Answered || len(before.Queries) != 0 || len(after.Queries) != 1 {
		t.Errorf("%d, %d queries at the old address, %d at the new one", got.outcome, len(before.Queries), len(after.Queries))
	}
}
