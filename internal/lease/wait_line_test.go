package lease

import "testing"

// TestCoolingDownTakesNoTurn: a candidate that was cooling down was given notice first each time a lease came free. It was
// refused, and each hand-over took 150 ms longer. It must be passed over.
func TestCoolingDownTakesNoTurn(t *testing.T) {
	v := newModel().v
	now := int64(modelStart + modelLongest)
	called := func() (name string) {
		for _, action := range v.TakeActions() {
			sent, is := action.(Send)
			if !is {
				continue
			}
			if _, is := sent.Message.(*TurnNotice); is {
				name = sent.To
			}
		}
		return name
	}
	ask := func(who string, term, ticket uint64) {
		v.Receive(now, askFor(who, WantedLease{Lease: "x", Term: term, Length: 1_000_000, Full: true, Ticket: ticket}))
		v.TakeActions()
	}
	for term := range uint64(freeLapses + 2) { // a lets it run out, again and again, while b waits
		now += 4_000_000 * int64(term)
		ask("a", 100+term, 1)
		ask("b", 100, 2)
		now += 1_000_000
		v.Tick(now)
		v.TakeActions()
		now += 2 * turnTime // b does not come
		v.Tick(now)
		v.TakeActions()
	}
	ask("c", 200, 3)
	ask("a", 199, 1)
	ask("b", 199, 2)
	request := RequestHeader{Header: Header{From: "c", SetNumber: 1}}
	v.Receive(now, &Release{RequestHeader: request, Leases: []ReleasedLease{{Lease: "x", Term: 200}}})
	if first := called(); first != "b" {
		t.Errorf("%q is called, though a is cooling down", first)
	}
}
