package backend_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cairntiller/internal/backend"
	"cairntiller/internal/engine"
	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
	"cairntiller/internal/testcluster/scriptedserver"
)

// poolHarness takes the place of the engine and collects the outcomes that a pool reports.
type poolHarness struct {
	now     func() int64
	mu      sync.Mutex // held while calling the pool, in place of the engine's single goroutine
	queue   chan func()
	results chan result
	refuses bool // whether attempts that have waited may no longer start
}

// result is the outcome of an attempt or a health check.
type result struct {
	outcome routing.Outcome
	reply   *pgwire.Reply
	load    string
}

// connectedClient is a client that stays connected and ignores its answers.
type connectedClient struct{}

func (connectedClient) Answer(*inflight.Request, []byte) {}
func (connectedClient) Reject(*inflight.Request, int64)  {}
func (connectedClient) Fail(*inflight.Request)           {}
func (connectedClient) Connected() bool                  { return true }

func (h *poolHarness) MayStart(int64, *inflight.Attempt) bool { return !h.refuses }

func (h *poolHarness) AttemptEnded(_ int64, _ *inflight.Attempt, o routing.Outcome, r *pgwire.Reply) {
	h.results <- result{outcome: o, reply: r}
}

func (h *poolHarness) HealthCheckEnded(_ int64, _ inflight.HealthCheck, o routing.Outcome, load string) {
	h.results <- result{outcome: o, load: load}
}

func (h *poolHarness) post(at int64, do func(int64)) { h.queue <- func() { do(at) } }

func (h *poolHarness) run() {
	for do := range h.queue {
		h.mu.Lock()
		do()
		h.mu.Unlock()
	}
}

func (h *poolHarness) after(in int64, do func(int64)) {
	time.AfterFunc(time.Duration(in)*time.Microsecond, func() { h.post(h.now(), do) })
}

// startPool returns a pool with a limit on its connections, for scripted nodes named n0, n1 and so on.
func startPool(t *testing.T, maxConnections int, nodes ...*scriptedserver.Node) (*backend.Pool, *poolHarness) {
	h := &poolHarness{now: engine.NewClock(), queue: make(chan func(), 999), results: make(chan result, 99)}
	go h.run()
	p := backend.New(h.now, h.post, h.after, h, backend.Config{ConnectTimeout: 500_000, IdleLimit: 15_000_000, MaxConnections: maxConnections})
	for i, s := range nodes {
		p.SetAddress(fmt.Sprint("n", i), s.Addr)
	}
	return p, h
}

// send starts an attempt for a connected client.
func (h *poolHarness) send(p *backend.Pool, node string, timeout int64) *inflight.Attempt {
	return h.sendFor(p, node, connectedClient{}, timeout, 0)
}

// sendFor starts the first attempt of a request from the given client, with the attempt's timeout and start window in
// us.
func (h *poolHarness) sendFor(p *backend.Pool, node string, client inflight.Client, timeout, startWithin int64) *inflight.Attempt {
	command, err := pgwire.DecodeCommand([]byte("/* id=1,c=look,d=1000,cluster=0 */ SELECT '1'"))
	if err != nil {
		panic(err)
	}
	now := h.now()
	attempt := inflight.NewRequest(command, client, 0, -1, now).StartAttempt(node, now, timeout, startWithin)
	h.mu.Lock()
	defer h.mu.Unlock()
	p.Send(attempt)
	return attempt
}
