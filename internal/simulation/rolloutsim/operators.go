package rolloutsim

import (
	"fmt"
	"slices"

	"cairntiller/internal/rollout"
)

// maxTries limits how often an operator retries a command that is not accepted.
const maxTries = 60

// sendCommand sends a command to the current leader every second until it is accepted. tries counts the attempts made so far.
func (w *World) sendCommand(c rollout.Command, tries int) {
	if c.Token == "" {
		c.Token = w.newToken()
	}
	if tries > maxTries {
		return
	}
	w.deliverCommand(&c)
	w.schedule(1_000_000, func() { // retries are safe: the token identifies the command
		if w.committed == nil || !slices.Contains(w.committed.Tokens, c.Token) {
			w.sendCommand(c, tries+1)
		}
	})
}

func (w *World) newToken() string {
	w.tokensIssued++
	return fmt.Sprint("word-", w.tokensIssued)
}

// deliverCommand delivers a command to the current leader, if there is one.
func (w *World) deliverCommand(c *rollout.Command) {
	r := w.leaseHolder()
	if r == nil {
		return
	}
	if _, record := r.leader.Committed(); record == nil {
		return
	}
	if c.Type == rollout.CommandStart {
		if _, begun := w.planStartedAt[c.Plan.ID]; !begun {
			w.planStartedAt[c.Plan.ID] = w.Now
		}
	}
	r.leader.HandleCommand(w.Now, c)
	w.carryOut(r)
}

// recoverRecord periodically forces a recovery if the lease holder cannot lead because voters lost their state.
func (w *World) recoverRecord() {
	w.schedule(5_000_000, w.recoverRecord)
	r := w.leaseHolder()
	if r == nil || r.leader.NotLeadingReason() == "" {
		return
	}
	token := w.newToken()
	w.trace("%s cannot lead: %s", r.name, r.leader.NotLeadingReason())
	w.recoveryForced = true
	r.leader.HandleCommand(w.Now, &rollout.Command{Type: rollout.CommandForceRecovery, Token: token})
	w.carryOut(r)
}
