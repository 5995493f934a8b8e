package lease

import (
	"errors"
	"fmt"
	"slices"
)

// MaxVoters is the largest number of voters in a set: one more than seven, while one of seven is being replaced.
const MaxVoters = 8

// VoterSet is a set of voters as configured in the operator's file. Its number increases by one with each change.
type VoterSet struct {
	Number   uint64
	Names    []string
	Previous []string // the previous set, until all members have adopted this one; empty for the first set
}

// adoptedSet is a voter set that a process uses.
type adoptedSet struct {
	number    uint64
	names     []string
	adoptedAt int64 // on the process's clock
}

func (s *adoptedSet) has(name string) bool { return slices.Contains(s.names, name) }

func (s *adoptedSet) majority() int { return len(s.names)/2 + 1 }

// ValidSuccessor reports whether a voter set may follow another: the two differ by exactly one voter. Then a majority
// of one and a majority of the other always have a voter in common, which never grants a lease to two processes at
// once. If two voters were replaced at a time, each set could have its own holder.
func ValidSuccessor(current, next []string) bool {
	return len(next) > 0 && missingFrom(current, next)+missingFrom(next, current) == 1
}

// missingFrom returns the number of names that are not among others.
func missingFrom(names, others []string) (missing int) {
	for _, name := range names {
		if !slices.Contains(others, name) {
			missing++
		}
	}
	return missing
}

// Reasons why a voter refuses a voter set; VoterSetError wraps one of them.
var (
	ErrSetNumberReused = errors.New("voter set number is in force with different names")
	ErrSetOutdated     = errors.New("a later voter set is in force")
	ErrSetSkipped      = errors.New("voter set number must increase by one")
	ErrSetTooDifferent = errors.New("voter sets must differ by exactly one voter")
)

// VoterSetError reports why a voter set from the operator's file can't be adopted.
type VoterSetError struct {
	Reason  error  // one of ErrSetNumberReused, ErrSetOutdated, ErrSetSkipped and ErrSetTooDifferent
	Offered uint64 // number of the refused set
	InForce uint64 // number of the current set
}

// Error names the offered set and the set in force.
func (e *VoterSetError) Error() string {
	switch e.Reason {
	case ErrSetNumberReused:
		return fmt.Sprintf("voter set number %d is in force with different names", e.Offered)
	case ErrSetOutdated:
		return fmt.Sprintf("voter set number %d is older than number %d, which is in force", e.Offered, e.InForce)
	case ErrSetSkipped:
		return fmt.Sprintf("voter set number %d skips ahead of number %d, which is in force: change voters one step at a time", e.Offered, e.InForce)
	default: // ErrSetTooDifferent
		return fmt.Sprintf("voter set number %d must differ from number %d by exactly one voter", e.Offered, e.InForce)
	}
}

// Unwrap returns the reason.
func (e *VoterSetError) Unwrap() error { return e.Reason }
