package rollout

// Action is one thing that a Leader or a Member wants done. Actions are carried out in the order in which TakeActions
// returns them.
type Action interface {
	isAction()
}

// What a Leader wants done. RequestReport, WriteVoter and SendStatement must not be sent once the lease is not held any
// more: a member would follow a leader that another one has replaced. A late ReadVoter is refused by its term.
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

	// RequestReport asks a member to send its reports to this instance from now on.
	RequestReport struct {
		Member string
	}

	// SendStatement notifies a member of what a majority of voters keeps that concerns it.
	SendStatement struct {
		Member    string
		Statement *Statement
	}

	// ReplyToCommand answers the operator's command with this token: it was accepted, or refused for Err.
	ReplyToCommand struct {
		Token string
		Err   error
	}

	// HandOverLead lets another instance lead because this one is next to leave by a plan.
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
	// LeaveService lets the router leave in order. Its supervisor then starts it with Version, 0 for the one it has.
	LeaveService struct {
		Slot    Slot
		Version uint64
	}

	// DrainNodes replaces the set of nodes that get no new commands because of plans.
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
