package routing

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// FuzzRules plays generated events against the module; the model complains of any breach.
func FuzzRules(f *testing.F) {
	for seed := range uint64(24) {
		f.Add(seed, uint8(seed*37))
	}
	f.Fuzz(func(t *testing.T, seed uint64, mood uint8) { play(t, seed, mood, 4000) })
}

// play runs one generated day; mood sets how much goes wrong.
func play(t testing.TB, seed uint64, mood uint8, steps int) {
	rnd := rand.New(rand.NewSource(int64(seed)))
	w := newWorld(t, seed)
	if mood%2 == 1 {
		w.remember()
	}
	const shards, members = 2, 4
	primary := []string{"g0n0", "g1n0"}
	lag, hung, served := map[string]int64{}, map[string]bool{}, map[string]int64{}
	w.list(shards, members)
	next := 0
	for range steps {
		any := fmt.Sprintf("g%dn%d", rnd.Intn(shards), rnd.Intn(members))
		if rnd.Intn(256) < int(mood) {
			switch rnd.Intn(44) {
			case 0:
				primary[w.shard[any]] = any
			case 1:
				lag[any] = rnd.Int63n(5_000_000)
			case 2:
				hung[any] = !hung[any]
			case 3:
				w.started[any], hung[any] = w.now, false
				w.cold[any] = nil
				w.change(any)
			case 4:
				w.drained[any] = !w.drained[any]
				w.change(any)
			case 5:
				w.restart(rnd.Uint64())
				w.list(shards, members)
			case 6: // a list that is empty, or shrinks and names a ghost, then the true one again
				w.r.BeginEndpointList(w.now, true)
				if rnd.Intn(2) == 0 {
					w.node(any, false)
					w.r.UpdateEndpoint(w.now, Endpoint{"ghost", "here", "kind", 9, Up, true, 0})
				}
				w.r.EndEndpointList(w.now)
				w.list(shards, members)
			case 7: // the router stands still
				w.now += 700_000
			case 8: // a peer's word: a position that was true when it was learnt, a role that may be long past
				at := w.now - rnd.Int63n(8_000_000)
				pos := at - 10_000 - lag[any]
				if any == primary[w.shard[any]] {
					pos = at
				}
				silent := rnd.Intn(3) == 0
				w.tell(any, RoleUnknown, pos)
				w.r.GossipReceived(w.now, GossipUpdate{any, at, pos, []Role{Replica, RoleUnknown, Primary}[rnd.Intn(3)], silent, !silent})
			case 9:
				w.r.SetCheckedByPeer(any, rnd.Intn(2) == 0)
			}
		}
		for range rnd.Intn(3) {
			next++
			group := rnd.Intn(7)
			left := 50_000 + rnd.Int63n(w.r.group.timeout[group])
			w.arrive(fmt.Sprint("c", next), group, rnd.Intn(shards), left, rnd.Int63n(400_000))
		}
		w.step(1 + rnd.Int63n(15_000))
		at := func(n string) (Role, int64) {
			if n == primary[w.shard[n]] {
				return Primary, 0
			}
			return Replica, w.now - 10_000 - lag[n]
		}
		for i := len(w.open) - 1; i >= 0; i-- {
			if i >= len(w.open) {
				continue
			}
			fl := w.open[i]
			role, pos := at(fl.node)
			o := Answered
			switch c := w.cmds[fl.cmd]; {
			case fl.withdrawn && rnd.Intn(3) > 0:
				o = Canceled
			case hung[fl.node] && w.drained[fl.node]:
				o = ConnectionLost
			case hung[fl.node] || w.now < fl.due || w.now < served[fl.node]+1e6/int64(modelRate):
				continue
			case c.level == Write && role != Primary:
				o = NotPrimary
			case rnd.Intn(512) < int(mood):
				o = []Outcome{Errored, Rejected, TimedOut, ConnectFailed, ConnectionLost, NotSent}[rnd.Intn(6)]
			}
			if o == Answered {
				served[fl.node] = w.now
			}
			w.answer(i, o, role, pos)
			if rnd.Intn(64) == 0 { // the same result once more, and the client leaves
				w.r.AttemptEnded(w.now, AttemptResult{fl.cmd, fl.n, o, 1, true})
				w.cmds[fl.cmd].given = true
				w.r.ClientGone(w.now, fl.cmd)
			}
		}
		probed := w.probes
		w.probes = nil
		for _, n := range probed {
			if hung[n] {
				w.r.HealthChecked(w.now, n, TimedOut)
				continue
			}
			role, pos := at(n)
			w.pos[n] = max(w.pos[n], pos)
			w.r.ReportedPosition(w.now, n, pos)
			w.r.ReportedRole(w.now, n, role == Primary)
			if _, told := w.leads[n]; role == Primary && !told {
				w.leads[n] = true
			}
			w.r.HealthChecked(w.now, n, Answered)
		}
	}
	for range 700 {
		w.step(10_000)
	}
	if next > 0 && len(w.r.cmds) > len(w.open) {
		t.Fatalf("%d commands kept after their end", len(w.r.cmds))
	}
}

// serve answers all that is open, each node telling its position behind the present.
func serve(w *world, lag map[string]int64) {
	for len(w.open) > 0 {
		n := w.open[0].node
		if w.leads[n] {
			w.answer(0, Answered, Primary, 0)
		} else {
			w.answer(0, Answered, Replica, w.now-lag[n])
		}
	}
}

func sentTo(w *world) string {
	if len(w.open) == 1 {
		return w.open[0].node
	}
	return fmt.Sprint(len(w.open), " dispatches")
}

// A peer's word on a position is a proof, whatever its age: a log never goes back.
func TestPeersPositionProves(t *testing.T) {
	w := group(t, 1, 2)
	w.seen("g0n1", Replica, w.now-300_000)
	w.seen("g0n0", Primary, 0)
	w.arrive("c", gSession, 0, 1e6, 250_000)
	w.tell("g0n1", Replica, w.cmds["c"].need)
	w.r.GossipReceived(w.now, GossipUpdate{"g0n1", w.now - 40_000, w.cmds["c"].need, Replica, false, true})
	if sentTo(w) != "g0n1" {
		t.Fatal("not sent to the proven replica but", sentTo(w))
	}
	w.r.GossipReceived(w.now, GossipUpdate{"nobody", w.now, 7, Primary, false, true})
}

// A peer's word on a role moves no belief that an answer made within the last seconds or since the word, and it
// proves no data.
func TestPeersRoleIsAHint(t *testing.T) {
	w := group(t, 1, 3)
	w.seen("g0n0", Primary, 0)
	w.r.GossipReceived(w.now, GossipUpdate{"g0n1", w.now, 0, Primary, false, true})
	w.r.GossipReceived(w.now, GossipUpdate{"g0n0", w.now + 1, 0, Replica, false, true})
	if p := w.r.shard.primary[0]; p != 0 {
		t.Fatal("a peer's word stood over an answer:", p)
	}
	w.step(listDoubt + 1)
	w.seen("g0n2", Replica, w.now)
	w.r.GossipReceived(w.now, GossipUpdate{"g0n2", w.now - 1_000_000, 0, Primary, false, true})
	if p := w.r.shard.primary[0]; p != 0 {
		t.Fatal("a word from before an answer counted:", p)
	}
	w.r.GossipReceived(w.now, GossipUpdate{"g0n1", w.now - 1_000_000, 0, Primary, false, true})
	if p := w.r.shard.primary[0]; p != 1 {
		t.Fatal("nothing was heard for long, and the hint was passed over:", p)
	}
	w.arrive("c", gFresh, 0, 1e6, 0)
	if len(w.open) != 0 {
		t.Fatal("fresh data was taken from a node that only a peer calls the primary")
	}
	w.r.GossipReceived(w.now, GossipUpdate{"g0n1", w.now, 0, Replica, false, true})
	if p := w.r.shard.primary[0]; p != -1 {
		t.Fatal("a later word did not take the hint back:", p)
	}
}

// A node that a peer alone found silent is taken after the others, and is not held to be silent.
func TestPeersSilenceOnlyComesLast(t *testing.T) {
	w := group(t, 1, 3)
	w.seen("g0n0", Primary, 0)
	w.r.GossipReceived(w.now, GossipUpdate{"g0n1", w.now - 100_000, 0, RoleUnknown, true, false})
	for i := range 4 {
		w.arrive(fmt.Sprint("c", i), gAny, 0, 1e6, 0)
	}
	if w.r.node.out[1] != 0 || w.r.node.out[2] != 4 {
		t.Fatal("reads went to", w.r.node.out)
	}
	for i := range 8 {
		w.arrive(fmt.Sprint("d", i), gAny, 0, 1e6, 0)
	}
	if w.r.node.out[1] == 0 {
		t.Fatal("it gets nothing though the rest has no room")
	}
	serve(w, nil)
	if w.arrive("e", gAny, 0, 1e6, 0); w.r.node.quietAt[1] > w.r.node.answered[1] {
		t.Fatal("its own answer did not end it")
	}
}

// What a peer looks after is not probed by this router too, until the peer reaches it: then this one looks for itself.
func TestPeersLookAfterTheSilent(t *testing.T) {
	w := group(t, 1, 3)
	w.r.SetCheckedByPeer("g0n0", true)
	w.r.SetCheckedByPeer("nobody", true)
	for j := range 2 {
		w.arrive(fmt.Sprint("c", j), gKeyed, 0, 4e6, 0)
	}
	for range 200 {
		w.beats(1)
		w.probes = deleted(w.probes, "g0n1", "g0n2")
	}
	if !w.r.node.suspect[0] || len(w.probes) != 0 {
		t.Fatal("silent:", w.r.node.suspect[0], "probes:", w.probes)
	}
	w.r.GossipReceived(w.now, GossipUpdate{"g0n0", w.now - 100_000, 0, RoleUnknown, false, true})
	if len(w.probes) != 1 || !w.r.node.suspect[0] {
		t.Fatal("a peer's word alone ended the silence, or was not looked into:", w.probes)
	}
	w.r.HealthChecked(w.now, "g0n0", Answered)
	if w.r.node.suspect[0] {
		t.Fatal("still silent after its own probe")
	}
}

func deleted(all []string, some ...string) []string {
	return slices.DeleteFunc(all, func(one string) bool { return slices.Contains(some, one) })
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() string {
		w := newWorld(t, 5)
		w.list(1, 5)
		out := ""
		for i := range 400 {
			w.arrive(fmt.Sprint("c", i), i%6, 0, 900_000, 300_000)
			w.step(7_000)
			for _, f := range w.open {
				out += f.cmd + f.node
			}
			serve(w, nil)
		}
		return out
	}
	if run() != run() {
		t.Fatal("two runs of the same events differ")
	}
}

// A replica past the rotation bound still serves what it is proven for when rotation has no room.
func TestLaggardServesAnyRead(t *testing.T) {
	w := group(t, 1, 2)
	w.seen("g0n0", Primary, 0)
	w.seen("g0n1", Replica, w.now-9_000_000)
	for i := range 20 {
		w.arrive(fmt.Sprint("c", i), gAny, 0, 1e6, 0)
	}
	if at := w.r.node.out[1]; at < 3 {
		t.Fatalf("the laggard got %d reads", at)
	}
}

// A session read goes to a replica only once its position is proven, and waits for the proof.
func TestSessionReadWaitsForProof(t *testing.T) {
	w := group(t, 1, 2)
	w.seen("g0n1", Replica, w.now-300_000)
	w.seen("g0n0", Primary, 0)
	w.arrive("c", gSession, 0, 1e6, 250_000)
	if len(w.open) != 0 {
		t.Fatal("sent unproven")
	}
	need := w.cmds["c"].need
	w.step(1_000)
	w.tell("g0n1", Replica, need)
	w.r.ReportedPosition(w.now, "g0n1", need)
	w.r.HealthChecked(w.now, "g0n1", Answered)
	if sentTo(w) != "g0n1" {
		t.Fatal("not sent to the proven replica but", sentTo(w))
	}
}

// A write is not sent when too little of its time is left for an answer.
func TestNoWriteInItsLastMoments(t *testing.T) {
	w := group(t, 1, 3)
	w.seen("g0n0", Replica, 1)
	w.arrive("c", gMutating, 0, 2e6, 0)
	w.step(1_950_000)
	w.seen("g0n1", Primary, 0)
	w.r.HealthChecked(w.now, "g0n1", Answered)
	if c := w.cmds["c"]; c.sent != 0 || !c.given {
		t.Fatal("sent with 50 ms left")
	}
}

// A silent primary gets no more writes; they wait and go to the successor, which the router looks for.
// TestUnsentWriteLeavesTimeForAnotherTry: held nearly to its end for a primary, it would come too late for one.
func TestUnsentWriteLeavesTimeForAnotherTry(t *testing.T) {
	w := newWorld(t, 1)
	w.r.BeginEndpointList(w.now, true)
	w.node("g0n1", false) // nobody leads
	w.r.EndEndpointList(w.now)
	c := w.arrive("w", gMutating, 0, 4_000_000, 0)
	for w.step(10_000); !c.given; w.step(10_000) {
	}
	if held := w.now - c.arrived; held < 1_700_000 || held > 2_000_000 {
		t.Errorf("held for %d of 4000000 us", held)
	}
}

func TestSilentPrimary(t *testing.T) {
	w := group(t, 1, 3)
	w.seen("g0n0", Primary, 0)
	w.arrive("trapped", gMutating, 0, 4e6, 0)
	w.beats(110)
	w.arrive("held", gMutating, 0, 4e6, 0)
	if w.cmds["held"].sent != 0 || len(w.probes) == 0 {
		t.Fatal("sent to a silent primary, or no one asked for the next")
	}
	w.seen("g0n2", Primary, 0)
	w.r.HealthChecked(w.now, "g0n2", Answered)
	if c := w.cmds["held"]; c.sent != 1 || w.open[len(w.open)-1].node != "g0n2" {
		t.Fatal("not sent to the successor")
	}
}

// A tenant over its share waits behind the others and takes only the spare half of a node.
func TestShareIsTakenOnce(t *testing.T) {
	w := newWorld(t, 1)
	w.r.siblings = 200 // half a command a second is this router's part
	w.r.addTenant(100)
	w.r.tenant.overWorth = 0.05
	w.list(1, 2)
	w.step(1_000_000)
	c := &cmd{id: "a", group: gAny, tenant: 0, deadline: w.now + 1e6}
	w.cmds["a"] = &taken{deadline: w.now + 1e6}
	w.r.admit(c, w.now)
	w.r.admit(c, w.now)
	if w.r.tenant.left[0] != shareBurst-1 || c.value != 1 {
		t.Fatal("the share was taken more than once", w.r.tenant.left[0], c.value)
	}
	w.r.giveUp(c)
	if w.r.tenant.left[0] != shareBurst {
		t.Fatal("an unsent command kept its part of the share")
	}
}

// Where every replica lags past a bounded read's bound, waiting is pointless and the primary takes it.
func TestBoundedReadDoesNotWaitForLaggards(t *testing.T) {
	w := group(t, 1, 2)
	for i, role := range []Role{Primary, Replica} {
		n, pos := fmt.Sprint("g0n", i), w.now-9_000_000
		w.seen(n, role, pos)
	}
	w.arrive("c", gBounded, 0, 1e6, 0)
	if sentTo(w) != "g0n0" {
		t.Fatal("not sent to the primary but", sentTo(w))
	}
}

// TestReadsLeaveAPrimaryRoomForAWrite guards against a primary kept half idle while its replicas lag: reads may
// have all of its limit but one place, which a write still finds.
func TestReadsLeaveAPrimaryRoomForAWrite(t *testing.T) {
	w := group(t, 1, 2)
	for i, role := range []Role{Primary, Replica} {
		w.seen(fmt.Sprint("g0n", i), role, w.now-9_000_000)
	}
	w.r.node.limit[0] = 4
	for i := range 9 {
		w.arrive(fmt.Sprint("c", i), gBounded, 0, 1e6, 0)
	}
	if reads := len(w.open); reads != 3 {
		t.Errorf("%d reads at a primary's limit of 4", reads)
	}
	w.arrive("w", gMutating, 0, 4e6, 0)
	if last := w.open[len(w.open)-1]; last.cmd != "w" {
		t.Error("no room for a write")
	}
}

// A swallowed dispatch, while others are answered, holds no room and is sent again where that is allowed.
func TestSwallowedDispatchIsSentAgain(t *testing.T) {
	w := group(t, 1, 2)
	w.seen("g0n0", Primary, 0)
	w.arrive("keyed", gKeyed, 0, 4e6, 0)
	w.arrive("mutating", gMutating, 0, 4e6, 0)
	for i := range 120 {
		w.arrive(fmt.Sprint("c", i), gKeyed, 0, 4e6, 0)
		w.step(20_000)
		for j := len(w.open) - 1; j >= 0; j-- {
			switch f := w.open[j]; {
			case f.withdrawn:
				w.answer(j, Canceled, RoleUnknown, 0)
			case f.n > 0 || f.cmd != "keyed" && f.cmd != "mutating":
				w.answer(j, Answered, Primary, 0)
			}
		}
	}
	if k, m := w.cmds["keyed"], w.cmds["mutating"]; !k.answered || m.sent != 1 || w.r.node.out[0] != 0 {
		t.Fatal("keyed answered:", k.answered, "mutating sent:", m.sent, "room held:", w.r.node.out[0])
	}
}

// A group that starts cold all at once is fed by what its nodes did when warm, not by a trickle.
func TestColdGroupIsFedFromMemory(t *testing.T) {
	w := group(t, 1, 3)
	sent := 0
	for i := range 800 {
		if i == 400 {
			for n := range 3 {
				w.started[fmt.Sprint("g0n", n)] = w.now
				w.change(fmt.Sprint("g0n", n))
			}
			sent = 0
		}
		w.arrive(fmt.Sprint("c", i), gAny, 0, 1e6, 0)
		w.step(20_000)
		sent += len(w.open)
		serve(w, nil)
	}
	if sent < 280 {
		t.Fatalf("a cold group was sent %d commands in eight seconds", sent)
	}
}

// A list that calls a node gone is not believed where the settings say so, unless the node drained before.
func TestGoneAfterDrainStaysClosed(t *testing.T) {
	w := newWorld(t, 1)
	w.r.droppedOpen = true
	w.list(1, 3)
	for _, state := range []EndpointState{Draining, Removed} {
		w.r.BeginEndpointList(w.now, false)
		w.r.UpdateEndpoint(w.now, Endpoint{"g0n1", "here", "kind", 0, state, false, 0})
		w.r.EndEndpointList(w.now)
	}
	w.drained["g0n1"] = true
	w.r.BeginEndpointList(w.now, true)
	w.r.EndEndpointList(w.now)
	for i := range 12 {
		w.arrive(fmt.Sprint("c", i), gAny, 0, 1e6, 0)
	}
	if len(w.open) == 0 {
		t.Fatal("an empty list stopped all work")
	}
}

// One command that outlives four usual responses makes no node silent; three do, till it answers a probe.
func TestSilenceAsksForEvidence(t *testing.T) {
	w := group(t, 1, 2)
	for i, out := range []int{1, 2} {
		for j := range out {
			w.arrive(fmt.Sprint("c", i, j), gKeyed, 0, 4e6, 0)
		}
		w.beats(55)
		if w.r.node.suspect[0] != (i == 1) {
			t.Fatal("silent with", len(w.r.node.open[0]), "out:", w.r.node.suspect[0])
		}
	}
	w.r.HealthChecked(w.now, "g0n0", Answered)
	if w.beats(1); w.r.node.suspect[0] {
		t.Fatal("still silent after a probe")
	}
}

// A node that refuses is left alone for a moment; if it refuses again and yet answers a probe, no idle
// connections are kept. One that was reset by chance must not cost a handshake a command for seconds.
func TestRefusingNodeRests(t *testing.T) {
	for _, outcomes := range [][]Outcome{{Rejected, Rejected}, {ConnectFailed}, {ConnectFailed, ConnectFailed}} {
		w := group(t, 1, 2)
		w.arrive("a", gMutating, 0, 4e6, 0)
		for _, o := range outcomes {
			w.answer(0, o, RoleUnknown, 0)
			if len(w.open) > 0 {
				t.Fatal("asked again at once")
			}
			w.r.HealthChecked(w.now, "g0n0", Answered)
			w.dropped = nil
			w.step(200_000)
		}
		serve(w, nil)
		scarce := len(outcomes) == 2 && outcomes[1] == ConnectFailed
		if w.r.node.suspect[0] || !w.cmds["a"].answered || len(w.dropped) == 1 != scarce {
			t.Fatal(outcomes, "silent:", w.r.node.suspect[0], "released:", w.dropped)
		}
	}
}

// TestReturnIsNoScarcity: a node that was cut off and comes back had places all the time.
func TestReturnIsNoScarcity(t *testing.T) {
	w := group(t, 1, 2)
	w.arrive("a", gMutating, 0, 4e6, 0)
	w.answer(0, ConnectFailed, RoleUnknown, 0)
	w.r.HealthChecked(w.now, "g0n0", ConnectFailed)
	w.step(300_000)
	w.r.HealthChecked(w.now, "g0n0", Answered)
	if w.r.node.suspect[0] || len(w.dropped) > 0 || len(w.open) != 1 {
		t.Fatal("silent:", w.r.node.suspect[0], "released:", w.dropped, "out:", len(w.open))
	}
}

// Late answers and clients that leave close all gates; a standstill and a client's short timeout do not.
func TestGates(t *testing.T) {
	for name, move := range map[string]func(w *world){
		"closed": func(w *world) { w.beats(20); serve(w, nil) },
		"left":   func(w *world) { w.r.ClientGone(w.now, "c"); w.answer(0, Canceled, RoleUnknown, 0) },
		"early":  func(w *world) { w.answer(0, TimedOut, RoleUnknown, 0) },
		"open":   func(w *world) { serve(w, nil) },
		"still":  func(w *world) { w.step(600_000); serve(w, nil) },
	} {
		w := newWorld(t, 1)
		w.r.siblings = 200
		w.list(2, 3)
		w.step(20_000)
		w.r.shard.gate[1] = 0.5
		w.arrive("c", gAny, 0, 1e6, 0)
		move(w)
		closed := w.r.shard.gate[0] < 1 && w.r.shard.gate[1] < 0.5
		opened := w.r.shard.gate[1] > 0.5
		if closed != (name == "closed" || name == "left") || name == "open" && !opened {
			t.Error(name, w.r.shard.gate)
		}
	}
}

// A late command gets one second copy where that is allowed, at another node; probes stop when nothing pays.
func TestSecondCopy(t *testing.T) {
	w := group(t, 2, 3)
	w.r.copiesLeft, w.r.group.usual[gAny] = 1, 20_000
	w.arrive("c", gAny, 0, 1e6, 0)
	w.beats(7)
	if len(w.open) != 2 || w.open[0].node == w.open[1].node {
		t.Fatal("copies out:", w.open)
	}
	for n := range 30 {
		w.r.probe(n%3, w.now, 1)
		w.r.node.probing[n%3] = false
	}
	if len(w.probes) > extraStore {
		t.Fatal("unpaid probes:", len(w.probes))
	}
}

// Hundreds of routers together feed a cold node, though each alone saves long for one command.
func TestManyRoutersFeedAColdNode(t *testing.T) {
	owed := 0.0
	for seed := range uint64(100) {
		w := newWorld(t, seed)
		w.started["g0n1"] = w.now
		w.list(1, 2)
		owed += w.r.node.credit[1] / w.r.group.usual[gAny]
	}
	if owed < 30 || owed > 70 {
		t.Fatal("of a hundred commands owed at the start:", owed)
	}
}

// Slow responses must not refuse every read on arrival: nothing would be learned again.
func TestSlowResponsesDoNotRefuseAll(t *testing.T) {
	w := group(t, 1, 3)
	for i := range 100 {
		w.arrive(fmt.Sprint("c", i), gAny, 0, 1e6, 0)
		w.step(400_000)
		serve(w, nil)
	}
	w.step(100_000)
	w.arrive("last", gAny, 0, 1e6, 0)
	if len(w.open) != 1 {
		t.Fatal("an idle fleet refused a read")
	}
}

// TestALimitUnderTwoGrows guards against limits that only whole commands can fill: at 1.5 one is in flight, which
// is all that fits, and answers in time must let in a second where routers are few; many crowd a node with one each.
func TestALimitUnderTwoGrows(t *testing.T) {
	for _, routers := range []int{2, 3} {
		w := group(t, 1, 1)
		w.r.siblings = routers
		w.seen("g0n0", Primary, 0)
		w.r.node.limit[0] = 1.5
		for i := range 20 {
			w.arrive(fmt.Sprint("c", i), gMutating, 0, 4e6, 0)
		}
		for range 8 {
			w.step(1_000)
			w.answer(0, Answered, Primary, 0)
		}
		if two := len(w.open) > 1; two != (routers == 2) {
			t.Errorf("%d in flight at a limit of %.1f of %d routers", len(w.open), w.r.node.limit[0], routers)
		}
	}
}

// TestNewNamesAllDay guards against figures, members and asks that grow with each node that ever was: a group
// whose nodes are replaced all day keeps what the present ones need, and finds a primary among them at once.
func TestNewNamesAllDay(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 300 {
		w.r.BeginEndpointList(w.now, i%2 == 0)
		for j := max(0, i-3); j <= i; j++ {
			state := Up
			if j == i-2 {
				state = Draining
			} else if j == i-3 {
				state = Removed
			}
			if i%2 > 0 || state != Removed {
				w.r.UpdateEndpoint(w.now, Endpoint{fmt.Sprint("n", j), "here", "kind", 0, state, false, 0})
			}
		}
		w.r.EndEndpointList(w.now)
		for range 100 {
			w.step(20_000)
		}
	}
	if n, m := len(w.r.node.id), len(w.r.shard.members[0]); n > 8 || m > 8 {
		t.Errorf("%d indexes and %d members for three nodes", n, m)
	}
	w.shard["n299"] = 0
	w.probes = nil
	w.arrive("a", gMutating, 0, 4e6, 0)
	for range 2 { // one ask for each present node
		w.beats(3)
		for _, n := range w.probes {
			w.tell(n, RoleUnknown, 0)
			w.r.ReportedRole(w.now, n, n == "n299")
			w.r.HealthChecked(w.now, n, Answered)
		}
		w.probes = nil
	}
	if sentTo(w) != "n299" {
		t.Error("no primary found among the present nodes but", sentTo(w))
	}
}

// A primary that rests between commands is known all the same. Guards against probes through its whole group, each
// 50 ms, that 300 routers pay for while their limits pace them.
func TestARestingPrimaryIsNotAskedFor(t *testing.T) {
	for name, c := range map[string]struct {
		rest   func(r *Router, now int64)
		probes bool
	}{
		"rests":           {func(r *Router, now int64) { r.node.restTill[0] = now + 2e6 }, false},
		"not reached":     {func(r *Router, now int64) { r.node.restTill[0], r.node.refused[0] = now+2e6, now }, true},
		"silent":          {func(r *Router, now int64) { r.node.suspect[0] = true }, true},
		"nobody is known": {func(r *Router, now int64) { r.shard.primary[0] = -1 }, true},
	} {
		w := group(t, 1, 3)
		w.r.node.left = []bool{true, true, true} // no probes but a write's own
		c.rest(w.r, w.now)
		w.arrive("w", gMutating, 0, 4e6, 0)
		w.beats(50)
		if len(w.probes) > 0 != c.probes || len(w.open) > 0 {
			t.Error(name, "probes:", len(w.probes), "out:", len(w.open))
		}
	}
}

// First tries may leave less than their group's whole timeout, and a last one all that is left of it. Guards against
// first tries that were taken for later ones, and so for worth nothing after a fraction of their time.
func TestFirstTriesAreTheMany(t *testing.T) {
	w := group(t, 1, 2)
	w.r.node.restTill = []int64{w.now + 9e6, w.now + 9e6} // all wait
	target := func(id string, left int64) int64 {
		w.arrive(id, gAny, 0, left, 0)
		return w.r.cmds[id].prime - w.now
	}
	first := target("a", 830_000)
	for i, c := range []struct {
		left  int64
		later bool
	}{{830_000, false}, {831_000, false}, {990_000, true}, {830_000, false}, {300_000, true}, {829_000, false}} {
		if got := target(fmt.Sprint("b", i), c.left); got < first != c.later {
			t.Errorf("%d: %d us left of a second: to be sent within %d us, a first try %d", i, c.left, got, first)
		}
	}
	for i := range 40 { // clients that leave another time, from here on
		target(fmt.Sprint("c", i), 500_000)
	}
	if got := target("d", 500_000); got < first {
		t.Errorf("what most leave is still taken for a later try: %d us, a first one %d", got, first)
	}
}

// The part of its budget that a cold node is given grows with its warmth, and stays under the whole of it.
func TestColdNodesGetMoreAsTheyWarm(t *testing.T) {
	w := group(t, 1, 2)
	s := &w.r.node
	s.warmRate[1] = 500_000
	s.started[0] = w.now
	last := 0.0
	for _, at := range []int64{0, modelCold / 2, modelCold - 1000} {
		s.credit[0], s.creditAt[0] = -1e6, w.now+at-1e6 // a second of it, far from its bound
		warmth := w.r.warmth(0, w.now+at)
		w.r.refill(0, gAny, warmth, w.now+at)
		part := (s.credit[0] + 1e6) / (2 * warmth * s.warmRate[1])
		if part <= last || part < coldPart || part > 0.8 {
			t.Errorf("at warmth %.2f: %.2f of the budget, %.2f before", warmth, part, last)
		}
		last = part
	}
}

// coldSends lets a fleet want all it can of a cold node, from a time on, and returns what all routers together sent
// it, as the largest excess over what chance allows on its budget: N + 2 sqrt(N) + 2 commands in any modelFall.
// Routers share nothing. Traffic is uneven, up to several times the mean; of so many in ten, the process is new and has
// seen nothing warm. With a shift, one router in five takes all traffic from the node's start on, and its figures of the
// warm nodes follow as they do, over rateSpan; the others want nothing any more.
func coldSends(t *testing.T, routers int, wait int64, newInTen int, shift bool) (excess float64, sent int) {
	fleet := make([]*world, routers)
	part := make([]float64, routers) // of the fleet's traffic
	all := 0.0
	for i := range fleet {
		part[i] = []float64{1, 0.3, 2, 0.7, 4}[i%5]
		all += part[i]
	}
	began := int64(1_000_000_000)
	for i := range fleet {
		w := newWorld(t, uint64(i)*7919)
		w.r.siblings = routers
		w.started["g0n2"] = began
		w.list(1, 3)
		fleet[i] = w
	}
	var at []int64
	for now := began + wait; now < began+wait+2*modelFall && now < began+modelCold; now += 20_000 {
		for i, w := range fleet {
			w.cold = map[string][]int64{} // one router's own excess is not what is looked for
			w.step(now - w.now)
			s, mine, old := &w.r.node, part[i]/all, 0.0
			if shift {
				if old = math.Exp(-float64(now-began) / rateSpan); i%5 == 4 {
					mine = old*mine + (1-old)/float64(routers/5)
				} else {
					mine *= old
				}
			}
			if s.warmRate[0] = 0; i%10 >= newInTen {
				s.warmRate[0] = mine * modelRate * w.r.group.usual[gAny]
			}
			s.warmRate[1], s.limit[2] = s.warmRate[0], 1e9
			s.restTill[0], s.restTill[1] = now+1e6, now+1e6 // the warm ones have no room
			for j := 0; (!shift || i%5 == 4) && len(w.r.shard.waiting[0]) < 2 && j < 3; j++ {
				w.arrive(fmt.Sprint(now, "-", j), gAny, 0, 1e6, 0)
			}
			for len(w.open) > 0 {
				at = append(at, now)
				w.open[0].sent -= 20_000 // it took as long
				w.answer(0, Answered, Replica, now)
			}
		}
	}
	for i, j := 0, 0; i < len(at); i++ {
		for at[j] <= at[i]-modelFall {
			j++
		}
		n := 2 * (modelFrom + (1-modelFrom)*float64(at[i]-began)/modelCold) * modelRate * modelFall / 1e6
		excess = max(excess, float64(i-j+1)-n-2*math.Sqrt(n)-2)
	}
	return excess, len(at)
}

// TestTheFleetKeepsAColdNodesBudget guards against routers that each keep their part and together push a cold node
// over: they share nothing, and all may have saved up for it when all want it at once.
func TestTheFleetKeepsAColdNodesBudget(t *testing.T) {
	for _, c := range []struct {
		routers int
		wait    int64
		fresh   int // of ten
		shift   bool
	}{{3, 0, 0, false}, {3, 8e6, 0, false}, {20, 0, 0, false}, {20, 8e6, 0, false}, {30, 3e6, 0, false}, {30, 8e6, 0, false},
		{30, 8e6, 7, false}, {300, 6e6, 0, false}, {30, 0, 0, true}, {30, 1e6, 0, true}, {30, 4e6, 0, true}} {
		excess, sent := coldSends(t, c.routers, c.wait, c.fresh, c.shift)
		if excess > 0 || sent == 0 {
			t.Errorf("%+v: %d sent, %.1f over", c, sent, excess)
		}
	}
}

// TestADispatchMayWaitWhileItsNodeDrains: what has not begun at a node is barred there as it may not be used any more,
// by a drain, by its end, or by a whole list that does not name it; once.
func TestADispatchMayWaitWhileItsNodeDrains(t *testing.T) {
	for name, tell := range map[string]func(w *world){
		"it drains": func(w *world) { w.drained["g0n1"] = true; w.change("g0n1"); w.change("g0n1") },
		"it is gone": func(w *world) {
			w.r.BeginEndpointList(w.now, false)
			w.r.UpdateEndpoint(w.now, Endpoint{"g0n1", "here", "kind", 0, Removed, false, 0})
			w.r.EndEndpointList(w.now)
		},
		"it is not named": func(w *world) { w.list(1, 1); w.list(1, 1) },
	} {
		w := group(t, 1, 2)
		if len(w.barred) > 0 {
			t.Errorf("%s: barred at the start: %v", name, w.barred)
		}
		if tell(w); !slices.Equal(w.barred, []string{"g0n1"}) {
			t.Errorf("%s: barred: %v", name, w.barred)
		}
	}
}

// TestARepeatBeginsInItsWindow: a keyed command that may have run goes again only with what its window leaves, which
// counts from its first dispatch.
func TestARepeatBeginsInItsWindow(t *testing.T) {
	w := group(t, 1, 1)
	w.seen("g0n0", Primary, 0)
	w.arrive("k", gKeyed, 0, 4e6, 0)
	if w.within != 0 {
		t.Errorf("a first dispatch must begin within %d us", w.within)
	}
	w.step(100_000)
	w.answer(0, ConnectionLost, RoleUnknown, 0)
	w.beats(5)
	if len(w.open) != 1 || w.within <= 0 || w.within > modelWindow-100_000 {
		t.Errorf("%d out, the repeat must begin within %d us", len(w.open), w.within)
	}
}

// TestANodeMovesToAnotherGroup: what it proved and led was of the other one's data.
func TestANodeMovesToAnotherGroup(t *testing.T) {
	w := newWorld(t, 1)
	w.list(2, 2)
	w.seen("g0n1", Replica, w.now)
	w.seen("g0n0", Primary, 0)
	for _, id := range []string{"g0n0", "g0n1"} {
		w.shard[id] = 1
		w.pos[id], w.leads[id] = 0, false
		w.change(id)
	}
	w.arrive("a", gBounded, 0, 1e6, 0) // nobody is left there
	w.arrive("b", gBounded, 1, 1e6, 0) // nobody is proven here; the model would complain
	if w.beats(4); len(w.open) > 0 {
		t.Errorf("sent to %s", w.open[0].node)
	}
	if p := w.r.shard.primary[0]; p >= 0 {
		t.Errorf("%s leads a group that it left", w.r.node.id[p])
	}
}

// TestLeave: all that is owed has its final answer, whether it waits or is out, and nothing is sent after.
func TestLeave(t *testing.T) {
	w := group(t, 1, 2)
	w.seen("g0n0", Primary, 0)
	for i := range 60 {
		w.arrive(fmt.Sprint("c", i), []int{gAny, gMutating, gKeyed, gSession}[i%4], 0, 4e6, 1e6)
	}
	out := len(w.open)
	w.r.Shutdown()
	for id, c := range w.cmds {
		if !c.given {
			t.Errorf("%s is still owed its answer", id)
		}
	}
	if w.beats(10); len(w.open) > out || out == 0 {
		t.Errorf("%d out, %d before", len(w.open), out)
	}
}

// TestAPrimaryThatHungProvesNothing: one that stood still is given up, goes on, and answers what it held as a primary:
// its data has stood still as well, so a read that is bounded goes there only for a position that it told.
func TestAPrimaryThatHungProvesNothing(t *testing.T) {
	w := group(t, 1, 1)
	w.seen("g0n0", Primary, w.now)
	w.arrive("w", gMutating, 0, 4e6, 0)
	w.beats(150)                                   // it stands still for three seconds
	w.answer(0, Errored, Primary, w.now-3_000_000) // and then answers
	w.seen("g0n0", Replica, 0)                     // before it has heard that it leads no more
	w.arrive("r", gBounded, 0, 1e6, 0)
	if w.beats(1); len(w.open) > 0 {
		t.Error("sent on no proof")
	}
	w.seen("g0n0", Replica, w.now-100_000)
	if w.beats(1); len(w.open) != 1 {
		t.Error("not sent on a proof")
	}
}

// TestAWriteThatTellsNoPosition guards against a token from before the write: its answer was cut behind the row.
func TestAWriteThatTellsNoPosition(t *testing.T) {
	w := group(t, 1, 1)
	w.r.carried = false
	w.seen("g0n0", Primary, w.now-500_000)
	w.step(10_000)
	c := &cmd{group: gMutating, session: "s", tries: []try{{node: 0}}}
	if w.r.remember(c, 0, Answered, 0, w.now); w.r.token.get("s") != w.now {
		t.Errorf("token %d us before the answer", w.now-w.r.token.get("s"))
	}
	w.seen("g0n0", Primary, w.now-1_000)
	c.session = "t"
	if w.r.remember(c, 0, Answered, 0, w.now); w.r.token.get("t") > w.now-1_000 {
		t.Error("the position that its answer told does not count")
	}
}

// TestAWriteThatIsOut guards against a read beside a write whose answer the network swallowed: it may have been given,
// and a replica that was proven before is too old then, the whole time until the write has ended and behind that.
func TestAWriteThatIsOut(t *testing.T) {
	w := group(t, 2, 2)
	w.remember()
	w.seen("g0n0", Primary, 0)
	w.seen("g0n1", Replica, w.now-20_000)
	w.arrive("w", gKeyed, 0, 4e6, 0)
	w.beats(4)
	w.arrive("soon", gSession, 0, 1e6, 0) // an answer given since may still be on its way
	if n := len(w.open); n != 2 || w.open[1].node != "g0n1" {
		t.Fatalf("beside a write just sent: %+v", w.open)
	}
	w.beats(10)
	w.open = w.open[:1]
	w.seen("g0n1", Replica, w.now-120_000)
	w.arrive("late", gSession, 0, 1e6, 0)
	if len(w.open) != 1 {
		t.Fatalf("beside a write long sent: %+v", w.open[1])
	}
	w.seen("g0n1", Replica, w.now-10_000)
	if w.beats(1); len(w.open) != 2 || w.open[1].node != "g0n1" {
		t.Fatalf("on a proof as new as any answer: %+v", w.open)
	}
	w.open[0].withdrawn = true
	w.answer(0, ConnectionLost, RoleUnknown, 0)
	if w.token != w.now || w.r.token.get("s") != w.now {
		t.Errorf("behind a write that may have run: token %d us ago", w.now-w.r.token.get("s"))
	}
	for len(w.open) > 0 { // its repeat too
		w.answer(0, Answered, RoleUnknown, 0)
	}
	if n := len(w.r.token.out); n > 0 {
		t.Errorf("%d writes are taken to be out", n)
	}
}

// A read is hedged in the very sweep in which its first attempt is taken to be lost, because the budget allowed no hedge
// before. The node must give up its place in flight once: counted down again in each later sweep, it would seem to have
// capacity that it hasn't.
func TestLostAttemptThatIsHedgedCountsOnce(t *testing.T) {
	w := group(t, 2, 3)
	w.r.group.usual[gLong] = 50_000
	w.beats(1) // the first one counts as the end of a standstill
	w.arrive("c", gLong, 0, 6e6, 0)
	first := w.r.node.index[sentTo(w)]
	sent := w.now
	for range 30 {
		if w.now+20_000-sent > 8*50_000 {
			w.r.copiesLeft = 1
		}
		w.r.node.answered[first] = w.now // it answers other routers' requests meanwhile
		w.beats(1)
	}
	if len(w.open) != 2 || w.r.node.out[first] != 0 {
		t.Fatal("in flight:", len(w.open), "counted at the first node:", w.r.node.out[first])
	}
	serve(w, nil)
	for n, out := range w.r.node.out {
		if out != 0 {
			t.Errorf("%d counted as in flight at %s after all has ended", out, w.r.node.id[n])
		}
	}
}
