package rollout

// Action is one thing that a Leader or a Member wants done. Actions are carried out in the order in which they were taken.
type Action interface {
	isAction()
}

// What a Leader wants done. All of these but LogEvent, HandOverLead and ReplyToCommand are said to others, and must not be
// said once the lease is not held any more.
type (
	// ReadVoter asks a voter under a term which record it keeps; the answer goes to Leader.HandleReadAnswer.
	ReadVoter struct {
		Voter string
		Term  uint64
	}

	// WriteVoter hands a record to one incarnation of a voter; the answer goes to Leader.HandleWriteAnswer.
	WriteVoter struct {
		Voter       string
		Incarnation uint64
		Record      *Record
	}

	// RequestReport tells a member that it is to report here.
	RequestReport struct {
		Member string
	}

	// SendStatement tells a member what a majority of voters keeps of what concerns it.
	SendStatement struct {
		Member    string
		Statement *Statement
	}

	// ReplyToCommand tells whoever gave the operator's command with this token that it was accepted, or refused for Err.
	ReplyToCommand struct {
		Token string
		Err   error
	}

	// HandOverLead lets another instance lead, for this one is next to leave by a plan.
	HandOverLead struct {
		PlanID string
	}

	// LogEvent is worth a line in the log.
	LogEvent struct {
		PlanID string // "" for none
		Text   string
	}
)

// What a Member wants done.
type (
	// LeaveService lets the router leave in order, and be started by its supervisor with a version, 0 for the one it has.
	LeaveService struct {
		Slot    Slot
		Version uint64
	}

	// DrainNodes says which nodes get nothing new because of plans: these, and no others.
	DrainNodes struct {
		Nodes []string
	}

	// QueryDrainedNodes asks voters which nodes are drained; the answers go to Member.HandleStatement.
	QueryDrainedNodes struct{}
)

func (ReadVoter) isAction()         {}
func (WriteVoter) isAction()        {}
func (RequestReport) isAction()     {}
func (SendStatement) isAction()     {}
func (ReplyToCommand) isAction()    {}
func (HandOverLead) isAction()      {}
func (LogEvent) isAction()          {}
func (LeaveService) isAction()      {}
func (DrainNodes) isAction()        {}
func (QueryDrainedNodes) isAction() {}
