package rollout

import "slices"

// Do is what a member is told to do with itself.
type Instruction uint8

// What a member is told.
const (
	InstructionContinue Instruction = iota // go on
	InstructionLeave                       // leave in order, and let the supervisor start the version that is named
)

// Statement is what a leader tells one member, from a record that a majority keeps.
type Statement struct {
	Term, Seq     uint64
	Instruction   Instruction
	Slot          Slot
	Incarnation   uint64 // the process that it is meant for
	TargetVersion uint64 // version to be started with, 0 for the present one
	DrainedNodes  []string
}

// Report is what a member tells whoever leads.
type Report struct {
	Member           string
	Zone             string
	Incarnation      uint64 // its process, by a number that grows with each start
	Version          uint64
	Ready            bool // it takes commands
	Leaving          bool
	Term, Seq        uint64 // of the newest statement that it has heard
	Counts           CommandCounts
	StartupTime      int64     // us that it took to be ready
	ResidentBytes    int64     // bytes resident
	Nodes            []NodeUse // at nodes that are drained, or are being returned
	MayHaveForgotten bool      // it votes, and may have forgotten what it kept
}

// Open is what a router has open at one node.
type NodeUse struct {
	Node         string
	OpenCommands int
	Answers      uint64 // by it since the router was last told that it is back
}

// Member is one router's part.
type Member struct {
	incarnation  uint64
	newest       Statement
	hasStatement bool
	leaving      bool
	nextQueryAt  int64
	actions      []Out
}

const drainQueryInterval = 1_000_000 // us between questions of one that has heard no leader yet

// NewMember makes one for a process.
func NewMember(born uint64) *Member { return &Member{incarnation: born} }

// Take returns what is to be done, in order.
func (m *Member) TakeActions() []Out {
	out := m.actions
	m.actions = nil
	return out
}

// Heard is the newest statement, false for none.
func (m *Member) Statement() (Statement, bool) { return m.newest, m.hasStatement }

// Hear takes a statement, of a leader or, where it says nothing of this process, of a voter. Older ones are nothing: a
// message that comes late must neither send anybody out nor bring a drained node back.
func (m *Member) HandleStatement(now int64, s *Statement) {
	if m.hasStatement && !isNewer(s.Term, s.Seq, m.newest.Term, m.newest.Seq) {
		return
	}
	if !m.hasStatement || !slices.Equal(s.DrainedNodes, m.newest.DrainedNodes) {
		m.actions = append(m.actions, Out{Act: Drain, Nodes: slices.Clone(s.DrainedNodes)})
	}
	m.newest, m.hasStatement = *s, true
	if s.Instruction == InstructionLeave && s.Incarnation == m.incarnation && !m.leaving { // the process that came back after it has another number
		m.leaving = true
		m.actions = append(m.actions, Out{Act: Go, Slot: s.Slot, Want: s.TargetVersion})
	}
}

// Tick asks voters for what is drained, as long as no leader has spoken: the list may call a drained node up.
func (m *Member) Tick(now int64) {
	if !m.hasStatement && now >= m.nextQueryAt {
		m.nextQueryAt = now + drainQueryInterval
		m.actions = append(m.actions, Out{Act: Seek})
	}
}

// Drained is the statement on drains alone that a record makes for whoever asks.
func DrainStatement(r *Record) *Statement {
	return &Statement{Term: r.Term, Seq: r.Seq, DrainedNodes: drainedNodes(r)}
}

// drains lists the nodes that no router may send anything new to.
func drainedNodes(r *Record) (all []string) {
	for _, p := range r.Plans {
		if p.Plan.Kind != KindNodes {
			continue
		}
		for i, u := range p.Units {
			if u.Phase == PhaseLeaving || u.Phase == PhaseUnavailable || u.Phase == PhaseStuck {
				all = append(all, p.Plan.Units[i])
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
