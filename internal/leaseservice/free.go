package leaseservice

import (
	"fmt"
	"time"

	"cairntiller/internal/codec"
	"cairntiller/internal/membership"
)

// An operator can free a lease: the instance that is asked determines the holder by querying the voters, and asks it to
// release the lease. This request may arrive late, when another process holds the lease, or the same one under a later
// term. So it names the term, and a holder under any other term ignores it.

// freeRequestLifetime is the maximum age, in us, of the voters' answers on which a request to free a lease is based
// when it arrives: listTimeout for the query of the voters, and as long again for the message. A request from an
// earlier version of the program names no term. It applies only to a holder that has held the lease for longer than
// this, so it can't be meant for an earlier holder.
const freeRequestLifetime = 2 * int64(listTimeout/time.Microsecond)

// termFilter reports whether a request to release a lease applies to the term under which it is held.
type termFilter func(guard *Guard, held uint64) bool

// matchAnyTerm is the filter of requests by this instance itself.
func matchAnyTerm(*Guard, uint64) bool { return true }

// matchTerm returns the filter of a request that names a term.
func matchTerm(term uint64) termFilter {
	return func(_ *Guard, held uint64) bool { return held == term }
}

// heldBeforeRequest is the filter of a request that names no term.
func heldBeforeRequest(guard *Guard, term uint64) bool {
	held := guard.held.Load()
	return held != nil && held.term == term && guard.service.clock()-held.since > freeRequestLifetime
}

// sendFreeRequest asks a lease's holder to release it if it still holds it under the status's term.
func (s *Service) sendFreeRequest(status LeaseStatus) error {
	if status.Holder == s.self {
		s.requestYield(status.Lease, matchTerm(status.Term), "an operator freed the lease")
		return nil
	}
	if err := s.send(status.Holder, membership.KindLeaseQuery, codec.Encode(newFreeRequest(status))); err != nil {
		return fmt.Errorf("holder %s can't be reached; its lease expires within %d ms: %w", status.Holder, status.RemainingMS, err)
	}
	return nil
}

// newFreeRequest returns the request to release a lease. An earlier version of the program reads only the lease's name.
func newFreeRequest(status LeaseStatus) queryMessage {
	target := queryLease{Lease: status.Lease, Holder: status.Holder, Term: status.Term}
	return queryMessage{Version: queryVersion, FreeLease: status.Lease, Leases: []queryLease{target}}
}

// handleFreeRequest handles a member's request to release a lease.
func (s *Service) handleFreeRequest(from string, m queryMessage) {
	matches := termFilter(heldBeforeRequest)
	if len(m.Leases) > 0 {
		matches = matchTerm(m.Leases[0].Term)
	}
	s.requestYield(m.FreeLease, matches, "an operator at "+from+" freed the lease")
}
