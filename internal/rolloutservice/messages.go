package rolloutservice

import "cairntiller/internal/rollout"

// message is a message between instances; each kind has its own type. codec.go maps it to the bytes that are sent.
type message interface {
	wire() wireMessage
}

// reportMessage carries a member's report to the leader.
type reportMessage struct {
	report *rollout.Report
}

// reportRequest is sent by a leader: the member is to send its reports to the sender from now on.
type reportRequest struct{}

// statementMessage tells a member what to do, and which nodes are drained.
type statementMessage struct {
	statement *rollout.Statement
	fromVoter bool // it answers a drainQuery and does not imply that the sender leads
}

// readRequest is sent by a new leader to a voter, which answers with the record that it keeps.
type readRequest struct {
	term uint64
}

// readAnswer is a voter's answer to a readRequest.
type readAnswer struct {
	term     uint64
	accepted bool // false if the voter knows of a later term
	state    rollout.VoterState
}

// writeRequest is sent by the leader to one process of a voter, which is to keep this record.
type writeRequest struct {
	incarnation uint64
	record      *rollout.Record
}

// writeAnswer is a voter's answer to the writeRequest of a record with this term and sequence number.
type writeAnswer struct {
	term     uint64
	seq      uint64
	accepted bool
}

// drainQuery is sent by a member to a voter, which answers with a statementMessage on drained nodes if it keeps a
// record.
type drainQuery struct{}

// commandMessage carries an operator's command to the leader.
type commandMessage struct {
	command *rollout.Command
}

// commandReply answers the operator's command with this token.
type commandReply struct {
	token    string
	accepted bool
	reason   string // why it was refused
}
