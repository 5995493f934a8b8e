package rollout

import (
	"fmt"
	"slices"
)

// Slot is the right to be unavailable, granted under a term of the leader's lease. Less orders slots by when they were
// granted.
type Slot struct {
	Term   uint64
	Number uint64
}

// Less reports whether s was granted before other.
func (s Slot) Less(other Slot) bool {
	return s.Term < other.Term || s.Term == other.Term && s.Number < other.Number
}

// Phase is how far a unit has come. The numbers are sent to other instances.
type Phase uint8

// The phases. A unit from PhaseLeaving to PhaseReturning, and one in PhaseStuck, holds a slot.
const (
	PhaseWaiting     Phase = iota // not touched
	PhaseLeaving                  // it has a slot; it may be out from now on
	PhaseUnavailable              // it has left, or went out of sight when it was to leave; a node: no router uses it
	PhaseReturning                // it is to come back, and has to prove its health
	PhaseDone                     // it is back and proven
	PhaseStuck                    // it held a slot on the way back and made no progress; an operator has to look at it
	PhaseForgotten                // an operator took it out of the plan
)

var phaseNames = [...]string{"waits", "going", "away", "returning", "done", "stuck", "forgotten"}

// Valid reports whether there is such a phase.
func (p Phase) Valid() bool { return p <= PhaseForgotten }

// String returns the phase as operators see it.
func (p Phase) String() string {
	if p.Valid() {
		return phaseNames[p]
	}
	return fmt.Sprintf("phase %d", uint8(p))
}

// HoldsSlot reports whether a unit in this phase holds a slot.
func (p Phase) HoldsSlot() bool { return p >= PhaseLeaving && p <= PhaseReturning || p == PhaseStuck }

// State is how a plan stands. The numbers are sent to other instances.
type State uint8

// The states of a plan.
const (
	StateRunning     State = iota + 1
	StateHalted            // nobody new leaves; who is out may come back
	StateRollingBack       // touched units go back, newest first
	StateFinished          // all are done
	StateRolledBack        // all touched units are back
)

var stateNames = [...]string{"", "running", "halted", "going back", "finished", "back"}

// Valid reports whether there is such a state.
func (s State) Valid() bool { return s >= StateRunning && s <= StateRolledBack }

// String returns the state as operators see it; the zero State has no name.
func (s State) String() string {
	if s <= StateRolledBack {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Ended reports whether the plan is over: it does nothing more by itself. A finished one can still be rolled back.
func (s State) Ended() bool { return s == StateFinished || s == StateRolledBack }

// Unit is the progress of one of a plan's units.
type Unit struct {
	Phase       Phase
	Slot        Slot
	Incarnation uint64 // the process that is to leave; 0 for a node
	RollingBack bool   // it is on its way back, or has gone back
	Attempts    int    // times that it was sent: forward, or since RollingBack was set
}

// Progress is a plan with its state. Units are in the plan's order.
type Progress struct {
	Plan   Plan
	State  State
	Reason string // for the state, as operators see it
	Wave   int    // the present one, the first being 0
	Units  []Unit
}

// targetVersion returns the version that a unit is to have when it is done: the target, or the previous one if it is
// rolling back. 0 stands for any.
func (p *Progress) targetVersion(unit int) uint64 {
	switch {
	case p.Plan.Kind != KindVersion:
		return 0
	case p.Units[unit].RollingBack:
		return p.Plan.PreviousVersion
	}
	return p.Plan.TargetVersion
}

// Record is all that the next leader has to know. It is written to voters complete.
type Record struct {
	Term         uint64   // of the leader that wrote it
	Seq          uint64   // grows with each write under a term
	SlotsGranted uint64   // so far
	Members      []string // names, in order, of routers that were seen and not forgotten: a later leader counts them as well
	Plans        []*Progress
	Tokens       []string // of operators' commands that were accepted, the newest last
}

// maxTokens is the number of accepted operators' commands whose repeat is recognized. An operator repeats one of the last
// few; so many make the record about a kilobyte larger.
const maxTokens = 64

// Clone copies a record; plans themselves are never changed and are shared.
func (r *Record) Clone() *Record {
	c := *r
	c.Tokens = slices.Clone(r.Tokens)
	c.Members = slices.Clone(r.Members)
	c.Plans = nil
	for _, p := range r.Plans {
		progress := *p
		progress.Units = slices.Clone(p.Units)
		c.Plans = append(c.Plans, &progress)
	}
	return &c
}

// FindPlan returns the plan with this name, nil if there is none. A nil record has no plans.
func (r *Record) FindPlan(id string) *Progress {
	if r == nil {
		return nil
	}
	for _, p := range r.Plans {
		if p.Plan.ID == id {
			return p
		}
	}
	return nil
}

// isNewer reports whether a write with this term and sequence number comes after the other.
func isNewer(term, seq, otherTerm, otherSeq uint64) bool {
	return term > otherTerm || term == otherTerm && seq > otherSeq
}
