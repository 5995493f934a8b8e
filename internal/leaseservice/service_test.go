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

// testNetwork connects instances in one process; drop selects messages to lose.
type testNetwork struct {
	mu   sync.Mutex
	all  map[string]*Service
	drop func(from, to string, kind uint8) bool
}

// join starts an instance; with an empty folder its voter has no file.
func (h *testNetwork) join(t *testing.T, name, folder string, voters ...string) *Service {
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

// startThree starts three instances that all vote, without files.
func startThree(t *testing.T) (*testNetwork, []*Service) {
	h := &testNetwork{all: map[string]*Service{}}
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

// requestLease requests a lease whose guard yields by itself.
func requestLease(t *testing.T, s *Service, name string) *Guard {
	t.Helper()
	guard, err := s.RequestLease(lease.Request{Lease: name, Length: 1_000_000}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return guard
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(90 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// TestOneHolderOverWire guards against two holders at once, which would do work twice that must be done once. Three
// instances request one lease through encoded messages, and hand it over three times.
func TestOneHolderOverWire(t *testing.T) {
	_, all := startThree(t)
	var running, maxRunning, completed atomic.Int32
	var guards []*Guard
	stop := make(chan struct{})
	var done sync.WaitGroup
	for _, s := range all {
		guard := requestLease(t, s, "task")
		guards = append(guards, guard)
		done.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(2 * time.Millisecond):
				}
				guard.Do(context.Background(), 100*time.Millisecond, func(context.Context, uint64) error {
					maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
					time.Sleep(time.Millisecond)
					running.Add(-1)
					completed.Add(1)
					return nil
				})
			}
		})
	}
	holder := func() int {
		return slices.IndexFunc(guards, func(one *Guard) bool { term, _ := one.Held(); return term > 0 })
	}
	eventually(t, "a holder", func() bool { return holder() >= 0 })
	for range 3 {
		first := holder()
		if first < 0 {
			continue
		}
		guards[first].Release("")
		eventually(t, "another holder", func() bool {
			n := holder()
			if n == first { // no other instance had requested it yet
				guards[first].Release("")
			}
			return n >= 0 && n != first
		})
	}
	eventually(t, "20 operations", func() bool { return completed.Load() > 20 })
	close(stop)
	done.Wait()
	if maxRunning.Load() > 1 {
		t.Error("two instances acted at once")
	}
	lines := MergeReports(all[0].QueryVoters(t.Context()))
	if len(lines) != 1 || lines[0].Lease != "task" || lines[0].Answers != 3 || len(lines[0].GrantedBy) < 2 {
		t.Errorf("merged reports %+v", lines)
	}
	if _, err := all[0].RequestLease(lease.Request{Lease: "task", Length: 1_000_000}, nil); !errors.Is(err, ErrAlreadyRequested) {
		t.Errorf("second request: error %v, want ErrAlreadyRequested", err)
	}
	var invalid *InvalidRequestError
	if _, err := all[0].RequestLease(lease.Request{Lease: "other", Length: 2_000_000}, nil); !errors.As(err, &invalid) {
		t.Errorf("length above the longest lease: error %v, want an InvalidRequestError", err)
	}
}

// TestGuardEnds guards against an operation that runs while another instance already holds the lease, after the holder
// was cut off from the voters. No operation may start that could outlast the lease, and a running one is canceled when
// the lease is lost.
func TestGuardEnds(t *testing.T) {
	h, all := startThree(t)
	guard := requestLease(t, all[0], "task")
	eventually(t, "lease held", func() bool { term, _ := guard.Held(); return term > 0 })
	if err := guard.Do(t.Context(), 2*time.Second, func(context.Context, uint64) error { t.Error("operation was started"); return nil }); !errors.Is(err, ErrNotHeld) {
		t.Errorf("operation of twice the lease's length: error %v, want ErrNotHeld", err)
	}
	h.mu.Lock()
	h.drop = func(string, string, uint8) bool { return true }
	h.mu.Unlock()
	began := time.Now()
	err := guard.Do(t.Context(), 500*time.Millisecond, func(ctx context.Context, _ uint64) error { <-ctx.Done(); return ctx.Err() })
	if took := time.Since(began); err == nil || errors.Is(err, ErrNotHeld) || took > 700*time.Millisecond {
		t.Errorf("operation cut off from the voters ended after %v: %v", took, err)
	}
	eventually(t, "lease lost", func() bool { term, _ := guard.Held(); return term == 0 })
}

// TestVoterOutOfService guards against a voter's file that was copied to another instance. That voter must not vote,
// its instance must report why, and its own requests must continue.
func TestVoterOutOfService(t *testing.T) {
	folder := t.TempDir()
	s, _, err := openStore(folder, "test", "other")
	if err != nil {
		t.Fatal(err)
	}
	s.close()
	h := &testNetwork{all: map[string]*Service{}}
	a, b, c := h.join(t, "a", folder, "a", "b", "c"), h.join(t, "b", "", "a", "b", "c"), h.join(t, "c", t.TempDir(), "a", "b", "c")
	defer c.Stop()
	defer b.Stop()
	defer a.Stop()
	if !errors.Is(a.VoterFault(), ErrOtherVoter) || b.VoterFault() != nil || c.VoterFault() != nil {
		t.Fatal(a.VoterFault(), b.VoterFault(), c.VoterFault())
	}
	guard := requestLease(t, a, "task")
	eventually(t, "lease held with two of three voters", func() bool { term, _ := guard.Held(); return term > 0 })
	o := a.overview(t.Context())
	if o.Voters[0].Reason == "" || o.Voters[0].Answers || !o.Voters[1].Answers {
		t.Errorf("%+v", o)
	}
}

// TestVoterSetRefused guards against an operator's file that skips a change of voters, after which a lease could have
// two holders. The voter must keep its set and return a typed error; the next number is accepted.
func TestVoterSetRefused(t *testing.T) {
	_, all := startThree(t)
	err := all[0].SetVoters(lease.VoterSet{Number: 3, Names: []string{"a", "b"}})
	var refused *lease.VoterSetError
	if !errors.As(err, &refused) || !errors.Is(err, lease.ErrSetSkipped) || refused.Offered != 3 || refused.InForce != 1 {
		t.Fatal(err)
	}
	if want := "voter set number 3 skips ahead of number 1, which is in force: change voters one step at a time"; err.Error() != want {
		t.Errorf("error %q, want %q", err, want)
	}
	if err := all[0].SetVoters(lease.VoterSet{Number: 2, Names: []string{"a", "b"}}); err != nil {
		t.Error(err)
	}
}
