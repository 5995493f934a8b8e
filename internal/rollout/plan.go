// Package rollout decides what of a fleet may be out of service, when, and when to stop: routers that restart, a new
// version that goes round them, nodes that are drained and returned. It does no I/O and has no clock: a Leader, a Member
// and a Ledger are fed with reports, words and ticks, each with its time in microseconds, and Take returns what to do.
// The same calls give the same actions. docs/releases.md holds the argument for its budget, line by line.
//
// Whoever holds the fleet's lease for it leads. What it decides it first writes to a majority of the voters, in whole,
// under the lease's term; only then does anybody hear of it. So a later leader, which reads from a majority, knows of
// every slot that was ever given.
package rollout

import (
	"fmt"
	"slices"
)

// Kind is what a plan does to its units.
type Kind uint8

// The kinds of plans.
const (
	KindRestart Kind = iota + 1 // each router leaves in order and is started again by its supervisor
	KindVersion                 // each router takes to another version of its file, by a restart
	KindNodes                   // each node is drained, kept out for a while, and returned
)

// Known tells whether there is such a kind.
func (k Kind) Valid() bool { return k >= KindRestart && k <= KindNodes }

var kindNames = [...]string{"", "restart", "version", "nodes"}

// String words the kind.
func (k Kind) String() string { return kindNames[k] }

// Budget is how much may be out at once, planned or not.
type Budget struct {
	MaxUnavailable int     // in all; 0 for no bound beside the share
	MaxShare       float64 // of all units of that sort in sight
	MaxPerZone     int     // in one zone; 0 for no bound
	MaxPerGroup    int     // nodes of one group; 0 for one
	MinReplicas    int     // of a group that stay in, proven near the log's end
	MaxGroupWork   float64 // of a group's usual work that may be without its nodes, 0 for no bound
}

// Plan is what an operator asks for.
type Plan struct {
	ID              string
	Kind            Kind
	Units           []string // in the order in which they go
	TargetVersion   uint64   // Version: the version that they take to
	PreviousVersion uint64   // Version: the last good one, to which they go back
	WaveSizes       []int    // units in each of the first waves; all that are left make the last one
	WatchTime       int64    // us to watch a wave when all of it is back
	DrainTime       int64    // us for which a drained node stays out
	ProgressTimeout int64    // us without progress after which the plan halts and says why
	NoRollback      bool     // it does not go back by itself when it halts by evidence
	Budget          Budget
}

// The bounds of a plan, and what stands for what it does not say.
const (
	MaxUnits               = 4_000 // of one plan
	MaxPlans               = 8     // under way, and as many finished ones kept
	MaxNameLength          = 128   // bytes of a plan's or a unit's name
	defaultWatchTime       = 30_000_000
	defaultProgressTimeout = 120_000_000
	defaultMaxShare        = 0.1
)

// Fill sets what the plan leaves open; two canaries, for one alone may be unlike the others, a twentieth, a quarter, the
// rest.
func (p *Plan) SetDefaults() {
	if p.WaveSizes == nil {
		p.WaveSizes = []int{min(2, max(1, len(p.Units)/10)), max(1, len(p.Units)/20), max(1, len(p.Units)/4)}
	}
	if p.WatchTime == 0 {
		p.WatchTime = defaultWatchTime
	}
	if p.ProgressTimeout == 0 {
		p.ProgressTimeout = defaultProgressTimeout
	}
	if p.Budget.MaxShare == 0 {
		p.Budget.MaxShare = defaultMaxShare
	}
	if p.Budget.MaxPerGroup == 0 {
		p.Budget.MaxPerGroup = 1
	}
}

// Wrong says what is wrong with a plan by itself, "" for nothing.
func (p *Plan) Wrong() string {
	distinct := map[string]bool{}
	for _, u := range p.Units {
		if u == "" || len(u) > MaxNameLength {
			return fmt.Sprintf("a unit's name of %d bytes", len(u))
		}
		if distinct[u] {
			return fmt.Sprintf("%s twice", u)
		}
		distinct[u] = true
	}
	switch {
	case p.ID == "" || len(p.ID) > MaxNameLength:
		return "no name, or too long a one"
	case !p.Kind.Valid():
		return "an unknown kind"
	case len(p.Units) == 0 || len(p.Units) > MaxUnits:
		return fmt.Sprintf("%d units, want 1 to %d", len(p.Units), MaxUnits)
	case p.Kind == KindVersion && (p.TargetVersion == 0 || p.TargetVersion == p.PreviousVersion):
		return "no other version to take to"
	case p.Budget.MaxUnavailable < 0 || p.Budget.MaxShare < 0 || p.Budget.MaxShare > 1 || p.Budget.MaxPerZone < 0 || p.Budget.MaxPerGroup < 0 || p.Budget.MaxGroupWork < 0:
		return "a budget out of bounds"
	case p.WatchTime < 0 || p.DrainTime < 0 || p.ProgressTimeout < 0 || slices.ContainsFunc(p.WaveSizes, func(n int) bool { return n < 1 }):
		return "a wave of none, or a time below zero"
	}
	return ""
}

// wave is which wave a unit goes in, by its place.
func (p *Plan) waveOf(place int) int {
	for w, n := range p.WaveSizes {
		if place < n {
			return w
		}
		place -= n
	}
	return len(p.WaveSizes)
}

// Slot is the right to be out, given under a term of the leader's lease; a later one is greater.
type Slot struct {
	Term   uint64
	Number uint64
}

// Less orders slots.
func (s Slot) Less(o Slot) bool { return s.Term < o.Term || s.Term == o.Term && s.Number < o.Number }

// Phase is how far a unit has come.
type Phase uint8

// The phases. A unit from Going to Returning, and one that is Stuck, holds a slot.
const (
	PhaseWaiting     Phase = iota // not touched
	PhaseLeaving                  // it has a slot; it may be out from now on
	PhaseUnavailable              // it is out
	PhaseReturning                // it is to come back, and has to prove its health
	PhaseDone                     // it is back and proven
	PhaseStuck                    // it could not go back; an operator has to look at it
	PhaseForgotten                // an operator took it out of the plan
)

var phaseNames = [...]string{"waits", "going", "away", "returning", "done", "stuck", "forgotten"}

// String words the phase.
func (p Phase) String() string { return phaseNames[p] }

// Holds tells whether a unit in this phase holds a slot.
func (p Phase) HoldsSlot() bool { return p >= PhaseLeaving && p <= PhaseReturning || p == PhaseStuck }

// State is how a plan stands.
type State uint8

// The states of a plan.
const (
	StateRunning     State = iota + 1
	StateHalted            // nobody new goes out; who is out may come back
	StateRollingBack       // touched units go back, newest first
	StateFinished          // all are done
	StateRolledBack        // all touched units are back
)

var stateNames = [...]string{"", "running", "halted", "going back", "finished", "back"}

// String words the state.
func (s State) String() string { return stateNames[s] }

// Over tells whether nothing more will happen by itself or by a word.
func (s State) Ended() bool { return s == StateFinished || s == StateRolledBack }

// Unit is how one of a plan's units stands.
type Unit struct {
	Phase       Phase
	Slot        Slot
	Incarnation uint64 // the process that was told to go
	RollingBack bool   // it goes back, or has gone back
	Attempts    int    // times that it went out on the way it is on
}

// Progress is a plan and how it stands. Units are in the plan's order.
type Progress struct {
	Plan   Plan
	State  State
	Reason string // of the state
	Wave   int
	Units  []Unit
}

// Record is all that a leader knows and the next one has to: it is written whole.
type Record struct {
	Term         uint64   // of the leader that wrote it
	Seq          uint64   // grows with each write under a term
	SlotsGranted uint64   // given so far
	Members      []string // routers that were there and are not forgotten, by name: a later leader misses them too
	Plans        []*Progress
	Tokens       []string // operators' words that were taken, the newest last
}

const maxTokens = 64 // words of operators that are known again

// Clone copies a record; plans themselves are never changed and are shared.
func (r *Record) Clone() *Record {
	c := *r
	c.Tokens, c.Members = slices.Clone(r.Tokens), slices.Clone(r.Members)
	c.Plans = nil
	for _, p := range r.Plans {
		q := *p
		q.Units = slices.Clone(p.Units)
		c.Plans = append(c.Plans, &q)
	}
	return &c
}

// newer tells whether a write comes after another.
func isNewer(term, seq, otherTerm, otherSeq uint64) bool {
	return term > otherTerm || term == otherTerm && seq > otherSeq
}

// Ledger is a voter's part: it keeps the newest record, and serves no leader of an earlier term than it has heard of.
type Voter struct {
	incarnation      uint64 // its process
	mayHaveForgotten bool   // it has kept nothing since it started, and may have forgotten
	promisedTerm     uint64
	record           *Record
}

// NewLedger makes a voter's part; born is its process's number, kept what a lasting place holds, nil for none.
func NewVoter(born uint64, kept *Record) *Voter {
	l := &Voter{incarnation: born, mayHaveForgotten: kept == nil, record: kept}
	if kept != nil {
		l.promisedTerm = kept.Term
	}
	return l
}

// Kept is a voter's answer to a leader that begins.
type VoterState struct {
	Record           *Record // nil for nothing
	Incarnation      uint64
	MayHaveForgotten bool // it may have forgotten what it had kept
}

// Read answers a leader that begins: from now on no earlier one can write here.
func (l *Voter) Read(term uint64) (k VoterState, ok bool) {
	if term < l.promisedTerm {
		return VoterState{}, false
	}
	l.promisedTerm = term
	return VoterState{l.record, l.incarnation, l.mayHaveForgotten}, true
}

// Write keeps a record, unless a later leader has begun or a newer record is kept. It must have been sent to this very
// process: one that started anew has forgotten its promise, and a former leader's late write must not pass for news.
func (l *Voter) Write(r *Record, born uint64) (ok bool) {
	if born != l.incarnation || r.Term < l.promisedTerm || l.record != nil && isNewer(l.record.Term, l.record.Seq, r.Term, r.Seq) {
		return false
	}
	l.promisedTerm, l.record, l.mayHaveForgotten = r.Term, r, false
	return true
}

// Record is what is kept, nil for nothing; blank tells that it may have forgotten.
func (l *Voter) Record() (r *Record, blank bool) { return l.record, l.mayHaveForgotten }
