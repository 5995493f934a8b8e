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

// poolHarness collects what a pool reports, in place of an engine.
type poolHarness struct {
	now     func() int64
	mu      sync.Mutex // stands in for the engine's one goroutine, with queue for what is posted
	queue   chan func()
	results chan result
}

// result is how one attempt or health check ended.
type result struct {
	outcome routing.Outcome
	reply   *pgwire.Reply
	load    string
}

// stayingClient is a client that stays, whatever it is told.
type stayingClient struct{}

func (stayingClient) Answer(*inflight.Request, []byte) {}
func (stayingClient) Reject(*inflight.Request, int64)  {}
func (stayingClient) Fail(*inflight.Request)           {}
func (stayingClient) Connected() bool                  { return true }

func (h *poolHarness) AttemptEnded(_ int64, _ *inflight.Attempt, o routing.Outcome, r *pgwire.Reply) {
	h.results <- result{outcome: o, reply: r}
}

func (h *poolHarness) HealthCheckEnded(_ int64, _ string, o routing.Outcome, load string) {
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

// startPool makes a pool of so many connections at most, with scripted nodes under the names n0, n1 and so on.
func startPool(t *testing.T, most int, placed ...*scriptedserver.Node) (*backend.Pool, *poolHarness) {
	e := &poolHarness{now: engine.NewClock(), queue: make(chan func(), 999), results: make(chan result, 99)}
	go e.run()
	p := backend.New(e.now, e.post, e.after, e, backend.Config{ConnectTimeout: 500_000, IdleLimit: 15_000_000, MaxConnections: most})
	for i, s := range placed {
		p.SetAddress(fmt.Sprint("n", i), s.Addr)
	}
	return p, e
}

// send gives the pool an attempt for a client that stays.
func (h *poolHarness) send(p *backend.Pool, node string, timeout int64) *inflight.Attempt {
	return h.dispatch(p, node, stayingClient{}, timeout, 0)
}

// dispatch gives the pool a command's first attempt, with what its client says and how soon it must begin.
func (h *poolHarness) dispatch(p *backend.Pool, node string, client inflight.Client, timeout, within int64) *inflight.Attempt {
	c, err := pgwire.DecodeCommand([]byte("/* id=1,c=look,d=1000,cluster=0 */ SELECT '1'"))
	if err != nil {
		panic(err)
	}
	now := h.now()
	d := inflight.NewRequest(c, client, 0, -1, now).StartAttempt(node, now, timeout, within)
	h.mu.Lock()
	defer h.mu.Unlock()
	p.Send(d)
	return d
}
