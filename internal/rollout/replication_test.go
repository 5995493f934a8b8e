package rollout

import (
	"strings"
	"testing"
)

// TestForgottenRecordNeedsOperator restarts two of three voters before they are written to. The one that remembers is
// no majority: the two may have kept a newer record. So the leader does not lead until an operator gives the command
// begin.
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
	l.Tick(20 * second) // waiting does not help
	if l.record != nil {
		t.Fatal("the record was recovered without an operator")
	}
	l.HandleCommand(20*second, &Command{Type: CommandForceRecovery, Token: "begin"})
	if l.record == nil || len(l.record.Members) != 3 || l.record.Term != 2 || l.record.Tokens[0] != "t" {
		t.Errorf("record recovered by the command begin: %+v", l.record)
	}
}

// TestStepsDownForLaterLeader has a voter refuse a read because it knows of a later term.
func TestStepsDownForLaterLeader(t *testing.T) {
	l := NewLeader("a", []string{"a", "b", "c"})
	l.BecomeLeader(0, 2)
	l.HandleReadAnswer(1, "b", 2, VoterState{}, false)
	if l.term != 0 {
		t.Errorf("still leads under term %d", l.term)
	}
}
