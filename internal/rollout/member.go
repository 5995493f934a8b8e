package rollout

import "slices"

// Instruction is what a member must do. The numbers are sent to other instances.
type Instruction uint8

// The instructions.
const (
	InstructionContinue Instruction = iota
	InstructionLeave                // shut down in order; the supervisor then starts TargetVersion
)

// String returns the instruction's name.
func (i Instruction) String() string {
	if i == InstructionLeave {
		return "leave"
	}
	return "continue"
}

// Statement is a leader's message to one member, derived from a committed record.
type Statement struct {
	Term, Seq     uint64 // of that record
	Instruction   Instruction
	Slot          Slot
	Incarnation   uint64 // the process that the instruction is for
	TargetVersion uint64 // the version to start next, 0 for the present one
	DrainedNodes  []string
}

// Report is a member's message to the leader, sent each second.
type Report struct {
	Member           string
	Zone             string
	Incarnation      uint64 // of its process; no other process of this member has it. It is only compared for equality
	Version          uint64
	Ready            bool // it accepts commands
	Leaving          bool
	Term, Seq        uint64 // of the newest statement that it has received
	Counts           CommandCounts
	StartupTime      int64     // us that it took to become ready
	ResidentBytes    int64     // 0 if unknown
	Nodes            []NodeUse // drained nodes, and nodes that are being returned
	MayHaveForgotten bool      // it votes, and has kept no record since its process started
}

// NodeUse is a router's use of one node.
type NodeUse struct {
	Node         string
	OpenCommands int
	Answers      uint64 // of the node since it was returned to service
}

// drainQueryInterval is the time between queries of a member that has received no statement yet, in us. Until one is
// answered or a leader's statement arrives, the router relies on discovery alone, and may use a node that plans have
// drained.
const drainQueryInterval = 1_000_000

// Member is the role of one router: it follows the newest statement that it has received.
type Member struct {
	incarnation  uint64
	newest       Statement
	hasStatement bool
	leaving      bool
	nextQueryAt  int64
	actions      []Action
}

// NewMember returns the Member of a process with this incarnation.
func NewMember(incarnation uint64) *Member { return &Member{incarnation: incarnation} }

// TakeActions returns the pending actions in order, and clears them.
func (m *Member) TakeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// Statement returns the newest statement, false for none.
func (m *Member) Statement() (Statement, bool) { return m.newest, m.hasStatement }

// HandleStatement handles a statement of a leader, or one of a voter, which carries drained nodes only. Statements that
// are older than the newest are ignored: a delayed message must neither make a router leave nor return a drained node.
func (m *Member) HandleStatement(s *Statement) {
	if m.hasStatement && !isNewer(s.Term, s.Seq, m.newest.Term, m.newest.Seq) {
		return
	}
	if !m.hasStatement || !slices.Equal(s.DrainedNodes, m.newest.DrainedNodes) {
		m.actions = append(m.actions, DrainNodes{slices.Clone(s.DrainedNodes)})
	}
	m.newest = *s
	m.hasStatement = true
	isForThisProcess := s.Incarnation == m.incarnation // the next process of this member has another incarnation
	if s.Instruction == InstructionLeave && isForThisProcess && !m.leaving {
		m.leaving = true
		m.actions = append(m.actions, LeaveService{s.Slot, s.TargetVersion})
	}
}

// Tick asks voters which nodes are drained until the first statement arrives: discovery may list a drained node as up.
func (m *Member) Tick(now int64) {
	if !m.hasStatement && now >= m.nextQueryAt {
		m.nextQueryAt = now + drainQueryInterval
		m.actions = append(m.actions, QueryDrainedNodes{})
	}
}
