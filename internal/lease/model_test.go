package lease

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cairntiller/internal/testcluster/seeded"
)

// TestMain fixes the seed of generated tests.
func TestMain(m *testing.M) { seeded.Main(m) }

// promise is what one process was told that it has.
type promise struct {
	by     process
	term   uint64
	till   int64
	length int64 // of the first full ask, 0 before
	gen    uint64
	over   bool // given up
}

// model is what a voter owes by the rules alone: each promise it ever made, looked through from the first each time.
type model struct {
	v        *Voter
	longest  int64
	from     int64 // it may grant from then on
	floor    uint64
	promises map[string][]*promise
}

// live is the promise that still binds, nil for none.
func (m *model) live(now int64, lease string) *promise {
	for _, p := range m.promises[lease] {
		if !p.over && now < p.till {
			return p
		}
	}
	return nil
}

// top is the highest term ever promised.
func (m *model) top(lease string) (top uint64, last *promise) {
	for _, p := range m.promises[lease] {
		if p.term > top {
			top, last = p.term, p
		}
	}
	return top, last
}

// ask sends the voter a grant request and checks each verdict of its answer.
func (m *model) ask(now int64, q *GrantRequest) (wrong string) {
	m.v.Receive(now, q)
	by := process{q.From, q.Incarnation}
	for _, action := range m.v.TakeActions() {
		answer, is := answerTo(action, &q.RequestHeader).(*GrantResponse)
		if !is {
			continue
		}
		if !answers(&answer.ResponseHeader, &q.RequestHeader) {
			return "the answer is to another request"
		}
		for i, verdict := range answer.Leases {
			if wrong = m.verdict(now, by, q, q.Leases[i], verdict); wrong != "" {
				return wrong
			}
		}
		return ""
	}
	return "no answer"
}

// renew sends the voter a renewal request and checks its answer.
func (m *model) renew(now int64, q *RenewRequest) (wrong string) {
	m.v.Receive(now, q)
	for _, action := range m.v.TakeActions() {
		answer, is := answerTo(action, &q.RequestHeader).(*RenewResponse)
		if !is {
			continue
		}
		if !answers(&answer.ResponseHeader, &q.RequestHeader) {
			return "the answer is to another request"
		}
		return m.renewed(now, process{q.From, q.Incarnation}, q, answer)
	}
	return "no answer"
}

// answerTo is the message that an action sends to whoever asked, nil for none.
func answerTo(action Action, q *RequestHeader) Message {
	sent, is := action.(Send)
	if !is || sent.To != q.From {
		return nil
	}
	return sent.Message
}

// answers reports whether an answer is to a request.
func answers(a *ResponseHeader, q *RequestHeader) bool {
	return a.RequestID == q.RequestID && a.Requester == q.Incarnation && a.Generation == q.Generation
}

// verdict checks one verdict, and notes what was granted.
func (m *model) verdict(now int64, by process, q *GrantRequest, want WantedLease, got LeaseVerdict) string {
	live := m.live(now, want.Lease)
	if got.Verdict != Granted {
		free := live == nil && now >= m.from && q.SetNumber == 1
		if top, _ := m.top(want.Lease); got.Verdict == TermTooLow && free && want.Term > max(top, m.floor) {
			return "a term above all others is called too low"
		}
		if got.Verdict == HeldByOther && (live == nil || live.by == by && live.term == want.Term) {
			return "held by nobody else"
		}
		return ""
	}
	switch {
	case now < m.from:
		return "it grants while it abstains"
	case q.SetNumber != 1:
		return "it grants under another set of voters"
	case want.Length <= 0 || want.Length > m.longest:
		return "it grants a length out of bounds"
	case live != nil && (live.by != by || live.term != want.Term):
		return fmt.Sprintf("granted to %v under %d, and %v has it under %d", by, want.Term, live.by, live.term)
	}
	if live == nil {
		top, last := m.top(want.Lease)
		again := last != nil && last.term == want.Term && last.by == by && !last.over
		if !again && want.Term <= max(top, m.floor) {
			return fmt.Sprintf("granted under %d, and %d was used", want.Term, max(top, m.floor))
		}
		live = &promise{by: by, term: want.Term}
		m.promises[want.Lease] = append(m.promises[want.Lease], live)
	}
	length := want.Length
	if want.Full {
		if live.length == 0 {
			live.length = want.Length
		}
		length, live.gen = live.length, max(live.gen, q.Generation)
	}
	if got.Length != length {
		return fmt.Sprintf("it says that it granted %d us, and keeps to %d", got.Length, length)
	}
	live.till = max(live.till, now+length)
	return ""
}

// renewed checks how many grants a voter extended, and notes them.
func (m *model) renewed(now int64, by process, q *RenewRequest, a *RenewResponse) string {
	n := 0
	for _, all := range m.promises {
		for _, p := range all {
			if !p.over && now < p.till && p.by == by && p.length > 0 && p.gen == q.Generation && q.SetNumber == 1 && now >= m.from {
				p.till = max(p.till, now+p.length)
				n++
			}
		}
	}
	if n != a.RenewedCount {
		return fmt.Sprintf("it extended %d, and should have %d", a.RenewedCount, n)
	}
	return ""
}

// free notes what its holder gave up.
func (m *model) free(now int64, q *Release) {
	m.v.Receive(now, q)
	m.v.TakeActions()
	for _, released := range q.Leases {
		for _, p := range m.promises[released.Lease] {
			if p.by == (process{q.From, q.Incarnation}) && p.term == released.Term {
				p.over = true
			}
		}
	}
}

const (
	modelLongest = 2_000_000
	modelStart   = 1_000
	modelFloor   = 50
)

func newModel() *model {
	v := NewVoter(modelStart, "v1", 7, modelLongest, 1000, modelFloor, VoterSet{Number: 1, Names: []string{"v1", "v2", "v3"}}, nil)
	v.TakeActions()
	return &model{v: v, longest: modelLongest, from: modelStart + modelLongest, floor: modelFloor, promises: map[string][]*promise{}}
}

// askFor is a request for one lease under the model's voter set.
func askFor(from string, wanted WantedLease) *GrantRequest {
	return &GrantRequest{RequestHeader: RequestHeader{Header: Header{From: from, SetNumber: 1}}, Leases: []WantedLease{wanted}}
}

// played is one event, drawn from bytes by fuzzing and from a generator by the other test.
type played struct {
	what, who, lease, set, gen uint8
	after                      int64
	term                       uint64
	length                     int64
	full                       bool
}

// play plays events against the model.
func play(all []played) string {
	m, now := newModel(), int64(modelStart)
	for i, e := range all {
		now += e.after
		header := Header{From: string('a' + rune(e.who%4)), Incarnation: uint64(e.who / 4 % 2), SetNumber: uint64(1 + e.set/16%2*(e.set%2))}
		request := RequestHeader{Header: header, RequestID: uint64(i + 1), Generation: uint64(e.gen % 3)}
		name := string('x' + rune(e.lease%3))
		wrong := ""
		switch e.what % 8 {
		case 0, 1, 2, 3:
			wanted := WantedLease{Lease: name, Term: e.term, Length: e.length, Full: e.full, Priority: int8(e.gen % 2), Ticket: uint64(e.who)}
			wrong = m.ask(now, &GrantRequest{RequestHeader: request, Leases: []WantedLease{wanted}})
		case 4, 5:
			wrong = m.renew(now, &RenewRequest{RequestHeader: request})
		case 6:
			m.free(now, &Release{RequestHeader: request, Leases: []ReleasedLease{{Lease: name, Term: e.term}}})
		default:
			m.v.Tick(now)
			m.v.TakeActions()
		}
		if wrong != "" {
			return fmt.Sprintf("event %d at %d us, %+v: %s", i, now, e, wrong)
		}
	}
	return ""
}

// TestVoterAgainstModel: a voter grants a lease twice, but only after a late request, an expired trial and a release in an
// order that nobody thought of. Generated requests are played against a plain model of what a voter owes; most terms lie
// close together, so that they meet.
func TestVoterAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := rapid.Custom(func(t *rapid.T) played {
			return played{rapid.Uint8().Draw(t, "what"), rapid.Uint8().Draw(t, "who"), rapid.Uint8().Draw(t, "lease"), rapid.Uint8().Draw(t, "set"),
				rapid.Uint8().Draw(t, "gen"), rapid.SampledFrom([]int64{0, 1, 40_000, 400_000, 1_999_999, 2_000_000, 5_000_000}).Draw(t, "after"),
				uint64(45 + rapid.IntRange(0, 20).Draw(t, "term")), rapid.SampledFrom([]int64{-1, 0, 200_000, 1_000_000, modelLongest, modelLongest + 1}).Draw(t, "length"),
				rapid.Bool().Draw(t, "full")}
		})
		if wrong := play(rapid.SliceOfN(one, 1, 120).Draw(t, "events")); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// FuzzVoter plays events out of bytes, twelve each, against the same model.
func FuzzVoter(f *testing.F) {
	f.Add(slices.Repeat([]byte{0, 1, 0, 0, 0, 20, 0, 60, 0, 0, 1, 0, 4, 1, 0, 0, 0, 5, 0, 60, 0, 0, 0, 0}, 4))
	f.Add(slices.Repeat([]byte{0, 0, 0, 0, 0, 250, 0, 60, 0, 200, 1, 0, 0, 1, 0, 0, 0, 250, 0, 60, 0, 200, 1, 0, 6, 1, 0, 0, 0, 1, 0, 60, 0, 0, 0, 0}, 3))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var all []played
		for ; len(raw) >= 12 && len(all) < 500; raw = raw[12:] {
			all = append(all, played{raw[0], raw[1], raw[2], raw[3], raw[4], int64(raw[5]) * 10_000 * int64(1+raw[6]%8), uint64(raw[7]),
				int64(binary.BigEndian.Uint16(raw[8:])) * 40, raw[10]&1 == 1})
		}
		if wrong := play(all); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// TestModelSeesFaults: the model agrees with anything, and the tests above pass whatever the voter does. Here a voter is
// broken on purpose, and the model must see it.
func TestModelSeesFaults(t *testing.T) {
	ask := func(who uint8, term uint64, after int64) played {
		return played{what: 0, who: who, term: term, after: after, length: 1_000_000, full: true}
	}
	m := newModel()
	for name, c := range map[string]struct {
		harm func(v *Voter)
		all  []played
	}{
		"it does not abstain":  {func(v *Voter) { v.abstainUntil = 0 }, []played{ask(0, 60, 10)}},
		"it forgets a grant":   {func(v *Voter) { v.leases[0].granted = false }, []played{ask(0, 60, 3_000_000), ask(1, 61, 10)}},
		"it forgets its terms": {func(v *Voter) { v.leases[0].term, v.leases[0].granted, v.termFloor = 0, false, 0 }, []played{ask(0, 60, 3_000_000), ask(1, 55, 2_000_000)}},
	} {
		m, now := newModel(), int64(modelStart)
		wrong := ""
		for i, e := range c.all {
			if i == len(c.all)-1 {
				c.harm(m.v)
			}
			now += e.after
			wrong = m.ask(now, askFor(string('a'+rune(e.who)), WantedLease{Lease: "x", Term: e.term, Length: e.length, Full: true}))
		}
		if wrong == "" {
			t.Errorf("%s: unseen", name)
		}
	}
	if wrong := m.ask(10_000_000, askFor("a", WantedLease{Lease: "x", Term: 60, Length: 1_000_000})); wrong != "" {
		t.Error(wrong)
	}
}
