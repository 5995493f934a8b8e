package lease

// Action is one thing that a Candidate or a Voter wants done; TakeActions returns them in the order in which to do
// them. What is to be stored must be stored before a Send behind it is carried out: a voter that forgets a grant that it
// has announced could grant its term to another process.
type Action interface{ action() }

// Send sends a message to a member, which may be this one.
type Send struct {
	To      string
	Message Message
}

// StoreGrant stores a lease's last term and holder, if the voter has a file.
type StoreGrant struct{ GrantRecord }

// DeleteGrant removes a lease's stored record; its term is not above the term floor, which is stored with it.
type DeleteGrant struct{ Lease string }

// StoreVoterSet stores the number of the voter set that the voter goes by.
type StoreVoterSet struct{ Number uint64 }

// Acquired says that this process holds a lease from now until Until, in us of its own clock.
type Acquired struct {
	Lease string
	Term  uint64
	Until int64
}

// Extended says that this process holds a lease until Until. Term is a later one than before if the lease was carried
// over.
type Extended struct {
	Lease string
	Term  uint64
	Until int64
}

// Lost says that this process no longer holds a lease.
type Lost struct {
	Lease  string
	Term   uint64
	Reason string
}

// YieldRequested says that somebody else should have a lease. The holder must end what runs under it and call Release.
type YieldRequested struct {
	Lease  string
	Term   uint64
	Next   string // member that waits first, "" if none is known
	Reason string
}

// Warning is worth a line in the log.
type Warning struct {
	About string // member that it is about, "" for this one
	Text  string
}

// ClockOutOfBound says that a voter's clock and this one's differ in rate by more than the bound that leases rest on.
type ClockOutOfBound struct {
	Voter string
	Text  string
}

func (Send) action()            {}
func (StoreGrant) action()      {}
func (DeleteGrant) action()     {}
func (StoreVoterSet) action()   {}
func (Acquired) action()        {}
func (Extended) action()        {}
func (Lost) action()            {}
func (YieldRequested) action()  {}
func (Warning) action()         {}
func (ClockOutOfBound) action() {}
