package routing

import (
	"fmt"
	"math/rand"
	"testing"
)

// FuzzRules runs generated scenarios against the Router; the reference model fails the test at any violation of the
// rules.
func FuzzRules(f *testing.F) {
	for seed := range uint64(48) {
		f.Add(seed, uint8(seed*37))
	}
	f.Fuzz(func(t *testing.T, seed uint64, faultRate uint8) { runScenario(t, seed, faultRate, 4000) })
}

const (
	scenarioShards  = 2
	scenarioMembers = 4
	// firstVariedAttemptsSeed is the first seed whose scenarios derive the maximum number of attempts from the seed
	// instead of using six.
	firstVariedAttemptsSeed = 24
	// firstNetworkSeed is the first seed in whose scenarios attempts wait for connections and answers are cut off.
	firstNetworkSeed = 36
	// modelReportAge is the maximum age of a load report, in microseconds.
	modelReportAge = 320_000
)

// scenario is a generated scenario with the actual state of the nodes.
type scenario struct {
	*harness
	rng          *rand.Rand
	faultRate    uint8            // how often faults are injected
	primary      []string         // by shard
	lag          map[string]int64 // in microseconds
	hung         map[string]bool
	lastServedAt map[string]int64 // when a node last answered
	arrivals     int
	network      *rand.Rand // draws what happens on the network; nil if nothing does
}

// runScenario runs one generated scenario and checks that no request is kept after its end.
func runScenario(t testing.TB, seed uint64, faultRate uint8, steps int) {
	s := &scenario{
		harness:      newHarness(t, seed),
		rng:          rand.New(rand.NewSource(int64(seed))),
		faultRate:    faultRate,
		primary:      []string{"g0n0", "g1n0"},
		lag:          map[string]int64{},
		hung:         map[string]bool{},
		lastServedAt: map[string]int64{},
	}
	if faultRate%2 == 1 {
		s.keepTokensInRouter()
	}
	if seed >= firstVariedAttemptsSeed {
		s.router.config.Attempts.Max = 1 + int(seed%6)
	}
	if seed >= firstNetworkSeed {
		s.simulateNetwork(seed)
	}
	s.sendFullList(scenarioShards, scenarioMembers)
	for range steps {
		name := fmt.Sprintf("g%dn%d", s.rng.Intn(scenarioShards), s.rng.Intn(scenarioMembers))
		if s.rng.Intn(256) < int(faultRate) {
			s.injectFault(name)
		}
		for range s.rng.Intn(3) {
			s.arrivals++
			group := s.rng.Intn(7)
			timeLeft := 50_000 + s.rng.Int63n(s.router.groups[group].Timeout)
			s.sendRequest(fmt.Sprint("c", s.arrivals), group, s.rng.Intn(scenarioShards), timeLeft, s.rng.Int63n(400_000))
		}
		s.advance(1 + s.rng.Int63n(15_000))
		s.withdrawRechecked()
		s.endDueAttempts()
		s.endHealthChecks()
	}
	for range 700 {
		s.advance(10_000)
	}
	if s.arrivals > 0 && len(s.router.requests) > len(s.inFlight) {
		t.Fatalf("%d requests kept after their final answer", len(s.router.requests))
	}
}

// simulateNetwork makes half of the attempts wait for a connection, and cuts off a part of the answers. Its random numbers
// are its own, so that other scenarios stay as they are.
func (s *scenario) simulateNetwork(seed uint64) {
	s.network = rand.New(rand.NewSource(int64(seed)))
	s.router.config.SendDelay = modelConnectTimeout
	s.waitTime = func() int64 {
		if s.network.Intn(2) == 0 {
			return 0
		}
		return s.network.Int63n(modelConnectTimeout)
	}
}

// answer ends an attempt with an answer. On the network a write's answer contains its commit, and one in four answers is
// cut off behind a load report, which is older than the answer.
func (s *scenario) answer(i int, role Role, position int64) {
	if s.network == nil {
		s.endAttempt(i, Answered, role, position)
		return
	}
	a := s.inFlight[i]
	if role == Primary {
		position = s.now
	}
	if s.network.Intn(4) > 0 {
		s.endAttempt(i, Answered, role, position)
		return
	}
	reported := position - s.network.Int63n(modelReportAge)
	s.recordReply(a.node, RoleUnknown, reported)
	s.router.ReportedPosition(s.now, a.node, reported)
	s.endAttempt(i, Answered, RoleUnknown, 0)
}

// injectFault changes the state of a node, the endpoint list or the Router at random.
func (s *scenario) injectFault(name string) {
	switch s.rng.Intn(44) {
	case 0: // failover
		s.primary[s.shardOf[name]] = name
	case 1:
		s.lag[name] = s.rng.Int63n(5_000_000)
	case 2:
		s.hung[name] = !s.hung[name]
	case 3: // restart
		s.startedAt[name] = s.now
		s.hung[name] = false
		s.slowStartSends[name] = nil
		s.sendListChange(name)
	case 4:
		s.draining[name] = !s.draining[name]
		s.sendListChange(name)
	case 5:
		sendDelay := s.router.config.SendDelay
		s.restart(s.rng.Uint64())
		s.router.config.SendDelay = sendDelay
		s.sendFullList(scenarioShards, scenarioMembers)
	case 6: // an empty list, or one with a single known node and an unknown one, followed by the correct list
		s.router.BeginEndpointList(s.now, true)
		if s.rng.Intn(2) == 0 {
			s.sendEndpoint(name, false)
			unknown := endpoint("unknown", 9, Up)
			unknown.Primary = true
			s.router.UpdateEndpoint(s.now, unknown)
		}
		s.router.EndEndpointList(s.now)
		s.sendFullList(scenarioShards, scenarioMembers)
	case 7: // the router stalls
		s.now += 700_000
	case 8:
		s.gossip(name)
	case 9:
		s.router.SetCheckedByPeer(name, s.rng.Intn(2) == 0)
	}
}

// gossip sends an observation by another router: a position that was correct when it was observed, and a role that may
// be long outdated.
func (s *scenario) gossip(name string) {
	at := s.now - s.rng.Int63n(8_000_000)
	pos := at - 10_000 - s.lag[name]
	if name == s.primary[s.shardOf[name]] {
		pos = at
	}
	silent := s.rng.Intn(3) == 0
	s.recordReply(name, RoleUnknown, pos)
	role := []Role{Replica, RoleUnknown, Primary}[s.rng.Intn(3)]
	s.router.GossipReceived(s.now, GossipUpdate{Node: name, LearnedAt: at, Position: pos, Role: role, Silent: silent,
		Alive: !silent})
}

// actualState returns a node's actual role and position.
func (s *scenario) actualState(name string) (Role, int64) {
	if name == s.primary[s.shardOf[name]] {
		return Primary, 0
	}
	return Replica, s.now - 10_000 - s.lag[name]
}

// endDueAttempts ends the attempts that are due, newest first.
func (s *scenario) endDueAttempts() {
	for i := len(s.inFlight) - 1; i >= 0; i-- {
		if i >= len(s.inFlight) {
			continue
		}
		if a := s.inFlight[i]; a.waiting {
			if s.hung[a.node] && s.now >= a.sentAt+modelConnectTimeout {
				s.endAttempt(i, ConnectFailed, RoleUnknown, 0)
			} else if a.canceled || !s.hung[a.node] && s.now >= a.sendAt {
				s.sendWaiting(i)
			}
			continue
		}
		a := s.inFlight[i]
		role, pos := s.actualState(a.node)
		o, ends := s.outcome(a, role)
		if !ends {
			continue
		}
		if o == Answered {
			s.lastServedAt[a.node] = s.now
			s.answer(i, role, pos)
		} else {
			s.endAttempt(i, o, role, pos)
		}
		if s.rng.Intn(64) == 0 { // a duplicate result, and the client disconnects
			s.router.AttemptEnded(s.now, AttemptResult{RequestID: a.request, Attempt: a.number, Outcome: o, Took: 1,
				RequestDone: true})
			s.requests[a.request].finished = true
			s.router.ClientGone(s.now, a.request)
		}
	}
}

// outcome returns how an attempt ends now, if it does.
func (s *scenario) outcome(a modelAttempt, role Role) (o Outcome, ends bool) {
	switch {
	case a.canceled && s.rng.Intn(3) > 0:
		return Canceled, true
	case s.hung[a.node] && s.draining[a.node]:
		return ConnectionLost, true
	case s.hung[a.node] || s.now < a.dueAt || s.now < s.lastServedAt[a.node]+1e6/int64(modelNodeRate):
		return 0, false
	case s.requests[a.request].consistency == Write && role != Primary:
		return NotPrimary, true
	case s.rng.Intn(512) < int(s.faultRate):
		return []Outcome{Errored, Rejected, TimedOut, ConnectFailed, ConnectionLost, NotSent}[s.rng.Intn(6)], true
	}
	return Answered, true
}

// endHealthChecks ends all pending health checks.
func (s *scenario) endHealthChecks() {
	checks := s.healthChecks
	s.healthChecks = nil
	for _, name := range checks {
		if s.hung[name] {
			s.router.HealthChecked(s.now, name, TimedOut)
			continue
		}
		role, pos := s.actualState(name)
		s.positions[name] = max(s.positions[name], pos)
		s.router.ReportedPosition(s.now, name, pos)
		s.router.ReportedRole(s.now, name, role == Primary)
		if _, told := s.reportedPrimary[name]; role == Primary && !told {
			s.reportedPrimary[name] = true
		}
		s.router.HealthChecked(s.now, name, Answered)
	}
}

// Guards against actions that depend on anything but the seed and the events: two Routers with the same seed must send
// the same requests to the same nodes. Otherwise a failing scenario could not be reproduced.
func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() string {
		h := newHarness(t, 5)
		h.sendFullList(1, 5)
		sent := ""
		for i := range 400 {
			h.sendRequest(fmt.Sprint("c", i), i%6, 0, 900_000, 300_000)
			h.advance(7_000)
			for _, a := range h.inFlight {
				sent += a.request + a.node
			}
			h.answerAll(nil)
		}
		return sent
	}
	first := run()
	second := run()
	if first == "" || first != second {
		t.Fatal("two runs with the same events differ, or sent nothing")
	}
}

// Guards against unanswered requests when the process exits: on shutdown, every queued request and every request in
// flight must get its final answer, and nothing may be sent afterwards.
func TestShutdownAnswersEveryRequest(t *testing.T) {
	h := newShardHarness(t, 1, 2)
	h.observeReply("g0n0", Primary, 0)
	for i := range 60 {
		h.sendRequest(fmt.Sprint("c", i), []int{eventualRead, plainWrite, keyedWrite, sessionRead}[i%4], 0, 4e6, 1e6)
	}
	inFlight := len(h.inFlight)
	h.shuttingDown = true
	h.router.Shutdown()
	for id, c := range h.requests {
		if !c.finished {
			t.Errorf("%s has no final answer", id)
		}
	}
	if h.runSweeps(10); len(h.inFlight) > inFlight || inFlight == 0 {
		t.Errorf("%d attempts in flight after the shutdown, %d before", len(h.inFlight), inFlight)
	}
}
