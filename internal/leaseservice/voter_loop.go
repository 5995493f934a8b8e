package leaseservice

import (
	"fmt"
	"slices"
	"time"

	"cairntiller/internal/lease"
)

// runVoter runs the voter until the service stops. The records of a batch of requests are stored before any response to
// them is sent: a voter that forgets a grant that it has announced could grant the same term to another process.
func (s *Service) runVoter() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		due := false
		select {
		case <-s.stopped:
			return
		case m := <-s.voterInbox:
			s.receiveForVoter(m)
		case call := <-s.voterCalls:
			call(s.clock())
		case <-ticker.C:
			due = true
		}
		for n := 0; n < maxBatch && len(s.voterInbox) > 0; n++ {
			s.receiveForVoter(<-s.voterInbox)
		}
		if s.voter == nil {
			continue
		}
		if due {
			s.voter.Tick(s.clock())
		}
		s.executeVoterActions(s.voter.TakeActions())
	}
}

func (s *Service) receiveForVoter(m lease.Message) {
	if s.voter != nil {
		s.voter.Receive(s.clock(), m)
	}
}

// executeVoterActions executes the voter's actions. If its records can't be stored, no message is sent and the voter
// stops voting.
func (s *Service) executeVoterActions(actions []lease.Action) {
	if s.store != nil && slices.ContainsFunc(actions, needsStorage) {
		if err := s.store.write(actions, s.voter.TermFloor()); err != nil {
			voterStorageFailures.Add()
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

// needsStorage reports whether an action changes the voter's file.
func needsStorage(action lease.Action) bool {
	switch action.(type) {
	case lease.StoreGrant, lease.DeleteGrant, lease.StoreVoterSet:
		return true
	}
	return false
}
