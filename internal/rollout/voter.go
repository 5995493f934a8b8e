package rollout

// Voter is the role of a voter: it keeps the newest record, and refuses leaders of an earlier term than the latest that
// it knows of.
type Voter struct {
	incarnation      uint64
	mayHaveForgotten bool // it has kept nothing since its process started
	promisedTerm     uint64
	record           *Record
}

// VoterState is a voter's answer to a leader's read.
type VoterState struct {
	Record           *Record // nil for none
	Incarnation      uint64
	MayHaveForgotten bool // it has kept nothing since its process started, and may have before
}

// NewVoter returns the Voter of the process with this incarnation. kept is the record in durable storage, nil if there
// is none: a running router stores none and passes nil, the simulation passes one.
func NewVoter(incarnation uint64, kept *Record) *Voter {
	v := &Voter{incarnation: incarnation, mayHaveForgotten: kept == nil, record: kept}
	if kept != nil {
		v.promisedTerm = kept.Term
	}
	return v
}

// Read answers a leader that starts under this term, and promises to accept no write of an earlier one. It refuses a
// term earlier than the latest that it knows of.
func (v *Voter) Read(term uint64) (state VoterState, accepted bool) {
	if term < v.promisedTerm {
		return VoterState{}, false
	}
	v.promisedTerm = term
	return VoterState{v.record, v.incarnation, v.mayHaveForgotten}, true
}

// Write keeps a record, unless a later leader has started or a newer record is kept. A write that was sent to another
// incarnation is refused: this process has forgotten what that one promised, and would accept a former leader's late
// write.
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

// Record returns the record that is kept, nil if there is none, and whether the voter may have forgotten one.
func (v *Voter) Record() (r *Record, mayHaveForgotten bool) { return v.record, v.mayHaveForgotten }
