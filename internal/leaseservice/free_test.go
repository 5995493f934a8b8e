package leaseservice

import (
	"testing"
	"time"

	"cairntiller/internal/codec"
	"cairntiller/internal/lease"
	"cairntiller/internal/membership"
)

// TestLateFree guards against a request to free a lease that reaches a holder under a later term, because the lease was
// handed over in the meantime. That holder released it without cause. A request of an earlier version, which names no
// term, must free only a lease that has been held for longer than the request can have been in flight.
func TestLateFree(t *testing.T) {
	_, all := startThree(t)
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
	eventually(t, "lease held", held)
	earlierTerm, _ := guard.Held()
	guard.Release("")
	eventually(t, "lease held under a later term", func() bool { term, _ := guard.Held(); return term > earlierTerm })
	term, _ := guard.Held()

	refusals := freeRequestsRefused.Count()
	expectRefusal := func(what string) {
		t.Helper()
		refusals++
		eventually(t, what+" refused", func() bool { return freeRequestsRefused.Count() == refusals || len(yields) > 0 })
		if len(yields) > 0 {
			t.Fatalf("%s: release of the lease held under term %d requested", what, term)
		}
	}
	for _, asker := range []*Service{all[0], all[1]} { // another instance, and the holder's own operator
		if err := asker.sendFreeRequest(LeaseStatus{Lease: "task", Holder: "b", Term: earlierTerm}); err != nil {
			t.Fatal(err)
		}
		expectRefusal("request for the previous term, by " + asker.self)
	}
	withoutTerm := codec.Encode(queryMessage{Version: queryVersion, FreeLease: "task"})
	all[1].Receive("a", membership.KindLeaseQuery, withoutTerm)
	expectRefusal("request without a term, for a lease just acquired")

	all[1].onCandidate(func(int64) {
		old := *guard.held.Load()
		old.since -= freeRequestLifetime
		guard.held.Store(&old)
	})
	requests := map[string]func(){
		"request without a term": func() { all[1].Receive("a", membership.KindLeaseQuery, withoutTerm) },
		"request for the term": func() {
			if err := all[0].sendFreeRequest(LeaseStatus{Lease: "task", Holder: "b", Term: term}); err != nil {
				t.Error(err)
			}
		},
	}
	for what, free := range requests {
		free()
		select {
		case e := <-yields:
			if e.Term != term {
				t.Errorf("%s: release under term %d requested, want %d", what, e.Term, term)
			}
		case <-time.After(20 * time.Second):
			t.Errorf("%s did not reach the holder", what)
		}
	}
}
