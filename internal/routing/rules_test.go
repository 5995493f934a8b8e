package routing

import (
	"fmt"
	"math/rand"
	"testing"
)

// FuzzRules plays generated days against the Router; the model fails the test at any breach of the rules.
func FuzzRules(f *testing.F) {
	for seed := range uint64(36) {
		f.Add(seed, uint8(seed*37))
	}
	f.Fuzz(func(t *testing.T, seed uint64, trouble uint8) { playDay(t, seed, trouble, 4000) })
}

const (
	dayShards  = 2
	dayMembers = 4
	// sixAttemptsBelow is the first seed whose days allow another number of attempts than six, by the seed.
	sixAttemptsBelow = 24
)

// day is one generated day: what the nodes are like in truth.
type day struct {
	*world
	rnd      *rand.Rand
	trouble  uint8            // how much goes wrong
	primary  []string         // by shard
	lag      map[string]int64 // us
	hung     map[string]bool
	served   map[string]int64 // when a node last answered
	arrivals int
}

// playDay plays one generated day and checks that nothing is kept behind it.
func playDay(t testing.TB, seed uint64, trouble uint8, steps int) {
	d := &day{
		world:   newWorld(t, seed),
		rnd:     rand.New(rand.NewSource(int64(seed))),
		trouble: trouble,
		primary: []string{"g0n0", "g1n0"},
		lag:     map[string]int64{},
		hung:    map[string]bool{},
		served:  map[string]int64{},
	}
	if trouble%2 == 1 {
		d.remember()
	}
	if seed >= sixAttemptsBelow {
		d.r.config.Attempts.Max = 1 + int(seed%6)
	}
	d.list(dayShards, dayMembers)
	for range steps {
		name := fmt.Sprintf("g%dn%d", d.rnd.Intn(dayShards), d.rnd.Intn(dayMembers))
		if d.rnd.Intn(256) < int(trouble) {
			d.makeTrouble(name)
		}
		for range d.rnd.Intn(3) {
			d.arrivals++
			group := d.rnd.Intn(7)
			left := 50_000 + d.rnd.Int63n(d.r.groups[group].Timeout)
			d.arrive(fmt.Sprint("c", d.arrivals), group, d.rnd.Intn(dayShards), left, d.rnd.Int63n(400_000))
		}
		d.step(1 + d.rnd.Int63n(15_000))
		d.answerDue()
		d.answerChecks()
	}
	for range 700 {
		d.step(10_000)
	}
	if d.arrivals > 0 && len(d.r.requests) > len(d.inFlight) {
		t.Fatalf("%d requests kept after their end", len(d.r.requests))
	}
}

// makeTrouble lets something happen to a node, to the lists, or to the Router.
func (d *day) makeTrouble(name string) {
	switch d.rnd.Intn(44) {
	case 0: // a failover
		d.primary[d.shard[name]] = name
	case 1:
		d.lag[name] = d.rnd.Int63n(5_000_000)
	case 2:
		d.hung[name] = !d.hung[name]
	case 3: // a restart
		d.started[name] = d.now
		d.hung[name] = false
		d.warmingSends[name] = nil
		d.change(name)
	case 4:
		d.draining[name] = !d.draining[name]
		d.change(name)
	case 5:
		d.restart(d.rnd.Uint64())
		d.list(dayShards, dayMembers)
	case 6: // a list that is empty, or shrinks and names a ghost, then the true one again
		d.r.BeginEndpointList(d.now, true)
		if d.rnd.Intn(2) == 0 {
			d.entry(name, false)
			ghost := endpoint("ghost", 9, Up)
			ghost.Primary = true
			d.r.UpdateEndpoint(d.now, ghost)
		}
		d.r.EndEndpointList(d.now)
		d.list(dayShards, dayMembers)
	case 7: // the router stands still
		d.now += 700_000
	case 8:
		d.gossip(name)
	case 9:
		d.r.SetCheckedByPeer(name, d.rnd.Intn(2) == 0)
	}
}

// gossip lets another router tell a position that was true when it was learnt, and a role that may be long past.
func (d *day) gossip(name string) {
	at := d.now - d.rnd.Int63n(8_000_000)
	pos := at - 10_000 - d.lag[name]
	if name == d.primary[d.shard[name]] {
		pos = at
	}
	silent := d.rnd.Intn(3) == 0
	d.tell(name, RoleUnknown, pos)
	role := []Role{Replica, RoleUnknown, Primary}[d.rnd.Intn(3)]
	d.r.GossipReceived(d.now, GossipUpdate{Node: name, LearntAt: at, Position: pos, Role: role, Silent: silent,
		Alive: !silent})
}

// truth is the role and the position that a node has.
func (d *day) truth(name string) (Role, int64) {
	if name == d.primary[d.shard[name]] {
		return Primary, 0
	}
	return Replica, d.now - 10_000 - d.lag[name]
}

// answerDue ends the attempts whose time has come, the latest first.
func (d *day) answerDue() {
	for i := len(d.inFlight) - 1; i >= 0; i-- {
		if i >= len(d.inFlight) {
			continue
		}
		a := d.inFlight[i]
		role, pos := d.truth(a.node)
		o, ends := d.outcome(a, role)
		if !ends {
			continue
		}
		if o == Answered {
			d.served[a.node] = d.now
		}
		d.answer(i, o, role, pos)
		if d.rnd.Intn(64) == 0 { // the same result once more, and the client leaves
			d.r.AttemptEnded(d.now, AttemptResult{RequestID: a.request, Attempt: a.n, Outcome: o, Took: 1, RequestDone: true})
			d.requests[a.request].finished = true
			d.r.ClientGone(d.now, a.request)
		}
	}
}

// outcome tells how an attempt ends now, if it does.
func (d *day) outcome(a modelAttempt, role Role) (o Outcome, ends bool) {
	switch {
	case a.canceled && d.rnd.Intn(3) > 0:
		return Canceled, true
	case d.hung[a.node] && d.draining[a.node]:
		return ConnectionLost, true
	case d.hung[a.node] || d.now < a.due || d.now < d.served[a.node]+1e6/int64(modelRate):
		return 0, false
	case d.requests[a.request].consistency == Write && role != Primary:
		return NotPrimary, true
	case d.rnd.Intn(512) < int(d.trouble):
		return []Outcome{Errored, Rejected, TimedOut, ConnectFailed, ConnectionLost, NotSent}[d.rnd.Intn(6)], true
	}
	return Answered, true
}

// answerChecks ends the health checks.
func (d *day) answerChecks() {
	checks := d.checks
	d.checks = nil
	for _, name := range checks {
		if d.hung[name] {
			d.r.HealthChecked(d.now, name, TimedOut)
			continue
		}
		role, pos := d.truth(name)
		d.pos[name] = max(d.pos[name], pos)
		d.r.ReportedPosition(d.now, name, pos)
		d.r.ReportedRole(d.now, name, role == Primary)
		if _, told := d.leads[name]; role == Primary && !told {
			d.leads[name] = true
		}
		d.r.HealthChecked(d.now, name, Answered)
	}
}

// Two Routers with one seed are given the same events. Unless the second sends the same requests to the same nodes, a
// day can't be played again to find a fault.
func TestSameEventsSameActions(t *testing.T) {
	run := func() string {
		w := newWorld(t, 5)
		w.list(1, 5)
		sent := ""
		for i := range 400 {
			w.arrive(fmt.Sprint("c", i), i%6, 0, 900_000, 300_000)
			w.step(7_000)
			for _, a := range w.inFlight {
				sent += a.request + a.node
			}
			w.serve(nil)
		}
		return sent
	}
	first := run()
	second := run()
	if first == "" || first != second {
		t.Fatal("two runs of the same events differ, or sent nothing")
	}
}

// The process is about to be ended while requests are queued and in flight. Each must have its final answer, and nothing
// may be sent afterwards.
func TestShutdown(t *testing.T) {
	w := newShard(t, 1, 2)
	w.seen("g0n0", Primary, 0)
	for i := range 60 {
		w.arrive(fmt.Sprint("c", i), []int{eventualRead, plainWrite, keyedWrite, sessionRead}[i%4], 0, 4e6, 1e6)
	}
	inFlight := len(w.inFlight)
	w.ending = true
	w.r.Shutdown()
	for id, c := range w.requests {
		if !c.finished {
			t.Errorf("%s is still owed its answer", id)
		}
	}
	if w.sweeps(10); len(w.inFlight) > inFlight || inFlight == 0 {
		t.Errorf("%d in flight, %d before", len(w.inFlight), inFlight)
	}
}
