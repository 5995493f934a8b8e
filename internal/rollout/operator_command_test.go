package rollout

import (
	"errors"
	"strings"
	"testing"
)

// command gives a command, lets the voter accept the writes, and returns the reply; replied is false if there was none.
func (f *testFleet) command(c Command) (err error, replied bool) {
	f.leader.HandleCommand(f.now, &c)
	for range 2 { // first the command's write, then what follows from its commit
		for _, action := range f.leader.TakeActions() {
			switch a := action.(type) {
			case ReplyToCommand:
				return a.Err, true
			case WriteVoter:
				f.leader.HandleWriteAnswer(f.now, "r0", a.Record.Term, a.Record.Seq, true)
			}
		}
	}
	return nil, false
}

// mustAccept gives a command that must be accepted.
func (f *testFleet) mustAccept(t *testing.T, c Command) {
	t.Helper()
	if err, replied := f.command(c); err != nil || !replied {
		t.Fatalf("%v %s: %v, replied %v", c.Type, c.Token, err, replied)
	}
}

// TestCommandIsAppliedOnce repeats a command whose reply was lost, and gives conflicting commands of two operators, one
// of which must lose. Applied twice, a plan would be started twice, or a resumed plan halted again.
func TestCommandIsAppliedOnce(t *testing.T) {
	f := newTestFleet(t, 5)
	start := Command{Type: CommandStart, Token: "a", Plan: Plan{ID: "p", Kind: KindRestart, Units: []string{"r1"}}}
	f.mustAccept(t, start)
	f.advance(second)
	f.mustAccept(t, start) // the same command again
	start.Token, start.Plan.ID = "b", "q"
	if err, _ := f.command(start); err == nil || !strings.Contains(err.Error(), "r1 belongs to plan p") {
		t.Error("a second plan with the same unit:", err)
	}
	f.mustAccept(t, Command{Type: CommandHalt, Token: "c", PlanID: "p"})
	for range 2 { // repeated before a majority keeps it, a command has no reply yet
		f.leader.HandleCommand(f.now, &Command{Type: CommandResume, Token: "e", PlanID: "p"})
	}
	for _, action := range f.leader.TakeActions() {
		if reply, isReply := action.(ReplyToCommand); isReply {
			t.Errorf("replied to %s before it was committed", reply.Token)
		}
	}
	f.advance(second)
	f.advance(second)
	f.mustAccept(t, Command{Type: CommandHalt, Token: "f", PlanID: "p"})
	if err, _ := f.command(Command{Type: CommandHalt, Token: "d", PlanID: "p"}); err == nil || !strings.Contains(err.Error(), "is halted") {
		t.Error("the second operator's halt:", err)
	}
}

// TestCommandRefusals gives commands that must be refused, each for another reason.
func TestCommandRefusals(t *testing.T) {
	f := newTestFleet(t, 5, NodeState{Name: "s", Group: 1, Primary: true, Up: true})
	f.mustAccept(t, Command{Type: CommandStart, Token: "p", Plan: Plan{ID: "p", Kind: KindRestart, Units: []string{"r1"}}})
	f.advance(second)
	plan := func(id string, kind Kind, units ...string) Plan { return Plan{ID: id, Kind: kind, Units: units} }
	for name, c := range map[string]struct {
		command Command
		want    error
		text    string
	}{
		"an invalid plan":          {Command{Type: CommandStart, Plan: plan("q", KindRestart)}, ErrInvalidPlan, "0 units, want 1 to 4000"},
		"a unit twice":             {Command{Type: CommandStart, Plan: plan("q", KindRestart, "r2", "r2")}, ErrInvalidPlan, "r2 twice"},
		"a plan's name twice":      {Command{Type: CommandStart, Plan: plan("p", KindRestart, "r2")}, ErrPlanExists, "a plan p was started before"},
		"a unit of another plan":   {Command{Type: CommandStart, Plan: plan("q", KindRestart, "r1")}, ErrUnitInPlan, "r1 belongs to plan p, which is running"},
		"an unknown member":        {Command{Type: CommandStart, Plan: plan("q", KindRestart, "r9")}, ErrUnknownUnit, `no member "r9" was ever in sight`},
		"an unknown node":          {Command{Type: CommandStart, Plan: plan("q", KindNodes, "r2")}, ErrUnknownUnit, `no node "r2"`},
		"an unknown plan":          {Command{Type: CommandHalt, PlanID: "q"}, ErrUnknownPlan, `no plan "q"`},
		"resume a running plan":    {Command{Type: CommandResume, PlanID: "p"}, ErrPlanState, "plan p is running"},
		"forget a present member":  {Command{Type: CommandForget, Unit: "r2"}, ErrUnknownUnit, `"r2" is in sight, or no member of that name is missed`},
		"forget an unknown unit":   {Command{Type: CommandForget, PlanID: "p", Unit: "r2"}, ErrUnknownUnit, `plan p has no unit "r2", or forgot it`},
		"return an undrained node": {Command{Type: CommandReturn, PlanID: "p", Unit: "s"}, ErrUnknownUnit, `plan p has no drained node "s"`},
		"an unknown type":          {Command{Type: 99, PlanID: "p"}, ErrUnknownCommand, "an unknown word"},
	} {
		t.Run(name, func(t *testing.T) {
			c.command.Token = name
			err, replied := f.command(c.command)
			if !replied || !errors.Is(err, c.want) || err.Error() != c.text {
				t.Errorf("%v (replied %v), want %q", err, replied, c.text)
			}
		})
	}
	idle := NewLeader("r0", []string{"r0"})
	idle.HandleCommand(0, &Command{Type: CommandHalt, PlanID: "p"})
	reply, isReply := idle.TakeActions()[0].(ReplyToCommand)
	want := "this router does not lead: another one holds the lease, or none does"
	if !isReply || !errors.Is(reply.Err, ErrNotLeading) || reply.Err.Error() != want {
		t.Errorf("%v, want %q", reply.Err, want)
	}
}
