package rollout

import (
	"reflect"
	"testing"
)

// TestMemberIgnoresStaleStatements sends a member statements that are delayed or meant for its former process. The
// member leaves once, on a statement for its present process, and takes drained nodes from the newest statement. If it
// followed the others it would leave a second time, without a slot.
func TestMemberIgnoresStaleStatements(t *testing.T) {
	m := NewMember(3)
	for i, c := range []struct {
		statement Statement
		want      []Action
	}{
		{Statement{Term: 2, Seq: 1, DrainedNodes: []string{"s"}}, []Action{DrainNodes{[]string{"s"}}}},
		{Statement{Term: 1, Seq: 9}, nil}, // a former leader's, delayed
		{Statement{Term: 2, Seq: 2, Instruction: InstructionLeave, Incarnation: 2}, []Action{DrainNodes{}}}, // for its former process; no node is drained any more
		{Statement{Term: 2, Seq: 3, Instruction: InstructionLeave, Incarnation: 3, Slot: Slot{2, 8}, TargetVersion: 5}, []Action{LeaveService{Slot{2, 8}, 5}}},
		{Statement{Term: 2, Seq: 4, Instruction: InstructionLeave, Incarnation: 3}, nil},
	} {
		m.HandleStatement(&c.statement)
		if got := m.TakeActions(); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%d: %+v, want %+v", i, got, c.want)
		}
	}
}
