package membership

import (
	"slices"
	"testing"
)

// TestMissingMembers: attempts to reach missing members grow rarer, go round all addresses, and end when nobody is missing
// or when an address has been tried for an hour.
func TestMissingMembers(t *testing.T) {
	missing := newMissingMembers(0, []string{"s1", "s2", "s3", "s4"})
	asked, attempts := map[string]int{}, 0
	for now := int64(0); now < 120_000_000; now += 100_000 {
		if addresses := missing.addressesToTry(now, true); len(addresses) > 0 {
			attempts++
			for _, one := range addresses {
				asked[one]++
			}
		}
	}
	if len(asked) != 4 || attempts < 12 || attempts > 22 {
		t.Errorf("%d attempts in two minutes: %v", attempts, asked)
	}
	if addresses := missing.addressesToTry(200_000_000, false); addresses != nil {
		t.Errorf("nobody is missing: %v", addresses)
	}
	missing.memberLost(201_000_000, "x")
	if addresses := missing.addressesToTry(202_000_001, false); !slices.Equal(addresses, []string{"x"}) {
		t.Errorf("%v", addresses)
	}
	missing.memberFound("x")
	if addresses := missing.addressesToTry(300_000_000, false); addresses != nil {
		t.Errorf("%v", addresses)
	}
	missing.memberLost(301_000_000, "x")
	if addresses := missing.addressesToTry(301_000_000+memberMemory+1, false); addresses != nil {
		t.Errorf("it is looked for for ever: %v", addresses)
	}
}
