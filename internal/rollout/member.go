package rollout

import "slices"

// Do is what a member is told to do with itself.
type Do uint8

// What a member is told.
const (
	Stay  Do = iota // go on
	Leave           // leave in order, and let the supervisor start the version that is named
)

// Statement is what a leader tells one member, from a record that a majority keeps.
type Statement struct {
	Term, Seq uint64
	Do        Do
	Slot      Slot
	Born      uint64 // the process that it is meant for
	Want      uint64 // version to be started with, 0 for the present one
	Drains    []string
}

// Report is what a member tells whoever leads.
type Report struct {
	Member    string
	Zone      string
	Born      uint64 // its process, by a number that grows with each start
	Version   uint64
	Ready     bool // it takes commands
	Leaving   bool
	Term, Seq uint64 // of the newest statement that it has heard
	Served    Served
	StartedIn int64  // us that it took to be ready
	Heap      int64  // bytes resident
	Open      []Open // at nodes that are drained, or are being returned
	Blank     bool   // it votes, and may have forgotten what it kept
}

// Open is what a router has open at one node.
type Open struct {
	Node     string
	Commands int
	Answered uint64 // by it since the router was last told that it is back
}

// Member is one router's part.
type Member struct {
	born   uint64
	said   Statement
	heard  bool
	left   bool
	seekAt int64
	out    []Out
}

const seekEvery = 1_000_000 // us between questions of one that has heard no leader yet

// NewMember makes one for a process.
func NewMember(born uint64) *Member { return &Member{born: born} }

// Take returns what is to be done, in order.
func (m *Member) Take() []Out {
	out := m.out
	m.out = nil
	return out
}

// Heard is the newest statement, false for none.
func (m *Member) Heard() (Statement, bool) { return m.said, m.heard }

// Hear takes a statement, of a leader or, where it says nothing of this process, of a voter. Older ones are nothing: a
// message that comes late must neither send anybody out nor bring a drained node back.
func (m *Member) Hear(now int64, s *Statement) {
	if m.heard && !newer(s.Term, s.Seq, m.said.Term, m.said.Seq) {
		return
	}
	if !m.heard || !slices.Equal(s.Drains, m.said.Drains) {
		m.out = append(m.out, Out{Act: Drain, Nodes: slices.Clone(s.Drains)})
	}
	m.said, m.heard = *s, true
	if s.Do == Leave && s.Born == m.born && !m.left { // the process that came back after it has another number
		m.left = true
		m.out = append(m.out, Out{Act: Go, Slot: s.Slot, Want: s.Want})
	}
}

// Tick asks voters for what is drained, as long as no leader has spoken: the list may call a drained node up.
func (m *Member) Tick(now int64) {
	if !m.heard && now >= m.seekAt {
		m.seekAt = now + seekEvery
		m.out = append(m.out, Out{Act: Seek})
	}
}

// Drained is the statement on drains alone that a record makes for whoever asks.
func Drained(r *Record) *Statement {
	return &Statement{Term: r.Term, Seq: r.Seq, Drains: drains(r)}
}

// drains lists the nodes that no router may send anything new to.
func drains(r *Record) (all []string) {
	for _, p := range r.Plans {
		if p.Plan.Kind != Nodes {
			continue
		}
		for i, u := range p.Units {
			if u.Phase == Going || u.Phase == Away || u.Phase == Stuck {
				all = append(all, p.Plan.Units[i])
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
