package lease

// Message is one message between a candidate and a voter, or between two voters: a *GrantRequest, *RenewRequest or
// *Release from a candidate to a voter, a *GrantResponse, *RenewResponse or *TurnNotice from a voter to a candidate, or a
// *VoterStatus from a voter to a voter. It must not be changed once it was handed out by a Send action.
type Message interface {
	// Common returns what every message carries.
	Common() *Header
}

// Header is what every message carries.
type Header struct {
	From        string
	Incarnation uint64 // the sender's process, drawn at random, see leaseservice; not the incarnation that membership gives out
	SetNumber   uint64 // of the voter set that the sender goes by; in requests of the one that the receiver is believed to go by
}

// Common returns the header.
func (h *Header) Common() *Header { return h }

// RequestHeader is what a candidate's messages carry.
type RequestHeader struct {
	Header
	RequestID  uint64 // counts up within a process
	Generation uint64 // of the candidate's grants, see Candidate
}

// ResponseHeader is what a voter's answers carry.
type ResponseHeader struct {
	Header
	Requester   uint64   // incarnation of the candidate that asked
	RequestID   uint64   // of the request
	Generation  uint64   // of the request
	EndedGrants uint64   // value of Voter.endedGrants when this process's most recent grant ended or its session began; MaxUint64: nothing was extended
	VoterClock  int64    // us
	SetNames    []string // of the voter's set if the candidate asked under another one, else none
}

// GrantRequest asks a voter to grant or extend each of some leases. It answers with a GrantResponse.
type GrantRequest struct {
	RequestHeader
	Leases []WantedLease
}

// WantedLease is a lease that a voter is asked for.
type WantedLease struct {
	Lease     string
	Term      uint64
	Length    int64 // us
	Full      bool  // for the whole length and not a trial, so that renewal requests extend it
	CarryOver bool  // its holder carries the lease over to this later term
	Priority  int8
	Ticket    uint64 // place in line, the highest term known when the request was made; 0 for none known, behind all others
}

// RenewRequest asks a voter to extend all that this process asked for in full under this generation. It answers with a
// RenewResponse.
type RenewRequest struct{ RequestHeader }

// Release tells a voter that leases are given up. It is not answered.
type Release struct {
	RequestHeader
	Leases []ReleasedLease
}

// ReleasedLease is a lease that is given up.
type ReleasedLease struct {
	Lease string
	Term  uint64
	Next  string // member that is to have it next, "" for whoever waits first
}

// GrantResponse is a voter's answer to a GrantRequest.
type GrantResponse struct {
	ResponseHeader
	Leases []LeaseVerdict
}

// LeaseVerdict is a voter's verdict on one lease. It repeats what was asked for, with two exceptions. If the verdict is
// TermTooLow, Term is the higher of the lease's last term and the voter's term floor; if it is HeldByOther, Term is the
// holder's. If it is Granted, Length is what the grant was extended by.
type LeaseVerdict struct {
	WantedLease
	Verdict Verdict
	Holder  string // HeldByOther: member that has it
	Wait    int64  // us that a refused candidate should wait at most
}

// RenewResponse is a voter's answer to a RenewRequest.
type RenewResponse struct {
	ResponseHeader
	RenewedCount int // grants that were extended
	Waiting      []WaitingLease
}

// WaitingLease is an extended lease that somebody else waits for.
type WaitingLease struct {
	Lease     string
	Term      uint64
	First     string // member that is first in line
	Priority  int8   // the first's
	WaitedFor int64  // us that the first has waited; part of the wire form, read by nobody
}

// TurnNotice tells the first in line that leases are free for it.
type TurnNotice struct {
	Header
	VoterClock int64 // us; part of the wire form, read by nobody
	Leases     []FreeLease
}

// FreeLease is a lease that is free, and the highest term that was used for it.
type FreeLease struct {
	Lease string
	Term  uint64
}

// VoterStatus is a voter's state, which it sends to the other voters each second.
type VoterStatus struct {
	Header
	VoterClock   int64    // us; part of the wire form, read by nobody
	SetNames     []string // of the sender's voter set
	SetAge       int64    // us since it adopted that
	TermFloor    uint64   // see Voter.TermFloor; that of a receiver that abstains rises to it
	LongestLease int64    // us
}

// ForVoter reports whether a message is for the receiver's voter; the others are for its candidate.
func ForVoter(m Message) bool {
	switch m.(type) {
	case *GrantRequest, *RenewRequest, *Release, *VoterStatus:
		return true
	}
	return false
}

// Verdict is a voter's answer on one lease.
type Verdict uint8

// The verdicts; all but Granted refuse. Their numbers go over the wire.
const (
	Granted        Verdict = iota + 1
	HeldByOther            // another process has it, for LeaseVerdict.Wait at the most
	TermTooLow             // the term must be above LeaseVerdict.Term
	OtherGoesFirst         // it is reserved for the first in line, for LeaseVerdict.Wait at the most
	CoolingDown            // the candidate let leases lapse too often, and gets none for LeaseVerdict.Wait
	Abstaining             // the voter has just started
	OtherVoterSet          // candidate and voter go by different voter sets
	OutOfBounds            // a length or a name out of bounds
	NoCapacity             // the voter keeps no more leases
	verdictCount
)

var verdictNames = [...]string{"", "granted", "held by another", "term too low", "another goes first", "cooling down",
	"abstaining", "other voter set", "out of bounds", "no capacity"}

// String names the verdict.
func (v Verdict) String() string {
	if v < verdictCount {
		return verdictNames[v]
	}
	return "unknown"
}

const (
	// MaxNameLength is the longest name of a lease or a member, in bytes.
	MaxNameLength = 128

	maxLeasesSize = 1_000 // bytes of leases in a message, so that it fits a datagram with what is put around it
	leaseSize     = 45    // bytes of an encoded lease beside the names in it, at most
)

// splitBySize divides leases over messages so that each fits a datagram: a larger one would be dropped by the network, and
// with it the answers for all leases in it. namesSize is the size of the names of one lease, in bytes.
func splitBySize[L any](leases []L, namesSize func(L) int) (parts [][]L) {
	start := 0
	size := 0
	for i, one := range leases {
		n := leaseSize + namesSize(one)
		if size+n > maxLeasesSize && i > start {
			parts = append(parts, leases[start:i])
			start = i
			size = 0
		}
		size += n
	}
	return append(parts, leases[start:])
}
