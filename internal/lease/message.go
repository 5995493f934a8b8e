package lease

// Message is a message between a candidate and a voter, or between two voters: a *GrantRequest, *RenewRequest or
// *Release from a candidate to a voter, a *GrantResponse, *RenewResponse or *ReservationNotice from a voter to a
// candidate, or a *VoterStatus from a voter to a voter. It must not be modified after a Send action has returned it.
type Message interface {
	// CommonHeader returns the header, which every message has.
	CommonHeader() *Header
}

// Header is the header of every message.
type Header struct {
	From        string
	Incarnation uint64 // of the sender's process: a random number, see leaseservice; unrelated to the incarnation in package membership
	SetNumber   uint64 // of the voter set that the sender has adopted; in a request, of the one that the receiver is believed to have adopted
}

// CommonHeader returns the header.
func (h *Header) CommonHeader() *Header { return h }

// RequestHeader is the header of a candidate's messages.
type RequestHeader struct {
	Header
	RequestID  uint64 // increases within a process
	Generation uint64 // of the candidate's grants, see Candidate
}

// ResponseHeader is the header of a voter's responses.
type ResponseHeader struct {
	Header
	Requester   uint64   // incarnation of the candidate
	RequestID   uint64   // of the request
	Generation  uint64   // of the request
	EndedGrants uint64   // value of Voter.endedGrants when this process's most recent grant ended or its session began; MaxUint64 if nothing was extended
	VoterClock  int64    // us
	SetNames    []string // the voter's set if the candidate used another number, else none
}

// GrantRequest asks a voter to grant or extend each of some leases. The voter answers with a GrantResponse.
type GrantRequest struct {
	RequestHeader
	Leases []WantedLease
}

// WantedLease is a request for one lease.
type WantedLease struct {
	Lease     string
	Term      uint64
	Length    int64 // us
	Full      bool  // for the full length, not a trial, so that renewal requests extend it
	CarryOver bool  // the holder carries the lease over to this later term
	Priority  int8
	Ticket    uint64 // position in the queue: the highest term known when the request was made; 0 if none was known, behind all others
}

// RenewRequest asks a voter to extend all full grants of this process under this generation. The voter answers with a
// RenewResponse.
type RenewRequest struct{ RequestHeader }

// Release tells a voter that leases are released. It is not acknowledged.
type Release struct {
	RequestHeader
	Leases []ReleasedLease
}

// ReleasedLease is a lease that its holder releases.
type ReleasedLease struct {
	Lease string
	Term  uint64
	Next  string // member that is to hold it next, "" for the first in the queue
}

// GrantResponse is a voter's answer to a GrantRequest.
type GrantResponse struct {
	ResponseHeader
	Leases []LeaseVerdict
}

// LeaseVerdict is a voter's verdict on one lease. It repeats the request, with these exceptions: for TermTooLow, Term
// is the higher of the lease's last term and the voter's term floor; for HeldByOther, Term is the holder's; for
// Granted, Length is what the grant was extended by.
type LeaseVerdict struct {
	WantedLease
	Verdict Verdict
	Holder  string // HeldByOther: the member that holds it
	Wait    int64  // longest time in us that a refused candidate should wait
}

// RenewResponse is a voter's answer to a RenewRequest.
type RenewResponse struct {
	ResponseHeader
	RenewedCount int // grants that were extended
	Waiting      []WaitingLease
}

// WaitingLease is an extended lease for which another candidate waits.
type WaitingLease struct {
	Lease     string
	Term      uint64
	First     string // first member in the queue
	Priority  int8   // of First
	WaitedFor int64  // us that First has waited; on the wire, but unused
}

// ReservationNotice tells the first candidate in the queue that leases are free and reserved for it.
type ReservationNotice struct {
	Header
	VoterClock int64 // us; on the wire, but unused
	Leases     []FreeLease
}

// FreeLease is a free lease, with the highest term that was used for it.
type FreeLease struct {
	Lease string
	Term  uint64
}

// VoterStatus is a voter's state, which it sends to the other voters every second.
type VoterStatus struct {
	Header
	VoterClock   int64    // us; on the wire, but unused
	SetNames     []string // of the sender's voter set
	SetAge       int64    // us since the sender adopted it
	TermFloor    uint64   // see Voter.TermFloor; a receiver that abstains raises its own floor to it
	LongestLease int64    // us
}

// ForVoter reports whether a message is for the receiver's voter; the other messages are for its candidate.
func ForVoter(m Message) bool {
	switch m.(type) {
	case *GrantRequest, *RenewRequest, *Release, *VoterStatus:
		return true
	}
	return false
}

// Verdict is a voter's decision on one lease.
type Verdict uint8

// The verdicts; all but Granted refuse the lease. Their numbers are sent on the wire.
const (
	Granted          Verdict = iota + 1
	HeldByOther              // another process holds it, for LeaseVerdict.Wait at most
	TermTooLow               // the term must be above LeaseVerdict.Term
	ReservedForOther         // reserved for the first in the queue, for LeaseVerdict.Wait at most
	CoolingDown              // the candidate let too many leases lapse, and is granted none for LeaseVerdict.Wait
	Abstaining               // the voter has just started
	OtherVoterSet            // candidate and voter use different voter sets
	OutOfBounds              // a length or a name is out of bounds
	NoCapacity               // the voter tracks its maximum number of leases
	verdictCount
)

var verdictNames = [...]string{"", "granted", "held by another", "term too low", "reserved for another", "cooling down",
	"abstaining", "other voter set", "out of bounds", "no capacity"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if v < verdictCount {
		return verdictNames[v]
	}
	return "unknown"
}

const (
	// MaxNameLength is the longest name of a lease or a member, in bytes.
	MaxNameLength = 128

	maxLeaseListSize = 1_000 // bytes of leases in a message, so that it fits a datagram with its header
	leaseSize        = 45    // maximum bytes of an encoded lease, without its names
)

// splitBySize splits a list of leases so that each part's message fits a datagram: the network would drop a larger one,
// and with it the requests or answers for all its leases. namesSize returns the bytes of the names of one lease.
func splitBySize[L any](leases []L, namesSize func(L) int) (parts [][]L) {
	start := 0
	size := 0
	for i, item := range leases {
		n := leaseSize + namesSize(item)
		if size+n > maxLeaseListSize && i > start {
			parts = append(parts, leases[start:i])
			start = i
			size = 0
		}
		size += n
	}
	return append(parts, leases[start:])
}
