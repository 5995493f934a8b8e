package leaseservice

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cairntiller/internal/lease"
)

// hub joins instances in one process; drop says which messages are lost.
type hub struct {
	mu   sync.Mutex
	all  map[string]*Service
	drop func(from, to string, kind uint8) bool
}

// join starts an instance; an empty folder leaves its voter without a file.
func (h *hub) join(t *testing.T, name, folder string, voters ...string) *Service {
	t.Helper()
	settings := Settings{Given: true, LongestLease: 1_000_000, MaxDrift: 10_000, MaxLeases: 100, Folder: folder, Voters: lease.VoterSet{Number: 1, Names: voters}}
	s := New(name, "test", settings, Clock, func(to string, kind uint8, body []byte) error {
		h.mu.Lock()
		other, lost := h.all[to], h.drop != nil && h.drop(name, to, kind)
		h.mu.Unlock()
		if other != nil && !lost {
			go other.Receive(name, kind, body)
		}
		return nil
	})
	h.mu.Lock()
	h.all[name] = s
	h.mu.Unlock()
	s.Start()
	return s
}

// three starts three instances that all vote, without files.
func three(t *testing.T) (*hub, []*Service) {
	h := &hub{all: map[string]*Service{}}
	var all []*Service
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, h.join(t, name, "", "a", "b", "c"))
	}
	t.Cleanup(func() {
		for _, s := range all {
			s.Stop()
		}
	})
	return h, all
}

// want requests a lease whose guard yields by itself.
func want(t *testing.T, s *Service, name string) *Guard {
	t.Helper()
	guard, err := s.RequestLease(lease.Request{Lease: name, Length: 1_000_000}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return guard
}

// eventually waits until something is so.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(90 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: " + what)
		}
	}
}

// TestOneHolderOverWire: three instances request one lease by encoded messages, and hand it over three times. If two of them
// acted at once, work that must be done once would be done twice.
func TestOneHolderOverWire(t *testing.T) {
	_, all := three(t)
	var inside, most, acts atomic.Int32
	var guards []*Guard
	over := make(chan struct{})
	var done sync.WaitGroup
	for _, s := range all {
		guard := want(t, s, "task")
		guards = append(guards, guard)
		done.Go(func() {
			for {
				select {
				case <-over:
					return
				case <-time.After(2 * time.Millisecond):
				}
				guard.Do(context.Background(), 100*time.Millisecond, func(context.Context, uint64) error {
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
		return slices.IndexFunc(guards, func(one *Guard) bool { term, _ := one.Held(); return term > 0 })
	}
	eventually(t, "somebody holds it", func() bool { return holder() >= 0 })
	for range 3 {
		first := holder()
		if first < 0 {
			continue
		}
		guards[first].Release("")
		eventually(t, "another one holds it", func() bool {
			n := holder()
			if n == first { // nobody else had asked yet
				guards[first].Release("")
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
	var invalid *InvalidRequestError
	if _, err := all[0].RequestLease(lease.Request{Lease: "other", Length: 2_000_000}, nil); !errors.As(err, &invalid) {
		t.Errorf("a lease above the longest was requested: %v", err)
	}
}

// TestGuardEnds: the holder is cut off from the voters in the middle of an act, and the lease passes on while the act runs. No
// act may begin that could outlast the lease, and what runs must be ended when it is lost.
func TestGuardEnds(t *testing.T) {
	h, all := three(t)
	guard := want(t, all[0], "task")
	eventually(t, "it is held", func() bool { term, _ := guard.Held(); return term > 0 })
	if err := guard.Do(t.Context(), 2*time.Second, func(context.Context, uint64) error { t.Error("it acts"); return nil }); !errors.Is(err, ErrNotHeld) {
		t.Errorf("an act of twice the lease's length: %v", err)
	}
	h.mu.Lock()
	h.drop = func(string, string, uint8) bool { return true }
	h.mu.Unlock()
	began := time.Now()
	err := guard.Do(t.Context(), 500*time.Millisecond, func(ctx context.Context, _ uint64) error { <-ctx.Done(); return ctx.Err() })
	if took := time.Since(began); err == nil || errors.Is(err, ErrNotHeld) || took > 700*time.Millisecond {
		t.Errorf("an act cut off from the voters ended after %v: %v", took, err)
	}
	eventually(t, "it is lost", func() bool { term, _ := guard.Held(); return term == 0 })
}

// TestVoterOutOfService: an operator copied a voter's file to another instance. That voter must not vote, its instance must
// say why, and its own requests must go on.
func TestVoterOutOfService(t *testing.T) {
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
	guard := want(t, a, "task")
	eventually(t, "two voters are enough", func() bool { term, _ := guard.Held(); return term > 0 })
	o := a.overview(t.Context())
	if o.Voters[0].Reason == "" || o.Voters[0].Answers || !o.Voters[1].Answers {
		t.Errorf("%+v", o)
	}
}

// TestVoterSetRefused: an operator's file skipped a change of voters, which could give a lease two holders. The voter must
// keep to its set, and the caller must be able to tell why; the next number is taken.
func TestVoterSetRefused(t *testing.T) {
	_, all := three(t)
	err := all[0].SetVoters(lease.VoterSet{Number: 3, Names: []string{"a", "b"}})
	var refused *lease.VoterSetError
	if !errors.As(err, &refused) || !errors.Is(err, lease.ErrSetSkipped) || refused.Offered != 3 || refused.InForce != 1 {
		t.Fatal(err)
	}
	if want := "voter set number 3 skips ahead of number 1, which is in force: change voters one step at a time"; err.Error() != want {
		t.Errorf("%q, want %q", err, want)
	}
	if err := all[0].SetVoters(lease.VoterSet{Number: 2, Names: []string{"a", "b"}}); err != nil {
		t.Error(err)
	}
}
