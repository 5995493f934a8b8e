package leaseservice

import (
	"fmt"
	"slices"
	"testing"

	"cairntiller/internal/lease"
	"cairntiller/internal/membership"
)

// TestMergeReportsWithContender: a voter came back and granted another candidate a trial under a later term. The list named
// that one as the holder, and lease free asked the wrong router. The holder is whom most voters grant the lease to.
func TestMergeReportsWithContender(t *testing.T) {
	held := []lease.LeaseState{{Lease: "task", Holder: "a", Term: 5, Remaining: 900_000, Waiting: 2}}
	lines := MergeReports([]VoterReport{{Voter: "a", Leases: held}, {Voter: "b", Leases: held},
		{Voter: "c", Leases: []lease.LeaseState{{Lease: "task", Holder: "b", Term: 9, Remaining: 100_000}}}})
	if len(lines) != 1 || lines[0].Holder != "a" || lines[0].Term != 5 || !slices.Equal(lines[0].GrantedBy, []string{"a", "b"}) {
		t.Errorf("%+v", lines)
	}
}

// TestListOfManyLeases: a voter told its 80 leases in one burst, which overran the asker's socket, and the operator saw a
// part without a word that it was one. Each page is asked for until it comes, and a voter that did not tell all is shown so.
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
