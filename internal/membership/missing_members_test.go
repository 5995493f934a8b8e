package membership

import (
	"slices"
	"testing"
)

// Attempts to reach missing members become less frequent, rotate through all addresses, and end when no member is
// missing or an address has been retried for an hour.
func TestMissingMembers(t *testing.T) {
	missing := newMissingMembers(0, []string{"s1", "s2", "s3", "s4"})
	tried, attempts := map[string]int{}, 0
	for now := int64(0); now < 120_000_000; now += 100_000 {
		if addresses := missing.addressesToTry(now, true); len(addresses) > 0 {
			attempts++
			for _, address := range addresses {
				tried[address]++
			}
		}
	}
	if len(tried) != 4 || attempts < 12 || attempts > 22 {
		t.Errorf("%d attempts in two minutes, want 12 to 22 at 4 addresses: %v", attempts, tried)
	}
	if addresses := missing.addressesToTry(200_000_000, false); addresses != nil {
		t.Errorf("addresses to try without a missing member: %v", addresses)
	}
	missing.memberLost(201_000_000, "x")
	if addresses := missing.addressesToTry(202_000_001, false); !slices.Equal(addresses, []string{"x"}) {
		t.Errorf("addresses %v, want those of the lost member", addresses)
	}
	missing.memberFound("x")
	if addresses := missing.addressesToTry(300_000_000, false); addresses != nil {
		t.Errorf("addresses to try after the member was found: %v", addresses)
	}
	missing.memberLost(301_000_000, "x")
	if addresses := missing.addressesToTry(301_000_000+memberRetention+1, false); addresses != nil {
		t.Errorf("addresses to try after the retention time: %v", addresses)
	}
}
