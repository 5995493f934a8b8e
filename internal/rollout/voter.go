package rollout

// Voter is a voter's part: it keeps the newest record, and serves no leader of an earlier term than it has heard of.
type Voter struct {
	incarnation      uint64
	mayHaveForgotten bool // it has kept nothing since its process started
	promisedTerm     uint64
	record           *Record
}

// VoterState is a voter's answer to a leader that begins.
type VoterState struct {
	Record           *Record // nil for none
	Incarnation      uint64
	MayHaveForgotten bool // it has kept nothing since its process started, and may have before
}

// NewVoter makes a voter's part in the process with this incarnation. kept is what durable storage holds, nil for none.
func NewVoter(incarnation uint64, kept *Record) *Voter {
	v := &Voter{incarnation: incarnation, mayHaveForgotten: kept == nil, record: kept}
	if kept != nil {
		v.promisedTerm = kept.Term
	}
	return v
}

// Read answers a leader that begins: from now on no earlier one can write here. It refuses a term before one that it has
// heard of.
func (v *Voter) Read(term uint64) (state VoterState, accepted bool) {
	if term < v.promisedTerm {
		return VoterState{}, false
	}
	v.promisedTerm = term
	return VoterState{v.record, v.incarnation, v.mayHaveForgotten}, true
}

// Write keeps a record, unless a later leader has begun or a newer record is kept. It must have been sent to this very
// incarnation: a process that started anew has forgotten its promise, and would take a former leader's late write.
func (v *Voter) Write(r *Record, incarnation uint64) (accepted bool) {
	if incarnation != v.incarnation || r.Term < v.promisedTerm {
		return false
	}
	if v.record != nil && isNewer(v.record.Term, v.record.Seq, r.Term, r.Seq) {
		return false
	}
	v.promisedTerm = r.Term
	v.record = r
	v.mayHaveForgotten = false
	return true
}

// Record returns what is kept, nil for nothing, and whether the voter may have forgotten something.
func (v *Voter) Record() (r *Record, mayHaveForgotten bool) { return v.record, v.mayHaveForgotten }
