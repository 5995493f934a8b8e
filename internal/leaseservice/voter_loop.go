package leaseservice

import (
	"fmt"
	"slices"
	"time"

	"cairntiller/internal/lease"
)

// runVoter runs the voter until the end. What it wants stored is stored, for many answers at once, before any of them
// goes out: a voter that forgot a grant which it had announced could grant its term to another process.
func (s *Service) runVoter() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		due := false
		select {
		case <-s.stopped:
			return
		case m := <-s.voterInbox:
			s.voterReceive(m)
		case call := <-s.voterCalls:
			call(s.clock())
		case <-ticker.C:
			due = true
		}
		for n := 0; n < maxBatch && len(s.voterInbox) > 0; n++ {
			s.voterReceive(<-s.voterInbox)
		}
		if s.voter == nil {
			continue
		}
		if due {
			s.voter.Tick(s.clock())
		}
		s.carryOutForVoter(s.voter.TakeActions())
	}
}

func (s *Service) voterReceive(m lease.Message) {
	if s.voter != nil {
		s.voter.Receive(s.clock(), m)
	}
}

// carryOutForVoter carries out the voter's actions. If its records can't be stored, no message goes out and it votes no
// more.
func (s *Service) carryOutForVoter(actions []lease.Action) {
	if s.store != nil && slices.ContainsFunc(actions, mustBeStored) {
		if err := s.store.write(actions, s.voter.TermFloor()); err != nil {
			voterStorageFailure.Add()
			s.failVoter(fmt.Errorf("this instance votes no more: %w", err))
			s.store.close()
			s.voter = nil
			return
		}
	}
	for _, action := range actions {
		switch a := action.(type) {
		case lease.Send:
			s.sendMessage(a.To, a.Message)
		case lease.Warning:
			logWarning(a)
		}
	}
}

// mustBeStored reports whether an action changes what a voter's file holds.
func mustBeStored(action lease.Action) bool {
	switch action.(type) {
	case lease.StoreGrant, lease.DeleteGrant, lease.StoreVoterSet:
		return true
	}
	return false
}
