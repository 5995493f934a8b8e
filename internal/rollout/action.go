package rollout

// Action is one thing that a Leader or a Member wants done. Actions are executed in the order in which TakeActions
// returns them.
type Action interface {
	isAction()
}

// Actions of a Leader. RequestReport, WriteVoter and SendStatement must not be sent once the lease is not held any
// more: a member would follow a leader that has been replaced. A late ReadVoter is refused because of its term.
type (
	// ReadVoter asks a voter, under a term, for the record that it keeps; the answer goes to Leader.HandleReadAnswer.
	ReadVoter struct {
		Voter string
		Term  uint64
	}

	// WriteVoter sends a record to one incarnation of a voter; the answer goes to Leader.HandleWriteAnswer.
	WriteVoter struct {
		Voter       string
		Incarnation uint64
		Record      *Record
	}

	// RequestReport asks a member to send its reports to this instance from now on.
	RequestReport struct {
		Member string
	}

	// SendStatement sends a member the part of the committed record that concerns it.
	SendStatement struct {
		Member    string
		Statement *Statement
	}

	// ReplyToCommand answers the operator's command with this token: it was accepted, or refused because of Err.
	ReplyToCommand struct {
		Token string
		Err   error
	}

	// TransferLeadership gives up leadership to another instance, because this one is the next to leave by a plan.
	TransferLeadership struct {
		PlanID string
	}

	// LogEvent requests a line in the log.
	LogEvent struct {
		PlanID string // "" for none
		Text   string
	}
)

// Actions of a Member.
type (
	// LeaveService makes the router shut down in order. Its supervisor then starts Version, or the present version if
	// it is 0.
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

func (ReadVoter) isAction()          {}
func (WriteVoter) isAction()         {}
func (RequestReport) isAction()      {}
func (SendStatement) isAction()      {}
func (ReplyToCommand) isAction()     {}
func (TransferLeadership) isAction() {}
func (LogEvent) isAction()           {}
func (LeaveService) isAction()       {}
func (DrainNodes) isAction()         {}
func (QueryDrainedNodes) isAction()  {}
