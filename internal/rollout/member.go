package rollout

import "slices"

// Instruction is what a member is to do with itself. The numbers are sent to other instances.
type Instruction uint8

// The instructions.
const (
	InstructionContinue Instruction = iota
	InstructionLeave                // leave in order, and let the supervisor start the version that is named
)

// String returns the instruction's name.
func (i Instruction) String() string {
	if i == InstructionLeave {
		return "leave"
	}
	return "continue"
}

// Statement is a leader's message to one member, from a record that a majority of voters keeps.
type Statement struct {
	Term, Seq     uint64 // of that record
	Instruction   Instruction
	Slot          Slot
	Incarnation   uint64 // the process that the instruction is for
	TargetVersion uint64 // to be started with, 0 for the present one
	DrainedNodes  []string
}

// Report is a member's message to the leader, each second.
type Report struct {
	Member           string
	Zone             string
	Incarnation      uint64 // of its process; no other process of this member has it. Only equality is compared
	Version          uint64
	Ready            bool // it accepts commands
	Leaving          bool
	Term, Seq        uint64 // of the newest statement that it has heard
	Counts           CommandCounts
	StartupTime      int64     // us that it took to be ready
	ResidentBytes    int64     // 0 if it does not know
	Nodes            []NodeUse // those that are drained, or are being returned
	MayHaveForgotten bool      // it votes, and has kept no record since its process started
}

// NodeUse is what a router does at one node.
type NodeUse struct {
	Node         string
	OpenCommands int
	Answers      uint64 // of the node since it was returned to service
}

// drainQueryInterval is the time between queries of a member that has heard no statement yet, in us. Until one is answered
// or a leader's statement comes the router goes by discovery alone, and may use a node that plans have drained.
const drainQueryInterval = 1_000_000

// Member is one router's part: it follows the newest statement that it has heard.
type Member struct {
	incarnation  uint64
	newest       Statement
	hasStatement bool
	leaving      bool
	nextQueryAt  int64
	actions      []Action
}

// NewMember makes one for a process.
func NewMember(incarnation uint64) *Member { return &Member{incarnation: incarnation} }

// TakeActions returns what is to be done, in order, and forgets it.
func (m *Member) TakeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// Statement returns the newest statement, false for none.
func (m *Member) Statement() (Statement, bool) { return m.newest, m.hasStatement }

// HandleStatement takes a statement of a leader, or of a voter on drained nodes alone. Older ones than the newest are
// ignored: a message that comes late must neither send anybody out nor bring a drained node back.
func (m *Member) HandleStatement(s *Statement) {
	if m.hasStatement && !isNewer(s.Term, s.Seq, m.newest.Term, m.newest.Seq) {
		return
	}
	if !m.hasStatement || !slices.Equal(s.DrainedNodes, m.newest.DrainedNodes) {
		m.actions = append(m.actions, DrainNodes{slices.Clone(s.DrainedNodes)})
	}
	m.newest = *s
	m.hasStatement = true
	isForThisProcess := s.Incarnation == m.incarnation // the one that comes back after it has another number
	if s.Instruction == InstructionLeave && isForThisProcess && !m.leaving {
		m.leaving = true
		m.actions = append(m.actions, LeaveService{s.Slot, s.TargetVersion})
	}
}

// Tick asks voters which nodes are drained until the first statement has come: discovery may list a drained node as up.
func (m *Member) Tick(now int64) {
	if !m.hasStatement && now >= m.nextQueryAt {
		m.nextQueryAt = now + drainQueryInterval
		m.actions = append(m.actions, QueryDrainedNodes{})
	}
}
