package lease

import (
	"fmt"
	"testing"
)

// TestConcurrentAttempts: a process requested a thousand leases at once, the voters had little processor time, the answers
// came after the trials were over, and all was asked for anew, for ever. Only so many attempts may run at a time; the others'
// turn comes as attempts end, won or lost.
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
		trials := map[string]map[string]bool{}
		var answers []*GrantResponse
		for _, action := range c.TakeActions() {
			sent, is := action.(Send)
			if !is {
				continue
			}
			request, is := sent.Message.(*GrantRequest)
			if !is {
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
					if trials[sent.To] == nil {
						trials[sent.To] = map[string]bool{}
					}
					trials[sent.To][wanted.Lease] = true
				}
				answer.Leases = append(answer.Leases, LeaseVerdict{WantedLease: wanted, Verdict: Granted})
			}
			answers = append(answers, answer)
		}
		for to, of := range trials {
			if len(of) > maxConcurrentAttempts {
				t.Fatalf("%d leases tried for at %s at once", len(of), to)
			}
		}
		for _, answer := range answers {
			if round%7 != 0 { // what is not answered is lost
				c.Receive(now, answer)
			}
		}
		for _, action := range c.TakeActions() {
			if acquired, is := action.(Acquired); is {
				held[acquired.Lease] = true
			}
		}
	}
	if len(held) < many {
		t.Errorf("%d of %d came to be held", len(held), many)
	}
}
