package rolloutsim

import (
	"fmt"
	"slices"

	"cairntiller/internal/rollout"
)

// maxTries is how often an operator gives a command that is not accepted.
const maxTries = 60

// sendCommand gives a command to whoever leads, each second until it is accepted, from a number of tries already made on.
func (w *World) sendCommand(c rollout.Command, tries int) {
	if c.Token == "" {
		c.Token = w.newToken()
	}
	if tries > maxTries {
		return
	}
	w.giveCommand(&c)
	w.after(1_000_000, func() { // a command may be given twice: its token tells
		if w.committed == nil || !slices.Contains(w.committed.Tokens, c.Token) {
			w.sendCommand(c, tries+1)
		}
	})
}

func (w *World) newToken() string {
	w.commandsSent++
	return fmt.Sprint("word-", w.commandsSent)
}

// giveCommand gives a command to whoever leads, if anybody does.
func (w *World) giveCommand(c *rollout.Command) {
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

// recoverRecord lets an operator look after a fleet whose voters have forgotten.
func (w *World) recoverRecord() {
	w.after(5_000_000, w.recoverRecord)
	r := w.leaseHolder()
	if r == nil || r.leader.NotLeadingReason() == "" {
		return
	}
	token := w.newToken()
	w.trace("%s is in doubt: %s", r.name, r.leader.NotLeadingReason())
	w.recoveredByCommand = true
	r.leader.HandleCommand(w.Now, &rollout.Command{Type: rollout.CommandForceRecovery, Token: token})
	w.carryOut(r)
}
