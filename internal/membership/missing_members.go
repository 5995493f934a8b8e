package membership

import (
	"cmp"
	"slices"
)

const (
	// firstRetryDelay is the time (us) until the second attempt to reach members that are missing; it doubles after each.
	firstRetryDelay = 500_000
	// maxRetryDelay bounds it (us): a network that is mended joins again within ten seconds.
	maxRetryDelay = 10_000_000
	// addressesPerAttempt is how many addresses one attempt tries.
	addressesPerAttempt = 3
)

// missingMembers decides when to look for members that are missing, and at which addresses: those of lost members, and the
// seeds of the operator's file while there is no other member.
type missingMembers struct {
	seeds       []string
	lost        map[string]int64 // address, and when its member was lost
	retryDelay  int64
	nextAttempt int64
	turn        int // attempts go round the addresses
}

func newMissingMembers(now int64, seeds []string) *missingMembers {
	return &missingMembers{seeds: seeds, lost: map[string]int64{}, retryDelay: firstRetryDelay, nextAttempt: now}
}

// memberLost reports that a member which had not left can no longer be reached at its address.
func (m *missingMembers) memberLost(now int64, address string) {
	m.lost[address] = now
	m.retryDelay = firstRetryDelay
	m.nextAttempt = min(m.nextAttempt, now+m.retryDelay)
}

// memberFound reports that there is a member at an address.
func (m *missingMembers) memberFound(address string) { delete(m.lost, address) }

// addressesToTry returns the addresses to try now; none if it is not time yet or nobody is missing. alone tells that there
// is no other member.
func (m *missingMembers) addressesToTry(now int64, alone bool) []string {
	if now < m.nextAttempt {
		return nil
	}
	all := m.addresses(now, alone)
	if len(all) == 0 {
		m.retryDelay = firstRetryDelay
		m.nextAttempt = now + firstRetryDelay
		return nil
	}
	chosen := make([]string, 0, addressesPerAttempt)
	for i := range min(addressesPerAttempt, len(all)) {
		chosen = append(chosen, all[(m.turn+i)%len(all)])
	}
	m.turn += len(chosen)
	m.nextAttempt = now + m.retryDelay
	m.retryDelay = min(2*m.retryDelay, maxRetryDelay)
	return chosen
}

// addresses lists, in order, all addresses at which a member is missing.
func (m *missingMembers) addresses(now int64, alone bool) []string {
	var all []string
	for address, lostAt := range m.lost {
		if now-lostAt > memberMemory {
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
