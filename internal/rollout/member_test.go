package rollout

import (
	"reflect"
	"testing"
)

// TestMemberHeedsItsOwnProcess sends a member statements that come late or are meant for its former process. It leaves
// once, by a statement for the process that it is, and takes drained nodes from the newest statement. Heeding the
// others would send it out a second time, without a slot.
func TestMemberHeedsItsOwnProcess(t *testing.T) {
	m := NewMember(3)
	for i, c := range []struct {
		statement Statement
		want      []Action
	}{
		{Statement{Term: 2, Seq: 1, DrainedNodes: []string{"s"}}, []Action{DrainNodes{[]string{"s"}}}},
		{Statement{Term: 1, Seq: 9}, nil}, // a former leader, late
		{Statement{Term: 2, Seq: 2, Instruction: InstructionLeave, Incarnation: 2}, []Action{DrainNodes{}}}, // for its former process; nothing is drained any more
		{Statement{Term: 2, Seq: 3, Instruction: InstructionLeave, Incarnation: 3, Slot: Slot{2, 8}, TargetVersion: 5}, []Action{LeaveService{Slot{2, 8}, 5}}},
		{Statement{Term: 2, Seq: 4, Instruction: InstructionLeave, Incarnation: 3}, nil},
	} {
		m.HandleStatement(&c.statement)
		if got := m.TakeActions(); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%d: %+v, want %+v", i, got, c.want)
		}
	}
}
