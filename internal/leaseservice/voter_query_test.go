package leaseservice

import (
	"fmt"
	"slices"
	"testing"

	"cairntiller/internal/lease"
	"cairntiller/internal/membership"
)

// TestMergeReportsWithContender guards against naming the wrong holder: a voter had restarted and granted a trial to
// another candidate under a later term, the list named that candidate, and lease free asked the wrong router. The
// holder is the process to which most voters grant the lease.
func TestMergeReportsWithContender(t *testing.T) {
	held := []lease.LeaseState{{Lease: "task", Holder: "a", Term: 5, Remaining: 900_000, Waiting: 2}}
	lines := MergeReports([]VoterReport{{Voter: "a", Leases: held}, {Voter: "b", Leases: held},
		{Voter: "c", Leases: []lease.LeaseState{{Lease: "task", Holder: "b", Term: 9, Remaining: 100_000}}}})
	if len(lines) != 1 || lines[0].Holder != "a" || lines[0].Term != 5 || !slices.Equal(lines[0].GrantedBy, []string{"a", "b"}) {
		t.Errorf("%+v", lines)
	}
}

// TestListOfManyLeases guards against an incomplete list without an indication: a voter sent its 80 leases in one
// burst, which overflowed the receiver's socket buffer. Each page is requested until it arrives, and a voter whose
// answer is incomplete is marked.
func TestListOfManyLeases(t *testing.T) {
	h, all := startThree(t)
	const leaseCount = 80
	for n := range leaseCount {
		requestLease(t, all[1], fmt.Sprintf("%03d", n))
	}
	list := func() (lines, whole int) {
		for _, line := range MergeReports(all[0].QueryVoters(t.Context())) {
			if lines++; len(line.GrantedBy) == 3 && line.Holder == "b" {
				whole++
			}
		}
		return lines, whole
	}
	eventually(t, "all leases held and listed", func() bool { lines, whole := list(); return lines == leaseCount && whole == leaseCount })
	queries := 0
	setDrop := func(drop func(from, to string, kind uint8) bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.drop = drop
	}
	setDrop(func(_, _ string, kind uint8) bool {
		if kind != membership.KindLeaseQuery {
			return false
		}
		queries++
		return queries%5 == 0
	})
	if lines, whole := list(); lines != leaseCount || whole != leaseCount {
		t.Errorf("%d leases listed, %d of them by all voters", lines, whole)
	}
	pages := 0
	setDrop(func(from, _ string, kind uint8) bool {
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
