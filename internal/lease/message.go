// Package lease decides who holds a fleet-wide lease, so that two holders never act at once. It does no I/O and has no
// clock: a Voter and a Claimant are fed with messages, ticks and wishes, each with its time in microseconds of their
// own monotonic clock, and Take returns what to do. The same calls give the same actions. docs/leases.md holds the
// argument for its safety, line by line.
//
// A lease is granted by a majority of a named set of voters, for a length of time and under a term. A claimant counts
// each vote from before it asked, a voter from when it granted, and both leave room for clocks whose rates differ by
// the bound on drift. A voter that comes back abstains for the longest lease.
package lease

// Kind is what a message is for.
type MessageKind uint8

// The kinds of messages.
const (
	KindGrantRequest  MessageKind = iota + 1 // claimant to voter: grant or extend each of these leases
	KindRenewRequest                         // claimant to voter: extend all that this process asked for in full under this generation
	KindRelease                              // claimant to voter: these are given up
	KindGrantResponse                        // voter to claimant, to an Ask
	KindRenewResponse                        // voter to claimant, to a Renew
	KindTurnNotice                           // voter to who waits first: it is your turn
	KindVoterStatus                          // voter to voter: how it stands, each second
	kinds
)

// Known tells whether there is such a kind.
func (k MessageKind) Valid() bool { return k >= KindGrantRequest && k < kinds }

// Verdict is a voter's word on one lease.
type Verdict uint8

// The verdicts; all but Granted refuse.
const (
	Granted        Verdict = iota + 1
	HeldByOther            // another one has it, for Wait at the most
	TermTooLow             // the term must be above Term
	OtherGoesFirst         // somebody goes first, for Wait at the most
	CoolingDown            // it let it lapse too often, and rests for Wait
	Abstaining             // the voter has just started
	OtherVoterSet          // asker and voter know different sets of voters
	OutOfBounds            // a length or name out of bounds
	NoCapacity             // the voter keeps no more leases
	verdicts
)

var verdictNames = [...]string{"", "granted", "held", "old term", "another's turn", "rests", "abstains", "other voters",
	"unfit", "no room"}

// String words the verdict.
func (v Verdict) String() string {
	if v < verdicts {
		return verdictNames[v]
	}
	return "unknown"
}

// Item is what a message says of one lease.
type Item struct {
	Lease     string
	Term      uint64
	Length    int64 // us: in an Ask the wish, in an Answer what the vote was extended by
	Full      bool  // not a trial: a Renew extends it
	CarryOver bool  // Ask: its holder carries it over to this later term, for a voter that came back can't vote for the former one
	Priority  int8
	Ticket    uint64 // Ask: its place in line, the highest term known when the wish began; 0 for none known, behind all others
	Verdict   Verdict
	Holder    string // who has it; in a Free who is to have it next, in a Renewed who waits
	Wait      int64  // us: how long to wait; in a Renewed how long the first one has waited
}

// Message is one message between a claimant and a voter, or between voters.
type Message struct {
	Kind         MessageKind
	From         string
	Incarnation  uint64 // the sender's process, by a number that no other of its name has
	Requester    uint64 // in answers: the process that asked
	SetNumber    uint64 // number of the set of voters that the sender goes by
	SetNames     []string
	RequestID    uint64 // number of a question at its process; the answer carries it
	EndedGrants  uint64 // in answers: grants of the asker that ended at this voter so far
	Generation   uint64 // of an asker's grants: a Renew extends those that were asked for in full under its own; answers carry it
	RenewedCount int    // Renewed: how many it extended
	VoterClock   int64  // in answers: the voter's clock
	TermFloor    uint64 // Standing: no term up to this is granted anew
	LongestLease int64  // Standing: longest lease
	SetAge       int64  // Standing: us since the voter took to its set
	Items        []Item
}

// Act is a thing to do.
type Act uint8

// What Take returns. The order is that in which to do them: what is to be kept is kept before what follows is sent.
const (
	Send     Act = iota + 1
	Keep         // write down the lease's term and holder, in the lasting place where there is one
	KeepSet      // write down the set of voters, whose number is the Term
	Unkeep       // take the lease's record out; the floor stands for its term
	Hold         // the lease is held from now on, until Until
	Extended     // it is held until Until
	Lose         // it is held no more
	Yield        // somebody else should have it: end its acts and call Release
	Note         // worth a line in the log
	Drifts       // so is this: a clock outside the bound
)

// Out is one thing to do.
type Out struct {
	Act     Act
	To      string
	Message *Message
	Lease   string
	Term    uint64
	Until   int64
	Born    uint64 // Keep: the holder's process
	Who     string // Yield: who is next; Keep: the holder; Note: whom it is about
	Why     string
}

const (
	// MostName is the longest name of a lease or a member, in bytes.
	MaxNameLength = 128
	// MostVoters is how many voters there may be: one more than seven while one is replaced.
	MaxVoters = 8

	million     = 1_000_000 // parts of a drift, and us in a second
	itemsBytes  = 1_000     // bytes of items in a message: it fits a datagram with what is put around it
	itemBytes   = 45        // bytes of an item beside its names, encoded, at most
	standEvery  = 1_000_000 // us between words of one voter to the others
	standFresh  = 3_500_000 // us for which a voter's word counts for a change of the set: three may be lost
	turnSpan    = 150_000   // us that the first who waits has to come: several round trips of a slow network
	peersMost   = 64        // voters heard of: far over any set with those before and after it
	waiterKept  = 12e6      // us after its last asking in which somebody counts as waiting
	waitersMost = 16        // who wait for one lease at a voter: the others come again
	wantedMost  = 24        // leases that others wait for, told in one message
	forgetAfter = 600e6     // us after its end in which a lease's own term is kept; the floor stands for it later
	lapseSpan   = 120e6     // us without a lapse after which former ones are forgotten
	lapseFree   = 2         // lapses of one holder that cost nothing: a pause, a cut
	restMost    = 5         // doublings of the rest after more
	triesMost   = 128       // leases tried for at a time: answers to more of them may come after the trial, and all begin anew
	leastTrial  = 200_000   // us of a first, short vote at the least: a few round trips
	mostTrial   = 400_000   // us of it at most: what a split vote costs
	askAgain    = 60_000    // us after which a voter that has not answered is asked again
	askMost     = 5_000_000 // us between asks of one who waits: under half of what keeps its place
	askTogether = 200_000   // us to which asks of those who wait are put off: the voter calls whose turn it is anyway
	backFirst   = 100_000   // us before another try after a split vote, by chance up to half more or less
	backMost    = 6         // doublings of it
	freeTimes   = 3         // times that a Free is sent: it is not answered
	freeGap     = 50_000    // us between them
	strayTimes  = 3         // renewals in a row at which a voter extends more than is known: no answer is that late
	messagesMax = 24        // messages to one voter in one tick: about 25 kB
	renewPart   = 4         // of its length, one in so many, after which a lease is extended
	clockSpan   = 5_000_000 // us over which rates of clocks are compared: far over a round trip
	clockDoubt  = 1.5       // times the bound on drift by which two clocks may differ before it is told
	termsSlack  = 1         // above the highest term seen
)

// Usable is how much of a vote's length a claimant counts, from before it asked, on its own clock. With every rate
// between 1-d and 1+d of the true one, a voter's L takes L/(1+d) at least, a claimant's L(1-2d) takes L(1-2d)/(1-d) at
// most, and (1-2d)(1+d) is under 1-d.
func UsableLength(length, drift int64) int64 { return length - (2*length*drift+million-1)/million }

// Voters are a set of voters by name, under a number that grows with each change.
type VoterSet struct {
	Number   uint64
	Names    []string
	Previous []string // the set before it, until all go by this one; none for the first
}

// set is a set of voters that somebody goes by.
type set struct {
	number uint64
	names  []string
	at     int64 // when it was taken to
}

func (s *set) has(name string) bool {
	for _, one := range s.names {
		if one == name {
			return true
		}
	}
	return false
}

func (s *set) majority() int { return len(s.names)/2 + 1 }

// Next tells whether a set of voters may follow another: it differs by one voter, for then any two majorities meet.
func ValidSuccessor(was, now []string) bool {
	missing := func(a, b []string) (n int) {
		for _, one := range a {
			if !(&set{names: b}).has(one) {
				n++
			}
		}
		return n
	}
	return len(now) > 0 && missing(was, now)+missing(now, was) == 1
}

// split puts items into messages that each fit a datagram.
func split(items []Item) (parts [][]Item) {
	from, size := 0, 0
	for i, one := range items {
		n := itemBytes + len(one.Lease) + len(one.Holder)
		if size+n > itemsBytes && i > from {
			parts, from, size = append(parts, items[from:i]), i, 0
		}
		size += n
	}
	return append(parts, items[from:])
}
