package membership

import (
	"cmp"
	"slices"
)

const (
	// firstRetryDelay is the time (us) before the second attempt to reach missing members; it doubles after each
	// attempt.
	firstRetryDelay = 500_000
	// maxRetryDelay limits the delay (us): a healed network partition is joined again within ten seconds.
	maxRetryDelay = 10_000_000
	// addressesPerAttempt is the number of addresses per attempt.
	addressesPerAttempt = 3
)

// missingMembers decides when to retry missing members, and at which addresses: those of lost members and, while there
// is no other member, the seeds of the operator's file.
type missingMembers struct {
	seeds       []string
	lost        map[string]int64 // time of the loss, by address
	retryDelay  int64
	nextAttempt int64
	offset      int // start of the next attempt in the list of addresses, for round robin
}

func newMissingMembers(now int64, seeds []string) *missingMembers {
	return &missingMembers{seeds: seeds, lost: map[string]int64{}, retryDelay: firstRetryDelay, nextAttempt: now}
}

// memberLost records that a member became unreachable without having left.
func (m *missingMembers) memberLost(now int64, address string) {
	m.lost[address] = now
	m.retryDelay = firstRetryDelay
	m.nextAttempt = min(m.nextAttempt, now+m.retryDelay)
}

// memberFound records that there is a live member at an address.
func (m *missingMembers) memberFound(address string) { delete(m.lost, address) }

// addressesToTry returns the addresses to try now, or nil if no attempt is due or no member is missing. alone is true
// while there is no other member.
func (m *missingMembers) addressesToTry(now int64, alone bool) []string {
	if now < m.nextAttempt {
		return nil
	}
	addresses := m.addresses(now, alone)
	if len(addresses) == 0 {
		m.retryDelay = firstRetryDelay
		m.nextAttempt = now + firstRetryDelay
		return nil
	}
	chosen := make([]string, 0, addressesPerAttempt)
	for i := range min(addressesPerAttempt, len(addresses)) {
		chosen = append(chosen, addresses[(m.offset+i)%len(addresses)])
	}
	m.offset += len(chosen)
	m.nextAttempt = now + m.retryDelay
	m.retryDelay = min(2*m.retryDelay, maxRetryDelay)
	return chosen
}

// addresses returns all addresses to retry, sorted.
func (m *missingMembers) addresses(now int64, alone bool) []string {
	var all []string
	for address, lostAt := range m.lost {
		if now-lostAt > memberRetention {
			delete(m.lost, address)
			continue
		}
		all = append(all, address)
	}
	if alone {
		for _, seed := range m.seeds {
			if !slices.Contains(all, seed) {
				all = append(all, seed)
			}
		}
	}
	slices.SortFunc(all, cmp.Compare[string])
	return all
}
