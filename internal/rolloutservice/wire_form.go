package rolloutservice

import "cairntiller/internal/rollout"

// The wire types of messages, with the functions that convert them to and from internal/rollout. A nil list and an
// empty one are encoded differently and are kept distinct. The names of fields are sent and can't change; a comment
// names the field of internal/rollout if it is called differently.

type wireReport struct {
	Member    string
	Zone      string
	Born      uint64 // Incarnation
	Version   uint64
	Ready     bool
	Leaving   bool
	Term, Seq uint64
	Served    wireServed // Counts
	StartedIn int64      // StartupTime
	Heap      int64      // ResidentBytes: all resident memory, not only the heap
	Open      []wireOpen // Nodes: drained or returned ones, also those without open commands
	Blank     bool       // MayHaveForgotten
}

// wireServed is rollout.CommandCounts.
type wireServed struct {
	Commands, Failed, Late uint64
	Throttled              uint64 // Rejected
}

// wireOpen is rollout.NodeUse.
type wireOpen struct {
	Node     string
	Commands int    // OpenCommands
	Answered uint64 // Answers
}

type wireStatement struct {
	Term, Seq uint64
	Do        uint8 // Instruction
	Slot      wireSlot
	Born      uint64   // Incarnation
	Want      uint64   // TargetVersion
	Drains    []string // DrainedNodes
}

type wireSlot struct {
	Term uint64
	N    uint64 // Number
}

// wireKept is rollout.VoterState.
type wireKept struct {
	Record *wireRecord
	Born   uint64 // Incarnation
	Blank  bool   // MayHaveForgotten
}

type wireRecord struct {
	Term    uint64
	Seq     uint64
	Slots   uint64 // SlotsGranted
	Members []string
	Plans   []*wireProgress
	Tokens  []string
}

type wireProgress struct {
	Plan  wirePlan
	State uint8
	Why   string // Reason
	Wave  int
	Units []wireUnit
}

type wireUnit struct {
	Phase uint8
	Slot  wireSlot
	Born  uint64 // Incarnation
	Back  bool   // RollingBack
	Tries int    // Attempts
}

type wirePlan struct {
	ID       string
	Kind     uint8
	Units    []string
	Want     uint64 // TargetVersion
	Was      uint64 // PreviousVersion
	Waves    []int  // WaveSizes
	Watch    int64  // WatchTime
	Rest     int64  // DrainTime
	Patience int64  // ProgressTimeout
	Stay     bool   // NoRollback
	Budget   wireBudget
}

type wireBudget struct {
	Most     int     // MaxUnavailable
	Share    float64 // MaxShare
	Zone     int     // MaxPerZone
	Group    int     // MaxPerGroup
	Replicas int     // MinReplicas
	Work     float64 // MaxGroupLoad
}

// wireCommand is an operator's command, in messages and on the admin socket.
type wireCommand struct {
	Verb  uint8 // Type
	Token string
	Plan  wirePlan
	ID    string // PlanID
	Unit  string
}

// mapAll converts each element of a list; nil stays nil.
func mapAll[From, To any](list []From, convert func(From) To) []To {
	if list == nil {
		return nil
	}
	mapped := make([]To, len(list))
	for i, from := range list {
		mapped[i] = convert(from)
	}
	return mapped
}

func newWireReport(r *rollout.Report) *wireReport {
	return &wireReport{
		Member:    r.Member,
		Zone:      r.Zone,
		Born:      r.Incarnation,
		Version:   r.Version,
		Ready:     r.Ready,
		Leaving:   r.Leaving,
		Term:      r.Term,
		Seq:       r.Seq,
		Served:    wireServed{Commands: r.Counts.Commands, Failed: r.Counts.Failed, Late: r.Counts.Late, Throttled: r.Counts.Rejected},
		StartedIn: r.StartupTime,
		Heap:      r.ResidentBytes,
		Open:      mapAll(r.Nodes, newWireOpen),
		Blank:     r.MayHaveForgotten,
	}
}

func (w *wireReport) report() *rollout.Report {
	return &rollout.Report{
		Member:           w.Member,
		Zone:             w.Zone,
		Incarnation:      w.Born,
		Version:          w.Version,
		Ready:            w.Ready,
		Leaving:          w.Leaving,
		Term:             w.Term,
		Seq:              w.Seq,
		Counts:           rollout.CommandCounts{Commands: w.Served.Commands, Failed: w.Served.Failed, Late: w.Served.Late, Rejected: w.Served.Throttled},
		StartupTime:      w.StartedIn,
		ResidentBytes:    w.Heap,
		Nodes:            mapAll(w.Open, wireOpen.nodeUse),
		MayHaveForgotten: w.Blank,
	}
}

func newWireOpen(use rollout.NodeUse) wireOpen {
	return wireOpen{Node: use.Node, Commands: use.OpenCommands, Answered: use.Answers}
}

func (w wireOpen) nodeUse() rollout.NodeUse {
	return rollout.NodeUse{Node: w.Node, OpenCommands: w.Commands, Answers: w.Answered}
}

func newWireStatement(s *rollout.Statement) *wireStatement {
	return &wireStatement{
		Term:   s.Term,
		Seq:    s.Seq,
		Do:     uint8(s.Instruction),
		Slot:   newWireSlot(s.Slot),
		Born:   s.Incarnation,
		Want:   s.TargetVersion,
		Drains: s.DrainedNodes,
	}
}

func (w *wireStatement) statement() *rollout.Statement {
	return &rollout.Statement{
		Term:          w.Term,
		Seq:           w.Seq,
		Instruction:   rollout.Instruction(w.Do),
		Slot:          w.Slot.slot(),
		Incarnation:   w.Born,
		TargetVersion: w.Want,
		DrainedNodes:  w.Drains,
	}
}

func newWireSlot(s rollout.Slot) wireSlot { return wireSlot{Term: s.Term, N: s.Number} }

func (w wireSlot) slot() rollout.Slot { return rollout.Slot{Term: w.Term, Number: w.N} }

func newWireKept(state rollout.VoterState) *wireKept {
	return &wireKept{Record: newWireRecord(state.Record), Born: state.Incarnation, Blank: state.MayHaveForgotten}
}

func (w *wireKept) voterState() rollout.VoterState {
	return rollout.VoterState{Record: w.Record.record(), Incarnation: w.Born, MayHaveForgotten: w.Blank}
}

func newWireRecord(r *rollout.Record) *wireRecord {
	if r == nil {
		return nil
	}
	return &wireRecord{
		Term:    r.Term,
		Seq:     r.Seq,
		Slots:   r.SlotsGranted,
		Members: r.Members,
		Plans:   mapAll(r.Plans, newWireProgress),
		Tokens:  r.Tokens,
	}
}

func (w *wireRecord) record() *rollout.Record {
	if w == nil {
		return nil
	}
	return &rollout.Record{
		Term:         w.Term,
		Seq:          w.Seq,
		SlotsGranted: w.Slots,
		Members:      w.Members,
		Plans:        mapAll(w.Plans, (*wireProgress).progress),
		Tokens:       w.Tokens,
	}
}

func newWireProgress(p *rollout.Progress) *wireProgress {
	return &wireProgress{
		Plan:  newWirePlan(p.Plan),
		State: uint8(p.State),
		Why:   p.Reason,
		Wave:  p.Wave,
		Units: mapAll(p.Units, newWireUnit),
	}
}

func (w *wireProgress) progress() *rollout.Progress {
	return &rollout.Progress{
		Plan:   w.Plan.plan(),
		State:  rollout.State(w.State),
		Reason: w.Why,
		Wave:   w.Wave,
		Units:  mapAll(w.Units, wireUnit.unit),
	}
}

func newWireUnit(u rollout.Unit) wireUnit {
	return wireUnit{Phase: uint8(u.Phase), Slot: newWireSlot(u.Slot), Born: u.Incarnation, Back: u.RollingBack, Tries: u.Attempts}
}

func (w wireUnit) unit() rollout.Unit {
	return rollout.Unit{Phase: rollout.Phase(w.Phase), Slot: w.Slot.slot(), Incarnation: w.Born, RollingBack: w.Back, Attempts: w.Tries}
}

func newWirePlan(p rollout.Plan) wirePlan {
	return wirePlan{
		ID:       p.ID,
		Kind:     uint8(p.Kind),
		Units:    p.Units,
		Want:     p.TargetVersion,
		Was:      p.PreviousVersion,
		Waves:    p.WaveSizes,
		Watch:    p.WatchTime,
		Rest:     p.DrainTime,
		Patience: p.ProgressTimeout,
		Stay:     p.NoRollback,
		Budget:   newWireBudget(p.Budget),
	}
}

func (w *wirePlan) plan() rollout.Plan {
	return rollout.Plan{
		ID:              w.ID,
		Kind:            rollout.Kind(w.Kind),
		Units:           w.Units,
		TargetVersion:   w.Want,
		PreviousVersion: w.Was,
		WaveSizes:       w.Waves,
		WatchTime:       w.Watch,
		DrainTime:       w.Rest,
		ProgressTimeout: w.Patience,
		NoRollback:      w.Stay,
		Budget:          w.Budget.budget(),
	}
}

func newWireBudget(b rollout.Budget) wireBudget {
	return wireBudget{Most: b.MaxUnavailable, Share: b.MaxShare, Zone: b.MaxPerZone, Group: b.MaxPerGroup, Replicas: b.MinReplicas, Work: b.MaxGroupLoad}
}

func (w wireBudget) budget() rollout.Budget {
	return rollout.Budget{MaxUnavailable: w.Most, MaxShare: w.Share, MaxPerZone: w.Zone, MaxPerGroup: w.Group, MinReplicas: w.Replicas, MaxGroupLoad: w.Work}
}

func newWireCommand(c *rollout.Command) *wireCommand {
	return &wireCommand{Verb: uint8(c.Type), Token: c.Token, Plan: newWirePlan(c.Plan), ID: c.PlanID, Unit: c.Unit}
}

func (w *wireCommand) command() *rollout.Command {
	return &rollout.Command{Type: rollout.CommandType(w.Verb), Token: w.Token, Plan: w.Plan.plan(), PlanID: w.ID, Unit: w.Unit}
}
