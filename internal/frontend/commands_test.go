package frontend

import (
	"testing"

	"cairntiller/internal/inflight"
	"cairntiller/internal/stream"
)

// countingHandler counts the submitted requests.
type countingHandler struct{ submitted int }

func (h *countingHandler) Submit(int64, *inflight.Request)     { h.submitted++ }
func (h *countingHandler) ClientGone(int64, *inflight.Request) {}

// TestNoCommandAcceptedWhileClosing guards against accepting a command that is read just as its session is evicted: it
// would run, but its answer could not be delivered.
func TestNoCommandAcceptedWhileClosing(t *testing.T) {
	for _, closed := range []bool{false, true} {
		handler := &countingHandler{}
		server := New(func() int64 { return 1 }, handler, Config{GroupNumbers: map[string]int{"look": 0}, MaxConnections: 9, MemoryLimit: 1 << 20})
		server.SetReady()
		c := &session{server: server, stream: &stream.Stream{}, closing: closed}
		c.handleQuery(1, []byte("/* id=1,c=look,d=9,cluster=0 */ SELECT 1"))
		c.submitAdmitted()
		if handler.submitted == 1 == closed {
			t.Errorf("closing %v, submitted %d", closed, handler.submitted)
		}
	}
}
