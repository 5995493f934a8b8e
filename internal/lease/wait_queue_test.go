package lease

import "testing"

// TestCoolingDownCandidateIsSkipped guards against a slow hand-over: a candidate that was cooling down was notified
// first each time a lease became free, was refused, and each hand-over took 150 ms longer.
func TestCoolingDownCandidateIsSkipped(t *testing.T) {
	v := newModel().v
	now := int64(modelStart + modelLongest)
	notified := func() (name string) {
		for _, action := range v.TakeActions() {
			sent, ok := action.(Send)
			if !ok {
				continue
			}
			if _, ok := sent.Message.(*ReservationNotice); ok {
				name = sent.To
			}
		}
		return name
	}
	request := func(sender string, term, ticket uint64) {
		v.Receive(now, grantRequest(sender, WantedLease{Lease: "x", Term: term, Length: 1_000_000, Full: true, Ticket: ticket}))
		v.TakeActions()
	}
	for term := range uint64(toleratedLapses + 2) { // a lets it lapse repeatedly while b waits
		now += 4_000_000 * int64(term)
		request("a", 100+term, 1)
		request("b", 100, 2)
		now += 1_000_000
		v.Tick(now)
		v.TakeActions()
		now += 2 * reservationLength // b does not request it
		v.Tick(now)
		v.TakeActions()
	}
	request("c", 200, 3)
	request("a", 199, 1)
	request("b", 199, 2)
	releaseHeader := RequestHeader{Header: Header{From: "c", SetNumber: 1}}
	v.Receive(now, &Release{RequestHeader: releaseHeader, Leases: []ReleasedLease{{Lease: "x", Term: 200}}})
	if first := notified(); first != "b" {
		t.Errorf("%q was notified first, want b: a is cooling down", first)
	}
}
