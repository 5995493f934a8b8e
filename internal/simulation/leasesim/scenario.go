package leasesim

import "math/rand/v2"

// Scenario is what a run is made of.
type Scenario struct {
	Seed           uint64
	Voters         int   // of the first set
	Others         int   // processes that do not vote
	Leases         int   // each requested by everybody
	Wanted         int   // of the processes, how many request each lease; 0 for all
	Length         int64 // us
	Drift          int64 // parts of a million that the processes are told
	TrueDrift      int64 // parts of a million by which their clocks really are off, at most; 0 for as told
	Lasting        bool  // voters store their records
	Span           int64 // us
	Calm           bool  // no faults but what Kill and others are called for
	PlantedMistake Mistake
}

// Mistake is a mistake that is planted in the deciding module, or in how it is carried.
type Mistake int

// The planted mistakes; each breaks one rule that the argument for safety rests on.
const (
	None            Mistake = iota
	Forgets                 // a voter that comes back votes at once
	NoMargin                // a candidate leaves no room for drift
	FromAnswer              // a vote counts from its answer, not from its request
	FormerVoter             // what a voter's new process says stands for what the former one granted
	TermReused              // a voter that comes back knows no terms, and asks nobody
	EarlyFree               // a lease is given up while its acts still run
	NoClock                 // a holder goes by what it was told, not by the time that is left
	TwoAtOnce               // two voters are replaced in one change of the set
	OldSet                  // a voter takes requests under any set of voters
	ShortVotes              // a voter keeps a grant for less than it said
	SameProcess             // a process that starts anew takes its former one's incarnation
	ShortAbstinence         // a voter that comes back abstains for half the longest lease
	HalfMajority            // half of the voters are enough
	MistakeCount
)

// String names the mistake.
func (m Mistake) String() string {
	return [...]string{"none", "forgets", "no-margin", "from-answer", "former-voter",
		"term-reused", "early-free", "no-clock", "two-at-once", "old-set", "short-votes", "same-process",
		"short-abstinence", "half-majority"}[m]
}

// MixedFaults draws a scenario of mixed faults from a seed.
func MixedFaults(seed uint64) Scenario {
	rng := rand.New(rand.NewPCG(seed, 4))
	s := Scenario{
		Seed:    seed,
		Voters:  []int{3, 3, 3, 5, 5, 1}[rng.IntN(6)],
		Others:  rng.IntN(4),
		Leases:  1 + rng.IntN(3),
		Length:  1_000_000 + rng.Int64N(1_000_000),
		Drift:   10_000,
		Lasting: rng.IntN(2) == 0,
		Span:    20_000_000,
	}
	if s.Voters+s.Others < 3 {
		s.Others = 2
	}
	return s
}

// WithMistake returns the scenario with a mistake planted, long enough for it to come to light.
func (s Scenario) WithMistake(m Mistake) Scenario {
	s.PlantedMistake = m
	if m == OldSet || m == TwoAtOnce { // the set of voters has to change more than once
		s.Span *= 4
	}
	return s
}
