// Package rolloutsim simulates a fleet that goes through plans of release: routers that leave, come back, crash, or come back
// wrong; nodes that are drained and hand over; leaders that are killed or cut off; voters that forget; messages that are
// lost, doubled and late. It knows the truth and checks after each event that the budget holds, that nothing goes out
// twice or without a slot, and that no node counts as out of use while a router uses it. Equal seeds give equal runs. It
// is for tests and proofs; mistakes can be planted to see that it finds them.
package rolloutsim

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cairntiller/internal/rollout"
	"cairntiller/internal/simulation/eventqueue"
)

// Setup is what a run is made of.
type Setup struct {
	Seed              uint64
	Routers           int
	Voters            int
	Groups            int // of three nodes each
	DurableVoters     bool
	Faults            bool
	ExtraFailureShare float64 // share of commands that the new version fails, beside the usual
	Plans             []rollout.Plan
	FaultTime         int64 // us of faults; then all is mended
	QuietTime         int64 // us to play behind it
	Planted           Mistake
}

// Mistake is a planted one.
type Mistake int

// The planted mistakes.
const (
	None                   Mistake = iota
	FreesSlotByTime                // a slot is free after a while, whether the unit is back or not
	IgnoresUnplannedLosses         // what is out unplanned does not count
	AnnouncesBeforeCommit          // members are told before voters keep it
	ReadsOneVoter                  // a new leader reads one voter
	HidesForgottenState            // a voter that forgot answers as if nothing had ever been
	IgnoresIncarnation             // what a member is told counts for its next process too
	AcceptsOldStatements           // members heed statements that come late
	IgnoresOpenCommands            // a node counts as unused before all routers in sight have said so
	IgnoresPrimary                 // a drained primary counts as unused before another one leads
	IgnoresGroups                  // nodes of one group go out together
	Mistakes
)

// String names the mistake.
func (m Mistake) String() string {
	return [...]string{"none", "frees-by-time", "no-unplanned", "tells-first", "reads-one", "forgets-blank", "any-process", "old-statements",
		"leaves-open", "no-hand-over", "no-groups"}[m]
}

const (
	reportInterval    = 1_000_000
	leaseLength       = 3_000_000
	detectionTime     = 2_000_000 // us after which membership tells of a loss
	zoneCount         = 3
	usualFailureShare = 0.004
	lossKnownAfter    = 8_000_000 // us after which an unplanned loss must have been seen
)

// Figures are what a run measured.
type Result struct {
	Hash            uint64
	Events          int64
	Messages        int64
	Leaders         int
	MaxUnavailable  int     // routers out by plans at once
	PlanDurations   []int64 // us that each plan took to its end, 0 for none
	HaltsByEvidence int     // by evidence
}

// World is one run.
type World struct {
	Setup
	Now       int64
	Violation string
	Trace     func(at int64, what string)
	// observe is told of each action of each router before it is carried out; nil for nobody.
	observe func(router string, a rollout.Action)

	rng          *rand.Rand
	events       eventqueue.Queue[func()]
	digest       *xxhash.Digest
	routers      []*router
	routerIndex  map[string]int
	nodes        []*node
	nodeByName   map[string]*node
	result       Result
	loss         float64
	duplication  float64
	faultsOver   bool
	haltsCounted map[string]bool

	holder             int
	holderIncarnation  uint64 // the process that holds the lease
	leaseUntil         int64
	term               uint64
	committed          *rollout.Record // the newest that a leader knows to be kept
	planStartedAt      map[string]int64
	grantedSlots       map[string]rollout.Slot
	commandsSent       int
	recoveredByCommand bool // an operator's word let the leader begin from what was left
}

type router struct {
	name, zone         string
	index              int
	isVoter            bool
	up                 bool
	ready              bool
	leaving            bool
	planned            bool // it is out by a plan, until it is ready again
	incarnation        uint64
	version            uint64
	nextVersion        uint64 // version that it is started with
	downAt             int64
	upAt               int64
	startupTime        int64
	partition          int
	mute, deaf         bool
	wrongVersionStarts int // times that it comes back with the version it had
	knownLeader        int // the leader that it last heard of, -1 for none
	commandRate        float64
	failureShare       float64
	counts             rollout.CommandCounts
	member             *rollout.Member
	leader             *rollout.Leader
	voter              *rollout.Voter
	durableRecord      *rollout.Record
	drainedSince       map[string]int64  // since when
	openUntil          map[string]int64  // until when it has something open at a drained node
	answersSinceReturn map[string]uint64 // answers of nodes since they were returned
}

type node struct {
	name, zone   string
	group        int
	primary      bool
	up           bool
	nearLogEnd   bool
	downAt       int64
	keepsPrimary bool // it does not hand over
	handingOver  bool
}

// New makes a run; plans start one after another in its first third.
func New(s Setup) *World {
	w := &World{Setup: s, rng: rand.New(rand.NewPCG(s.Seed, 9)), digest: xxhash.New(), routerIndex: map[string]int{}, nodeByName: map[string]*node{},
		holder: -1, planStartedAt: map[string]int64{}, grantedSlots: map[string]rollout.Slot{}, haltsCounted: map[string]bool{}}
	for i := range s.Routers {
		r := &router{name: fmt.Sprintf("r%04d", i), zone: fmt.Sprint("z", i%zoneCount), index: i, isVoter: i < s.Voters, version: 1, nextVersion: 1,
			commandRate: 5 + 30*w.rng.Float64(), failureShare: usualFailureShare * (0.5 + 1.5*w.rng.Float64())}
		w.routers, w.routerIndex[r.name] = append(w.routers, r), i
		w.start(r)
		r.ready = true
	}
	for g := range s.Groups {
		for k := range 3 {
			n := &node{name: fmt.Sprintf("s-%d%c", g, 'a'+k), zone: fmt.Sprint("z", (g+k)%zoneCount), group: g, primary: k == 0, up: true, nearLogEnd: true}
			w.nodes, w.nodeByName[n.name] = append(w.nodes, n), n
		}
	}
	w.after(0, w.renewLease)
	for i, p := range s.Plans {
		w.after(8_000_000+int64(i)*s.FaultTime/4, func() { w.sendCommand(rollout.Command{Type: rollout.CommandStart, Plan: p}, 0) })
	}
	if s.Faults {
		w.loss, w.duplication = w.rng.Float64()*0.15, w.rng.Float64()*0.2
		w.after(w.rng.Int64N(5_000_000), w.injectFault)
	}
	return w
}

func (w *World) after(d int64, do func()) { w.events.Push(w.Now+d, do) }

func (w *World) addToHash(kind int, who int, a uint64) {
	var b [32]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(w.Now))
	binary.LittleEndian.PutUint64(b[8:], uint64(kind))
	binary.LittleEndian.PutUint64(b[16:], uint64(who))
	binary.LittleEndian.PutUint64(b[24:], a)
	w.digest.Write(b[:])
}

func (w *World) trace(format string, args ...any) {
	if w.Trace != nil {
		w.Trace(w.Now, fmt.Sprintf(format, args...))
	}
}

func (w *World) violated(format string, args ...any) {
	if w.Violation == "" {
		w.Violation = fmt.Sprintf("%.3f s: ", float64(w.Now)/1e6) + fmt.Sprintf(format, args...)
		w.trace("BROKEN %s", w.Violation)
	}
}

// Run plays the whole run.
func (w *World) Run() Result {
	end := w.FaultTime + w.QuietTime
	for w.Violation == "" {
		at, do, due := w.events.Pop(end)
		if !due {
			break
		}
		w.Now = at
		w.result.Events++
		if w.Now >= w.FaultTime && !w.faultsOver {
			w.endFaults()
		}
		do()
	}
	w.Now = max(w.Now, end)
	if w.Violation == "" {
		w.checkEnd()
	}
	w.result.Hash = w.digest.Sum64()
	return w.result
}

// settle mends all that went wrong.
func (w *World) endFaults() {
	w.faultsOver = true
	w.after(20_000_000, w.recoverRecord)
	w.loss, w.duplication = 0, 0
	for _, r := range w.routers {
		r.partition, r.mute, r.deaf = 0, false, false
	}
	for _, n := range w.nodes {
		n.up, n.nearLogEnd, n.keepsPrimary = true, true, false
	}
}

// start starts a router's process anew.
func (w *World) start(r *router) {
	r.up, r.ready, r.leaving = true, false, false
	r.incarnation++
	if r.wrongVersionStarts > 0 && r.nextVersion != r.version {
		r.wrongVersionStarts--
	} else {
		r.version = r.nextVersion
	}
	r.upAt, r.startupTime, r.counts, r.knownLeader = w.Now, 200_000+w.rng.Int64N(400_000), rollout.CommandCounts{}, -1
	r.member = rollout.NewMember(r.incarnation)
	r.leader = rollout.NewLeader(r.name, w.voters())
	r.drainedSince, r.openUntil, r.answersSinceReturn = map[string]int64{}, map[string]int64{}, map[string]uint64{}
	if r.isVoter {
		kept := r.durableRecord
		if !w.DurableVoters {
			kept = nil
		}
		r.voter = rollout.NewVoter(r.incarnation, kept)
	}
	born := r.incarnation
	w.after(r.startupTime, func() { w.becomeReady(r, born) })
	w.after(w.rng.Int64N(reportInterval), func() { w.serveOneSecond(r, born) })
}

// opens lets a router take commands once it has heard what is drained, or has waited long enough for it.
func (w *World) becomeReady(r *router, born uint64) {
	if !r.up || r.incarnation != born || r.ready {
		return
	}
	if _, heard := r.member.Statement(); !heard && w.Now-r.upAt < 4_000_000 {
		w.after(100_000, func() { w.becomeReady(r, born) })
		return
	}
	r.ready, r.planned = true, false
	w.trace("%s is ready with version %d", r.name, r.version)
}

func (w *World) voters() (all []string) {
	for i := range w.Voters {
		all = append(all, fmt.Sprintf("r%04d", i))
	}
	return all
}

// kill ends a router at once; it is started again after a while.
func (w *World) kill(r *router, after int64) {
	if !r.up {
		return
	}
	w.trace("%s is killed", r.name)
	w.addToHash(1, r.index, r.incarnation)
	r.up, r.ready, r.leaving, r.downAt = false, false, false, w.Now
	w.after(after, func() {
		if !r.up {
			w.start(r)
		}
	})
}

// reach tells whether what one sends can come to another.
func (w *World) reaches(a, b *router) bool {
	return a == b || a.up && b.up && a.partition == b.partition && !a.mute && !b.deaf
}

// send delivers something to another process, perhaps, perhaps twice, perhaps late.
func (w *World) send(a, b *router, do func()) {
	w.result.Messages++
	if a == b {
		w.after(1, do)
		return
	}
	if !w.reaches(a, b) || w.rng.Float64() < w.loss {
		return
	}
	arrive := func() {
		if b.up {
			do()
		}
	}
	w.after(200+w.rng.Int64N(20_000), arrive)
	if w.rng.Float64() < w.duplication {
		late := w.rng.Int64N(50_000)
		if w.rng.IntN(4) == 0 {
			late = w.rng.Int64N(30_000_000)
		}
		w.after(200+late, arrive)
	}
}

// leads is the fleet's lease, taken as proven: one holder at a time, under terms that grow.
func (w *World) renewLease() {
	w.after(200_000, w.renewLease)
	if w.holder >= 0 {
		h := w.routers[w.holder]
		if h.up && h.incarnation == w.holderIncarnation && w.reachesMajority(h) {
			w.leaseUntil = w.Now + leaseLength
		}
		if w.Now < w.leaseUntil {
			return
		}
		if h.incarnation == w.holderIncarnation {
			h.leader.StepDown()
		}
		w.holder = -1
	}
	var all []int
	for i, r := range w.routers {
		if r.up && r.ready && !r.leaving && w.reachesMajority(r) {
			all = append(all, i)
		}
	}
	if len(all) > 0 {
		w.grantLease(all[w.rng.IntN(len(all))])
	}
}

// backed tells whether a router reaches a majority of voters, both ways.
func (w *World) reachesMajority(r *router) bool {
	n := 0
	for _, v := range w.routers[:w.Voters] {
		if w.reaches(r, v) && w.reaches(v, r) {
			n++
		}
	}
	return n > w.Voters/2
}

func (w *World) grantLease(i int) {
	w.term++
	w.result.Leaders++
	r := w.routers[i]
	w.holder, w.holderIncarnation, w.leaseUntil = i, r.incarnation, w.Now+leaseLength
	w.trace("%s leads under term %d", r.name, w.term)
	w.addToHash(2, i, w.term)
	r.leader.BecomeLeader(w.Now, w.term)
	w.observeFleet(r)
	w.carryOut(r)
	w.tickLeader(r, r.incarnation, w.term)
}

// leading tells whether a router's present process holds the lease.
func (w *World) holdsLease(r *router) bool {
	return w.holder == r.index && w.holderIncarnation == r.incarnation
}

// look tells a leader what its own router and the membership show.
func (w *World) observeFleet(r *router) {
	for _, o := range w.routers {
		switch {
		case o == r || w.reaches(r, o) && w.reaches(o, r):
			r.leader.MemberUp(o.name)
		case !o.up && w.Now-o.downAt > detectionTime:
			r.leader.MemberGone(o.name)
		}
	}
	for _, n := range w.nodes {
		r.leader.SetNode(rollout.NodeState{Name: n.name, Zone: n.zone, Group: n.group, Primary: n.primary, Up: n.up || w.Now-n.downAt < detectionTime, NearLogEnd: n.nearLogEnd, WorkShare: 1.0 / 3})
	}
}

func (w *World) tickLeader(r *router, born, term uint64) {
	if !r.up || r.incarnation != born || !w.holdsLease(r) || w.term != term {
		return
	}
	w.observeFleet(r)
	w.plantMistake(r)
	r.leader.Tick(w.Now)
	w.carryOut(r)
	w.after(250_000, func() { w.tickLeader(r, born, term) })
}

// beat is a router's second: what it served, what it reports.
func (w *World) serveOneSecond(r *router, born uint64) {
	if !r.up || r.incarnation != born {
		return
	}
	w.after(reportInterval, func() { w.serveOneSecond(r, born) })
	if r.ready {
		n := r.commandRate * (0.8 + 0.4*w.rng.Float64())
		bad := r.failureShare
		if r.version > 1 {
			bad += w.ExtraFailureShare
		}
		failed := max(0, bad*n+math.Sqrt(bad*n)*w.rng.NormFloat64())
		r.counts.Commands += uint64(n)
		r.counts.Failed += uint64(failed)
		if w.rng.Float64() < failed-math.Floor(failed) {
			r.counts.Failed++
		}
		for name := range r.answersSinceReturn {
			if w.nodeByName[name].up {
				r.answersSinceReturn[name]++
			}
		}
	}
	r.member.Tick(w.Now)
	w.carryOut(r)
	if r.knownLeader >= 0 {
		w.report(r)
	}
}

func (w *World) report(r *router) {
	said, _ := r.member.Statement()
	p := &rollout.Report{Member: r.name, Zone: r.zone, Incarnation: r.incarnation, Version: r.version, Ready: r.ready, Leaving: r.leaving, Term: said.Term, Seq: said.Seq,
		Counts: r.counts, StartupTime: r.startupTime, ResidentBytes: 20 << 20}
	if r.isVoter {
		_, p.MayHaveForgotten = r.voter.Record()
	}
	for _, name := range slices.Sorted(maps.Keys(r.drainedSince)) {
		o := rollout.NodeUse{Node: name}
		if w.Now < r.openUntil[name] {
			o.OpenCommands = 1
		}
		p.Nodes = append(p.Nodes, o)
	}
	for _, name := range slices.Sorted(maps.Keys(r.answersSinceReturn)) {
		p.Nodes = append(p.Nodes, rollout.NodeUse{Node: name, Answers: r.answersSinceReturn[name]})
	}
	to := w.routers[r.knownLeader]
	w.send(r, to, func() {
		if w.holdsLease(to) {
			to.leader.HandleReport(w.Now, p)
			w.carryOut(to)
		}
	})
}

// carryOut does what a router's parts want done, and checks what its leader commits.
func (w *World) carryOut(r *router) {
	for _, action := range r.member.TakeActions() {
		w.carryOutOne(r, action)
	}
	for _, action := range r.leader.TakeActions() {
		w.carryOutOne(r, action)
	}
	if w.holdsLease(r) {
		if _, record := r.leader.Leading(); record != nil && record != w.committed {
			w.checkCommitted(record)
		}
	}
}

func (w *World) carryOutOne(r *router, action rollout.Action) {
	if w.observe != nil {
		w.observe(r.name, action)
	}
	switch a := action.(type) {
	case rollout.ReadVoter:
		w.readVoter(r, a)
	case rollout.RequestReport:
		to := w.routers[w.routerIndex[a.Member]]
		w.send(r, to, func() {
			to.knownLeader = r.index
			w.report(to)
		})
	case rollout.WriteVoter:
		w.writeVoter(r, a)
	case rollout.SendStatement:
		to := w.routers[w.routerIndex[a.Member]]
		statement := *a.Statement
		w.send(r, to, func() { w.deliverStatement(to, &statement, r.index) })
	case rollout.QueryDrainedNodes:
		w.queryDrainedNodes(r)
	case rollout.LeaveService:
		w.leave(r, a)
	case rollout.DrainNodes:
		w.drainNodes(r, a.Nodes)
	case rollout.HandOverLead:
		w.handOverLead(r)
	case rollout.LogEvent:
		w.trace("%s: %s %s", r.name, a.PlanID, a.Text)
	case rollout.ReplyToCommand: // operators go by the committed record, see sendCommand
	}
}

func (w *World) readVoter(r *router, a rollout.ReadVoter) {
	to := w.routers[w.routerIndex[a.Voter]]
	if w.Planted == ReadsOneVoter && to.index > 0 {
		to = w.routers[0] // every voter's answer is the first one's
	}
	w.send(r, to, func() {
		state, accepted := to.voter.Read(a.Term)
		if w.Planted == HidesForgottenState {
			state.MayHaveForgotten = false
		}
		w.send(to, r, func() {
			if w.holdsLease(r) {
				r.leader.HandleReadAnswer(w.Now, a.Voter, a.Term, state, accepted)
				w.carryOut(r)
			}
		})
	})
}

func (w *World) writeVoter(r *router, a rollout.WriteVoter) {
	to := w.routers[w.routerIndex[a.Voter]]
	if w.Planted == AnnouncesBeforeCommit {
		r.leader.HandleWriteAnswer(w.Now, a.Voter, a.Record.Term, a.Record.Seq, true)
	}
	w.send(r, to, func() {
		accepted := to.voter.Write(a.Record, a.Incarnation)
		if accepted {
			to.durableRecord = a.Record
		}
		w.send(to, r, func() {
			if w.holdsLease(r) {
				r.leader.HandleWriteAnswer(w.Now, a.Voter, a.Record.Term, a.Record.Seq, accepted)
				w.carryOut(r)
			}
		})
	})
}

func (w *World) queryDrainedNodes(r *router) {
	for _, voter := range w.routers[:w.Voters] {
		w.send(r, voter, func() {
			if record, _ := voter.voter.Record(); record != nil {
				statement := rollout.DrainStatement(record)
				w.send(voter, r, func() { w.deliverStatement(r, statement, -1) })
			}
		})
	}
}

// handOverLead gives the lease up; soon after some other router may get it.
func (w *World) handOverLead(r *router) {
	if !w.holdsLease(r) {
		return
	}
	w.trace("%s yields", r.name)
	r.leader.StepDown()
	w.holder = -1
	w.after(50_000, func() {
		if w.holder >= 0 {
			return
		}
		i := w.rng.IntN(len(w.routers))
		if i != r.index && w.routers[i].ready && w.reachesMajority(w.routers[i]) {
			w.grantLease(i)
		}
	})
}

// hear hands a statement to a member.
func (w *World) deliverStatement(r *router, s *rollout.Statement, from int) {
	if w.Planted == IgnoresIncarnation && s.Instruction == rollout.InstructionLeave {
		s.Incarnation = r.incarnation
	}
	if w.Planted == AcceptsOldStatements {
		if said, heard := r.member.Statement(); heard && (s.Term < said.Term || s.Term == said.Term && s.Seq < said.Seq) {
			s.Term, s.Seq = said.Term, said.Seq+1
		}
	}
	if from >= 0 {
		r.knownLeader = from
	}
	r.member.HandleStatement(s)
	w.carryOut(r)
}

// goes lets a router leave in order, and checks that it may.
func (w *World) leave(r *router, a rollout.LeaveService) {
	w.trace("%s goes out by slot %d/%d for version %d", r.name, a.Slot.Term, a.Slot.Number, a.Version)
	w.addToHash(3, r.index, a.Slot.Number)
	if w.grantedSlots[r.name] != a.Slot {
		w.violated("%s goes out by slot %v, and a majority keeps %v", r.name, a.Slot, w.grantedSlots[r.name])
	}
	if meant := w.slotIncarnation(r.name); meant != r.incarnation {
		w.violated("%s goes out as process %d, and the slot is for process %d", r.name, r.incarnation, meant)
	}
	r.leaving, r.planned, r.ready = true, true, false
	if a.Version > 0 {
		r.nextVersion = a.Version
	}
	out := 0
	for _, one := range w.routers {
		if one.planned {
			out++
		}
	}
	w.result.MaxUnavailable = max(w.result.MaxUnavailable, out)
	if most := w.maxUnavailable(); out > most {
		w.violated("%d routers are out by plans, and %d may be", out, most)
	}
	born := r.incarnation
	w.after(300_000+w.rng.Int64N(700_000), func() {
		if r.up && r.incarnation == born {
			w.kill(r, 300_000+w.rng.Int64N(2_000_000))
		}
	})
}

// meant is the process of a router that its slot was given to, by what a majority keeps.
func (w *World) slotIncarnation(name string) uint64 {
	for _, p := range w.committed.Plans {
		if i := slices.Index(p.Plan.Units, name); i >= 0 && p.Units[i].Slot == w.grantedSlots[name] {
			return p.Units[i].Incarnation
		}
	}
	return 0
}

// most is the largest budget of a plan of routers.
func (w *World) maxUnavailable() int {
	most := 0
	for _, p := range w.Plans {
		p.SetDefaults()
		if p.Kind != rollout.KindNodes {
			most = max(most, p.Budget.Limit(w.Routers))
		}
	}
	return most
}

// drain is a router's set of drained nodes from now on.
func (w *World) drainNodes(r *router, names []string) {
	for name := range r.drainedSince {
		if !slices.Contains(names, name) {
			delete(r.drainedSince, name)
			r.answersSinceReturn[name] = 0
			w.after(60_000_000, func() { delete(r.answersSinceReturn, name) })
		}
	}
	for _, name := range names {
		delete(r.answersSinceReturn, name)
		if _, known := r.drainedSince[name]; known {
			continue
		}
		r.drainedSince[name], r.openUntil[name] = w.Now, w.Now+w.rng.Int64N(1_500_000)
		if n := w.nodeByName[name]; n.primary && !n.keepsPrimary && !n.handingOver {
			n.handingOver = true
			w.after(300_000+w.rng.Int64N(600_000), func() { w.handOver(n) })
		}
	}
}

func (w *World) handOver(n *node) {
	n.handingOver = false
	for _, o := range w.nodes {
		if o.group == n.group && o != n && o.up && o.nearLogEnd && n.primary && !w.isDrained(o.name) {
			n.primary, o.primary = false, true
			w.trace("%s hands over to %s", n.name, o.name)
			return
		}
	}
}

func (w *World) isDrained(name string) bool {
	return slices.ContainsFunc(w.routers, func(r *router) bool { _, is := r.drainedSince[name]; return r.up && is })
}
