package rolloutservice

import (
	"errors"
	"log/slog"
	"os"
	"slices"
	"strconv"

	"cairntiller/internal/membership"
	"cairntiller/internal/rollout"
)

// maxCommandSenders is the number of commands whose senders are kept until the reply: operators are few, and one whose
// command was dropped repeats it.
const maxCommandSenders = 256

// sendMessage sends a message to a member; one to this instance itself does not go over the network.
func (s *Service) sendMessage(to string, m message) {
	if to == s.self {
		s.post(func(now int64) { s.handle(now, to, m) })
		return
	}
	if err := s.send(to, membership.KindRollout, encode(m)); err != nil {
		messagesUnsent.Add()
		slog.Debug("cannot send rollout message", "to", to, "err", err)
	}
}

// Receive queues a member's message; it never blocks. A message that can't be decoded is counted and dropped.
func (s *Service) Receive(from string, body []byte) {
	m, err := decode(body)
	if err != nil {
		messagesUnreadable.Add()
		slog.Debug("cannot decode rollout message", "from", from, "err", err)
		return
	}
	s.post(func(now int64) { s.handle(now, from, m) })
}

// handle passes a message to the leader, the member or the voter. Messages to the leader are dropped unless the lease
// is held.
func (s *Service) handle(now int64, from string, m message) {
	switch m := m.(type) {
	case reportMessage:
		if s.term > 0 && m.report.Member == from {
			s.leader.HandleReport(now, m.report)
		}
	case reportRequest:
		s.knownLeader = from
		s.nextReportAt = 0
	case statementMessage:
		s.knownLeader = from
		if m.fromVoter {
			// Its sender need not lead. Reports stop, even to a leader that is already known, until the next request or
			// statement of a leader arrives.
			s.knownLeader = ""
		}
		s.member.HandleStatement(m.statement)
	case readRequest:
		if s.voter != nil {
			state, accepted := s.voter.Read(m.term)
			s.sendMessage(from, readAnswer{m.term, accepted, state})
		}
	case readAnswer:
		if s.term > 0 {
			s.leader.HandleReadAnswer(now, from, m.term, m.state, m.accepted)
		}
	case writeRequest:
		if s.voter != nil {
			accepted := s.voter.Write(m.record, m.incarnation)
			s.sendMessage(from, writeAnswer{m.record.Term, m.record.Seq, accepted})
		}
	case writeAnswer:
		if s.term > 0 {
			s.leader.HandleWriteAnswer(now, from, m.term, m.seq, m.accepted)
		}
	case drainQuery:
		if s.voter != nil {
			if record, _ := s.voter.Record(); record != nil {
				s.sendMessage(from, statementMessage{rollout.DrainStatement(record), true})
			}
		}
	case commandMessage:
		s.handleCommand(now, from, m.command)
	case commandReply:
		s.handleReply(m)
	}
}

// handleCommand passes an operator's command to the leader, or replies that this instance does not lead.
func (s *Service) handleCommand(now int64, from string, c *rollout.Command) {
	if s.term == 0 {
		s.sendMessage(from, commandReply{c.Token, false, notLeadingReason})
		return
	}
	if len(s.commandSenders) >= maxCommandSenders {
		clear(s.commandSenders) // their senders repeat the commands
	}
	s.commandSenders[c.Token] = from
	s.leader.HandleCommand(now, c)
}

// runActions executes the actions of the member and the leader, in order.
func (s *Service) runActions() {
	for _, action := range s.member.TakeActions() {
		s.runAction(action)
	}
	for _, action := range s.leader.TakeActions() {
		s.runAction(action)
	}
}

func (s *Service) runAction(action rollout.Action) {
	switch a := action.(type) {
	case rollout.ReadVoter:
		s.sendMessage(a.Voter, readRequest{a.Term})
	case rollout.RequestReport:
		if s.holdsLease() {
			s.sendMessage(a.Member, reportRequest{})
		}
	case rollout.WriteVoter:
		if s.holdsLease() {
			s.sendMessage(a.Voter, writeRequest{a.Incarnation, a.Record})
		}
	case rollout.SendStatement:
		if s.holdsLease() {
			s.sendMessage(a.Member, statementMessage{a.Statement, false})
		}
	case rollout.ReplyToCommand:
		s.reply(a)
	case rollout.TransferLeadership:
		slog.Info("transferring rollout leadership: this router is the next to leave", "plan", a.PlanID)
		s.transferLeadership("")
	case rollout.QueryDrainedNodes:
		for _, voter := range s.voters {
			s.sendMessage(voter, drainQuery{})
		}
	case rollout.DrainNodes:
		s.drain(a.Nodes)
	case rollout.LeaveService:
		s.leave(a)
	case rollout.LogEvent:
		slog.Info("rollout", "plan", a.PlanID, "event", a.Text)
	}
}

// reply answers an operator's command.
func (s *Service) reply(a rollout.ReplyToCommand) {
	reply := commandReply{token: a.Token, accepted: a.Err == nil}
	if reply.accepted {
		commandsAccepted.Add()
	} else {
		commandsRejected.Add()
		reply.reason = a.Err.Error()
	}
	if sender := s.commandSenders[a.Token]; sender != "" {
		s.sendMessage(sender, reply)
	}
}

// drain sets the nodes to which the router sends no new commands, and records when each node that is no longer drained
// was returned.
func (s *Service) drain(names []string) {
	drainChanges.Add()
	now := s.clock()
	for _, name := range s.drained {
		if !slices.Contains(names, name) {
			s.returned[name] = returnedNode{now, s.nodes[name].Answers}
		}
	}
	for _, name := range names {
		delete(s.returned, name)
	}
	s.drained = names
	s.router.Drain(names)
	s.nextQueryAt = 0
	slog.Info("nodes drained by plans changed", "nodes", names)
}

// leave makes the router shut down in order; its supervisor starts the requested version. If the version can't be
// written the router stays; the leader is not told, and waits for it to leave until the plan halts for lack of
// progress.
func (s *Service) leave(a rollout.LeaveService) {
	if a.Version > 0 && s.settings.NextVersionFile != "" {
		if err := writeNextVersion(s.settings.NextVersionFile, a.Version); err != nil {
			slog.Error("not leaving service: cannot write the next version", "err", err)
			return
		}
	}
	timesLeft.Add()
	s.leaving = true
	slog.Info("leaving service for a rollout plan", "term", a.Slot.Term, "slot", a.Slot.Number, "version", a.Version)
	s.report(s.clock())
	s.router.Leave()
}

// writeNextVersion replaces the file by a rename, so that a supervisor that reads it at the same time sees either the
// old or the new version. A failed write may leave part of the number in the temporary file; then the file itself is
// not replaced.
func writeNextVersion(path string, version uint64) error {
	part := path + ".part"
	if err := os.WriteFile(part, []byte(strconv.FormatUint(version, 10)+"\n"), 0o644); err != nil {
		return errors.Join(err, os.Remove(part))
	}
	return os.Rename(part, path)
}
