package lease

import (
	"errors"
	"testing"
)

// TestRefusedVoterSets guards against two sets without a voter in common, each of which could have a holder. That comes
// about if two operator's files use the same number for different sets, or if one file makes two changes at once. A
// voter refuses a set that does not directly follow its own, and reports why.
func TestRefusedVoterSets(t *testing.T) {
	const start = 1_000_000
	for name, c := range map[string]struct {
		offered VoterSet
		reason  error
		text    string
	}{
		"the set in force, in another order": {VoterSet{Number: 2, Names: []string{"c", "b", "a"}}, nil, ""},
		"different names under the same number": {VoterSet{Number: 2, Names: []string{"a", "b", "d"}}, ErrSetNumberReused,
			"voter set number 2 is in force with different names"},
		"an earlier set": {VoterSet{Number: 1, Names: []string{"a", "b"}}, ErrSetOutdated, "voter set number 1 is older than number 2, which is in force"},
		"two changes at once": {VoterSet{Number: 4, Names: []string{"a", "b", "c", "d"}}, ErrSetSkipped,
			"voter set number 4 skips ahead of number 2, which is in force: change voters one step at a time"},
		"one voter replaced by another": {VoterSet{Number: 3, Names: []string{"a", "b", "d"}}, ErrSetTooDifferent,
			"voter set number 3 must differ from number 2 by exactly one voter"},
		"one voter more": {VoterSet{Number: 3, Names: []string{"a", "b", "c", "d"}}, nil, ""},
		"one voter less": {VoterSet{Number: 3, Names: []string{"a", "c"}}, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewVoter(start, "a", 1, modelLongest, 10, 0, VoterSet{Number: 2, Names: []string{"a", "b", "c"}}, nil)
			err := v.SetVoters(start, c.offered)
			if c.reason == nil {
				if err != nil {
					t.Errorf("rejected: %v", err)
				}
				return
			}
			var refused *VoterSetError
			if !errors.As(err, &refused) || !errors.Is(err, c.reason) || err.Error() != c.text {
				t.Fatalf("error %v, want %q", err, c.text)
			}
			if refused.Offered != c.offered.Number || refused.InForce != 2 {
				t.Errorf("offered %d, in force %d", refused.Offered, refused.InForce)
			}
		})
	}
}
