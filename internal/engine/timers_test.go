package engine

import (
	"math/rand"
	"testing"

	"cairntiller/internal/inflight"
	"cairntiller/internal/pgwire"
	"cairntiller/internal/routing"
)

// ignoringConnections takes attempts and reports nothing.
type ignoringConnections struct{ inflight.NodeConnections }

func (ignoringConnections) Send(*inflight.Attempt) {}

// ignoringClient takes answers.
type ignoringClient struct{}

func (ignoringClient) Answer(*inflight.Request, []byte) {}
func (ignoringClient) Reject(*inflight.Request, int64)  {}
func (ignoringClient) Fail(*inflight.Request)           {}
func (ignoringClient) Connected() bool                  { return true }

// TestEndedAttemptsLeaveNoTimer guards against commands that stay in memory until their deadline, which may be a day
// away, although they have been answered.
func TestEndedAttemptsLeaveNoTimer(t *testing.T) {
	e := New(func() int64 { return 1 })
	e.Attach(routing.New(1, e.Actions()), ignoringConnections{})
	timers := len(e.timers)
	for range 100 {
		command := &pgwire.Command{ID: "1", Timeout: 24 * 3_600_000_000}
		request := inflight.NewRequest(command, ignoringClient{}, 0, -1, 1)
		e.requests["1"] = request
		e.Actions().StartAttempt("1", "n0", 0, 0)
		e.AttemptEnded(2, request.Attempts[0], routing.Answered, &pgwire.Reply{})
	}
	if left := len(e.timers) - timers; left > 0 || len(e.deadlines) > 0 {
		t.Errorf("%d timers and %d deadlines are left of attempts that have ended", left, len(e.deadlines))
	}
}

// TestTimerQueueOrder adds and removes timers at random and checks that the rest are due in order.
func TestTimerQueueOrder(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	var queue timerQueue
	var all []*timer
	for range 1000 {
		all = append(all, queue.add(event{at: random.Int63n(500)}))
	}
	removed := map[*timer]bool{}
	for _, i := range random.Perm(len(all))[:400] {
		queue.remove(all[i])
		queue.remove(all[i]) // has no effect
		removed[all[i]] = true
	}
	last := int64(0)
	for count := 0; count < 600; count++ {
		next := queue.pop()
		if removed[next] || next.at < last {
			t.Fatalf("timer %d, due at %d after %d, removed before: %v", count, next.at, last, removed[next])
		}
		last = next.at
	}
	if queue.Len() > 0 {
		t.Errorf("%d timers are left", queue.Len())
	}
}
