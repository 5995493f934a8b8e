package lease

import "testing"

// TestCoolingDownTakesNoTurn: a candidate that was cooling down was given notice first each time a lease came free. It was
// refused, and each hand-over took 150 ms longer. It must be passed over.
func TestCoolingDownTakesNoTurn(t *testing.T) {
	v := newModel().v
	now := int64(modelStart + modelLongest)
	say := func(kind MessageKind, who string, term, ticket uint64) (called string) {
		v.Receive(now, &Message{Kind: kind, From: who, SetNumber: 1, Items: []Item{{Lease: "x", Term: term, Length: 1_000_000, Full: true, Ticket: ticket}}})
		for _, o := range v.TakeActions() {
			if sent, is := o.(Send); is && sent.Message.Kind == KindTurnNotice {
				called = sent.To
			}
		}
		return called
	}
	for term := range uint64(freeLapses + 2) { // a lets it run out, again and again, while b waits
		now += 4_000_000 * int64(term)
		say(KindGrantRequest, "a", 100+term, 1)
		say(KindGrantRequest, "b", 100, 2)
		now += 1_000_000
		v.Tick(now)
		v.TakeActions()
		now += 2 * turnTime // b does not come
		v.Tick(now)
		v.TakeActions()
	}
	say(KindGrantRequest, "c", 200, 3)
	say(KindGrantRequest, "a", 199, 1)
	say(KindGrantRequest, "b", 199, 2)
	if called := say(KindRelease, "c", 200, 0); called != "b" {
		t.Errorf("%q is called, though a rests", called)
	}
}
