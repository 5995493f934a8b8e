package leaseservice

import (
	"fmt"
	"time"

	"cairntiller/internal/codec"
	"cairntiller/internal/membership"
)

// An operator frees a lease: the instance that is asked finds the holder by what the voters know, and asks it to give the
// lease up. That may arrive late, when another process holds the lease, or the same one under a later term. So the
// request names the term that is meant, and a holder under any other term goes on.

// freeRequestLifetime is for how long, us, a request to free a lease may be under way: the list of leases that the asker
// goes by, listTimeout, and as long again for the message. A request of an earlier version of the program names no term;
// it is for whoever has held the lease for longer than that, so it can't be for an earlier holder.
const freeRequestLifetime = 2 * int64(listTimeout/time.Microsecond)

// termFilter reports whether a request to give a lease up is for the term under which it is held.
type termFilter func(guard *Guard, held uint64) bool

// anyTerm is the filter of this instance's own requests.
func anyTerm(*Guard, uint64) bool { return true }

// onlyTerm is the filter of a request that names a term.
func onlyTerm(term uint64) termFilter {
	return func(_ *Guard, held uint64) bool { return held == term }
}

// heldForLong is the filter of a request that names no term.
func heldForLong(guard *Guard, held uint64) bool {
	t := guard.held.Load()
	return t != nil && t.term == held && guard.service.clock()-t.since > freeRequestLifetime
}

// free has a lease's holder give it up, as far as it still holds it under the status's term.
func (s *Service) free(status LeaseStatus) error {
	if status.Holder == s.self {
		s.requestYield(status.Lease, onlyTerm(status.Term), "an operator frees it")
		return nil
	}
	if err := s.send(status.Holder, membership.KindLeaseQuery, codec.Encode(newFreeRequest(status))); err != nil {
		return fmt.Errorf("%s, which holds it, can't be reached; what it holds runs out within %d ms: %w", status.Holder, status.RemainingMS, err)
	}
	return nil
}

// newFreeRequest returns the request to give a lease up. An earlier version reads the lease alone.
func newFreeRequest(status LeaseStatus) queryMessage {
	meant := queryLease{Lease: status.Lease, Holder: status.Holder, Term: status.Term}
	return queryMessage{Version: queryVersion, FreeLease: status.Lease, Leases: []queryLease{meant}}
}

// handleFreeRequest takes a member's request to give a lease up.
func (s *Service) handleFreeRequest(from string, m queryMessage) {
	meant := termFilter(heldForLong)
	if len(m.Leases) > 0 {
		meant = onlyTerm(m.Leases[0].Term)
	}
	s.requestYield(m.FreeLease, meant, "an operator at "+from+" frees it")
}
