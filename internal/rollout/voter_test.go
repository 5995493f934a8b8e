package rollout

import (
	"testing"

	"pgregory.net/rapid"

	"cairntiller/internal/testcluster/seeded"
)

// TestMain fixes the seed of generated tests.
func TestMain(m *testing.M) { seeded.Main(m) }

// TestVoterKeepsNewestRecord has delayed writes of a former leader, and writes meant for the voter's former process. If
// they were accepted they would undo what a later leader decided, and a slot would be granted twice.
func TestVoterKeepsNewestRecord(t *testing.T) {
	v := NewVoter(7, nil)
	if state, accepted := v.Read(5); !accepted || !state.MayHaveForgotten || state.Incarnation != 7 || state.Record != nil {
		t.Fatal(state, accepted)
	}
	for _, c := range []struct {
		term, seq, incarnation uint64
		want                   bool
	}{
		{4, 1, 7, false}, // it promised term 5
		{5, 1, 6, false}, // to its former process
		{5, 2, 7, true},
		{5, 1, 7, false}, // older
		{5, 2, 7, true},  // repeated
		{6, 1, 7, true},
		{5, 9, 7, false},
	} {
		if got := v.Write(&Record{Term: c.term, Seq: c.seq}, c.incarnation); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
	if state, accepted := v.Read(5); accepted {
		t.Error("it answered a former leader", state)
	}
	if state, accepted := NewVoter(8, &Record{Term: 6}).Read(7); !accepted || state.MayHaveForgotten {
		t.Error("a stored record counts as forgotten")
	}
}

// TestVoterAgainstModel generates reads and writes: the voter keeps the greatest write that it accepted, and accepts
// none below a promise.
func TestVoterAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, promised, newest := NewVoter(1, nil), uint64(0), [2]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			term, seq := rapid.Uint64Range(1, 6).Draw(t, "term"), rapid.Uint64Range(1, 4).Draw(t, "seq")
			if rapid.Bool().Draw(t, "read") {
				state, accepted := v.Read(term)
				if accepted != (term >= promised) {
					t.Fatalf("read under term %d, promised %d: accepted %v", term, promised, accepted)
				}
				if accepted {
					promised = term
					if state.Record != nil && [2]uint64{state.Record.Term, state.Record.Seq} != newest {
						t.Fatalf("kept %d/%d, want %v", state.Record.Term, state.Record.Seq, newest)
					}
				}
				continue
			}
			want := term >= promised && (term > newest[0] || term == newest[0] && seq >= newest[1])
			if accepted := v.Write(&Record{Term: term, Seq: seq}, 1); accepted != want {
				t.Fatalf("write %d/%d after %v, promised %d: accepted %v", term, seq, newest, promised, accepted)
			} else if accepted {
				promised, newest = term, [2]uint64{term, seq}
			}
		}
	})
}
