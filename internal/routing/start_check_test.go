package routing

import (
	"fmt"
	"slices"
	"testing"
)

// openWaiting makes an attempt of a new request of a group wait at a node, and returns the request's id. A session's
// read must see a write that no node has reported.
func openWaiting(h *harness, node string, group int) string {
	id := fmt.Sprint("waiting", group)
	req := &request{
		id:        id,
		group:     h.router.groups[group],
		shard:     h.router.shardFor(0),
		session:   "s",
		arrivedAt: h.now,
		deadline:  h.now + 1e6,
	}
	if group == sessionRead {
		req.sessionPosition = h.now - 1_000
	}
	h.requests[id] = &modelRequest{arrivedAt: h.now, deadline: req.deadline}
	h.router.requests[id] = req
	h.router.openAttempt(req, h.node(node), h.now)
	return id
}

// Guards against sending an attempt that has waited for a connection although what it was decided on has changed
// meanwhile: the role, the position, the shard, the listing or the start of its node. A read went to a former primary
// after it had answered that it is none. An attempt that the stages would still permit must not be withdrawn.
func TestWaitingAttemptIsDecidedAgain(t *testing.T) {
	becomesReplica := func(h *harness) { h.observeReply("g0n0", Replica, 0) }
	otherIsPrimary := func(h *harness) { h.observeReply("g0n1", Primary, 0) }
	answersAgain := func(h *harness) { h.observeReply("g0n0", Primary, 0) }
	drains := func(h *harness) { h.draining["g0n0"] = true; h.sendListChange("g0n0") }
	moves := func(h *harness) { h.shardOf["g0n0"] = 1; h.sendListChange("g0n0") }
	restarts := func(h *harness) { h.startedAt["g0n0"] = h.now; h.sendListChange("g0n0") }
	catchesUp := func(h *harness) { h.observeReply("g0n0", Replica, h.now) }
	isSuspected := func(h *harness) { h.node("g0n0").suspected = true }
	hintIsLost := func(h *harness) { h.router.shards[0].primary = nil }
	nothing := func(*harness) {}
	all := []int{eventualRead, boundedRead, sessionRead, latestRead, keyedWrite, plainWrite}
	for name, c := range map[string]struct {
		change    func(h *harness)
		permitted []int // groups whose attempts may still be sent
	}{
		"nothing":                           {nothing, all},
		"the primary answers again":         {answersAgain, all},
		"it is suspected":                   {isSuspected, all},
		"it answers as a replica":           {becomesReplica, []int{eventualRead}},
		"another one answers as primary":    {otherIsPrimary, []int{eventualRead}},
		"a replica now, but fresh enough":   {catchesUp, []int{eventualRead, boundedRead, sessionRead}},
		"only the belief has gone":          {hintIsLost, []int{eventualRead, keyedWrite, plainWrite}},
		"it drains":                         {drains, nil},
		"it moves to another shard":         {moves, nil},
		"it restarts, and has to warm up":   {restarts, nil},
		"it drains and is listed up again":  {func(h *harness) { drains(h); h.draining["g0n0"] = false; h.sendListChange("g0n0") }, all},
		"the replica restarts, not the own": {func(h *harness) { h.startedAt["g0n1"] = h.now; h.sendListChange("g0n1") }, all},
	} {
		t.Run(name, func(t *testing.T) {
			h := newShardHarness(t, 1, 2)
			h.observeReply("g0n0", Primary, 0)
			ids := map[int]string{}
			for _, group := range all {
				ids[group] = openWaiting(h, "g0n0", group)
			}
			h.now += 1_000
			c.change(h)
			for _, group := range all {
				if got := h.router.MayStart(h.now, ids[group], 0); got != slices.Contains(c.permitted, group) {
					t.Errorf("group %d: may start: %v", group, got)
				}
			}
		})
	}
}

// Guards against bounded reads that are sent with data older than their bound because they have waited, and against
// withdrawing those that have only used the time that was allowed for the wait.
func TestBoundedReadAfterItsWait(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	h.router.config.SendDelay = modelConnectTimeout
	h.observeReply("g0n1", Replica, h.now-modelMaxStaleness+modelConnectTimeout)
	h.sendRequest("r", boundedRead, 0, 1e6, 0)
	if h.soleTarget() != "g0n1" {
		t.Fatal("read not sent to the replica that is just fresh enough, but to:", h.soleTarget())
	}
	h.now += modelConnectTimeout
	if !h.router.MayStart(h.now, "r", 0) {
		t.Error("read withdrawn although its node's data is not older than its bound")
	}
	h.now++
	if h.router.MayStart(h.now, "r", 0) {
		t.Error("read may be sent to a node whose data is older than its bound")
	}
	h.sendRequest("later", boundedRead, 0, 1e6, 0)
	if len(h.inFlight) != 1 {
		t.Error("read sent to a node whose data would be too old after the wait")
	}
}

// Guards against a session's read that misses a write that was answered while the read waited for its connection.
func TestSessionWriteIsAnsweredDuringWait(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	h.keepTokensInRouter()
	h.observeReply("g0n0", Primary, 0)
	h.observeReply("g0n1", Replica, h.now-20_000)
	h.sendRequest("w", plainWrite, 0, 4e6, 0)
	h.sendRequest("r", sessionRead, 0, 1e6, 0)
	if len(h.inFlight) != 2 || h.inFlight[1].node != "g0n1" {
		t.Fatalf("attempts in flight: %+v", h.inFlight)
	}
	h.advance(5_000)
	if !h.router.MayStart(h.now, "r", 0) {
		t.Error("read withdrawn although no write was answered")
	}
	h.endAttempt(0, Answered, Primary, h.now)
	if h.router.MayStart(h.now, "r", 0) {
		t.Error("read may be sent to a replica that lacks the write")
	}
	h.observeReply("g0n1", Replica, h.now)
	if !h.router.MayStart(h.now, "r", 0) {
		t.Error("read withdrawn although the replica has the write")
	}
}

// Guards against reads that are refused because an attempt that was never sent counts as one: with a single attempt, a
// read that was withdrawn from a former primary must go to the new one, and the waiting attempts must be checked at once.
func TestWithdrawnAttemptDoesNotCount(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	h.router.config.Attempts.Max = 1
	h.observeReply("g0n0", Primary, 0)
	h.sendRequest("r", latestRead, 0, 1e6, 0)
	h.rechecked = nil
	h.observeReply("g0n1", Primary, 0)
	if !slices.Equal(h.rechecked, []string{"g0n0"}) {
		t.Errorf("nodes to be checked again: %v", h.rechecked)
	}
	if h.endAttempt(0, Withdrawn, RoleUnknown, 0); h.soleTarget() != "g0n1" {
		t.Error("read not sent to the new primary, but to:", h.soleTarget())
	}
}

// Guards against refusing a read because its attempt was withdrawn after its queue time: it must go to a node that can
// serve it now. If there is none, it must not be queued for longer.
func TestWithdrawnAfterQueueTime(t *testing.T) {
	for name, c := range map[string]struct {
		role   Role // in the former primary's answer or, for Primary, in the other node's
		target string
	}{
		"another primary": {Primary, "g0n1"},
		"no primary":      {Replica, "0 attempts"},
	} {
		h := newShardHarness(t, 1, 2)
		h.router.config.HealthChecks.Enabled = false
		h.observeReply("g0n0", Primary, 0)
		read := h.sendRequest("r", latestRead, 0, 1e6, 0)
		h.inFlight[0].waiting = true
		h.now = h.router.requests["r"].queueUntil + 1
		if c.role == Primary {
			h.observeReply("g0n1", Primary, 0)
		} else {
			h.observeReply("g0n0", Replica, 0)
		}
		if h.endAttempt(0, Withdrawn, RoleUnknown, 0); h.soleTarget() != c.target {
			t.Errorf("%s: read sent to %s, want %s", name, h.soleTarget(), c.target)
		}
		if h.runSweeps(2); read.finished != (c.role == Replica) {
			t.Errorf("%s: read given up: %v", name, read.finished)
		}
	}
}

// Guards against a keyed write that takes effect twice: its first attempt waits for a connection, a hedged one is sent and
// may have been executed, and the first one could start after the key has been forgotten.
func TestFirstAttemptWaitsBeyondWindowOfHedge(t *testing.T) {
	h := newShardHarness(t, 2, 2)
	h.observeReply("g0n0", Primary, 0)
	id := openWaiting(h, "g0n0", keyedWrite)
	h.now += modelIdempotencyWindow
	if !h.router.MayStart(h.now, id, 0) {
		t.Error("the only attempt withdrawn after a window that nothing has opened")
	}
	hedgedAt := h.now
	h.router.openAttempt(h.router.requests[id], h.node("g0n1"), hedgedAt)
	for _, c := range []struct {
		at   int64
		want bool
	}{
		{hedgedAt, true},
		{hedgedAt + modelIdempotencyWindow - modelTimeResolution - 1, true},
		{hedgedAt + modelIdempotencyWindow - modelTimeResolution, false},
	} {
		if got := h.router.MayStart(c.at, id, 0); got != c.want {
			t.Errorf("%d us after the hedge: may start: %v", c.at-hedgedAt, got)
		}
	}
}

// Guards against withdrawing a write that searches for the primary at a node that has answered as a replica before, and
// against sending it to a node that has done so only since the decision, or while another one is known.
func TestWaitingSearchForPrimary(t *testing.T) {
	for name, c := range map[string]struct {
		before Role
		change func(h *harness)
		want   bool
	}{
		"nothing":                      {RoleUnknown, func(*harness) {}, true},
		"nothing, a replica before":    {Replica, func(*harness) {}, true},
		"it answers as a replica":      {RoleUnknown, func(h *harness) { h.observeReply("g0n1", Replica, 0) }, false},
		"it answers as the primary":    {Replica, func(h *harness) { h.observeReply("g0n1", Primary, 0) }, true},
		"another one is known, usable": {Replica, func(h *harness) { h.observeReply("g0n0", Primary, 0) }, false},
	} {
		h := newShardHarness(t, 1, 2)
		h.router.shards[0].primary = nil
		h.observeReply("g0n1", c.before, 0)
		id := openWaiting(h, "g0n1", plainWrite)
		c.change(h)
		if got := h.router.MayStart(h.now, id, 0); got != c.want {
			t.Errorf("%s: may start: %v", name, got)
		}
	}
}
