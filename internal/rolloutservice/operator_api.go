package rolloutservice

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"cairntiller/internal/adminsocket"
	"cairntiller/internal/rollout"
)

// The requests that a running router answers on its admin socket; cmd/cairntiller is the client.

const (
	// commandTimeout is the time limit of an operator's request at the admin socket. A command that arrives when a
	// leader fails waits for the lease to expire (up to maxLeaseLength) and for the next leader to start, which may
	// exceed the limit. Then the operator gets ErrNoReply and repeats the command with its token.
	commandTimeout = 15 * time.Second

	// commandRetryInterval is the time between attempts to send a command that was not answered, or not by a leader.
	commandRetryInterval = time.Second
)

// notLeadingReason is the reason in the reply of an instance that received a command though it does not lead. The text
// is sent; the sender recognizes it and sends the command again.
const notLeadingReason = "that router does not lead any more"

// ErrNoReply is the error for a command that no leader answered in time. The command may have been accepted: repeated
// with the same token it is the same command.
var ErrNoReply = errors.New("no reply of a leader")

// RefusedError is a leader's refusal of a command, with the leader's text for operators.
type RefusedError struct {
	Reason string
}

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// PlanStatus is the state of one plan as known to the router that was asked.
type PlanStatus struct {
	ID      string         `json:"id"`
	Kind    string         `json:"kind"`
	State   string         `json:"state"`
	Reason  string         `json:"why"`
	Wave    int            `json:"wave"` // the current one, counted from 1
	Units   int            `json:"units"`
	Phases  map[string]int `json:"phases"`            // units by phase
	Holding []string       `json:"holding,omitempty"` // units with a slot, with their phase
}

// Status is the state of all rollouts as known to one router.
type Status struct {
	Router           string       `json:"router"`
	Leads            bool         `json:"leads"`
	Leader           string       `json:"leader,omitempty"` // the latest that this router knows of
	NotLeadingReason string       `json:"doubt,omitempty"`  // why it holds the lease and does not lead
	Term             uint64       `json:"term,omitempty"`
	Plans            []PlanStatus `json:"plans"`
	DrainedNodes     []string     `json:"drains,omitempty"`
}

// addRecord adds the plans and drained nodes of a record.
func (s *Status) addRecord(r *rollout.Record) {
	s.DrainedNodes = rollout.DrainStatement(r).DrainedNodes
	for _, p := range r.Plans {
		plan := PlanStatus{
			ID:     p.Plan.ID,
			Kind:   p.Plan.Kind.String(),
			State:  p.State.String(),
			Reason: p.Reason,
			Wave:   p.Wave + 1,
			Units:  len(p.Units),
			Phases: map[string]int{},
		}
		for i, unit := range p.Units {
			plan.Phases[unit.Phase.String()]++
			if unit.Phase.HoldsSlot() {
				plan.Holding = append(plan.Holding, p.Plan.Units[i]+" "+unit.Phase.String())
			}
		}
		s.Plans = append(s.Plans, plan)
	}
}

// Settled reports whether nothing more happens without an operator: the plan is finished, rolled back or halted.
func (p *PlanStatus) Settled() bool {
	return p.State == rollout.StateFinished.String() || p.State == rollout.StateRolledBack.String() || p.State == rollout.StateHalted.String()
}

// Serve answers operators' requests: "fleet-status" with a Status; "fleet-word" with a command's text, once the command
// is accepted, with its token.
func (s *Service) Serve(server *adminsocket.Server) {
	server.Handle("fleet-status", func(ctx context.Context, session *adminsocket.Session) error {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		status, err := s.Status(ctx)
		return errors.Join(err, session.Reply(status))
	})
	server.Handle("fleet-word", func(ctx context.Context, session *adminsocket.Session) error {
		command, err := decodeCommand(session.Text)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		if err := s.Execute(ctx, *command); err != nil {
			return err
		}
		return session.Reply(command.Token)
	})
}

// Status returns the state of rollouts as this router knows it: from the record under which it leads, else from the one
// that its voter keeps, else without plans. The error is the context's.
func (s *Service) Status(ctx context.Context) (Status, error) {
	answer := make(chan Status, 1)
	s.post(func(int64) { answer <- s.status() })
	select {
	case status := <-answer:
		return status, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

func (s *Service) status() Status {
	term, record := s.leader.Committed()
	status := Status{
		Router:           s.self,
		Leads:            term > 0,
		Leader:           s.knownLeader,
		NotLeadingReason: s.leader.NotLeadingReason(),
		Term:             term,
	}
	if record == nil && s.voter != nil {
		record, _ = s.voter.Record()
	}
	if record != nil {
		status.addRecord(record)
	}
	return status
}

// Execute sends an operator's command to the leader and waits until its effect is committed. It sends the command again
// until it is accepted or refused, always with the same token; a command without a token gets a random one. The error
// is a RefusedError, or ErrNoReply once ctx is done.
func (s *Service) Execute(ctx context.Context, c rollout.Command) error {
	if c.Token == "" {
		c.Token = newToken()
	}
	replies := make(chan commandReply, 1)
	s.post(func(int64) { s.pendingReplies[c.Token] = replies })
	defer s.post(func(int64) { delete(s.pendingReplies, c.Token) })
	lastReason := "no leader is known"
	for {
		s.post(func(int64) { s.sendToLeader(commandMessage{&c}) })
		select {
		case reply := <-replies:
			if reply.accepted {
				return nil
			}
			if reply.reason != notLeadingReason {
				return &RefusedError{reply.reason}
			}
			lastReason = reply.reason
		case <-time.After(commandRetryInterval):
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ErrNoReply, lastReason)
		}
	}
}

func newToken() string {
	var b [8]byte
	rand.Read(b[:])
	return fmt.Sprintf("%x", b)
}

// sendToLeader sends a message to the leader, if one is known.
func (s *Service) sendToLeader(m message) {
	to := s.knownLeader
	if s.term > 0 {
		to = s.self
	}
	if to != "" {
		s.sendMessage(to, m)
	}
}

// handleReply passes a leader's reply to the Execute that waits for it, if any.
func (s *Service) handleReply(reply commandReply) {
	if !reply.accepted {
		reply.reason = cmp.Or(reply.reason, "refused")
	}
	replies := s.pendingReplies[reply.token]
	if replies == nil {
		return
	}
	select {
	case replies <- reply:
	default: // it already has one
	}
}
