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

// Tests of race conditions: each test forces the problematic order of two events. docs/crossings.md lists them.

// disconnectedClient is a client whose disconnect has not been reported yet.
type disconnectedClient struct{ connectedClient }

func (disconnectedClient) Connected() bool { return false }

// TestAttemptIsRecheckedBeforeSending checks that the conditions of an attempt are verified again when its connection
// opens: its client is connected, its request is open, its start window has not passed, and the routing module still
// permits it at its node, whether or not the module asked for a check meanwhile. If one of them no longer holds, the
// attempt is not sent.
func TestAttemptIsRecheckedBeforeSending(t *testing.T) {
	for name, c := range map[string]struct {
		client          inflight.Client
		startWithin     int64
		whileConnecting func(p *backend.Pool, h *poolHarness, x *inflight.Request)
		want            routing.Outcome
	}{
		"no change":           {connectedClient{}, 400_000, nil, routing.Answered},
		"client disconnected": {disconnectedClient{}, 0, nil, routing.NotSent},
		"request concluded":   {connectedClient{}, 0, func(_ *backend.Pool, _ *poolHarness, x *inflight.Request) { x.ClientGone() }, routing.NotSent},
		"request concluded, node no longer permitted": {connectedClient{}, 0, func(_ *backend.Pool, h *poolHarness, x *inflight.Request) {
			x.ClientGone()
			h.refuses = true
		}, routing.NotSent},
		"start window passed": {connectedClient{}, 1, nil, routing.NotSent},
		"checked, still permitted": {connectedClient{}, 0, func(p *backend.Pool, h *poolHarness, _ *inflight.Request) {
			p.RecheckWaiting(h.now(), "n0")
		}, routing.Answered},
		"node no longer permitted": {connectedClient{}, 0, func(_ *backend.Pool, h *poolHarness, _ *inflight.Request) { h.refuses = true }, routing.Withdrawn},
		"checked, no longer permitted": {connectedClient{}, 0, func(p *backend.Pool, h *poolHarness, _ *inflight.Request) {
			h.refuses = true
			p.RecheckWaiting(h.now(), "n0")
		}, routing.Withdrawn},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node := scriptedserver.StartHeld(t)
			p, harness := startPool(t, 9, &scriptedserver.Node{Addr: node.Addr})
			request := harness.sendFor(p, "n0", c.client, 0, c.startWithin).Request
			conn := <-node.Startups // the connection that the attempt waits for
			harness.mu.Lock()
			if c.whileConnecting != nil {
				c.whileConnecting(p, harness, request)
			}
			harness.mu.Unlock()
			node.Complete(conn)
			got := <-harness.results
			if got.outcome != c.want {
				t.Errorf("outcome %v, want %v", got.outcome, c.want)
			}
			harness.mu.Lock()
			harness.refuses = false
			harness.mu.Unlock()
			harness.send(p, "n0", 0) // the connection is still usable, and nothing else was written to it
			if c.want != routing.Answered {
				if got := <-harness.results; got.outcome != routing.Answered || len(node.Queries) != 1 {
					t.Errorf("next attempt: outcome %d, %d queries", got.outcome, len(node.Queries))
				}
			}
		})
	}
}

// TestClosingConnectionsCountAgainstLimit cancels many attempts in a row, each with a connection of its own. Each
// connection must release its place in the descriptor budget, so that no attempt fails for want of a descriptor.
func TestClosingConnectionsCountAgainstLimit(t *testing.T) {
	node := scriptedserver.StartHeld(t)
	p, harness := startPool(t, 4, &scriptedserver.Node{Addr: node.Addr})
	for range 200 {
		attempt := harness.send(p, "n0", 0)
		select {
		case c := <-node.Startups:
			io.WriteString(c, scriptedserver.Welcome)
			if _, err := scriptedserver.ReadFrame(c, true); err != nil {
				t.Fatal(err)
			}
			harness.mu.Lock()
			p.Cancel(attempt)
			harness.mu.Unlock()
		case got := <-harness.results:
			t.Fatalf("no connection for the attempt: outcome %d", got.outcome)
		}
	}
}

// TestShortIdleLimit checks that connections to a node with a short idle limit are reused for half of that limit.
func TestShortIdleLimit(t *testing.T) {
	s := scriptedserver.Start(t, scriptedserver.Welcome, scriptedserver.Row+scriptedserver.Ready, scriptedserver.Row+scriptedserver.Ready, scriptedserver.Row+scriptedserver.Ready)
	harness := &poolHarness{now: engine.NewClock(), queue: make(chan func(), 999), results: make(chan result, 99)}
	go harness.run()
	p := backend.New(harness.now, harness.post, harness.after, harness, backend.Config{ConnectTimeout: 500_000, IdleLimit: 900_000, MaxConnections: 9})
	p.SetAddress("n0", s.Addr)
	for i, pause := range []time.Duration{0, 0, 700 * time.Millisecond} {
		time.Sleep(pause) // more than half of the limit, less than the limit
		harness.send(p, "n0", 0)
		if got := <-harness.results; got.outcome != routing.Answered {
			t.Fatal(got.outcome)
		}
		if n := len(s.Opened()); n != 1+i/2 {
			t.Errorf("%d connections after %d queries", n, i+1)
		}
	}
}

// TestAddressChangeWhileWaiting checks that an attempt that waits for a connection is sent to the node's new address,
// and that nothing is sent on the connection that opens late at the old one.
func TestAddressChangeWhileWaiting(t *testing.T) {
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
		t.Errorf("outcome %d, %d queries at the old address, %d at the new one", got.outcome, len(before.Queries), len(after.Queries))
	}
}
