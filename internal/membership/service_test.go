package membership

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cairntiller/internal/assignment"
	"cairntiller/internal/sexp"
	"cairntiller/internal/testcluster/faultnet"
	"cairntiller/internal/testcluster/seeded"
)

// TestMain fixes the seed of generated tests.
func TestMain(m *testing.M) { seeded.Main(m) }

// member is a fleet of one instance with what it was told.
type member struct {
	*Service
	net     *faultnet.Network
	mu      sync.Mutex
	up      map[string]uint64
	left    map[string]bool
	updates []assignment.Update
	rejoins int
}

func key(b byte) []byte { return bytes.Repeat([]byte{b}, 32) }

func start(t *testing.T, name, cluster string, keys [][]byte, join ...string) *member {
	t.Helper()
	m := &member{net: faultnet.New(uint64(len(name))), up: map[string]uint64{}, left: map[string]bool{}}
	f, err := Start(Settings{Name: name, Cluster: cluster, Listen: "127.0.0.1:0", Seeds: join, Keys: keys, MaxMembers: 64, Weight: 1, Bandwidth: 1 << 20},
		Events{
			MemberUp: func(name string, _ float64, born uint64) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.up[name] = born
			},
			MemberDown: func(name string, _ uint64, left bool) {
				m.mu.Lock()
				defer m.mu.Unlock()
				delete(m.up, name)
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
		}, m.net.WrapTransport)
	if err != nil {
		t.Fatal(err)
	}
	m.Service = f
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
	if len(m.up) != len(names) {
		return false
	}
	for _, one := range names {
		if _, ok := m.up[one]; !ok {
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

// TestWordsReachAll: once each, with an age that grows on the way.
func TestWordsReachAll(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	var many []assignment.Update
	for i := range 100 {
		many = append(many, assignment.Update{Key: fmt.Sprint("probe/", i), Owner: "a", Term: 3, Age: 5_000, NodeStarted: 9, Position: 77, PrimaryHint: -1, LoadReport: "x0=1"})
	}
	a.Broadcast(many)
	for _, m := range []*member{b, c} {
		eventually(t, "all words", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return len(m.updates) >= 100 })
		time.Sleep(300 * time.Millisecond) // echoes would come now
		for i := range 100 {
			got := m.updatesOf(fmt.Sprint("probe/", i))
			if len(got) != 1 || got[0].Age < 5_000 || got[0].Age > 5_000_000 {
				t.Fatalf("word %d: %+v", i, got)
			}
			got[0].Age = 5_000
			if got[0] != many[i] {
				t.Fatalf("word %d: %+v, want %+v", i, got[0], many[i])
			}
		}
	}
	if n := len(a.updatesOf("probe/1")); n != 0 {
		t.Errorf("its own word came back %d times", n)
	}
}

// TestManyWords: a thousand boxes a second reach everybody in time.
func TestManyWords(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	for second := range 3 {
		var all []assignment.Update
		for i := range 1000 {
			all = append(all, assignment.Update{Key: fmt.Sprintf("probe/%d/%d", second, i), Owner: "a", Term: 1, Position: 1 << 50, LoadReport: "x0=1796148000.000000,x1=0,inflight=3"})
		}
		a.Broadcast(all)
		for _, m := range []*member{b, c} {
			eventually(t, "all words of a second", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return len(m.updates) == 1000*(second+1) })
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

// TestSpreader holds the queue against what it promises: every message has its rounds, none more than one a round, and
// a round keeps to its bytes.
func TestSpreader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, members, budget := &broadcastQueue{}, rapid.IntRange(2, 2000).Draw(t, "members"), rapid.IntRange(300, 5000).Draw(t, "budget")
		had := map[uint64]int{}
		added := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			for range rapid.IntRange(0, 9).Draw(t, "messages") {
				added++
				s.add(&queuedMessage{message: updateMessage{Number: added}, size: rapid.IntRange(10, 300).Draw(t, "size")})
			}
			size, least, seen := 0, 0, map[uint64]bool{}
			for _, one := range s.nextRound(members, budget) {
				n := one.message.Number
				if size += one.size; seen[n] || size > budget || had[n] < least {
					t.Fatalf("message %d after %d bytes of %d, sent %d times, one with %d before", n, size, budget, had[n], least)
				}
				seen[n], least = true, had[n]
				had[n]++
			}
		}
		for range 4000 {
			for _, one := range s.nextRound(members, budget) {
				had[one.message.Number]++
			}
		}
		for n := uint64(1); n <= added; n++ {
			if had[n] != roundsPerMessage(members) {
				t.Fatalf("message %d was sent in %d rounds, want %d", n, had[n], roundsPerMessage(members))
			}
		}
	})
	s := &broadcastQueue{}
	for i := range maxQueued + 5 {
		s.add(&queuedMessage{message: updateMessage{Number: uint64(i)}, size: 1})
	}
	if len(s.messages) != maxQueued || s.dropped != 5 || s.messages[0].message.Number != 5 {
		t.Errorf("%d kept, %d given up, the first %d", len(s.messages), s.dropped, s.messages[0].message.Number)
	}
	if got := roundTargets(2, func(int) int { return 0 }); !slices.Equal(got, []int{0, 1}) {
		t.Error(got)
	}
	if got := roundTargets(9, func(n int) int { return n - 1 }); len(got) != 3 || got[0] == got[1] || got[1] == got[2] || got[0] == got[2] {
		t.Error(got)
	}
	if s.nextRound(1, 1000) != nil || len(s.messages) != 0 {
		t.Error("news for nobody is kept")
	}
}

// TestStrangers: another cluster, key or version is turned away and counted, and the members go on undisturbed.
func TestStrangers(t *testing.T) {
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
			t.Errorf("%+v is let in", m)
		}
	}
	was := unreadableMessages.Count()
	a.NotifyMsg(encode([][]byte{encode(updateMessage{Version: 2, Origin: "b", Number: 1, Updates: []byte{0x80}})}))
	a.NotifyMsg([]byte("noise"))
	if unreadableMessages.Count() != was+2 {
		t.Errorf("%d messages unread, want 2", unreadableMessages.Count()-was)
	}
	b.Broadcast([]assignment.Update{{Key: "probe/s", Owner: "b", Term: 1}})
	eventually(t, "a word among the members", func() bool { return len(a.updatesOf("probe/s")) == 1 && len(c.updatesOf("probe/s")) == 1 })
	if !a.sees("b", "c") {
		t.Error("the members changed")
	}
}

// TestKeysChangeInService: old and new are understood during the change, and nobody is lost.
func TestKeysChangeInService(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	say := 0
	tell := func(from *member, to ...*member) {
		t.Helper()
		say++
		word := fmt.Sprint("probe/", say)
		from.Broadcast([]assignment.Update{{Key: word, Owner: "?", Term: 1}})
		for _, m := range to {
			eventually(t, "a word", func() bool { return len(m.updatesOf(word)) == 1 })
		}
	}
	for _, keys := range [][][]byte{{key(1), key(2)}, {key(2), key(1)}, {key(2)}} {
		for _, m := range []*member{a, b, c} {
			if err := m.ReplaceKeys(keys); err != nil {
				t.Fatal(err)
			}
			tell(a, b, c)
			tell(c, a, b)
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

// TestDeathAndReturn: a crash is noticed, a return under the name is another process, and who comes back is told.
func TestDeathAndReturn(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b)
	address, born := c.Address(), c.Incarnation()
	b.Broadcast([]assignment.Update{{Key: "probe/s", Owner: "b", Term: 4, Position: 9}})
	c.Abort()
	eventually(t, "its loss", func() bool { return a.sees("b") && b.sees("a") })
	a.RecordRejoins("c", 3)
	b.RecordRejoins("c", 3)
	keys := [][]byte{key(1)}
	c = start(t, "c", "kandy", keys, a.Address())
	eventually(t, "its return", func() bool { return a.sees("b", "c") && c.sees("a", "b") })
	a.mu.Lock()
	again := a.up["c"]
	a.mu.Unlock()
	if again <= born {
		t.Errorf("process %d after %d", again, born)
	}
	eventually(t, "what the others know", func() bool { return len(c.updatesOf("probe/s")) > 0 && c.timesRejoined(t) == 3 })
	_ = address
	c.Leave()
	eventually(t, "a leave in order", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.left["c"] })
	a.Service.mu.Lock()
	defer a.Service.mu.Unlock()
	if _, missed := a.missing.lost[c.Address()]; missed {
		t.Error("it is looked for though it left")
	}
}

func (m *member) timesRejoined(t *testing.T) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rejoins
}

// TestClockWentBack: a process whose clock is behind the last one's still counts as the newer.
func TestClockWentBack(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	a.Service.mu.Lock()
	a.records["b"] = memberRecord{Name: "b", Incarnation: b.Incarnation() + 1_000_000}
	a.Service.mu.Unlock()
	b.MergeRemoteState(a.LocalState(true), true)
	eventually(t, "a later number", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.up["b"] == b.Incarnation() })
}

// TestPartitionAndHeal: both sides lose each other, and find each other again by themselves.
func TestPartitionAndHeal(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	c.net.Cut(true, true)
	eventually(t, "both sides apart", func() bool { return a.sees("b") && c.sees() })
	c.net.Cut(false, false)
	eventually(t, "the heal", func() bool { return a.sees("b", "c") && c.sees("a", "b") })
	c.Broadcast([]assignment.Update{{Key: "probe/after", Owner: "c", Term: 1}})
	eventually(t, "a word after it", func() bool { return len(a.updatesOf("probe/after")) == 1 })
}

// TestBadNetwork: packets are lost, doubled and reordered; every word comes, once.
func TestBadNetwork(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	for _, m := range []*member{a, b, c} {
		m.net.SetPacketFaults(0.15, 0.3, 80*time.Millisecond)
	}
	for i := range 50 {
		a.Broadcast([]assignment.Update{{Key: fmt.Sprint("probe/", i), Owner: "a", Term: 1}})
		time.Sleep(20 * time.Millisecond)
	}
	eventually(t, "nearly all words", func() bool {
		n := 0
		for i := range 50 {
			n += len(b.updatesOf(fmt.Sprint("probe/", i)))
		}
		return n >= 45
	})
	for i := range 50 {
		if n := len(b.updatesOf(fmt.Sprint("probe/", i))); n > 1 {
			t.Errorf("word %d came %d times", i, n)
		}
	}
	if dropped, of := a.net.DroppedPackets(); dropped == 0 || dropped == of {
		t.Errorf("%d of %d packets were lost", dropped, of)
	}
}

// TestNameTaken: a second instance under a name is turned away; the first goes on.
func TestNameTaken(t *testing.T) {
	a, b, c := startThree(t)
	cutAtEnd(t, a, b, c)
	was := nameConflicts.Count()
	cutAtEnd(t, start(t, "b", "kandy", [][]byte{key(1)}, a.Address()))
	eventually(t, "the conflict", func() bool { return nameConflicts.Count() > was })
	b.Broadcast([]assignment.Update{{Key: "probe/s", Owner: "b", Term: 1}})
	eventually(t, "a word of the first", func() bool { return len(a.updatesOf("probe/s")) == 1 })
}

// TestFlood: new names are turned away past a burst, and those that are known always come in.
func TestFlood(t *testing.T) {
	g := newAdmission(0, "kandy", 1000)
	ok := metadata{Version: version, Cluster: "kandy", Weight: 1}
	if err := g.admit(0, "known", ok); err != nil {
		t.Fatal(err)
	}
	in := 0
	for i := range 500 {
		if err := g.admit(int64(i), fmt.Sprint("flood", i), ok); err == nil {
			in++
		} else if !errors.Is(err, ErrTooManyJoins) {
			t.Fatal(err)
		}
	}
	if in != joinBurst-1 {
		t.Errorf("%d strangers at once, want %d", in, joinBurst-1)
	}
	if err := g.admit(500, "known", ok); err != nil {
		t.Error(err)
	}
	small := newAdmission(0, "kandy", 3)
	for i := range 3 {
		if err := small.admit(0, fmt.Sprint(i), ok); err != nil {
			t.Fatal(err)
		}
	}
	if err := small.admit(0, "3", ok); !errors.Is(err, ErrTooManyMembers) {
		t.Error(err)
	}
	small.keepPlace(4000e6, "0")
	if err := small.admit(4000e6, "3", ok); err != nil {
		t.Errorf("places of the long gone are not free: %v", err)
	}
	if _, kept := small.admitted["0"]; !kept {
		t.Error("a live member lost its place")
	}
}

// TestNewsModel holds the window against a plain set of all that was taken.
func TestNewsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newAdmission(0, "kandy", 4)
		born, top := map[string]uint64{}, map[string]uint64{}
		took := map[string]bool{}
		for range rapid.IntRange(1, 300).Draw(t, "messages") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			b := rapid.Uint64Range(1, 3).Draw(t, "born")
			n := rapid.OneOf(rapid.Uint64Range(1, 40), rapid.Uint64Range(1, 5000)).Draw(t, "number")
			want := b >= born[name]
			if b > born[name] {
				born[name], top[name] = b, 0
			}
			id := fmt.Sprint(name, b, "/", n)
			want = want && !took[id] && n+duplicateWindow > top[name]
			if got := g.isNew(name, b, n); got != want {
				t.Fatalf("%s under %d: %v, want %v", id, top[name], got, want)
			}
			if want {
				took[id] = true
				top[name] = max(top[name], n)
			}
		}
	})
}

// TestSeeker: attempts grow rarer, go round all addresses, and end when nobody is missing.
func TestSeeker(t *testing.T) {
	s := newMissingMembers(0, []string{"s1", "s2", "s3", "s4"})
	asked, attempts := map[string]int{}, 0
	for now := int64(0); now < 120_000_000; now += 100_000 {
		if some := s.addressesToTry(now, true); len(some) > 0 {
			attempts++
			for _, one := range some {
				asked[one]++
			}
		}
	}
	if len(asked) != 4 || attempts < 12 || attempts > 22 {
		t.Errorf("%d attempts in two minutes: %v", attempts, asked)
	}
	if some := s.addressesToTry(200_000_000, false); some != nil {
		t.Errorf("nobody is missing: %v", some)
	}
	s.memberLost(201_000_000, "x")
	if some := s.addressesToTry(202_000_001, false); !slices.Equal(some, []string{"x"}) {
		t.Errorf("%v", some)
	}
	s.memberFound("x")
	if some := s.addressesToTry(300_000_000, false); some != nil {
		t.Errorf("%v", some)
	}
	s.memberLost(301_000_000, "x")
	if some := s.addressesToTry(301_000_000+addressMemory+1, false); some != nil {
		t.Errorf("it is looked for for ever: %v", some)
	}
}

// TestPlace reads an instance's place, and every fault in one go.
func TestPlace(t *testing.T) {
	f, err := sexp.Parse("f", []byte(`(fleet (name "r1") (cluster "kandy") (listen "127.0.0.1:7946") (join "10.0.0.1:7946")
		(keys "AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE="))`))
	if err != nil {
		t.Fatal(err)
	}
	at := ReadSettings(f.Part("fleet"), "n0")
	if err := f.Faults(); err != nil || at.Name != "r1" || !bytes.Equal(at.Keys[0], key(1)) || at.MaxMembers != 256 {
		t.Errorf("%+v, %v", at, err)
	}
	f, _ = sexp.Parse("f", []byte(`(fleet (listen "here") (join "10.0.0.1") (keys "short") (members 0))`))
	ReadSettings(f.Part("fleet"), "")
	err = f.Faults()
	for _, want := range []string{"a name of 0 bytes", `found "\"here\""`, `found "\"10.0.0.1\""`, "a key of 5 signs", "a whole number from 1 to 10000"} {
		if err == nil || !strings.Contains(err.Error(), want) && !strings.Contains(err.Error(), strings.ReplaceAll(want, `\"`, "")) {
			t.Errorf("no %s in %v", want, err)
		}
	}
	f, _ = sexp.Parse("f", []byte(`(fleet (name a) (listen "127.0.0.1:1"))`))
	ReadSettings(f.Part("fleet"), "")
	if err := f.Faults(); err == nil || !strings.Contains(err.Error(), "no key") {
		t.Error(err)
	}
	if got := ReadSettings(sexp.EmptyFile().Part("fleet"), "n0"); got.Name != "n0" {
		t.Errorf("%+v", got)
	}
}

// TestPackBounds: no message is larger than a datagram takes, and all words are in.
func TestPackBounds(t *testing.T) {
	var all []assignment.Update
	for i := range 500 {
		all = append(all, assignment.Update{Key: fmt.Sprintf("probe/%0100d", i), Owner: "a", LoadReport: strings.Repeat("x", i)})
	}
	n := 0
	for _, one := range packUpdates("a", all) {
		e := updateMessage{Version: version, Origin: "a", Incarnation: 1 << 60, Number: 1 << 60, Held: 1 << 40, Updates: one}
		if size := len(encode(e)); size > maxUpdateMessage+100 {
			t.Fatalf("%d bytes", size)
		}
		back, err := decodeUpdateMessage(encode(e))
		if err != nil {
			t.Fatal(err)
		}
		words, err := unpackUpdates(&back)
		if err != nil {
			t.Fatal(err)
		}
		n += len(words)
	}
	if n != 500 {
		t.Errorf("%d words of 500", n)
	}
}

func FuzzMessages(f *testing.F) {
	f.Add(encode(updateMessage{Version: version, Origin: "a", Incarnation: 1, Number: 1, Updates: packUpdates("a", []assignment.Update{{Key: "k"}})[0]}))
	f.Add(encode(joinState{Version: version, Members: []memberRecord{{Name: "a"}}, Updates: []wireUpdate{{Key: "k", Age: -1}}}))
	f.Add(encode(metadata{Version: version, Cluster: "kandy", Weight: 1}))
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if e, err := decodeUpdateMessage(raw); err == nil {
			words, err := unpackUpdates(&e)
			for _, w := range words {
				if err != nil || w.Age < 0 || w.Position < 0 || w.Key == "" || w.Owner == "" {
					t.Fatalf("%+v, %v", w, err)
				}
			}
		}
		if a, err := decodeMetadata(raw); err == nil && !(a.Weight > 0) {
			t.Fatalf("%+v", a)
		}
	})
}
