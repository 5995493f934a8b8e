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

// member is one instance with what its events reported.
type member struct {
	*Service
	network *faultnet.Network
	mu      sync.Mutex
	alive   map[string]uint64
	left    map[string]bool
	updates []assignment.Update
	rejoins int
}

func key(b byte) []byte { return bytes.Repeat([]byte{b}, 32) }

func start(t *testing.T, name, cluster string, keys [][]byte, join ...string) *member {
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
			Updates: func(all []assignment.Update) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.updates = append(m.updates, all...)
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

// cutAtEnd ends members at the end of a test, whichever still live.
func cutAtEnd(t *testing.T, all ...*member) {
	for _, m := range all {
		t.Cleanup(m.Abort)
	}
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(12 * time.Second); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 12 s: %s", what)
		}
	}
}

func (m *member) sees(names ...string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.alive) != len(names) {
		return false
	}
	for _, one := range names {
		if _, ok := m.alive[one]; !ok {
			return false
		}
	}
	return true
}

func (m *member) updatesOf(key string) (all []assignment.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.updates {
		if w.Key == key {
			all = append(all, w)
		}
	}
	return all
}

func startThree(t *testing.T) (a, b, c *member) {
	t.Helper()
	keys := [][]byte{key(1)}
	a = start(t, "a", "kandy", keys)
	b = start(t, "b", "kandy", keys, a.Address())
	c = start(t, "c", "kandy", keys, a.Address())
	eventually(t, "three members", func() bool { return a.sees("b", "c") && b.sees("a", "c") && c.sees("a", "b") })
	return a, b, c
}

// TestUpdatesReachAllMembers: one of three members broadcasts a hundred updates. Each of the others gets each of them once,
// with an age that has grown on the way, though messages are sent on to several members; none comes back to its origin.
func TestUpdatesReachAllMembers(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	var sent []assignment.Update
	for i := range 100 {
		sent = append(sent, assignment.Update{Key: fmt.Sprint("probe/", i), Owner: "a", Term: 3, Age: 5_000, NodeStarted: 9, Position: 77, PrimaryHint: -1, LoadReport: "x0=1"})
	}
	a.Broadcast(sent)
	for _, m := range []*member{b, c} {
		eventually(t, "all updates", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return len(m.updates) >= 100 })
		time.Sleep(300 * time.Millisecond) // echoes would come now
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
		t.Errorf("its own update came back %d times", n)
	}
}

// TestManyUpdatesArriveInTime: a member probes a thousand nodes and broadcasts what it learned each second. All of it
// reaches the others, none of it later than 1.5 s.
func TestManyUpdatesArriveInTime(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	for second := range 3 {
		var all []assignment.Update
		for i := range 1000 {
			all = append(all, assignment.Update{Key: fmt.Sprintf("probe/%d/%d", second, i), Owner: "a", Term: 1, Position: 1 << 50, LoadReport: "x0=1796148000.000000,x1=0,inflight=3"})
		}
		a.Broadcast(all)
		for _, m := range []*member{b, c} {
			eventually(t, "all updates of a second", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return len(m.updates) == 1000*(second+1) })
			m.mu.Lock()
			for _, w := range m.updates[1000*second:] {
				if w.Age > 1_500_000 {
					t.Errorf("%s is %d us old", w.Key, w.Age)
					break
				}
			}
			m.mu.Unlock()
		}
	}
}

// TestForeignInstancesAreRejected: an instance with a wrong key, of another cluster or of another version tries to join. It
// is rejected and counted, messages that can't be read are counted, and the members go on undisturbed.
func TestForeignInstancesAreRejected(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	wrongKey, wrongCluster := rejectedKey.Count(), rejectedCluster.Count()
	cutAtEnd(t, start(t, "x", "kandy", [][]byte{key(9)}, a.Address()), start(t, "y", "colombo", [][]byte{key(1)}, a.Address()))
	eventually(t, "both counted", func() bool { return rejectedKey.Count() > wrongKey && rejectedCluster.Count() > wrongCluster })
	for _, m := range []metadata{{Version: 2, Cluster: "kandy", Weight: 1}, {Version: 1, Cluster: "colombo", Weight: 1}} {
		a.Service.mu.Lock()
		err := a.admission.admit(a.now(), "z", m)
		a.Service.mu.Unlock()
		if err == nil {
			t.Errorf("%+v is admitted", m)
		}
	}
	was := unreadableMessages.Count()
	a.NotifyMsg(encode([][]byte{encode(updateMessage{Version: 2, Origin: "b", Number: 1, Updates: []byte{0x80}})}))
	a.NotifyMsg([]byte("noise"))
	if unreadableMessages.Count() != was+2 {
		t.Errorf("%d messages unreadable, want 2", unreadableMessages.Count()-was)
	}
	b.Broadcast([]assignment.Update{{Key: "probe/s", Owner: "b", Term: 1}})
	eventually(t, "an update among the members", func() bool { return len(a.updatesOf("probe/s")) == 1 && len(c.updatesOf("probe/s")) == 1 })
	if !a.sees("b", "c") {
		t.Error("the members changed")
	}
}

// TestKeysChangeInService: the operator adds a key on each member, puts it first, and takes the old one out. At each point
// members with the old and with the new keys understand each other, nobody is lost, and at the end the old key no longer
// lets anybody in.
func TestKeysChangeInService(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	count := 0
	broadcast := func(from *member, to ...*member) {
		t.Helper()
		count++
		key := fmt.Sprint("probe/", count)
		from.Broadcast([]assignment.Update{{Key: key, Owner: "?", Term: 1}})
		for _, m := range to {
			eventually(t, "an update", func() bool { return len(m.updatesOf(key)) == 1 })
		}
	}
	for _, keys := range [][][]byte{{key(1), key(2)}, {key(2), key(1)}, {key(2)}} {
		for _, m := range []*member{a, b, c} {
			if err := m.ReplaceKeys(keys); err != nil {
				t.Fatal(err)
			}
			broadcast(a, b, c)
			broadcast(c, a, b)
		}
	}
	time.Sleep(2 * time.Second)
	if !a.sees("b", "c") || !b.sees("a", "c") || !c.sees("a", "b") {
		t.Error("a member was lost during the change")
	}
	d := start(t, "d", "kandy", [][]byte{key(1)}, a.Address())
	cutAtEnd(t, d)
	time.Sleep(time.Second)
	if !d.sees() {
		t.Error("the old key still opens")
	}
}

// TestCrashAndRestart: a member crashes and the others notice. It starts again under its name: it counts as another process,
// and is handed what the others know and how often it came back. At last it leaves in order, and nobody looks for it.
func TestCrashAndRestart(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b)
	before := c.Incarnation()
	b.Broadcast([]assignment.Update{{Key: "probe/s", Owner: "b", Term: 4, Position: 9}})
	c.Abort()
	eventually(t, "its loss", func() bool { return a.sees("b") && b.sees("a") })
	a.RecordRejoins("c", 3)
	b.RecordRejoins("c", 3)
	keys := [][]byte{key(1)}
	c = start(t, "c", "kandy", keys, a.Address())
	eventually(t, "its return", func() bool { return a.sees("b", "c") && c.sees("a", "b") })
	a.mu.Lock()
	again := a.alive["c"]
	a.mu.Unlock()
	if again <= before {
		t.Errorf("process %d after %d", again, before)
	}
	eventually(t, "what the others know", func() bool { return len(c.updatesOf("probe/s")) > 0 && c.timesRejoined() == 3 })
	c.Leave()
	eventually(t, "a leave in order", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.left["c"] })
	a.Service.mu.Lock()
	defer a.Service.mu.Unlock()
	if _, missed := a.missing.lost[c.Address()]; missed {
		t.Error("it is looked for though it left")
	}
}

func (m *member) timesRejoined() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rejoins
}

// TestClockWentBack: a member starts again after its clock was set back, so that its incarnation is smaller than that of
// its former process, and the others would take nothing from it. It hears of the greater number and takes one above it.
func TestClockWentBack(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	a.Service.mu.Lock()
	a.records["b"] = memberRecord{Name: "b", Incarnation: b.Incarnation() + 1_000_000}
	a.Service.mu.Unlock()
	b.MergeRemoteState(a.LocalState(true), true)
	eventually(t, "a later number", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.alive["b"] == b.Incarnation() })
}

// TestPartitionAndHeal: the network to one member is cut, and both sides lose each other. It is mended, and they find each
// other again by themselves.
func TestPartitionAndHeal(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	c.network.Cut(true, true)
	eventually(t, "both sides apart", func() bool { return a.sees("b") && c.sees() })
	c.network.Cut(false, false)
	eventually(t, "the heal", func() bool { return a.sees("b", "c") && c.sees("a", "b") })
	c.Broadcast([]assignment.Update{{Key: "probe/after", Owner: "c", Term: 1}})
	eventually(t, "an update after it", func() bool { return len(a.updatesOf("probe/after")) == 1 })
}

// TestLossyNetwork: of the packets among three members many are lost, doubled or reordered. Nearly every update comes, and
// none twice.
func TestLossyNetwork(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	for _, m := range []*member{a, b, c} {
		m.network.SetPacketFaults(0.15, 0.3, 80*time.Millisecond)
	}
	for i := range 50 {
		a.Broadcast([]assignment.Update{{Key: fmt.Sprint("probe/", i), Owner: "a", Term: 1}})
		time.Sleep(20 * time.Millisecond)
	}
	eventually(t, "nearly all updates", func() bool {
		n := 0
		for i := range 50 {
			n += len(b.updatesOf(fmt.Sprint("probe/", i)))
		}
		return n >= 45
	})
	for i := range 50 {
		if n := len(b.updatesOf(fmt.Sprint("probe/", i))); n > 1 {
			t.Errorf("update %d came %d times", i, n)
		}
	}
	if dropped, of := a.network.DroppedPackets(); dropped == 0 || dropped == of {
		t.Errorf("%d of %d packets were lost", dropped, of)
	}
}

// TestNameConflict: a second instance starts under a member's name. It is rejected and counted; the first goes on.
func TestNameConflict(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	was := nameConflicts.Count()
	cutAtEnd(t, start(t, "b", "kandy", [][]byte{key(1)}, a.Address()))
	eventually(t, "the conflict", func() bool { return nameConflicts.Count() > was })
	b.Broadcast([]assignment.Update{{Key: "probe/s", Owner: "b", Term: 1}})
	eventually(t, "an update of the first", func() bool { return len(a.updatesOf("probe/s")) == 1 })
}
