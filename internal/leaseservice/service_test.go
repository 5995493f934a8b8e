package leaseservice

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"cairntiller/internal/lease"
	"cairntiller/internal/membership"
	"cairntiller/internal/sexp"
)

// hub joins instances in one process; drop says which messages are lost.
type hub struct {
	mu   sync.Mutex
	all  map[string]*Service
	drop func(from, to string, kind uint8) bool
}

func (h *hub) join(t *testing.T, name, folder string, voters ...string) *Service {
	t.Helper()
	place := Settings{Given: true, LongestLease: 1_000_000, MaxDrift: 10_000, MaxLeases: 100, Folder: folder, Voters: lease.VoterSet{Number: 1, Names: voters}}
	l := New(name, "test", place, Clock, func(to string, kind uint8, body []byte) error {
		h.mu.Lock()
		other, lost := h.all[to], h.drop != nil && h.drop(name, to, kind)
		h.mu.Unlock()
		if other != nil && !lost {
			go other.Receive(name, kind, body)
		}
		return nil
	})
	h.mu.Lock()
	h.all[name] = l
	h.mu.Unlock()
	l.Start()
	return l
}

func three(t *testing.T) (*hub, []*Service) {
	h := &hub{all: map[string]*Service{}}
	var all []*Service
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, h.join(t, name, "", "a", "b", "c"))
	}
	t.Cleanup(func() {
		for _, l := range all {
			l.Stop()
		}
	})
	return h, all
}

func want(t *testing.T, l *Service, name string) *Guard {
	t.Helper()
	tenure, err := l.RequestLease(lease.Request{Lease: name, Length: 1_000_000}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return tenure
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(90 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: " + what)
		}
	}
}

// TestOneHolderOverWire lets three instances ask for a lease by encoded messages, and hand it over.
func TestOneHolderOverWire(t *testing.T) {
	_, all := three(t)
	var inside, most, acts atomic.Int32
	var tenures []*Guard
	over := make(chan struct{})
	var done sync.WaitGroup
	for _, l := range all {
		tenure := want(t, l, "task")
		tenures = append(tenures, tenure)
		done.Go(func() {
			for {
				select {
				case <-over:
					return
				case <-time.After(2 * time.Millisecond):
				}
				tenure.Do(context.Background(), 100*time.Millisecond, func(context.Context, uint64) error {
					most.Store(max(most.Load(), inside.Add(1)))
					time.Sleep(time.Millisecond)
					inside.Add(-1)
					acts.Add(1)
					return nil
				})
			}
		})
	}
	holder := func() int {
		return slices.IndexFunc(tenures, func(one *Guard) bool { term, _ := one.Held(); return term > 0 })
	}
	eventually(t, "somebody holds it", func() bool { return holder() >= 0 })
	for range 3 {
		first := holder()
		if first < 0 {
			continue
		}
		tenures[first].Release("")
		eventually(t, "another one holds it", func() bool {
			n := holder()
			if n == first { // nobody else had asked yet
				tenures[first].Release("")
			}
			return n >= 0 && n != first
		})
	}
	eventually(t, "acts", func() bool { return acts.Load() > 20 })
	close(over)
	done.Wait()
	if most.Load() > 1 {
		t.Error("two acted at once")
	}
	lines := MergeReports(all[0].QueryVoters(t.Context()))
	if len(lines) != 1 || lines[0].Lease != "task" || lines[0].Answers != 3 || len(lines[0].GrantedBy) < 2 {
		t.Errorf("voters told %+v", lines)
	}
	if _, err := all[0].RequestLease(lease.Request{Lease: "task", Length: 1_000_000}, nil); !errors.Is(err, ErrAlreadyRequested) {
		t.Errorf("a second wish for it: %v", err)
	}
	if _, err := all[0].RequestLease(lease.Request{Lease: "other", Length: 2_000_000}, nil); err == nil {
		t.Error("a lease above the longest was wanted")
	}
}

// TestGuardEnds sees that no act begins that could outlast the lease, and that what runs is ended when it is lost.
func TestGuardEnds(t *testing.T) {
	h, all := three(t)
	tenure := want(t, all[0], "task")
	eventually(t, "it is held", func() bool { term, _ := tenure.Held(); return term > 0 })
	if err := tenure.Do(t.Context(), 2*time.Second, func(context.Context, uint64) error { t.Error("it acts"); return nil }); !errors.Is(err, ErrNotHeld) {
		t.Errorf("an act of twice the lease's length: %v", err)
	}
	h.mu.Lock()
	h.drop = func(string, string, uint8) bool { return true }
	h.mu.Unlock()
	began := time.Now()
	err := tenure.Do(t.Context(), 500*time.Millisecond, func(ctx context.Context, _ uint64) error { <-ctx.Done(); return ctx.Err() })
	if took := time.Since(began); err == nil || errors.Is(err, ErrNotHeld) || took > 700*time.Millisecond {
		t.Errorf("an act cut off from the voters ended after %v: %v", took, err)
	}
	eventually(t, "it is lost", func() bool { term, _ := tenure.Held(); return term == 0 })
}

// TestLinesOfAContender takes a voter that came back and tries a contender under a later term: the holder is whom most
// voters grant the lease to. It was the one with the latest term, and free asked the wrong router.
func TestLinesOfAContender(t *testing.T) {
	held := []lease.LeaseState{{Lease: "task", Holder: "a", Term: 5, Remaining: 900_000, Waiting: 2}}
	lines := MergeReports([]VoterReport{{Voter: "a", Leases: held}, {Voter: "b", Leases: held},
		{Voter: "c", Leases: []lease.LeaseState{{Lease: "task", Holder: "b", Term: 9, Remaining: 100_000}}}})
	if len(lines) != 1 || lines[0].Holder != "a" || lines[0].Term != 5 || !slices.Equal(lines[0].GrantedBy, []string{"a", "b"}) {
		t.Errorf("%+v", lines)
	}
}

// TestListOfManyLeases guards against pages of a voter's answer that are lost in a burst, or by the network, unseen:
// each is asked for until it comes, and who did not tell all is said so.
func TestListOfManyLeases(t *testing.T) {
	h, all := three(t)
	const many = 80
	for n := range many {
		want(t, all[1], fmt.Sprintf("%03d", n))
	}
	told := func() (lines, whole int) {
		for _, line := range MergeReports(all[0].QueryVoters(t.Context())) {
			if lines++; len(line.GrantedBy) == 3 && line.Holder == "b" {
				whole++
			}
		}
		return lines, whole
	}
	eventually(t, "all are held and told", func() bool { lines, whole := told(); return lines == many && whole == many })
	sent := 0
	lose := func(drop func(from, to string, kind uint8) bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.drop = drop
	}
	lose(func(_, _ string, kind uint8) bool {
		if kind != membership.KindLeaseQuery {
			return false
		}
		sent++
		return sent%5 == 0
	})
	if lines, whole := told(); lines != many || whole != many {
		t.Errorf("%d told of, %d of them by all voters", lines, whole)
	}
	pages := 0
	lose(func(from, _ string, kind uint8) bool {
		if from != "c" || kind != membership.KindLeaseQuery {
			return false
		}
		pages++
		return pages > 3
	})
	o := all[0].overview(t.Context())
	for _, line := range o.Voters {
		if part := line.Reason != ""; !line.Answers || part != (line.Voter == "c") {
			t.Errorf("%+v", line)
		}
	}
}

// TestStore keeps, opens again, and refuses what is damaged, another's or newer, without changing it.
func TestStore(t *testing.T) {
	folder := t.TempDir()
	s, stored, err := openStore(folder, "kandy", "a")
	if err != nil || len(stored.grants) != 0 || stored.termFloor != 0 || stored.setNumber != 0 {
		t.Fatal(stored, err)
	}
	actions := []lease.Action{lease.StoreVoterSet{Number: 3}, lease.StoreGrant{GrantRecord: lease.GrantRecord{Lease: "x", Term: 7, Holder: "b", Incarnation: 11}},
		lease.StoreGrant{GrantRecord: lease.GrantRecord{Lease: "y", Term: 8, Holder: "c", Incarnation: 12}}, lease.DeleteGrant{Lease: "x"}, lease.Send{}}
	if err := s.write(actions, 9); err != nil {
		t.Fatal(err)
	}
	if _, _, err := openStore(folder, "kandy", "a"); !errors.Is(err, ErrInUse) {
		t.Error("two processes have one file:", err)
	}
	s.close()
	s, stored, err = openStore(folder, "kandy", "a")
	want := storedState{grants: []lease.GrantRecord{{Lease: "y", Holder: "c", Term: 8, Incarnation: 12}}, termFloor: 9, setNumber: 3}
	if err != nil || !reflect.DeepEqual(stored, want) {
		t.Fatal(stored, err)
	}
	s.close()
	path := filepath.Join(folder, storeName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	refused := func(what string, raw []byte, cluster, name string, want error) {
		t.Helper()
		other := t.TempDir()
		at := filepath.Join(other, storeName)
		if err := os.WriteFile(at, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, err := openStore(other, cluster, name)
		if err == nil {
			s.close()
			t.Errorf("%s: taken", what)
		} else if want != nil && !errors.Is(err, want) {
			t.Errorf("%s: %v", what, err)
		}
	}
	refused("copied from another voter", whole, "kandy", "b", ErrOtherVoter)
	refused("of another fleet", whole, "galle", "a", ErrOtherVoter)
	for cut := 4096; cut < len(whole); cut += 4096 { // it ended the process, by a fault that can't be caught
		other := t.TempDir()
		if err := os.WriteFile(filepath.Join(other, storeName), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s, again, err := openStore(other, "kandy", "a")
		if err == nil {
			s.close()
		}
		if err == nil && !reflect.DeepEqual(again.grants, stored.grants) || err != nil && !errors.Is(err, ErrDamaged) && cut > 8192 {
			t.Errorf("cut at %d: %v, %v", cut, again, err)
		}
	}
	for _, text := range []string{"kandy", "y\x83"} { // the owner's record, a lease's
		if !bytes.Contains(whole, []byte(text)) {
			t.Fatalf("%q is not in the file", text)
		}
		flipped := slices.Clone(whole)
		for i := range flipped { // in each page that has it
			if i+len(text) <= len(flipped) && string(whole[i:i+len(text)]) == text {
				flipped[i+len(text)-1] ^= 4
			}
		}
		refused("flipped in "+text, flipped, "kandy", "a", nil)
	}
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		return putRecord(tx.Bucket(metaBucket), ownerKey, ownerRecord{Version: storeVersion + 1, Cluster: "kandy", Voter: "a"})
	})
	if err := errors.Join(err, db.Close()); err != nil {
		t.Fatal(err)
	}
	newer, _ := os.ReadFile(path)
	refused("of a later version", newer, "kandy", "a", ErrNewer)
}

// TestOutOfService takes a voter whose file is another's out of service, and a claimant on the same instance goes on.
func TestOutOfService(t *testing.T) {
	folder := t.TempDir()
	s, _, err := openStore(folder, "test", "other")
	if err != nil {
		t.Fatal(err)
	}
	s.close()
	h := &hub{all: map[string]*Service{}}
	a, b, c := h.join(t, "a", folder, "a", "b", "c"), h.join(t, "b", "", "a", "b", "c"), h.join(t, "c", t.TempDir(), "a", "b", "c")
	defer c.Stop()
	defer b.Stop()
	defer a.Stop()
	if !errors.Is(a.VoterFault(), ErrOtherVoter) || b.VoterFault() != nil || c.VoterFault() != nil {
		t.Fatal(a.VoterFault(), b.VoterFault(), c.VoterFault())
	}
	tenure := want(t, a, "task")
	eventually(t, "two voters are enough", func() bool { term, _ := tenure.Held(); return term > 0 })
	o := a.overview(t.Context())
	if o.Voters[0].Reason == "" || o.Voters[0].Answers || !o.Voters[1].Answers {
		t.Errorf("%+v", o)
	}
}

// TestRead names faults of the operator's file at their places.
func TestRead(t *testing.T) {
	for text, want := range map[string]bool{
		`(leases (voters (names "a" "b" "c")))`: true,
		`(leases (voters (names "a" "b")))`:     false,
		`(leases (voters (names "a" "a" "b")))`: false,
		`(leases)`:                              false,
		`(leases (voters (number 2) (names "a" "b" "c" "d") (before "a" "b" "c")))`:    true,
		`(leases (voters (number 1) (names "a" "b" "c" "d") (before "a" "b" "c")))`:    false,
		`(leases (voters (number 2) (names "a" "d" "e") (before "a" "b" "c")))`:        false,
		`(leases (longest 10ms) (voters (names "a")))`:                                 false,
		`(leases (drift 1) (longest 2s) (voters (names "a" "b" "c" "d" "e" "f" "g")))`: true,
	} {
		path := filepath.Join(t.TempDir(), "f.sexp")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := sexp.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		p := f.Part("leases")
		ReadSettings(p)
		if err := f.Faults(); (err == nil) != want {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// FuzzDecode reads anything; what is taken is within its bounds and goes out again as it came in.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(&lease.Message{Kind: lease.KindGrantRequest, Incarnation: 1, SetNumber: 1, RequestID: 9, Generation: 2, Items: []lease.Item{{Lease: "x", Term: 5, Length: 7, Full: true, Ticket: 4}}}))
	f.Add(Encode(&lease.Message{Kind: lease.KindRenewResponse, Requester: 3, SetNames: []string{"a", "b"}, EndedGrants: 4, RenewedCount: 2, VoterClock: 8}))
	f.Add(Encode(&lease.Message{Kind: lease.KindVoterStatus, TermFloor: 8, LongestLease: 9, SetAge: 10}))
	f.Add([]byte{0x8f, 0x02})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode("a", raw)
		if err != nil {
			return
		}
		if !m.Kind.Valid() || len(m.SetNames) > lease.MaxVoters || m.LongestLease < 0 || m.SetAge < 0 || m.RenewedCount < 0 {
			t.Fatalf("out of bounds: %+v", m)
		}
		again, err := Decode("a", Encode(m))
		if err != nil || !reflect.DeepEqual(m, again) {
			t.Fatalf("%v: %+v, %+v", err, m, again)
		}
		if len(Encode(m)) > membership.MaxDatagram && len(raw) <= membership.MaxDatagram {
			t.Fatalf("%d bytes became %d", len(raw), len(Encode(m)))
		}
	})
}
