package leaseservice

import (
	"testing"
	"time"

	"cairntiller/internal/codec"
	"cairntiller/internal/lease"
	"cairntiller/internal/membership"
)

// TestLateFree: an operator frees a lease, and the request reaches a holder under a later term: the lease has passed on, or
// came back. Seen: that holder gives it up without cause. A request of a version before, which names no term, frees only what
// has been held for longer than it can have been under way.
func TestLateFree(t *testing.T) {
	_, all := three(t)
	yields := make(chan Event, 9)
	guard, err := all[1].RequestLease(lease.Request{Lease: "task", Length: 1_000_000}, func(e Event) {
		if e.Change == YieldRequested {
			yields <- e
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	held := func() bool { term, _ := guard.Held(); return term > 0 }
	eventually(t, "the lease is held", held)
	early, _ := guard.Held()
	guard.Release("")
	eventually(t, "it is held under a later term", func() bool { term, _ := guard.Held(); return term > early })
	term, _ := guard.Held()

	counted := yieldsRefused.Count()
	refused := func(what string) {
		t.Helper()
		counted++
		eventually(t, what+" is refused", func() bool { return yieldsRefused.Count() == counted || len(yields) > 0 })
		if len(yields) > 0 {
			t.Fatalf("%s: the lease held under term %d is to be given up", what, term)
		}
	}
	for _, asker := range []*Service{all[0], all[1]} { // another instance, and the holder's own operator
		if err := asker.free(LeaseStatus{Lease: "task", Holder: "b", Term: early}); err != nil {
			t.Fatal(err)
		}
		refused("a free of the term before, by " + asker.self)
	}
	withoutTerm := codec.Encode(queryMessage{Version: queryVersion, FreeLease: "task"})
	all[1].Receive("a", membership.KindLeaseQuery, withoutTerm)
	refused("a free without a term, of a lease just held")

	all[1].onCandidate(func(int64) {
		old := *guard.held.Load()
		old.since -= freeRequestLifetime
		guard.held.Store(&old)
	})
	frees := map[string]func(){
		"a free without a term": func() { all[1].Receive("a", membership.KindLeaseQuery, withoutTerm) },
		"a free of the term": func() {
			if err := all[0].free(LeaseStatus{Lease: "task", Holder: "b", Term: term}); err != nil {
				t.Error(err)
			}
		},
	}
	for what, free := range frees {
		free()
		select {
		case e := <-yields:
			if e.Term != term {
				t.Errorf("%s: the holder under term %d is asked, want %d", what, e.Term, term)
			}
		case <-time.After(20 * time.Second):
			t.Errorf("%s does not reach the holder", what)
		}
	}
}
