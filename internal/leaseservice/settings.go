package leaseservice

import (
	"fmt"
	"slices"

	"cairntiller/internal/lease"
	"cairntiller/internal/sexp"
)

// Settings are the lease settings in the operator's file.
type Settings struct {
	Given        bool
	Voters       lease.VoterSet
	LongestLease int64 // us
	MaxDrift     int64 // bound on a clock's rate error, in parts per million
	MaxLeases    int   // that a voter tracks
	Folder       string
}

// ReadSettings reads the part (leases …) of the operator's file, and adds its faults to the part.
func ReadSettings(p *sexp.Part) Settings {
	const partsPerPercent = 10_000
	voters := p.Part("voters")
	s := Settings{
		Given:        p.Present(),
		LongestLease: p.Duration("longest", 10_000_000, minLeaseLength, maxLeaseLength),
		MaxDrift:     int64(p.Number("drift", 1, 0.01, 10) * partsPerPercent),
		MaxLeases:    p.Integer("most", 20_000, 1, 1_000_000),
		Folder:       p.Text("folder", ""),
		Voters: lease.VoterSet{
			Number:   uint64(voters.Integer("number", 1, 1, 1<<30)),
			Names:    voters.Texts("names"),
			Previous: voters.Texts("before"),
		},
	}
	if s.Given {
		checkVoters(voters, s.Voters)
	}
	return s
}

// checkVoters adds the faults of a voter set.
func checkVoters(p *sexp.Part, voters lease.VoterSet) {
	n := len(voters.Names)
	distinct := slices.Compact(slices.Sorted(slices.Values(voters.Names)))
	switch {
	case n == 0 || n > lease.MaxVoters-1:
		p.AddError("names", fmt.Sprintf("%d voters", n), "the names of 1, 3, 5 or 7 members")
	case len(distinct) != n:
		p.AddError("names", "a duplicate name", "each voter once")
	case len(voters.Previous) > 0 && !lease.ValidSuccessor(voters.Previous, voters.Names):
		p.AddError("before", "a set that differs by more than one voter", "the previous set, which has one voter more or less")
	case len(voters.Previous) > 0 && voters.Number == 1:
		p.AddError("number", "number 1 with a previous set", "a number above that of the previous set")
	case n%2 == 0 && len(voters.Previous) == 0:
		p.AddError("names", fmt.Sprintf("%d voters", n), "an odd number: an even one tolerates no more failures than one voter fewer; while a voter is replaced, name the previous set in (before …)")
	}
}
