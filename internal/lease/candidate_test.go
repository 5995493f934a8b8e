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
		var answers []*Message
		for _, o := range c.TakeActions() {
			sent, is := o.(Send)
			if !is || sent.Message.Kind != KindGrantRequest {
				continue
			}
			a := &Message{Kind: KindGrantResponse, From: sent.To, Incarnation: 2, Requester: 1, SetNumber: 1, RequestID: sent.Message.RequestID, Generation: sent.Message.Generation, VoterClock: now}
			for _, it := range sent.Message.Items {
				if !it.Full {
					if trials[sent.To] == nil {
						trials[sent.To] = map[string]bool{}
					}
					trials[sent.To][it.Lease] = true
				}
				it.Verdict = Granted
				a.Items = append(a.Items, it)
			}
			answers = append(answers, a)
		}
		for to, of := range trials {
			if len(of) > maxConcurrentAttempts {
				t.Fatalf("%d leases tried for at %s at once", len(of), to)
			}
		}
		for _, a := range answers {
			if round%7 != 0 { // what is not answered is lost
				c.Receive(now, a)
			}
		}
		for _, o := range c.TakeActions() {
			if acquired, is := o.(Acquired); is {
				held[acquired.Lease] = true
			}
		}
	}
	if len(held) < many {
		t.Errorf("%d of %d came to be held", len(held), many)
	}
}
