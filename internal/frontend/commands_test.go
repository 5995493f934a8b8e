package frontend

import (
	"testing"

	"cairntiller/internal/inflight"
)

// countingIntake counts the requests that it is given.
type countingIntake struct{ submitted int }

func (t *countingIntake) Submit(int64, *inflight.Request)     { t.submitted++ }
func (t *countingIntake) ClientGone(int64, *inflight.Request) {}

// TestNothingIsTakenAfterTheEnd guards against a command read just as its connection is ended to make room: it
// would run, and its answer could not be given.
func TestNothingIsTakenAfterTheEnd(t *testing.T) {
	for _, closed := range []bool{false, true} {
		got := &countingIntake{}
		f := New(func() int64 { return 1 }, got, Config{GroupNumbers: map[string]int{"look": 0}, MaxConnections: 9, MemoryLimit: 1 << 20})
		f.SetReady()
		c := &session{server: f, closing: closed}
		c.handleQuery(1, []byte("/* id=1,c=look,d=9,cluster=0 */ SELECT 1"))
		if got.submitted == 1 == closed {
			t.Errorf("closing %v, submitted %d", closed, got.submitted)
		}
	}
}
