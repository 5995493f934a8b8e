package rolloutservice

import "cairntiller/internal/rollout"

// message is what one instance sends another; each kind is a type of its own. codec.go maps it to the bytes that are sent.
type message interface {
	wire() wireMessage
}

// reportMessage is a member's report to the leader.
type reportMessage struct {
	report *rollout.Report
}

// reportRequest is a leader's to a member, which is to send its reports to the sender from now on.
type reportRequest struct{}

// statementMessage is for a member: what to do with itself, and which nodes are drained.
type statementMessage struct {
	statement *rollout.Statement
	fromVoter bool // it answers a drainQuery and says nothing about who leads
}

// readRequest is a new leader's to a voter, which answers with the record that it keeps.
type readRequest struct {
	term uint64
}

// readAnswer is a voter's to a readRequest.
type readAnswer struct {
	term     uint64
	accepted bool // false if the voter has heard of a later term
	state    rollout.VoterState
}

// writeRequest is the leader's to one process of a voter, which is to keep this record.
type writeRequest struct {
	incarnation uint64
	record      *rollout.Record
}

// writeAnswer is a voter's to the writeRequest of a record with this term and sequence number.
type writeAnswer struct {
	term     uint64
	seq      uint64
	accepted bool
}

// drainQuery is a member's to a voter, which answers with a statementMessage on drained nodes if it keeps a record.
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
