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
	Restart Kind = iota + 1 // each router leaves in order and is started again by its supervisor
	Version                 // each router takes to another version of its file, by a restart
	Nodes                   // each node is drained, kept out for a while, and returned
)

// Known tells whether there is such a kind.
func (k Kind) Known() bool { return k >= Restart && k <= Nodes }

var kindNames = [...]string{"", "restart", "version", "nodes"}

// String words the kind.
func (k Kind) String() string { return kindNames[k] }

// Budget is how much may be out at once, planned or not.
type Budget struct {
	Most     int     // in all; 0 for no bound beside the share
	Share    float64 // of all units of that sort in sight
	Zone     int     // in one zone; 0 for no bound
	Group    int     // nodes of one group; 0 for one
	Replicas int     // of a group that stay in, proven near the log's end
	Work     float64 // of a group's usual work that may be without its nodes, 0 for no bound
}

// Plan is what an operator asks for.
type Plan struct {
	ID       string
	Kind     Kind
	Units    []string // in the order in which they go
	Want     uint64   // Version: the version that they take to
	Was      uint64   // Version: the last good one, to which they go back
	Waves    []int    // units in each of the first waves; all that are left make the last one
	Watch    int64    // us to watch a wave when all of it is back
	Rest     int64    // us for which a drained node stays out
	Patience int64    // us without progress after which the plan halts and says why
	Stay     bool     // it does not go back by itself when it halts by evidence
	Budget   Budget
}

// The bounds of a plan, and what stands for what it does not say.
const (
	MostUnits  = 4_000 // of one plan
	MostPlans  = 8     // under way, and as many finished ones kept
	MostID     = 128   // bytes of a plan's or a unit's name
	usualWatch = 30_000_000
	usualWait  = 120_000_000
	usualShare = 0.1
)

// Fill sets what the plan leaves open; two canaries, for one alone may be unlike the others, a twentieth, a quarter, the
// rest.
func (p *Plan) Fill() {
	if p.Waves == nil {
		p.Waves = []int{min(2, max(1, len(p.Units)/10)), max(1, len(p.Units)/20), max(1, len(p.Units)/4)}
	}
	if p.Watch == 0 {
		p.Watch = usualWatch
	}
	if p.Patience == 0 {
		p.Patience = usualWait
	}
	if p.Budget.Share == 0 {
		p.Budget.Share = usualShare
	}
	if p.Budget.Group == 0 {
		p.Budget.Group = 1
	}
}

// Wrong says what is wrong with a plan by itself, "" for nothing.
func (p *Plan) Wrong() string {
	distinct := map[string]bool{}
	for _, u := range p.Units {
		if u == "" || len(u) > MostID {
			return fmt.Sprintf("a unit's name of %d bytes", len(u))
		}
		if distinct[u] {
			return fmt.Sprintf("%s twice", u)
		}
		distinct[u] = true
	}
	switch {
	case p.ID == "" || len(p.ID) > MostID:
		return "no name, or too long a one"
	case !p.Kind.Known():
		return "an unknown kind"
	case len(p.Units) == 0 || len(p.Units) > MostUnits:
		return fmt.Sprintf("%d units, want 1 to %d", len(p.Units), MostUnits)
	case p.Kind == Version && (p.Want == 0 || p.Want == p.Was):
		return "no other version to take to"
	case p.Budget.Most < 0 || p.Budget.Share < 0 || p.Budget.Share > 1 || p.Budget.Zone < 0 || p.Budget.Group < 0 || p.Budget.Work < 0:
		return "a budget out of bounds"
	case p.Watch < 0 || p.Rest < 0 || p.Patience < 0 || slices.ContainsFunc(p.Waves, func(n int) bool { return n < 1 }):
		return "a wave of none, or a time below zero"
	}
	return ""
}

// wave is which wave a unit goes in, by its place.
func (p *Plan) wave(place int) int {
	for w, n := range p.Waves {
		if place < n {
			return w
		}
		place -= n
	}
	return len(p.Waves)
}

// Slot is the right to be out, given under a term of the leader's lease; a later one is greater.
type Slot struct {
	Term uint64
	N    uint64
}

// Less orders slots.
func (s Slot) Less(o Slot) bool { return s.Term < o.Term || s.Term == o.Term && s.N < o.N }

// Phase is how far a unit has come.
type Phase uint8

// The phases. A unit from Going to Returning, and one that is Stuck, holds a slot.
const (
	Waits     Phase = iota // not touched
	Going                  // it has a slot; it may be out from now on
	Away                   // it is out
	Returning              // it is to come back, and has to prove its health
	Done                   // it is back and proven
	Stuck                  // it could not go back; an operator has to look at it
	Forgotten              // an operator took it out of the plan
)

var phaseNames = [...]string{"waits", "going", "away", "returning", "done", "stuck", "forgotten"}

// String words the phase.
func (p Phase) String() string { return phaseNames[p] }

// Holds tells whether a unit in this phase holds a slot.
func (p Phase) Holds() bool { return p >= Going && p <= Returning || p == Stuck }

// State is how a plan stands.
type State uint8

// The states of a plan.
const (
	Running  State = iota + 1
	Halted         // nobody new goes out; who is out may come back
	Backing        // touched units go back, newest first
	Finished       // all are done
	Backed         // all touched units are back
)

var stateNames = [...]string{"", "running", "halted", "going back", "finished", "back"}

// String words the state.
func (s State) String() string { return stateNames[s] }

// Over tells whether nothing more will happen by itself or by a word.
func (s State) Over() bool { return s == Finished || s == Backed }

// Unit is how one of a plan's units stands.
type Unit struct {
	Phase Phase
	Slot  Slot
	Born  uint64 // the process that was told to go
	Back  bool   // it goes back, or has gone back
	Tries int    // times that it went out on the way it is on
}

// Progress is a plan and how it stands. Units are in the plan's order.
type Progress struct {
	Plan  Plan
	State State
	Why   string // of the state
	Wave  int
	Units []Unit
}

// Record is all that a leader knows and the next one has to: it is written whole.
type Record struct {
	Term    uint64   // of the leader that wrote it
	Seq     uint64   // grows with each write under a term
	Slots   uint64   // given so far
	Members []string // routers that were there and are not forgotten, by name: a later leader misses them too
	Plans   []*Progress
	Tokens  []string // operators' words that were taken, the newest last
}

const mostTokens = 64 // words of operators that are known again

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
func newer(term, seq, otherTerm, otherSeq uint64) bool {
	return term > otherTerm || term == otherTerm && seq > otherSeq
}

// Ledger is a voter's part: it keeps the newest record, and serves no leader of an earlier term than it has heard of.
type Ledger struct {
	born     uint64 // its process
	blank    bool   // it has kept nothing since it started, and may have forgotten
	promised uint64
	record   *Record
}

// NewLedger makes a voter's part; born is its process's number, kept what a lasting place holds, nil for none.
func NewLedger(born uint64, kept *Record) *Ledger {
	l := &Ledger{born: born, blank: kept == nil, record: kept}
	if kept != nil {
		l.promised = kept.Term
	}
	return l
}

// Kept is a voter's answer to a leader that begins.
type Kept struct {
	Record *Record // nil for nothing
	Born   uint64
	Blank  bool // it may have forgotten what it had kept
}

// Read answers a leader that begins: from now on no earlier one can write here.
func (l *Ledger) Read(term uint64) (k Kept, ok bool) {
	if term < l.promised {
		return Kept{}, false
	}
	l.promised = term
	return Kept{l.record, l.born, l.blank}, true
}

// Write keeps a record, unless a later leader has begun or a newer record is kept. It must have been sent to this very
// process: one that started anew has forgotten its promise, and a former leader's late write must not pass for news.
func (l *Ledger) Write(r *Record, born uint64) (ok bool) {
	if born != l.born || r.Term < l.promised || l.record != nil && newer(l.record.Term, l.record.Seq, r.Term, r.Seq) {
		return false
	}
	l.promised, l.record, l.blank = r.Term, r, false
	return true
}

// Record is what is kept, nil for nothing; blank tells that it may have forgotten.
func (l *Ledger) Record() (r *Record, blank bool) { return l.record, l.blank }
