package lease

import (
	"fmt"
	"testing"
)

// TestConcurrentAttempts guards against a livelock: a process requested a thousand leases at once from voters short of
// CPU time, the answers came after the trials had expired, and every attempt started over, indefinitely. The number of
// concurrent attempts is limited; others begin as attempts end, successful or not.
func TestConcurrentAttempts(t *testing.T) {
	const many = 1000
	voters := []string{"a", "b", "c"}
	c := NewCandidate("x", 1, 10_000, 1, voters)
	now := int64(1_000_000)
	for n := range many {
		c.RequestLease(now, Request{Lease: fmt.Sprint(n), Length: 2_000_000})
	}
	held := map[string]bool{}
	for round := 0; len(held) < many && round < 200; round++ {
		now += 5_000
		c.Tick(now)
		trialsByVoter := map[string]map[string]bool{}
		var answers []*GrantResponse
		for _, action := range c.TakeActions() {
			sent, ok := action.(Send)
			if !ok {
				continue
			}
			request, ok := sent.Message.(*GrantRequest)
			if !ok {
				continue
			}
			answer := &GrantResponse{ResponseHeader: ResponseHeader{
				Header:     Header{From: sent.To, Incarnation: 2, SetNumber: 1},
				Requester:  1,
				RequestID:  request.RequestID,
				Generation: request.Generation,
				VoterClock: now,
			}}
			for _, wanted := range request.Leases {
				if !wanted.Full {
					if trialsByVoter[sent.To] == nil {
						trialsByVoter[sent.To] = map[string]bool{}
					}
					trialsByVoter[sent.To][wanted.Lease] = true
				}
				answer.Leases = append(answer.Leases, LeaseVerdict{WantedLease: wanted, Verdict: Granted})
			}
			answers = append(answers, answer)
		}
		for voter, leases := range trialsByVoter {
			if len(leases) > maxConcurrentAttempts {
				t.Fatalf("%d concurrent trials at voter %s", len(leases), voter)
			}
		}
		for _, answer := range answers {
			if round%7 != 0 { // drop the answers of every seventh round
				c.Receive(now, answer)
			}
		}
		for _, action := range c.TakeActions() {
			if acquired, ok := action.(Acquired); ok {
				held[acquired.Lease] = true
			}
		}
	}
	if len(held) < many {
		t.Errorf("%d of %d leases acquired", len(held), many)
	}
}
