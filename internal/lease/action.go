package lease

// Action is an effect that a Candidate or a Voter requests from its caller; TakeActions returns actions in the order in
// which they must be carried out. A store action must be durable before a later Send is carried out: a voter that
// forgets a grant that it has announced could grant the same term to another process.
type Action interface{ action() }

// Send sends a message to a member, possibly to this one.
type Send struct {
	To      string
	Message Message
}

// StoreGrant stores a lease's last term and holder, if the voter has a file.
type StoreGrant struct{ GrantRecord }

// DeleteGrant deletes a lease's stored record. Its term is not above the term floor, which is stored in the same write.
type DeleteGrant struct{ Lease string }

// StoreVoterSet stores the number of the voter set that the voter has adopted.
type StoreVoterSet struct{ Number uint64 }

// Acquired reports that this process holds a lease from now until Until, in us of its own clock.
type Acquired struct {
	Lease string
	Term  uint64
	Until int64
}

// Extended reports that this process holds a lease until Until. Term is higher than before if the lease was carried
// over.
type Extended struct {
	Lease string
	Term  uint64
	Until int64
}

// Lost reports that this process no longer holds a lease.
type Lost struct {
	Lease  string
	Term   uint64
	Reason string
}

// YieldRequested asks the holder to hand a lease over. The holder must end what runs under the lease and call Release.
type YieldRequested struct {
	Lease  string
	Term   uint64
	Next   string // member that is first in the queue, "" if none is known
	Reason string
}

// Warning reports a condition that the caller should log.
type Warning struct {
	About string // member concerned, "" for this one
	Text  string
}

// ClockOutOfBound reports that the rates of a voter's clock and of this process's clock differ by more than the drift
// bound that leases rely on.
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
