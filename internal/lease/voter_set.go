package lease

import (
	"errors"
	"fmt"
	"slices"
)

// MaxVoters is how many voters a set may have: one more than seven, while one of seven is being replaced.
const MaxVoters = 8

// VoterSet is a set of voters as the operator's file names it. Its number grows by one with each change.
type VoterSet struct {
	Number   uint64
	Names    []string
	Previous []string // the set before it, until all members go by this one; none for the first
}

// adoptedSet is a voter set that a process goes by.
type adoptedSet struct {
	number    uint64
	names     []string
	adoptedAt int64 // on the process's clock
}

func (s *adoptedSet) has(name string) bool { return slices.Contains(s.names, name) }

func (s *adoptedSet) majority() int { return len(s.names)/2 + 1 }

// ValidSuccessor reports whether a voter set may follow another: the two differ by exactly one voter. Then a majority of
// one and a majority of the other always have a voter in common, which never grants a lease to two processes at once.
// With two voters replaced at a time, each set could have a holder of its own.
func ValidSuccessor(was, now []string) bool {
	return len(now) > 0 && missingFrom(was, now)+missingFrom(now, was) == 1
}

// missingFrom counts the names that are not among others.
func missingFrom(names, others []string) (missing int) {
	for _, name := range names {
		if !slices.Contains(others, name) {
			missing++
		}
	}
	return missing
}

// Why a voter refuses a voter set; VoterSetError wraps one of them.
var (
	ErrSetNumberReused = errors.New("other voters under the number that is in force")
	ErrSetOutdated     = errors.New("a later voter set is in force")
	ErrSetSkipped      = errors.New("one change of voters after another") // the number may only grow by one at a time
	ErrSetTooDifferent = errors.New("voter sets that differ by more than one voter")
)

// VoterSetError says why a voter set from the operator's file can't be adopted.
type VoterSetError struct {
	Reason  error  // one of ErrSetNumberReused, ErrSetOutdated, ErrSetSkipped and ErrSetTooDifferent
	Offered uint64 // number of the refused set
	InForce uint64 // number of the present one
}

// Error says what was offered and what is in force.
func (e *VoterSetError) Error() string {
	switch e.Reason {
	case ErrSetNumberReused:
		return fmt.Sprintf("other voters under number %d, which is in force", e.Offered)
	case ErrSetOutdated:
		return fmt.Sprintf("voters number %d, and number %d is in force", e.Offered, e.InForce)
	case ErrSetSkipped:
		return fmt.Sprintf("voters number %d, and number %d is in force: one change after another", e.Offered, e.InForce)
	default: // ErrSetTooDifferent
		return fmt.Sprintf("voters number %d differ from number %d by more than one", e.Offered, e.InForce)
	}
}

// Unwrap returns the reason.
func (e *VoterSetError) Unwrap() error { return e.Reason }
