package rollout

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// generatedFleet drives a Leader with generated events, for conditions that rolloutsim can't produce because its
// routers are all alike. Routers start slowly, use much memory, fail, crash or come back with the wrong version; nodes
// lag; terms change.
type generatedFleet struct {
	rng    *rand.Rand
	out    io.Writer
	now    int64 // us
	term   uint64
	leader *Leader

	voters     []*Voter
	voterNames []string
	routers    []*generatedRouter
	nodes      []*NodeState

	badVersion              badShares
	startupFactor           float64 // startup time of the new version, as a multiple of the usual one
	memoryFactor            float64
	wrongVersionProbability float64 // probability that a router comes back with its former version
}

// badShares are the shares of commands that end badly.
type badShares struct{ failed, late, rejected float64 }

type generatedRouter struct {
	name             string
	backAt           int64 // it is down until then
	incarnation      uint64
	version          uint64
	nextVersion      uint64
	counts           CommandCounts
	commands         int // per second
	mayHaveForgotten bool
	leaving          bool
	startup          int64
	memory           int64
	lastStatement    Statement
}

func newGeneratedFleet(seed uint64, out io.Writer) *generatedFleet {
	f := &generatedFleet{rng: rand.New(rand.NewPCG(seed, 21)), out: out, voterNames: []string{"r0", "r1", "r2"}}
	f.leader = NewLeader("r0", f.voterNames)
	for i := range 8 + f.rng.IntN(20) {
		f.routers = append(f.routers, &generatedRouter{name: fmt.Sprint("r", i), incarnation: 1, version: 1, nextVersion: 1, commands: []int{0, 3, 40, 200}[f.rng.IntN(4)],
			startup: 300_000 + f.rng.Int64N(900_000), memory: 30<<20 + f.rng.Int64N(20<<20)})
	}
	for range 3 {
		f.voters = append(f.voters, NewVoter(1, &Record{}))
	}
	for group := range 3 {
		for place := range 3 {
			f.nodes = append(f.nodes, &NodeState{Name: fmt.Sprintf("s-%d%c", group, 'a'+place), Zone: fmt.Sprint("z", place), Group: group, Primary: place == 0, Up: true,
				CaughtUp: f.rng.IntN(4) > 0, LoadShare: []float64{0.5, 0.25, 0.25}[place]})
		}
	}
	pick := func(values ...float64) float64 { return values[f.rng.IntN(len(values))] }
	f.badVersion = badShares{pick(0, 0, 0.01, 0.02, 0.7), pick(0, 0, 0.02), pick(0, 0, 0.03)}
	f.startupFactor = pick(1, 1, 2, 5, 20)
	f.memoryFactor = pick(1, 1, 1.3, 2)
	f.wrongVersionProbability = pick(0, 0, 0.3, 0.9)
	return f
}

func (f *generatedFleet) run(steps int) {
	f.startLeader()
	for range steps {
		f.now += 250_000
		for _, node := range f.nodes {
			f.leader.SetNode(*node)
		}
		for _, r := range f.routers {
			if f.now >= r.backAt {
				f.leader.MemberUp(r.name)
				f.report(r)
			} else if f.rng.IntN(8) == 0 {
				f.leader.MemberGone(r.name)
			}
		}
		f.injectEvent()
		f.leader.Tick(f.now)
		f.execute()
	}
}

func (f *generatedFleet) startLeader() {
	f.term++
	f.leader.BecomeLeader(f.now, f.term)
	f.execute()
}

// report counts a second's commands and sends a report each second, apart from a few that are lost.
func (f *generatedFleet) report(r *generatedRouter) {
	if f.now%1_000_000 != 0 || f.rng.IntN(40) == 0 {
		return
	}
	shares := badShares{0.003, 0.01, 0.002}
	if r.version > 1 {
		shares.failed += f.badVersion.failed
		shares.late += f.badVersion.late
		shares.rejected += f.badVersion.rejected
	}
	for range r.commands {
		r.counts.Commands++
		switch x := f.rng.Float64(); {
		case x < shares.failed:
			r.counts.Failed++
		case x < shares.failed+shares.late:
			r.counts.Late++
		case x < shares.failed+shares.late+shares.rejected:
			r.counts.Rejected++
		}
	}
	report := &Report{Member: r.name, Zone: "z" + r.name[len(r.name)-1:], Incarnation: r.incarnation, Version: r.version, Ready: f.now-r.backAt > 500_000, Leaving: r.leaving,
		Term: r.lastStatement.Term, Seq: r.lastStatement.Seq, Counts: r.counts, StartupTime: r.startup, ResidentBytes: r.memory, MayHaveForgotten: r.mayHaveForgotten}
	for _, node := range f.nodes {
		use := NodeUse{Node: node.Name, OpenCommands: f.rng.IntN(8) / 7}
		if node.Up {
			use.Answers = uint64(f.rng.IntN(3))
		}
		report.Nodes = append(report.Nodes, use)
	}
	f.leader.HandleReport(f.now, report)
}

// restart takes a router down; a new process of it comes back later.
func (f *generatedFleet) restart(r *generatedRouter) {
	r.backAt = f.now + 500_000 + f.rng.Int64N(6_000_000)
	r.incarnation++
	r.counts = CommandCounts{}
	r.leaving = false
	if f.rng.Float64() >= f.wrongVersionProbability {
		r.version = r.nextVersion
	}
	r.startup = 300_000 + f.rng.Int64N(900_000)
	r.memory = 30<<20 + f.rng.Int64N(20<<20)
	if r.version > 1 {
		r.startup = int64(float64(r.startup) * f.startupFactor)
		r.memory = int64(float64(r.memory) * f.memoryFactor)
	}
	for i, name := range f.voterNames {
		if name == r.name {
			f.voters[i] = NewVoter(r.incarnation, nil)
			r.mayHaveForgotten = true
		}
	}
}

func (f *generatedFleet) injectEvent() {
	r := f.routers[f.rng.IntN(len(f.routers))]
	node := f.nodes[f.rng.IntN(len(f.nodes))]
	switch f.rng.IntN(120) {
	case 0:
		if r.index() > 2 || f.rng.IntN(4) == 0 {
			f.restart(r)
		}
	case 1:
		node.Up = !node.Up
	case 2:
		node.CaughtUp = !node.CaughtUp
	case 3, 4:
		for _, other := range f.nodes {
			if other.Group == node.Group {
				other.Primary = other == node
			}
		}
	case 5:
		if f.rng.IntN(4) == 0 {
			f.startLeader()
		}
	case 6:
		f.term++
		f.leader.ExtendTerm(f.now, f.term)
	case 7, 8, 9, 10, 11, 12:
		f.command(r, node)
	}
}

func (r *generatedRouter) index() (i int) {
	fmt.Sscanf(r.name, "r%d", &i)
	return i
}

func (f *generatedFleet) command(r *generatedRouter, node *NodeState) {
	c := &Command{Token: fmt.Sprint("t", f.rng.IntN(60)), PlanID: fmt.Sprint("p", f.rng.IntN(6)), Unit: r.name}
	if f.rng.IntN(2) == 0 {
		c.Unit = node.Name
	}
	c.Type = []CommandType{CommandStart, CommandStart, CommandStart, CommandHalt, CommandResume, CommandResume, CommandRollBack, CommandForget, CommandReturn, CommandForceRecovery, 77}[f.rng.IntN(11)]
	if c.Type == CommandForget && f.rng.IntN(2) == 0 {
		c.PlanID = ""
	}
	if c.Type == CommandStart {
		c.Plan = Plan{ID: c.PlanID, Kind: Kind(1 + f.rng.IntN(3)), TargetVersion: 2, PreviousVersion: 1, WatchTime: 1_000_000 * f.rng.Int64N(4), DrainTime: 1_000_000 * f.rng.Int64N(9),
			ProgressTimeout: 10_000_000 * f.rng.Int64N(4), NoRollback: f.rng.IntN(4) == 0, Budget: Budget{MaxUnavailable: f.rng.IntN(4), MaxShare: float64(f.rng.IntN(4)) / 4,
				MaxPerZone: f.rng.IntN(3), MaxPerGroup: f.rng.IntN(3), MinReplicas: f.rng.IntN(3), MaxGroupLoad: float64(f.rng.IntN(3)) / 3}}
		if c.Plan.Kind == KindNodes {
			for _, i := range f.rng.Perm(len(f.nodes))[:1+f.rng.IntN(len(f.nodes))] {
				c.Plan.Units = append(c.Plan.Units, f.nodes[i].Name)
			}
		} else {
			for _, i := range f.rng.Perm(len(f.routers))[:1+f.rng.IntN(len(f.routers))] {
				c.Plan.Units = append(c.Plan.Units, f.routers[i].name)
			}
		}
		if f.rng.IntN(2) == 0 {
			c.Plan.WaveSizes = []int{1 + f.rng.IntN(3), 1 + f.rng.IntN(4)}
		}
	}
	f.leader.HandleCommand(f.now, c)
}

func (f *generatedFleet) execute() {
	for again := true; again; {
		again = false
		for _, action := range f.leader.TakeActions() {
			writeAction(f.out, f.now, action)
			again = f.executeOne(action) || again
		}
	}
	_, record := f.leader.Committed()
	fmt.Fprintf(f.out, "leads %v: %s\n", record != nil, f.leader.NotLeadingReason())
}

// executeOne lets voters answer, apart from a few lost messages, and restarts routers that are told to leave. It
// reports whether the leader may want more.
func (f *generatedFleet) executeOne(action Action) bool {
	switch a := action.(type) {
	case ReadVoter:
		if f.rng.IntN(6) == 0 {
			return false
		}
		state, accepted := f.voter(a.Voter).Read(a.Term)
		f.leader.HandleReadAnswer(f.now, a.Voter, a.Term, state, accepted)
		return true
	case WriteVoter:
		if f.rng.IntN(6) == 0 {
			return false
		}
		accepted := f.voter(a.Voter).Write(a.Record, a.Incarnation)
		if accepted {
			f.router(a.Voter).mayHaveForgotten = false
		}
		f.leader.HandleWriteAnswer(f.now, a.Voter, a.Record.Term, a.Record.Seq, accepted)
		return true
	case SendStatement:
		r := f.router(a.Member)
		r.lastStatement = *a.Statement
		if f.now >= r.backAt && a.Statement.Instruction == InstructionLeave && a.Statement.Incarnation == r.incarnation {
			if a.Statement.TargetVersion > 0 {
				r.nextVersion = a.Statement.TargetVersion
			}
			f.restart(r)
		}
	}
	return false
}

func (f *generatedFleet) router(name string) *generatedRouter {
	for _, r := range f.routers {
		if r.name == name {
			return r
		}
	}
	return nil
}

func (f *generatedFleet) voter(name string) *Voter {
	for i, voterName := range f.voterNames {
		if voterName == name {
			return f.voters[i]
		}
	}
	return nil
}

// writeAction writes all fields of an action in a form that does not depend on names in the code.
func writeAction(out io.Writer, now int64, action Action) {
	fmt.Fprint(out, now, " ")
	switch a := action.(type) {
	case ReadVoter:
		fmt.Fprintf(out, "read-voter %s %d\n", a.Voter, a.Term)
	case RequestReport:
		fmt.Fprintf(out, "request-report %s\n", a.Member)
	case WriteVoter:
		fmt.Fprintf(out, "write-voter %s %d\n", a.Voter, a.Incarnation)
		writeRecord(out, a.Record)
	case SendStatement:
		s := a.Statement
		fmt.Fprintf(out, "statement %s %d %d %d %d %d %d %d %q\n", a.Member, s.Term, s.Seq, uint8(s.Instruction), s.Slot.Term, s.Slot.Number, s.Incarnation, s.TargetVersion, s.DrainedNodes)
	case ReplyToCommand:
		reason := ""
		if a.Err != nil {
			reason = a.Err.Error()
		}
		fmt.Fprintf(out, "reply %q %q\n", a.Token, reason)
	case TransferLeadership:
		fmt.Fprintf(out, "hand-over %q\n", a.PlanID)
	case LogEvent:
		fmt.Fprintf(out, "log %q %q\n", a.PlanID, a.Text)
	default:
		panic("not an action of a leader")
	}
}

func writeRecord(out io.Writer, r *Record) {
	fmt.Fprintf(out, "record %d %d %d %q %q\n", r.Term, r.Seq, r.SlotsGranted, r.Members, r.Tokens)
	for _, p := range r.Plans {
		plan := p.Plan
		fmt.Fprintf(out, "plan %q %d %q %d %d %d %d %d %d %v\n", plan.ID, uint8(plan.Kind), plan.Units, plan.TargetVersion, plan.PreviousVersion, plan.WaveSizes, plan.WatchTime, plan.DrainTime,
			plan.ProgressTimeout, plan.NoRollback)
		b := plan.Budget
		fmt.Fprintf(out, "budget %d %g %d %d %d %g\n", b.MaxUnavailable, b.MaxShare, b.MaxPerZone, b.MaxPerGroup, b.MinReplicas, b.MaxGroupLoad)
		fmt.Fprintf(out, "progress %d %q %d\n", uint8(p.State), p.Reason, p.Wave)
		for _, unit := range p.Units {
			fmt.Fprintf(out, "unit %d %d %d %d %v %d\n", uint8(unit.Phase), unit.Slot.Term, unit.Slot.Number, unit.Incarnation, unit.RollingBack, unit.Attempts)
		}
	}
}

// TestGeneratedEventsAsRecorded compares a hash over every action of a leader, in order and with all its fields, with
// the ones in testdata/generated.golden. The file is recorded anew only by a commit that changes a decision and says
// so.
func TestGeneratedEventsAsRecorded(t *testing.T) {
	raw, err := os.ReadFile("testdata/generated.golden")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	for seed, want := range lines {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			digest := xxhash.New()
			newGeneratedFleet(uint64(seed), digest).run(generatedSteps)
			if got := fmt.Sprintf("%#016x", digest.Sum64()); got != want {
				t.Errorf("%s, want %s", got, want)
			}
		})
	}
}

const generatedSteps = 1_600 // of 250 ms
