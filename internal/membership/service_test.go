package membership

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"cairntiller/internal/assignment"
	"cairntiller/internal/testcluster/faultnet"
	"cairntiller/internal/testcluster/seeded"
)

// TestMain fixes the seed of generated tests.
func TestMain(m *testing.M) { seeded.Main(m) }

// member is an instance together with the events that it reported.
type member struct {
	*Service
	network *faultnet.Network
	mu      sync.Mutex
	alive   map[string]uint64
	left    map[string]bool
	updates []assignment.Update
	rejoins int
}

func testKey(b byte) []byte { return bytes.Repeat([]byte{b}, 32) }

func startMember(t *testing.T, name, cluster string, keys [][]byte, join ...string) *member {
	t.Helper()
	m := &member{network: faultnet.New(uint64(len(name))), alive: map[string]uint64{}, left: map[string]bool{}}
	service, err := Start(Settings{Name: name, Cluster: cluster, Listen: "127.0.0.1:0", Seeds: join, Keys: keys, MaxMembers: 64, Weight: 1, Bandwidth: 1 << 20},
		Events{
			MemberUp: func(name string, _ float64, incarnation uint64) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.alive[name] = incarnation
			},
			MemberDown: func(name string, _ uint64, left bool) {
				m.mu.Lock()
				defer m.mu.Unlock()
				delete(m.alive, name)
				m.left[name] = left
			},
			Updates: func(updates []assignment.Update) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.updates = append(m.updates, updates...)
			},
			Rejoined: func(n int) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.rejoins = max(m.rejoins, n)
			},
		}, m.network.WrapTransport)
	if err != nil {
		t.Fatal(err)
	}
	m.Service = service
	return m
}

// abortAtCleanup stops the given members at the end of the test.
func abortAtCleanup(t *testing.T, members ...*member) {
	for _, m := range members {
		t.Cleanup(m.Abort)
	}
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(12 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 12 s: %s", description)
		}
	}
}

func (m *member) seesOnly(names ...string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.alive) != len(names) {
		return false
	}
	for _, name := range names {
		if _, ok := m.alive[name]; !ok {
			return false
		}
	}
	return true
}

func (m *member) updatesOf(key string) (updates []assignment.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.updates {
		if w.Key == key {
			updates = append(updates, w)
		}
	}
	return updates
}

func startThree(t *testing.T) (a, b, c *member) {
	t.Helper()
	keys := [][]byte{testKey(1)}
	a = startMember(t, "a", "kandy", keys)
	b = startMember(t, "b", "kandy", keys, a.Address())
	c = startMember(t, "c", "kandy", keys, a.Address())
	eventually(t, "three members see each other", func() bool { return a.seesOnly("b", "c") && b.seesOnly("a", "c") && c.seesOnly("a", "b") })
	return a, b, c
}

// One of three members broadcasts a hundred updates. Each of the others receives each update once, with an age that
// includes the transmission, although messages are relayed by several members; none returns to its origin.
func TestUpdatesReachAllMembers(t *testing.T) {
	a, b, c := startThree(t)
	abortAtCleanup(t, a, b, c)
	var sent []assignment.Update
	for i := range 100 {
		sent = append(sent, assignment.Update{Key: fmt.Sprint("probe/", i), Owner: "a", Term: 3, Age: 5_000, NodeStarted: 9, Position: 77, PrimaryHint: -1, LoadReport: "x0=1"})
	}
	a.Broadcast(sent)
	for _, m := range []*member{b, c} {
		eventually(t, "all updates arrive", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return len(m.updates) >= 100 })
		time.Sleep(300 * time.Millisecond) // duplicates would arrive by now
		for i := range 100 {
			got := m.updatesOf(fmt.Sprint("probe/", i))
			if len(got) != 1 || got[0].Age < 5_000 || got[0].Age > 5_000_000 {
				t.Fatalf("update %d: %+v", i, got)
			}
			got[0].Age = 5_000
			if got[0] != sent[i] {
				t.Fatalf("update %d: %+v, want %+v", i, got[0], sent[i])
			}
		}
	}
	if n := len(a.updatesOf("probe/1")); n != 0 {
		t.Errorf("the origin received its own update %d times", n)
	}
}

// A member broadcasts updates of a thousand nodes each second. All of them reach the other members within 1.5 s.
func TestManyUpdatesArriveInTime(t *testing.T) {
	a, b, c := startThree(t)
	abortAtCleanup(t, a, b, c)
	for second := range 3 {
		var updates []assignment.Update
		for i := range 1000 {
			updates = append(updates, assignment.Update{Key: fmt.Sprintf("probe/%d/%d", second, i), Owner: "a", Term: 1, Position: 1 << 50, LoadReport: "x0=1796148000.000000,x1=0,inflight=3"})
		}
		a.Broadcast(updates)
		for _, m := range []*member{b, c} {
			eventually(t, "all updates of one second arrive", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return len(m.updates) == 1000*(second+1) })
			m.mu.Lock()
			for _, w := range m.updates[1000*second:] {
				if w.Age > 1_500_000 {
					t.Errorf("the update of %s is %d us old, want at most 1.5 s", w.Key, w.Age)
					break
				}
			}
			m.mu.Unlock()
		}
	}
}

// Instances with a wrong key, of another cluster or of another version try to join. They are rejected and counted,
// unreadable messages are counted, and the membership is not affected.
func TestWrongKeyClusterOrVersionIsRejected(t *testing.T) {
	a, b, c := startThree(t)
	abortAtCleanup(t, a, b, c)
	wrongKey, wrongCluster := rejectedKey.Count(), rejectedCluster.Count()
	abortAtCleanup(t, startMember(t, "x", "kandy", [][]byte{testKey(9)}, a.Address()), startMember(t, "y", "colombo", [][]byte{testKey(1)}, a.Address()))
	eventually(t, "both rejections are counted", func() bool { return rejectedKey.Count() > wrongKey && rejectedCluster.Count() > wrongCluster })
	for _, m := range []metadata{{Version: 2, Cluster: "kandy", Weight: 1}, {Version: 1, Cluster: "colombo", Weight: 1}} {
		a.Service.mu.Lock()
		err := a.admission.admit(a.now(), "z", m)
		a.Service.mu.Unlock()
		if err == nil {
			t.Errorf("%+v is admitted", m)
		}
	}
	before := unreadableMessages.Count()
	a.NotifyMsg(encode([][]byte{encode(updateMessage{Version: 2, Origin: "b", Number: 1, Updates: []byte{0x80}})}))
	a.NotifyMsg([]byte("noise"))
	if unreadableMessages.Count() != before+2 {
		t.Errorf("%d unreadable messages counted, want 2", unreadableMessages.Count()-before)
	}
	b.Broadcast([]assignment.Update{{Key: "probe/s", Owner: "b", Term: 1}})
	eventually(t, "an update reaches the other members", func() bool { return len(a.updatesOf("probe/s")) == 1 && len(c.updatesOf("probe/s")) == 1 })
	if !a.seesOnly("b", "c") {
		t.Error("the membership changed")
	}
}

// The operator adds a key on each member, makes it the first, and removes the old one. At each step members with the
// old and with the new keys can communicate and no member is lost; finally the old key is no longer accepted.
func TestKeyReplacementAtRuntime(t *testing.T) {
	a, b, c := startThree(t)
	abortAtCleanup(t, a, b, c)
	count := 0
	broadcast := func(from *member, to ...*member) {
		t.Helper()
		count++
		key := fmt.Sprint("probe/", count)
		from.Broadcast([]assignment.Update{{Key: key, Owner: "?", Term: 1}})
		for _, m := range to {
			eventually(t, "an update arrives", func() bool { return len(m.updatesOf(key)) == 1 })
		}
	}
	for _, keys := range [][][]byte{{testKey(1), testKey(2)}, {testKey(2), testKey(1)}, {testKey(2)}} {
		for _, m := range []*member{a, b, c} {
			if err := m.ReplaceKeys(keys); err != nil {
				t.Fatal(err)
			}
			broadcast(a, b, c)
			broadcast(c, a, b)
		}
	}
	time.Sleep(2 * time.Second)
	if !a.seesOnly("b", "c") || !b.seesOnly("a", "c") || !c.seesOnly("a", "b") {
		t.Error("a member was lost during the key replacement")
	}
	d := startMember(t, "d", "kandy", [][]byte{testKey(1)}, a.Address())
	abortAtCleanup(t, d)
	time.Sleep(time.Second)
	if !d.seesOnly() {
		t.Error("an instance joined with the old key")
	}
}

// A member crashes and is reported lost. It restarts under its name: it counts as a new process, and receives the state
// of the others and its number of rejoins. Finally it leaves gracefully, and is not retried.
func TestCrashAndRestart(t *testing.T) {
	a, b, c := startThree(t)
	abortAtCleanup(t, a, b)
	before := c.Incarnation()
	b.Broadcast([]assignment.Update{{Key: "probe/s", Owner: "b", Term: 4, Position: 9}})
	c.Abort()
	eventually(t, "the loss is reported", func() bool { return a.seesOnly("b") && b.seesOnly("a") })
	a.RecordRejoins("c", 3)
	b.RecordRejoins("c", 3)
	keys := [][]byte{testKey(1)}
	c = startMember(t, "c", "kandy", keys, a.Address())
	eventually(t, "the member rejoins", func() bool { return a.seesOnly("b", "c") && c.seesOnly("a", "b") })
	a.mu.Lock()
	again := a.alive["c"]
	a.mu.Unlock()
	if again <= before {
		t.Errorf("incarnation %d after the restart, want greater than %d", again, before)
	}
	eventually(t, "the state of the others arrives", func() bool { return len(c.updatesOf("probe/s")) > 0 && c.rejoinCount() == 3 })
	c.Leave()
	eventually(t, "a graceful leave is reported", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.left["c"] })
	a.Service.mu.Lock()
	defer a.Service.mu.Unlock()
	if _, missed := a.missing.lost[c.Address()]; missed {
		t.Error("a member that left is retried")
	}
}

func (m *member) rejoinCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rejoins
}

// A member restarts after its clock was set back, so its incarnation is smaller than that of its previous process and
// the others would ignore it. It learns the greater incarnation and takes one above it.
func TestClockSetBack(t *testing.T) {
	a, b, c := startThree(t)
	abortAtCleanup(t, a, b, c)
	a.Service.mu.Lock()
	a.records["b"] = memberRecord{Name: "b", Incarnation: b.Incarnation() + 1_000_000}
	a.Service.mu.Unlock()
	b.MergeRemoteState(a.LocalState(true), true)
	eventually(t, "the greater incarnation is announced", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.alive["b"] == b.Incarnation() })
}

// The network to one member fails, and both sides lose each other. After the partition heals they rejoin without
// intervention.
func TestPartitionAndHeal(t *testing.T) {
	a, b, c := startThree(t)
	abortAtCleanup(t, a, b, c)
	c.network.Cut(true, true)
	eventually(t, "both sides lose each other", func() bool { return a.seesOnly("b") && c.seesOnly() })
	c.network.Cut(false, false)
	eventually(t, "the members rejoin", func() bool { return a.seesOnly("b", "c") && c.seesOnly("a", "b") })
	c.Broadcast([]assignment.Update{{Key: "probe/after", Owner: "c", Term: 1}})
	eventually(t, "an update arrives after the partition", func() bool { return len(a.updatesOf("probe/after")) == 1 })
}

// Many packets among three members are lost, duplicated or reordered. Nearly every update arrives, and none twice.
func TestLossyNetwork(t *testing.T) {
	a, b, c := startThree(t)
	abortAtCleanup(t, a, b, c)
	for _, m := range []*member{a, b, c} {
		m.network.SetPacketFaults(0.15, 0.3, 80*time.Millisecond)
	}
	for i := range 50 {
		a.Broadcast([]assignment.Update{{Key: fmt.Sprint("probe/", i), Owner: "a", Term: 1}})
		time.Sleep(20 * time.Millisecond)
	}
	eventually(t, "nearly all updates arrive", func() bool {
		n := 0
		for i := range 50 {
			n += len(b.updatesOf(fmt.Sprint("probe/", i)))
		}
		return n >= 45
	})
	for i := range 50 {
		if n := len(b.updatesOf(fmt.Sprint("probe/", i))); n > 1 {
			t.Errorf("update %d arrived %d times", i, n)
		}
	}
	if dropped, total := a.network.DroppedPackets(); dropped == 0 || dropped == total {
		t.Errorf("%d of %d packets were lost, want some but not all", dropped, total)
	}
}

// A second instance starts under the name of a member. It is rejected and counted; the first one is not affected.
func TestNameConflict(t *testing.T) {
	a, b, c := startThree(t)
	abortAtCleanup(t, a, b, c)
	before := nameConflicts.Count()
	abortAtCleanup(t, startMember(t, "b", "kandy", [][]byte{testKey(1)}, a.Address()))
	eventually(t, "the conflict is counted", func() bool { return nameConflicts.Count() > before })
	b.Broadcast([]assignment.Update{{Key: "probe/s", Owner: "b", Term: 1}})
	eventually(t, "an update of the first member arrives", func() bool { return len(a.updatesOf("probe/s")) == 1 })
}
