package leasesim

import "math/rand/v2"

// Scenario holds the parameters of a run.
type Scenario struct {
	Seed               uint64
	Voters             int   // number of voters in the first set
	NonVoters          int   // number of processes that do not vote
	Leases             int   // number of leases
	RequestersPerLease int   // number of processes that request each lease, 0 for all
	Length             int64 // lease length, us
	Drift              int64 // drift bound that the processes are configured with, ppm
	TrueDrift          int64 // maximum actual drift of their clocks, ppm; 0 means Drift
	DurableVoters      bool  // voters keep their records across restarts
	Duration           int64 // simulated duration of the run, us
	NoFaults           bool  // no random faults, only explicit calls such as Kill
	PlantedMistake     Mistake
}

// Mistake is a deliberate mistake in the lease protocol or in the way that its messages and actions are handled.
type Mistake int

// The planted mistakes. Each breaks one rule that the safety argument relies on.
const (
	None            Mistake = iota
	Forgets                 // a restarted voter votes immediately
	NoMargin                // a candidate leaves no margin for clock drift
	FromAnswer              // a vote is valid from its response instead of from its request
	FormerVoter             // responses of a restarted voter count for grants of its former process
	TermReused              // a restarted voter has no term floor and does not ask other voters for theirs
	EarlyFree               // a lease is released while actions under it still run
	NoClock                 // a holder acts until told otherwise, ignoring the expiry
	TwoAtOnce               // the voter set changes by two voters at once
	OldSet                  // a voter accepts requests under any voter set
	ShortVotes              // a voter keeps a grant for less time than it promised
	SameProcess             // a restarted process reuses its incarnation
	ShortAbstinence         // a restarted voter abstains for only half the longest lease
	HalfMajority            // half of the voters count as a majority
	MistakeCount
)

// String returns the mistake's name in recordings and reports.
func (m Mistake) String() string {
	return [...]string{"none", "forgets", "no-margin", "from-answer", "former-voter",
		"term-reused", "early-free", "no-clock", "two-at-once", "old-set", "short-votes", "same-process",
		"short-abstinence", "half-majority"}[m]
}

// MixedFaults returns a random scenario with mixed faults for a seed.
func MixedFaults(seed uint64) Scenario {
	rng := rand.New(rand.NewPCG(seed, 4))
	s := Scenario{
		Seed:          seed,
		Voters:        []int{3, 3, 3, 5, 5, 1}[rng.IntN(6)],
		NonVoters:     rng.IntN(4),
		Leases:        1 + rng.IntN(3),
		Length:        1_000_000 + rng.Int64N(1_000_000),
		Drift:         10_000,
		DurableVoters: rng.IntN(2) == 0,
		Duration:      20_000_000,
	}
	if s.Voters+s.NonVoters < 3 {
		s.NonVoters = 2
	}
	return s
}

// WithMistake returns the scenario with a mistake planted and, where needed, a longer run so that the mistake shows.
func (s Scenario) WithMistake(m Mistake) Scenario {
	s.PlantedMistake = m
	if m == OldSet || m == TwoAtOnce { // the voter set must change more than once
		s.Duration *= 4
	}
	return s
}
