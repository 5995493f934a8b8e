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

// loop is an engine's goroutine without a router.
type loop struct {
	mu     sync.Mutex // stands in for the goroutine
	probes []string
	heard  map[string]int64 // highest position a peer told
	left   map[string]bool
	over   bool
	p      *Service
	dead   map[string]bool // nodes that answer no probe
	hold   map[string]bool // nodes whose probes do not end
}

var zero = time.Now()

func clock() int64 { return time.Since(zero).Microseconds() }

func (l *loop) do(do func(int64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over {
		do(clock())
	}
}

func (l *loop) Post(_ int64, do func(int64)) { go l.do(do) }
func (l *loop) After(in int64, do func(int64)) {
	time.AfterFunc(time.Duration(in)*time.Microsecond, func() { l.do(do) })
}
func (l *loop) ApplyGossip(_ int64, node string, _, pos int64, _ int8, _, _ bool) {
	l.heard[node] = max(l.heard[node], pos)
}
func (l *loop) DelegateHealthChecks(node string, to bool) { l.left[node] = to }
func (l *loop) HealthCheck(node string) {
	l.probes = append(l.probes, node)
	if l.hold[node] {
		return
	}
	l.After(1_000, func(now int64) {
		if l.dead[node] {
			l.p.HealthCheckEnded(now, node, routing.TimedOut, 0, 0, "")
		} else {
			l.p.HealthCheckEnded(now, node, routing.Answered, now, -1, "x0=1")
		}
	})
}

func share(t *testing.T, name string, join ...string) *loop {
	t.Helper()
	l := &loop{heard: map[string]int64{}, left: map[string]bool{}, dead: map[string]bool{}, hold: map[string]bool{}}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := New(l)
	at := membership.Settings{Name: name, Cluster: "test", Listen: "127.0.0.1:0", Seeds: join,
		Keys: [][]byte{bytes.Repeat([]byte{1}, 32)}, MaxMembers: 8, Weight: 1, Bandwidth: 1 << 20}
	f, err := membership.Start(at, p.Events(clock), nil)
	if err != nil {
		t.Fatal(err)
	}
	p.Join(clock(), f, at, Settings{Enabled: true, Interval: 200_000, Instances: 2, MaxProbeRate: 20, ClaimRate: 100})
	l.p = p
	t.Cleanup(func() {
		l.mu.Lock()
		l.over = true
		l.mu.Unlock()
		f.Leave()
	})
	return l
}

func (l *loop) list(whole bool, state routing.EndpointState, names ...string) {
	l.do(func(now int64) {
		for _, one := range names {
			l.p.EndpointListed(now, one, state, 7)
		}
		l.p.ListApplied(now, whole)
	})
}

// fresh forgets what was probed and looks at it again after a while.
func (l *loop) fresh(wait time.Duration) []string {
	l.do(func(int64) { l.probes = nil })
	time.Sleep(wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.probes)
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 15 s: %s", what)
		}
	}
}

// TestTwoShare: every node is probed by one of two, what it says reaches the other, and who leaves is replaced.
func TestTwoShare(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	one := share(t, "r1")
	one.list(true, routing.Up, nodes...)
	two := share(t, "r2", one.p.fleet.Address())
	two.list(true, routing.Up, nodes...)
	divided := func() bool {
		a, b := one.fresh(500*time.Millisecond), two.fresh(0)
		two.mu.Lock()
		defer two.mu.Unlock()
		_ = b
		for _, n := range nodes {
			if slices.Contains(a, n) == !two.left[n] {
				return false
			}
		}
		return len(a) > 0
	}
	eventually(t, "a division", divided)
	eventually(t, "words of the other", func() bool {
		one.mu.Lock()
		defer one.mu.Unlock()
		two.mu.Lock()
		defer two.mu.Unlock()
		for _, n := range nodes {
			if one.heard[n] == 0 && two.heard[n] == 0 {
				return false
			}
		}
		return len(one.heard) > 0 && len(two.heard) > 0
	})
	one.list(false, routing.Draining, "a")
	two.list(false, routing.Removed, "a")
	two.list(true, routing.Up, nodes[2:]...)
	one.list(true, routing.Up, nodes[2:]...)
	eventually(t, "the end of what drains or left", func() bool {
		a, b := one.fresh(0), two.fresh(300*time.Millisecond)
		return !slices.Contains(a, "a") && !slices.Contains(b, "a") && !slices.Contains(b, "b") && len(b) > 0
	})
	go func() {
		two.mu.Lock()
		two.over = true
		two.mu.Unlock()
	}()
	eventually(t, "all of it at the one that goes on", func() bool {
		a := one.fresh(600 * time.Millisecond)
		for _, n := range nodes[2:] {
			if !slices.Contains(a, n) {
				return false
			}
		}
		return true
	})
}

// TestAProbeThatDoesNotEnd is not repeated before it does.
func TestAProbeThatDoesNotEnd(t *testing.T) {
	one := share(t, "r1")
	one.do(func(int64) { one.hold["a"] = true })
	one.list(true, routing.Up, "a", "b")
	eventually(t, "several probes of the other", func() bool {
		one.mu.Lock()
		defer one.mu.Unlock()
		n := 0
		for _, p := range one.probes {
			if p == "b" {
				n++
			}
		}
		return n > 4
	})
	one.mu.Lock()
	defer one.mu.Unlock()
	n := 0
	for _, p := range one.probes {
		if p == "a" {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d probes of one that does not answer", n)
	}
}

func TestPace(t *testing.T) {
	f, err := sexp.Parse("f", []byte(`(duties (instances 3) (box-load 2) (take-over 9) (probe (every 2s)))`))
	if err != nil {
		t.Fatal(err)
	}
	if got := ReadSettings(f.Part("duties")); got != (Settings{true, 2_000_000, 3, 2, 9}) || f.Faults() != nil {
		t.Errorf("%+v, %v", got, f.Faults())
	}
	if got := ReadSettings(sexp.EmptyFile().Part("duties")); got != (Settings{false, 1_000_000, 1, 4, 50}) {
		t.Errorf("%+v", got)
	}
}
