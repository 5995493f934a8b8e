package rolloutsim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"cairntiller/internal/rollout"
)

// writeRecord writes every field of a record in a format that is independent of Go names.
func writeRecord(out io.Writer, r *rollout.Record) {
	fmt.Fprintf(out, "record %d %d %d %q %q\n", r.Term, r.Seq, r.SlotsGranted, r.Members, r.Tokens)
	for _, p := range r.Plans {
		a := p.Plan
		fmt.Fprintf(out, "plan %q %d %q %d %d %d %d %d %d %v\n", a.ID, uint8(a.Kind), a.Units, a.TargetVersion, a.PreviousVersion, a.WaveSizes, a.WatchTime, a.DrainTime, a.ProgressTimeout, a.NoRollback)
		b := a.Budget
		fmt.Fprintf(out, "budget %d %g %d %d %d %g\n", b.MaxUnavailable, b.MaxShare, b.MaxPerZone, b.MaxPerGroup, b.MinReplicas, b.MaxGroupLoad)
		fmt.Fprintf(out, "progress %d %q %d\n", uint8(p.State), p.Reason, p.Wave)
		for _, u := range p.Units {
			fmt.Fprintf(out, "unit %d %d %d %d %v %d\n", uint8(u.Phase), u.Slot.Term, u.Slot.Number, u.Incarnation, u.RollingBack, u.Attempts)
		}
	}
}

// writeAction writes every field of an action in a format that is independent of Go names.
func writeAction(out io.Writer, now int64, router string, action rollout.Action) {
	fmt.Fprintf(out, "%d %s ", now, router)
	switch a := action.(type) {
	case rollout.ReadVoter:
		fmt.Fprintf(out, "read-voter %s %d\n", a.Voter, a.Term)
	case rollout.RequestReport:
		fmt.Fprintf(out, "request-report %s\n", a.Member)
	case rollout.WriteVoter:
		fmt.Fprintf(out, "write-voter %s %d\n", a.Voter, a.Incarnation)
		writeRecord(out, a.Record)
	case rollout.SendStatement:
		s := a.Statement
		fmt.Fprintf(out, "statement %s %d %d %d %d %d %d %d %q\n", a.Member, s.Term, s.Seq, uint8(s.Instruction), s.Slot.Term, s.Slot.Number, s.Incarnation, s.TargetVersion, s.DrainedNodes)
	case rollout.ReplyToCommand:
		reason := ""
		if a.Err != nil {
			reason = a.Err.Error()
		}
		fmt.Fprintf(out, "reply %q %q\n", a.Token, reason)
	case rollout.TransferLeadership:
		fmt.Fprintf(out, "hand-over %q\n", a.PlanID)
	case rollout.LeaveService:
		fmt.Fprintf(out, "leave %d %d %d\n", a.Slot.Term, a.Slot.Number, a.Version)
	case rollout.DrainNodes:
		fmt.Fprintf(out, "drain %q\n", a.Nodes)
	case rollout.QueryDrainedNodes:
		fmt.Fprintf(out, "query-drains\n")
	case rollout.LogEvent:
		fmt.Fprintf(out, "log %q %q\n", a.PlanID, a.Text)
	default:
		panic("unknown action type")
	}
}

// scheduleCommands adds operator commands of every type, valid and invalid, to those of mixed faults.
func scheduleCommands(w *World, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 77))
	first := w.Plans[0]
	for range 14 {
		var c rollout.Command
		unit := first.Units[rng.IntN(len(first.Units))]
		switch rng.IntN(12) {
		case 0:
			c = rollout.Command{Type: rollout.CommandHalt, PlanID: first.ID}
		case 1, 2:
			c = rollout.Command{Type: rollout.CommandResume, PlanID: first.ID}
		case 3:
			c = rollout.Command{Type: rollout.CommandRollBack, PlanID: first.ID}
		case 4:
			c = rollout.Command{Type: rollout.CommandForget, PlanID: first.ID, Unit: unit}
		case 5:
			c = rollout.Command{Type: rollout.CommandForget, Unit: unit}
		case 6, 7:
			c = rollout.Command{Type: rollout.CommandReturn, PlanID: "boxes", Unit: fmt.Sprintf("s-%d%c", rng.IntN(w.Groups), 'a'+rng.IntN(3))}
		case 8:
			c = rollout.Command{Type: 99, PlanID: first.ID}
		case 9:
			c = rollout.Command{Type: rollout.CommandHalt, PlanID: "unknown"}
		case 10:
			second := first
			second.ID = fmt.Sprint("again-", rng.IntN(3))
			second.Units = second.Units[:1+rng.IntN(len(second.Units))]
			c = rollout.Command{Type: rollout.CommandStart, Plan: second}
		case 11:
			c = rollout.Command{Type: rollout.CommandStart, Plan: rollout.Plan{ID: "wrong", Kind: rollout.Kind(rng.IntN(5)), Units: [][]string{nil, {""}, {unit, unit}, {"nobody"}}[rng.IntN(4)]}}
		}
		w.schedule(12_000_000+rng.Int64N(150_000_000), func() { w.sendCommand(c, 50) })
	}
}

// TestActionsAsRecorded runs fixed seeds and compares a hash over every action of every router, in order and with all its
// fields, with the one recorded in testdata/actions.golden. It detects any changed decision, such as by another constant or
// by two steps in another order. The file may be recorded again only by a commit that changes a decision and says so.
func TestActionsAsRecorded(t *testing.T) {
	raw, err := os.ReadFile("testdata/actions.golden")
	if err != nil {
		t.Fatal(err)
	}
	recorded := map[string]string{}
	for line := range strings.Lines(string(raw)) {
		name, rest, _ := strings.Cut(strings.TrimRight(line, "\n"), "\t")
		recorded[name] = rest
	}
	compared := 0
	run := func(name string, w *World) {
		compared++
		t.Run(name, func(t *testing.T) {
			digest := xxhash.New()
			actions := 0
			w.observe = func(router string, a rollout.Action) {
				writeAction(digest, w.Now, router, a)
				actions++
			}
			figures := w.Run()
			got := fmt.Sprintf("%#016x\t%#016x\t%d\t%s", digest.Sum64(), figures.Hash, actions, w.Violation)
			if got != recorded[name] {
				t.Errorf("hash of actions, hash of events, number of actions, violation: got %s, want %s", got, recorded[name])
			}
		})
	}
	for seed := range uint64(24) {
		run(fmt.Sprintf("mixed %d", seed), New(MixedFaults(seed)))
	}
	for seed := uint64(100); seed < 124; seed++ {
		w := New(MixedFaults(seed))
		scheduleCommands(w, seed)
		run(fmt.Sprintf("commands %d", seed), w)
	}
	for seed := range uint64(3) {
		run(fmt.Sprintf("good version %d", seed), New(VersionRollout(seed, 0)))
		run(fmt.Sprintf("bad version %d", seed), New(VersionRollout(seed, 0.02)))
	}
	for m := FreesSlotByTime; m < MistakeCount; m++ {
		s := MixedFaults(3)
		s.PlantedMistake = m
		run(fmt.Sprintf("planted %v", m), New(s))
	}
	if compared != len(recorded) {
		t.Errorf("%d runs were compared, but %d are recorded", compared, len(recorded))
	}
}
