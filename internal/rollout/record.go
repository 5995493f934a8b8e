package rollout

import (
	"fmt"
	"slices"
)

// Slot is the permission to be unavailable, granted under a term of the leader's lease. Less orders slots by the time
// of their grant.
type Slot struct {
	Term   uint64
	Number uint64
}

// Less reports whether s was granted before other.
func (s Slot) Less(other Slot) bool {
	return s.Term < other.Term || s.Term == other.Term && s.Number < other.Number
}

// Phase is a unit's place in its plan. The numbers are sent to other instances.
type Phase uint8

// The phases. A unit from PhaseLeaving to PhaseReturning, and one in PhaseStuck, holds a slot.
const (
	PhaseWaiting     Phase = iota // not yet updated
	PhaseLeaving                  // it has a slot; it may be unavailable from now on
	PhaseUnavailable              // it has left, or stopped reporting when it was to leave; a node: no router uses it
	PhaseReturning                // it is to come back, and has yet to meet the conditions of unmetCondition
	PhaseDone                     // it is back and healthy
	PhaseStuck                    // it held a slot in a rollback and made no progress; an operator has to look at it
	PhaseForgotten                // an operator removed it from the plan
)

var phaseNames = [...]string{"waits", "going", "away", "returning", "done", "stuck", "forgotten"}

// Valid reports whether p is one of the phases.
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

// State is the state of a plan. The numbers are sent to other instances.
type State uint8

// The states of a plan.
const (
	StateRunning     State = iota + 1
	StateHalted            // no further unit leaves; units that are out may come back
	StateRollingBack       // updated units are rolled back, the newest slot first
	StateFinished          // all units are done
	StateRolledBack        // all updated units are rolled back
)

var stateNames = [...]string{"", "running", "halted", "going back", "finished", "back"}

// Valid reports whether s is one of the states.
func (s State) Valid() bool { return s >= StateRunning && s <= StateRolledBack }

// String returns the state as operators see it; the zero State has no name.
func (s State) String() string {
	if s <= StateRolledBack {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Ended reports whether the plan does nothing more by itself. A finished plan can still be rolled back.
func (s State) Ended() bool { return s == StateFinished || s == StateRolledBack }

// Unit is the progress of one of a plan's units.
type Unit struct {
	Phase       Phase
	Slot        Slot
	Incarnation uint64 // the process that is to leave; 0 for a node
	RollingBack bool   // it is being rolled back, or has been
	Attempts    int    // how often it was told to leave: in the rollout, or since RollingBack was set
}

// Progress is a plan with its state. Units are in the plan's order.
type Progress struct {
	Plan   Plan
	State  State
	Reason string // of the state, as operators see it
	Wave   int    // the current one, counted from 0
	Units  []Unit
}

// targetVersion returns the version that a unit must have to be done: the target version, or the previous one if it is
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

// Record is the state that the next leader needs. It is always written to voters as a whole.
type Record struct {
	Term         uint64   // of the leader that wrote it
	Seq          uint64   // grows with each write under a term
	SlotsGranted uint64   // so far
	Members      []string // sorted names of routers that were present and not forgotten: a later leader counts them too
	Plans        []*Progress
	Tokens       []string // of operators' accepted commands, the newest last
}

// maxTokens is the number of accepted operators' commands that are recognized when repeated. An operator repeats one of
// the last few; this many add about a kilobyte to the record.
const maxTokens = 64

// Clone copies a record. Plans themselves never change and are shared.
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
