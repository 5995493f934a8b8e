package sharedprobes

import (
	"bytes"
	"slices"
	"sync"
	"testing"
	"time"

	"cairntiller/internal/membership"
	"cairntiller/internal/routing"
	"cairntiller/internal/sexp"
)

// testEngine implements Engine without a router.
type testEngine struct {
	mu           sync.Mutex // serializes calls like the engine's goroutine
	checked      []string
	positions    map[string]int64 // highest position that a peer reported
	delegated    map[string]bool
	stopped      bool
	service      *Service
	unresponsive map[string]bool // nodes whose checks time out
	hanging      map[string]bool // nodes whose checks never end
}

var epoch = time.Now()

func clock() int64 { return time.Since(epoch).Microseconds() }

func (e *testEngine) run(do func(int64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopped {
		do(clock())
	}
}

func (e *testEngine) Post(_ int64, do func(int64)) { go e.run(do) }
func (e *testEngine) After(in int64, do func(int64)) {
	time.AfterFunc(time.Duration(in)*time.Microsecond, func() { e.run(do) })
}
func (e *testEngine) ApplyGossip(_ int64, update routing.GossipUpdate) {
	e.positions[update.Node] = max(e.positions[update.Node], update.Position)
}
func (e *testEngine) DelegateHealthChecks(node string, delegated bool) { e.delegated[node] = delegated }
func (e *testEngine) CheckHealth(node string) {
	e.checked = append(e.checked, node)
	if e.hanging[node] {
		return
	}
	e.After(1_000, func(now int64) {
		if e.unresponsive[node] {
			e.service.HealthCheckEnded(now, node, routing.TimedOut, 0, routing.RoleUnknown, "")
		} else {
			e.service.HealthCheckEnded(now, node, routing.Answered, now, routing.Replica, "x0=1")
		}
	})
}

func startInstance(t *testing.T, name string, join ...string) *testEngine {
	t.Helper()
	engine := &testEngine{positions: map[string]int64{}, delegated: map[string]bool{}, unresponsive: map[string]bool{}, hanging: map[string]bool{}}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	service := New(engine)
	settings := membership.Settings{Name: name, Cluster: "test", Listen: "127.0.0.1:0", Seeds: join,
		Keys: [][]byte{bytes.Repeat([]byte{1}, 32)}, MaxMembers: 8, Weight: 1, Bandwidth: 1 << 20}
	members, err := membership.Start(settings, service.Events(clock), nil)
	if err != nil {
		t.Fatal(err)
	}
	service.Join(clock(), members, settings, Settings{Enabled: true, Interval: 200_000, Instances: 2, MaxProbeRate: 20, ClaimRate: 100})
	engine.service = service
	t.Cleanup(func() {
		engine.mu.Lock()
		engine.stopped = true
		engine.mu.Unlock()
		members.Leave()
	})
	return engine
}

func (e *testEngine) applyList(complete bool, state routing.EndpointState, names ...string) {
	e.run(func(now int64) {
		for _, name := range names {
			e.service.EndpointListed(now, name, state, 7)
		}
		e.service.ListApplied(now, complete)
	})
}

// checkedWithin returns the nodes that are checked in the given time from now.
func (e *testEngine) checkedWithin(wait time.Duration) []string {
	e.run(func(int64) { e.checked = nil })
	time.Sleep(wait)
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.checked)
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 15 s: %s", description)
		}
	}
}

// Two instances share eight nodes. Each node is checked by one of them, and its position reaches the other. Nodes that
// drain or are no longer listed are checked by neither. After one instance stops, the other checks all remaining nodes.
func TestTwoInstancesShare(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	one := startInstance(t, "r1")
	one.applyList(true, routing.Up, nodes...)
	two := startInstance(t, "r2", one.service.membership.Address())
	two.applyList(true, routing.Up, nodes...)
	divided := func() bool {
		a, b := one.checkedWithin(500*time.Millisecond), two.checkedWithin(0)
		two.mu.Lock()
		defer two.mu.Unlock()
		_ = b
		for _, n := range nodes {
			if slices.Contains(a, n) == !two.delegated[n] {
				return false
			}
		}
		return len(a) > 0
	}
	eventually(t, "each node is checked by exactly one instance", divided)
	eventually(t, "each node's position has been received from the other instance", func() bool {
		one.mu.Lock()
		defer one.mu.Unlock()
		two.mu.Lock()
		defer two.mu.Unlock()
		for _, n := range nodes {
			if one.positions[n] == 0 && two.positions[n] == 0 {
				return false
			}
		}
		return len(one.positions) > 0 && len(two.positions) > 0
	})
	one.applyList(false, routing.Draining, "a")
	two.applyList(false, routing.Removed, "a")
	two.applyList(true, routing.Up, nodes[2:]...)
	one.applyList(true, routing.Up, nodes[2:]...)
	eventually(t, "draining, removed and unlisted nodes are no longer checked", func() bool {
		a, b := one.checkedWithin(0), two.checkedWithin(300*time.Millisecond)
		return !slices.Contains(a, "a") && !slices.Contains(b, "a") && !slices.Contains(b, "b") && len(b) > 0
	})
	go func() {
		two.mu.Lock()
		two.stopped = true
		two.mu.Unlock()
	}()
	eventually(t, "the remaining instance checks all nodes", func() bool {
		a := one.checkedWithin(600 * time.Millisecond)
		for _, n := range nodes[2:] {
			if !slices.Contains(a, n) {
				return false
			}
		}
		return true
	})
}

// A node accepts a health check and never responds. Further checks would pile up, so none is started until the first
// has ended; other nodes are still checked.
func TestHangingCheckIsNotRepeated(t *testing.T) {
	one := startInstance(t, "r1")
	one.run(func(int64) { one.hanging["a"] = true })
	one.applyList(true, routing.Up, "a", "b")
	eventually(t, "the other node is checked repeatedly", func() bool {
		one.mu.Lock()
		defer one.mu.Unlock()
		n := 0
		for _, p := range one.checked {
			if p == "b" {
				n++
			}
		}
		return n > 4
	})
	one.mu.Lock()
	defer one.mu.Unlock()
	n := 0
	for _, p := range one.checked {
		if p == "a" {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d checks of the node that does not respond, want 1", n)
	}
}

// Reads the settings of a file, and the defaults.
func TestReadSettings(t *testing.T) {
	f, err := sexp.Parse("f", []byte(`(duties (instances 3) (box-load 2) (take-over 9) (probe (every 2s)))`))
	if err != nil {
		t.Fatal(err)
	}
	if got := ReadSettings(f.Part("duties")); got != (Settings{true, 2_000_000, 3, 2, 9}) || f.Err() != nil {
		t.Errorf("%+v, %v", got, f.Err())
	}
	if got := ReadSettings(sexp.EmptyFile().Part("duties")); got != (Settings{false, 1_000_000, 1, 4, 50}) {
		t.Errorf("%+v", got)
	}
}
