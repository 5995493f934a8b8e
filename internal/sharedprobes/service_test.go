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

// testEngine is an engine's goroutine without a router.
type testEngine struct {
	mu           sync.Mutex // stands in for the goroutine
	checked      []string
	positions    map[string]int64 // highest position that a peer reported
	delegated    map[string]bool
	stopped      bool
	service      *Service
	unresponsive map[string]bool // nodes that do not respond
	unending     map[string]bool // nodes whose checks do not end
}

var zero = time.Now()

func clock() int64 { return time.Since(zero).Microseconds() }

func (l *testEngine) do(do func(int64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		do(clock())
	}
}

func (l *testEngine) Post(_ int64, do func(int64)) { go l.do(do) }
func (l *testEngine) After(in int64, do func(int64)) {
	time.AfterFunc(time.Duration(in)*time.Microsecond, func() { l.do(do) })
}
func (l *testEngine) ApplyGossip(_ int64, update routing.GossipUpdate) {
	l.positions[update.Node] = max(l.positions[update.Node], update.Position)
}
func (l *testEngine) DelegateHealthChecks(node string, to bool) { l.delegated[node] = to }
func (l *testEngine) CheckHealth(node string) {
	l.checked = append(l.checked, node)
	if l.unending[node] {
		return
	}
	l.After(1_000, func(now int64) {
		if l.unresponsive[node] {
			l.service.HealthCheckEnded(now, node, routing.TimedOut, 0, routing.RoleUnknown, "")
		} else {
			l.service.HealthCheckEnded(now, node, routing.Answered, now, routing.Replica, "x0=1")
		}
	})
}

func startInstance(t *testing.T, name string, join ...string) *testEngine {
	t.Helper()
	engine := &testEngine{positions: map[string]int64{}, delegated: map[string]bool{}, unresponsive: map[string]bool{}, unending: map[string]bool{}}
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

func (l *testEngine) list(whole bool, state routing.EndpointState, names ...string) {
	l.do(func(now int64) {
		for _, one := range names {
			l.service.EndpointListed(now, one, state, 7)
		}
		l.service.ListApplied(now, whole)
	})
}

// checkedWithin returns the nodes that are checked within a time from now.
func (l *testEngine) checkedWithin(wait time.Duration) []string {
	l.do(func(int64) { l.checked = nil })
	time.Sleep(wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.checked)
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 15 s: %s", what)
		}
	}
}

// TestTwoInstancesShare: two instances share eight nodes. Each node is checked by one of them, and what it reported reaches
// the other. Nodes that drain or are no longer listed are checked by neither. One instance stops, and the other checks all
// nodes that are left.
func TestTwoInstancesShare(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	one := startInstance(t, "r1")
	one.list(true, routing.Up, nodes...)
	two := startInstance(t, "r2", one.service.membership.Address())
	two.list(true, routing.Up, nodes...)
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
	eventually(t, "a division", divided)
	eventually(t, "updates of the other", func() bool {
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
	one.list(false, routing.Draining, "a")
	two.list(false, routing.Removed, "a")
	two.list(true, routing.Up, nodes[2:]...)
	one.list(true, routing.Up, nodes[2:]...)
	eventually(t, "the end of what drains or left", func() bool {
		a, b := one.checkedWithin(0), two.checkedWithin(300*time.Millisecond)
		return !slices.Contains(a, "a") && !slices.Contains(b, "a") && !slices.Contains(b, "b") && len(b) > 0
	})
	go func() {
		two.mu.Lock()
		two.stopped = true
		two.mu.Unlock()
	}()
	eventually(t, "all of it at the one that goes on", func() bool {
		a := one.checkedWithin(600 * time.Millisecond)
		for _, n := range nodes[2:] {
			if !slices.Contains(a, n) {
				return false
			}
		}
		return true
	})
}

// TestCheckThatDoesNotEndIsNotRepeated: a node accepts a health check and never answers. Further checks would pile up; none
// is started until the first has ended, and other nodes are checked meanwhile.
func TestCheckThatDoesNotEndIsNotRepeated(t *testing.T) {
	one := startInstance(t, "r1")
	one.do(func(int64) { one.unending["a"] = true })
	one.list(true, routing.Up, "a", "b")
	eventually(t, "several checks of the other", func() bool {
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
		t.Errorf("%d checks of one that does not answer", n)
	}
}

// TestReadSettings reads the part of the operator's file, and the defaults.
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
