package rollout

import (
	"strings"
	"testing"
)

// TestForgottenRecordNeedsOperator restarts two of three voters before they were written to. The one that remembers is no
// majority: a newer record may have been kept by the two. So the leader does not lead until an operator says begin.
func TestForgottenRecordNeedsOperator(t *testing.T) {
	l := NewLeader("a", []string{"a", "b", "c"})
	l.BecomeLeader(0, 2)
	kept := &Record{Term: 1, Seq: 4, Members: []string{"a", "b", "c"}, Tokens: []string{"t"}}
	l.HandleReadAnswer(1, "a", 2, VoterState{Record: kept, Incarnation: 1}, true)
	if want := "1 of 3 voters answer"; l.NotLeadingReason() != want {
		t.Errorf("%q, want %q", l.NotLeadingReason(), want)
	}
	l.HandleReadAnswer(2, "b", 2, VoterState{Incarnation: 2, MayHaveForgotten: true}, true)
	if want := "1 of 3 voters have forgotten"; !strings.HasPrefix(l.NotLeadingReason(), want) {
		t.Errorf("%q, want %q", l.NotLeadingReason(), want)
	}
	l.HandleReadAnswer(3, "c", 2, VoterState{Incarnation: 3, MayHaveForgotten: true}, true)
	l.Tick(20 * second) // time does not help
	if l.record != nil {
		t.Fatal("it goes on by itself")
	}
	l.HandleCommand(20*second, &Command{Type: CommandBegin, Token: "begin"})
	if l.record == nil || len(l.record.Members) != 3 || l.record.Term != 2 || l.record.Tokens[0] != "t" {
		t.Errorf("it does not go on from what is left: %+v", l.record)
	}
}

// TestLaterLeaderEndsLead has a voter refuse a read because it has heard of a later term.
func TestLaterLeaderEndsLead(t *testing.T) {
	l := NewLeader("a", []string{"a", "b", "c"})
	l.BecomeLeader(0, 2)
	l.HandleReadAnswer(1, "b", 2, VoterState{}, false)
	if l.term != 0 {
		t.Errorf("it goes on under term %d", l.term)
	}
}
