package routing

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// countingActions counts the actions of a Router by request.
type countingActions struct {
	Actions
	attempts, failed, rejected map[string]int
}

func newCountingActions() *countingActions {
	return &countingActions{attempts: map[string]int{}, failed: map[string]int{}, rejected: map[string]int{}}
}

func (a *countingActions) StartAttempt(id, _ string, _, _ int64) { a.attempts[id]++ }
func (a *countingActions) Fail(id string)                        { a.failed[id]++ }
func (a *countingActions) RejectWithRetry(id string, _ int64)    { a.rejected[id]++ }
func (a *countingActions) CancelAttempt(string, int)             {}
func (a *countingActions) SetTimer(int64)                        {}
func (a *countingActions) CheckHealth(string)                    {}
func (a *countingActions) CloseIdleConnections(string)           {}
func (a *countingActions) RecheckWaiting(string)                 {}

// startCounted returns a Router with one shard of a primary and a replica, and its actions.
func startCounted(clientsCarryTokens bool) (*Router, *countingActions) {
	actions := newCountingActions()
	r := New(1, actions)
	config := Config{CommandGroups: modelGroups(), ClientsCarryTokens: clientsCarryTokens}
	config.Attempts.Max = 4
	config.Attempts.Cancelable = true
	r.Configure(config)
	r.Start(0)
	r.BeginEndpointList(1, true)
	r.UpdateEndpoint(1, Endpoint{Name: "p", Shard: 0, State: Up, Primary: true})
	r.UpdateEndpoint(1, Endpoint{Name: "r", Shard: 0, State: Up})
	r.EndEndpointList(1)
	r.TimerFired(1)
	return r, actions
}

// TestRepeatedIDIsNotExecutedAgain guards against a write that runs twice because its client left and sent it again under
// the same id. It may run if the first one can't have.
func TestRepeatedIDIsNotExecutedAgain(t *testing.T) {
	for _, c := range []struct {
		group         int
		outcome       Outcome
		clientGone    bool
		attempts      int
		failedInstead bool
	}{
		{plainWrite, Canceled, true, 1, true},
		{plainWrite, Answered, false, 1, true},
		{plainWrite, ConnectionLost, true, 1, true},
		{plainWrite, NotSent, true, 2, false},
		{plainWrite, Rejected, true, 2, false},
		{keyedWrite, Canceled, true, 1, true},
		{eventualRead, Canceled, true, 2, false},
	} {
		t.Run(fmt.Sprintf("group_%d_%s", c.group, c.outcome), func(t *testing.T) {
			r, actions := startCounted(true)
			now := int64(1000)
			request := Request{ID: "a", Group: c.group, Tenant: -1, TimeLeft: 1e6}
			r.RequestArrived(now, request)
			if actions.attempts["a"] != 1 {
				t.Fatalf("%d attempts", actions.attempts["a"])
			}
			if c.clientGone {
				r.ClientGone(now, "a")
			}
			r.AttemptEnded(now, AttemptResult{RequestID: "a", Outcome: c.outcome, Took: 100, RequestDone: true})
			now += 1e6
			r.TimerFired(now)
			r.RequestArrived(now, request)
			if got := actions.attempts["a"]; got != c.attempts || actions.failed["a"] == 1 != c.failedInstead {
				t.Errorf("%d attempts of the id, %d failures", got, actions.failed["a"])
			}
		})
	}
}

// TestExecutedIDsAreBounded checks that the latest ids are remembered, however many there have been.
func TestExecutedIDsAreBounded(t *testing.T) {
	var ids executedIDs
	for i := range 4 * maxExecutedIDs {
		ids.add(fmt.Sprint(i))
	}
	for i := 3 * maxExecutedIDs; i < 4*maxExecutedIDs; i++ {
		if !ids.contains(fmt.Sprint(i)) {
			t.Fatalf("id %d of %d is forgotten", i, 4*maxExecutedIDs)
		}
	}
	if count := len(ids.recent) + len(ids.older); count > 2*maxExecutedIDs {
		t.Errorf("%d ids are kept", count)
	}
}

// TestUnknownShardsAreForgotten guards against memory and work that grow with each shard number that clients make up. A
// shard whose nodes are listed late is kept while requests wait for it.
func TestUnknownShardsAreForgotten(t *testing.T) {
	r, actions := startCounted(true)
	now := int64(1000)
	const commands = 20 * maxUnlistedShards
	for i := range commands {
		r.RequestArrived(now, Request{ID: fmt.Sprint(i), Group: eventualRead, Tenant: -1, Shard: 10 + i, TimeLeft: 100_000})
	}
	for range 50 {
		now += 20_000
		r.TimerFired(now)
	}
	if shards := len(r.shards); shards > maxUnlistedShards+1 || len(r.shardByNumber) != shards {
		t.Errorf("%d shards are kept, %d by number", shards, len(r.shardByNumber))
	}
	if len(actions.rejected) != commands {
		t.Errorf("%d of %d commands were rejected", len(actions.rejected), commands)
	}
	r.RequestArrived(now, Request{ID: "early", Group: plainWrite, Tenant: -1, Shard: 5, TimeLeft: 1e6})
	for i := range 2 * maxUnlistedShards {
		r.RequestArrived(now, Request{ID: fmt.Sprint("more", i), Group: eventualRead, Tenant: -1, Shard: 10 + i, TimeLeft: 100_000})
	}
	now += 200_000
	r.TimerFired(now)
	r.BeginEndpointList(now, false)
	r.UpdateEndpoint(now, Endpoint{Name: "late", Shard: 5, State: Up, Primary: true})
	r.EndEndpointList(now)
	if actions.attempts["early"] != 1 {
		t.Errorf("%d attempts of a command whose shard was listed late", actions.attempts["early"])
	}
	if r.UpdateEndpoint(now, Endpoint{Name: "late", Shard: 6, State: Up}); r.unlistedShards < 0 {
		t.Errorf("%d unlisted shards", r.unlistedShards)
	}
}

// TestSessionNamesTakeNoMemory guards against session tokens that keep names as long as a message.
func TestSessionNamesTakeNoMemory(t *testing.T) {
	const sessions, length = 500, 100_000
	r, _ := startCounted(false)
	before := heapBytes()
	now := int64(1000)
	for i := range sessions {
		id := fmt.Sprint(i)
		r.RequestArrived(now, Request{ID: id, Group: plainWrite, Tenant: -1, Session: strings.Repeat("s", length) + id, TimeLeft: 1e6})
		r.AttemptEnded(now, AttemptResult{RequestID: id, Outcome: Answered, Took: 100, RequestDone: true})
	}
	if grown := heapBytes() - before; grown > sessions*length/10 {
		t.Errorf("%d sessions with names of %d bytes take %d bytes", sessions, length, grown)
	}
	if session := strings.Repeat("s", length) + "7"; r.sessions.position(hashSession(session)) != now {
		t.Error("the token of a session is not found")
	}
}

// heapBytes returns the bytes of reachable objects.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
