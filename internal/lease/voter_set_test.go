package lease

import (
	"errors"
	"testing"
)

// TestRefusedVoterSets: an operator's file goes out to half of the voters, then another under the same number, or two changes
// at once. Two sets without a voter in common could then each have a holder, so a voter refuses what does not follow its own
// set, and says why.
func TestRefusedVoterSets(t *testing.T) {
	const start = 1_000_000
	for name, c := range map[string]struct {
		offered VoterSet
		reason  error
		text    string
	}{
		"the set in force, in another order": {VoterSet{Number: 2, Names: []string{"c", "b", "a"}}, nil, ""},
		"other names under its number": {VoterSet{Number: 2, Names: []string{"a", "b", "d"}}, ErrSetNumberReused,
			"other voters under number 2, which is in force"},
		"an earlier set": {VoterSet{Number: 1, Names: []string{"a", "b"}}, ErrSetOutdated, "voters number 1, and number 2 is in force"},
		"two changes at once": {VoterSet{Number: 4, Names: []string{"a", "b", "c", "d"}}, ErrSetSkipped,
			"voters number 4, and number 2 is in force: one change after another"},
		"one voter replaced by another": {VoterSet{Number: 3, Names: []string{"a", "b", "d"}}, ErrSetTooDifferent,
			"voters number 3 differ from number 2 by more than one"},
		"one voter more": {VoterSet{Number: 3, Names: []string{"a", "b", "c", "d"}}, nil, ""},
		"one voter less": {VoterSet{Number: 3, Names: []string{"a", "c"}}, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewVoter(start, "a", 1, modelLongest, 10, 0, VoterSet{Number: 2, Names: []string{"a", "b", "c"}}, nil)
			err := v.SetVoters(start, c.offered)
			if c.reason == nil {
				if err != nil {
					t.Errorf("refused: %v", err)
				}
				return
			}
			var refused *VoterSetError
			if !errors.As(err, &refused) || !errors.Is(err, c.reason) || err.Error() != c.text {
				t.Fatalf("%v, want %q", err, c.text)
			}
			if refused.Offered != c.offered.Number || refused.InForce != 2 {
				t.Errorf("offered %d, in force %d", refused.Offered, refused.InForce)
			}
		})
	}
}
