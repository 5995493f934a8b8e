package rollout

import (
	"fmt"
	"testing"
)

const second = 1_000_000 // us

// testFleet is a leader with one voter, itself, and members that report each second and serve commands.
type testFleet struct {
	leader      *Leader
	voter       *Voter
	members     int
	now         int64
	partitioned string // member whose reports are lost
}

// newTestFleet returns a fleet whose leader leads and has granted no slot yet.
func newTestFleet(t *testing.T, members int, nodes ...NodeState) *testFleet {
	t.Helper()
	f := &testFleet{leader: NewLeader("r0", []string{"r0"}), voter: NewVoter(1, &Record{}), members: members}
	for _, node := range nodes {
		f.leader.SetNode(node)
	}
	f.leader.BecomeLeader(f.now, 1)
	f.execute()
	for range 7 {
		f.advance(second)
	}
	if term, _ := f.leader.Committed(); term != 1 {
		t.Fatal("the leader does not lead: ", f.leader.NotLeadingReason())
	}
	return f
}

// execute lets the voter answer until the leader sends it nothing more.
func (f *testFleet) execute() {
	for again := true; again; {
		again = false
		for _, action := range f.leader.TakeActions() {
			switch a := action.(type) {
			case ReadVoter:
				state, accepted := f.voter.Read(a.Term)
				f.leader.HandleReadAnswer(f.now, "r0", a.Term, state, accepted)
				again = true
			case WriteVoter:
				accepted := f.voter.Write(a.Record, a.Incarnation)
				f.leader.HandleWriteAnswer(f.now, "r0", a.Record.Term, a.Record.Seq, accepted)
				again = true
			}
		}
	}
}

// advance lets time pass: each member reports, then the leader ticks.
func (f *testFleet) advance(d int64) {
	f.now += d
	for i := range f.members {
		name := fmt.Sprint("r", i)
		if name == f.partitioned {
			continue
		}
		f.leader.HandleReport(f.now, &Report{Member: name, Zone: "z", Incarnation: 1, Ready: true, Counts: CommandCounts{Commands: uint64(f.now / 1000)}})
	}
	f.leader.Tick(f.now)
	f.execute()
}

// plan returns the first plan of the committed record.
func (f *testFleet) plan() *Progress {
	_, record := f.leader.Committed()
	return record.Plans[0]
}

// phases returns the first letter of each unit's phase.
func phases(p *Progress) (letters string) {
	for _, unit := range p.Units {
		letters += unit.Phase.String()[:1]
	}
	return letters
}
