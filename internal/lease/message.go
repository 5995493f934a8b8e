package lease

// MessageKind is what a message is for.
type MessageKind uint8

// The kinds of messages. Their numbers go over the wire.
const (
	KindGrantRequest  MessageKind = iota + 1 // candidate to voter: grant or extend each of these leases
	KindRenewRequest                         // candidate to voter: extend all that this process asked for in full under this generation
	KindRelease                              // candidate to voter: these leases are given up; not answered
	KindGrantResponse                        // voter to candidate: its verdict on each lease of a grant request
	KindRenewResponse                        // voter to candidate: how many grants a renewal request extended
	KindTurnNotice                           // voter to the first who waits: these leases are free for you
	KindVoterStatus                          // voter to voter, each second: its voter set, term floor and longest lease
	kindCount
)

var kindNames = [...]string{"unknown", "grant request", "renew request", "release", "grant response", "renew response",
	"turn notice", "voter status"}

// Valid tells whether there is such a kind.
func (k MessageKind) Valid() bool { return k >= KindGrantRequest && k < kindCount }

// String names the kind.
func (k MessageKind) String() string {
	if !k.Valid() {
		return kindNames[0]
	}
	return kindNames[k]
}

// Verdict is a voter's answer on one lease.
type Verdict uint8

// The verdicts; all but Granted refuse. Their numbers go over the wire.
const (
	Granted        Verdict = iota + 1
	HeldByOther            // another process has it, for Item.Wait at the most
	TermTooLow             // the term must be above Item.Term
	OtherGoesFirst         // it is reserved for the first in line, for Item.Wait at the most
	CoolingDown            // the candidate let leases lapse too often, and gets none for Item.Wait
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

// Item is what a message says of one lease. Times are in microseconds.
type Item struct {
	Lease     string
	Term      uint64
	Length    int64 // grant request: the length asked for; grant response: what the grant was extended by
	Full      bool  // grant request: for the whole length and not a trial, so that renewal requests extend it
	CarryOver bool  // grant request: its holder carries the lease over to this later term
	Priority  int8
	Ticket    uint64 // grant request: place in line, the highest term known when the request was made; 0 for none known, behind all others
	Verdict   Verdict
	Holder    string // grant response: who has it; release: who is to have it next; renew response: who waits first
	Wait      int64  // grant response: how long to wait; renew response: how long the first in line has waited
}

// Message is one message between a candidate and a voter, or between voters. As in etcd's raft it is one type for all
// kinds; the comments name the kinds that use a field, and all use those without.
type Message struct {
	Kind         MessageKind
	From         string
	Incarnation  uint64   // the sender's process, a number that no other process of its name has
	Requester    uint64   // responses: incarnation of the candidate that asked
	SetNumber    uint64   // number of the voter set that the sender goes by; in requests, that the receiver is believed to go by
	SetNames     []string // responses: names of the voter's set where the candidate's is another; voter status: always
	RequestID    uint64   // requests: counts up within a process; responses carry that of their request
	EndedGrants  uint64   // responses: the voter's count of ended grants when one of this candidate's last ended
	Generation   uint64   // requests: generation of the candidate's grants; responses carry it back
	RenewedCount int      // renew response: how many grants were extended
	VoterClock   int64    // responses, turn notice, voter status: the voter's clock, in us
	TermFloor    uint64   // voter status: no term up to this is granted anew
	LongestLease int64    // voter status: longest lease that it grants, in us
	SetAge       int64    // voter status: us since the voter adopted its set
	Items        []Item   // grant and renew responses, grant requests, releases, turn notices
}

const (
	// MaxNameLength is the longest name of a lease or a member, in bytes.
	MaxNameLength = 128

	maxItemsSize = 1_000 // bytes of items in a message, so that it fits a datagram with what is put around it
	itemSize     = 45    // bytes of an encoded item beside its names, at most
)

// splitItems divides items over messages so that each fits a datagram: a larger one would be dropped by the network, and
// with it the answers for all leases in it.
func splitItems(items []Item) (parts [][]Item) {
	start := 0
	size := 0
	for i, item := range items {
		n := itemSize + len(item.Lease) + len(item.Holder)
		if size+n > maxItemsSize && i > start {
			parts = append(parts, items[start:i])
			start = i
			size = 0
		}
		size += n
	}
	return append(parts, items[start:])
}
