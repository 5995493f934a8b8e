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
	Seed    uint64
	Routers int
	Voters  int
	Groups  int // of three nodes each
	Lasting bool
	Faults  bool
	Bad     float64 // share of commands that the new version fails, beside the usual
	Plans   []rollout.Plan
	Span    int64 // us of faults; then all is mended
	After   int64 // us to play behind it
	Planted Mistake
}

// Mistake is a planted one.
type Mistake int

// The planted mistakes.
const (
	None          Mistake = iota
	FreesByTime           // a slot is free after a while, whether the unit is back or not
	NoUnplanned           // what is out unplanned does not count
	TellsFirst            // members are told before voters keep it
	ReadsOne              // a new leader reads one voter
	ForgetsBlank          // a voter that forgot answers as if nothing had ever been
	AnyProcess            // what a member is told counts for its next process too
	OldStatements         // members heed statements that come late
	LeavesOpen            // a node counts as unused before all routers in sight have said so
	NoHandOver            // a drained primary counts as unused before another one leads
	NoGroups              // nodes of one group go out together
	Mistakes
)

// String names the mistake.
func (m Mistake) String() string {
	return [...]string{"none", "frees-by-time", "no-unplanned", "tells-first", "reads-one", "forgets-blank", "any-process", "old-statements",
		"leaves-open", "no-hand-over", "no-groups"}[m]
}

const (
	beat     = 1_000_000
	lease    = 3_000_000
	detect   = 2_000_000 // us after which membership tells of a loss
	zones    = 3
	usualBad = 0.004
	known    = 8_000_000 // us after which an unplanned loss must have been seen
)

// Figures are what a run measured.
type Figures struct {
	Hash     uint64
	Events   int64
	Messages int64
	Leaders  int
	Most     int     // routers out by plans at once
	Done     []int64 // us that each plan took to its end, 0 for none
	Halts    int     // by evidence
}

// World is one run.
type World struct {
	Setup
	Now    int64
	Broken string
	Trace  func(at int64, what string)
	// observe is told of each action of each router before it is carried out; nil for nobody.
	observe func(router string, o rollout.Out)

	rng     *rand.Rand
	events  eventqueue.Queue[func()]
	digest  *xxhash.Digest
	routers []*router
	byName  map[string]int
	nodes   []*node
	node    map[string]*node
	fig     Figures
	loss    float64
	twice   float64
	quiet   bool
	halts   map[string]bool

	holder  int
	holds   uint64 // the process that holds the lease
	until   int64
	term    uint64
	told    *rollout.Record // the newest that a leader knows to be kept
	started map[string]int64
	given   map[string]rollout.Slot
	words   int
	pardon  bool // an operator's word let the leader begin from what was left
}

type router struct {
	name, zone string
	index      int
	vote       bool
	up         bool
	ready      bool
	leaving    bool
	planned    bool // it is out by a plan, until it is ready again
	born       uint64
	version    uint64
	next       uint64 // version that it is started with
	downAt     int64
	upAt       int64
	startedIn  int64
	side       int
	mute, deaf bool
	wrong      int // times that it comes back with the version it had
	chief      int // the leader that it last heard of, -1 for none
	rate       float64
	bad        float64
	served     rollout.CommandCounts
	member     *rollout.Member
	leader     *rollout.Leader
	ledger     *rollout.Voter
	kept       *rollout.Record
	drains     map[string]int64  // since when
	open       map[string]int64  // until when it has something open at a drained node
	returned   map[string]uint64 // answers of nodes since they were returned
}

type node struct {
	name, zone string
	group      int
	primary    bool
	up         bool
	near       bool
	downAt     int64
	stays      bool // it does not hand over
	handing    bool
}

// New makes a run; plans start one after another in its first third.
func New(s Setup) *World {
	w := &World{Setup: s, rng: rand.New(rand.NewPCG(s.Seed, 9)), digest: xxhash.New(), byName: map[string]int{}, node: map[string]*node{},
		holder: -1, started: map[string]int64{}, given: map[string]rollout.Slot{}, halts: map[string]bool{}}
	for i := range s.Routers {
		r := &router{name: fmt.Sprintf("r%04d", i), zone: fmt.Sprint("z", i%zones), index: i, vote: i < s.Voters, version: 1, next: 1,
			rate: 5 + 30*w.rng.Float64(), bad: usualBad * (0.5 + 1.5*w.rng.Float64())}
		w.routers, w.byName[r.name] = append(w.routers, r), i
		w.start(r)
		r.ready = true
	}
	for g := range s.Groups {
		for k := range 3 {
			n := &node{name: fmt.Sprintf("s-%d%c", g, 'a'+k), zone: fmt.Sprint("z", (g+k)%zones), group: g, primary: k == 0, up: true, near: true}
			w.nodes, w.node[n.name] = append(w.nodes, n), n
		}
	}
	w.after(0, w.leads)
	for i, p := range s.Plans {
		w.after(8_000_000+int64(i)*s.Span/4, func() { w.word(rollout.Command{Type: rollout.CommandStart, Plan: p}, 0) })
	}
	if s.Faults {
		w.loss, w.twice = w.rng.Float64()*0.15, w.rng.Float64()*0.2
		w.after(w.rng.Int64N(5_000_000), w.fault)
	}
	return w
}

func (w *World) after(d int64, do func()) { w.events.Push(w.Now+d, do) }

func (w *World) note(kind int, who int, a uint64) {
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

func (w *World) broken(format string, args ...any) {
	if w.Broken == "" {
		w.Broken = fmt.Sprintf("%.3f s: ", float64(w.Now)/1e6) + fmt.Sprintf(format, args...)
		w.trace("BROKEN %s", w.Broken)
	}
}

// Run plays the whole run.
func (w *World) Run() Figures {
	end := w.Span + w.After
	for w.Broken == "" {
		at, do, due := w.events.Pop(end)
		if !due {
			break
		}
		w.Now = at
		w.fig.Events++
		if w.Now >= w.Span && !w.quiet {
			w.settle()
		}
		do()
	}
	w.Now = max(w.Now, end)
	if w.Broken == "" {
		w.ends()
	}
	w.fig.Hash = w.digest.Sum64()
	return w.fig
}

// settle mends all that went wrong.
func (w *World) settle() {
	w.quiet = true
	w.after(20_000_000, w.answer)
	w.loss, w.twice = 0, 0
	for _, r := range w.routers {
		r.side, r.mute, r.deaf = 0, false, false
	}
	for _, n := range w.nodes {
		n.up, n.near, n.stays = true, true, false
	}
}

// start starts a router's process anew.
func (w *World) start(r *router) {
	r.up, r.ready, r.leaving = true, false, false
	r.born++
	if r.wrong > 0 && r.next != r.version {
		r.wrong--
	} else {
		r.version = r.next
	}
	r.upAt, r.startedIn, r.served, r.chief = w.Now, 200_000+w.rng.Int64N(400_000), rollout.CommandCounts{}, -1
	r.member = rollout.NewMember(r.born)
	r.leader = rollout.NewLeader(r.name, w.voters())
	r.drains, r.open, r.returned = map[string]int64{}, map[string]int64{}, map[string]uint64{}
	if r.vote {
		kept := r.kept
		if !w.Lasting {
			kept = nil
		}
		r.ledger = rollout.NewVoter(r.born, kept)
	}
	born := r.born
	w.after(r.startedIn, func() { w.opens(r, born) })
	w.after(w.rng.Int64N(beat), func() { w.beat(r, born) })
}

// opens lets a router take commands once it has heard what is drained, or has waited long enough for it.
func (w *World) opens(r *router, born uint64) {
	if !r.up || r.born != born || r.ready {
		return
	}
	if _, heard := r.member.Statement(); !heard && w.Now-r.upAt < 4_000_000 {
		w.after(100_000, func() { w.opens(r, born) })
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
	w.note(1, r.index, r.born)
	r.up, r.ready, r.leaving, r.downAt = false, false, false, w.Now
	w.after(after, func() {
		if !r.up {
			w.start(r)
		}
	})
}

// reach tells whether what one sends can come to another.
func (w *World) reach(a, b *router) bool {
	return a == b || a.up && b.up && a.side == b.side && !a.mute && !b.deaf
}

// send delivers something to another process, perhaps, perhaps twice, perhaps late.
func (w *World) send(a, b *router, do func()) {
	w.fig.Messages++
	if a == b {
		w.after(1, do)
		return
	}
	if !w.reach(a, b) || w.rng.Float64() < w.loss {
		return
	}
	arrive := func() {
		if b.up {
			do()
		}
	}
	w.after(200+w.rng.Int64N(20_000), arrive)
	if w.rng.Float64() < w.twice {
		late := w.rng.Int64N(50_000)
		if w.rng.IntN(4) == 0 {
			late = w.rng.Int64N(30_000_000)
		}
		w.after(200+late, arrive)
	}
}

// leads is the fleet's lease, taken as proven: one holder at a time, under terms that grow.
func (w *World) leads() {
	w.after(200_000, w.leads)
	if w.holder >= 0 {
		h := w.routers[w.holder]
		if h.up && h.born == w.holds && w.backed(h) {
			w.until = w.Now + lease
		}
		if w.Now < w.until {
			return
		}
		if h.born == w.holds {
			h.leader.StepDown()
		}
		w.holder = -1
	}
	var all []int
	for i, r := range w.routers {
		if r.up && r.ready && !r.leaving && w.backed(r) {
			all = append(all, i)
		}
	}
	if len(all) > 0 {
		w.lead(all[w.rng.IntN(len(all))])
	}
}

// backed tells whether a router reaches a majority of voters, both ways.
func (w *World) backed(r *router) bool {
	n := 0
	for _, v := range w.routers[:w.Voters] {
		if w.reach(r, v) && w.reach(v, r) {
			n++
		}
	}
	return n > w.Voters/2
}

func (w *World) lead(i int) {
	w.term++
	w.fig.Leaders++
	r := w.routers[i]
	w.holder, w.holds, w.until = i, r.born, w.Now+lease
	w.trace("%s leads under term %d", r.name, w.term)
	w.note(2, i, w.term)
	r.leader.BecomeLeader(w.Now, w.term)
	w.look(r)
	w.carry(r)
	w.ticks(r, r.born, w.term)
}

// leading tells whether a router's present process holds the lease.
func (w *World) leading(r *router) bool { return w.holder == r.index && w.holds == r.born }

// look tells a leader what its own router and the membership show.
func (w *World) look(r *router) {
	for _, o := range w.routers {
		switch {
		case o == r || w.reach(r, o) && w.reach(o, r):
			r.leader.MemberUp(o.name)
		case !o.up && w.Now-o.downAt > detect:
			r.leader.MemberGone(o.name)
		}
	}
	for _, n := range w.nodes {
		r.leader.SetNode(rollout.NodeState{Name: n.name, Zone: n.zone, Group: n.group, Primary: n.primary, Up: n.up || w.Now-n.downAt < detect, NearLogEnd: n.near, WorkShare: 1.0 / 3})
	}
}

func (w *World) ticks(r *router, born, term uint64) {
	if !r.up || r.born != born || !w.leading(r) || w.term != term {
		return
	}
	w.look(r)
	w.plant(r)
	r.leader.Tick(w.Now)
	w.carry(r)
	w.after(250_000, func() { w.ticks(r, born, term) })
}

// beat is a router's second: what it served, what it reports.
func (w *World) beat(r *router, born uint64) {
	if !r.up || r.born != born {
		return
	}
	w.after(beat, func() { w.beat(r, born) })
	if r.ready {
		n := r.rate * (0.8 + 0.4*w.rng.Float64())
		bad := r.bad
		if r.version > 1 {
			bad += w.Bad
		}
		failed := max(0, bad*n+math.Sqrt(bad*n)*w.rng.NormFloat64())
		r.served.Commands += uint64(n)
		r.served.Failed += uint64(failed)
		if w.rng.Float64() < failed-math.Floor(failed) {
			r.served.Failed++
		}
		for name := range r.returned {
			if w.node[name].up {
				r.returned[name]++
			}
		}
	}
	r.member.Tick(w.Now)
	w.carry(r)
	if r.chief >= 0 {
		w.report(r)
	}
}

func (w *World) report(r *router) {
	said, _ := r.member.Statement()
	p := &rollout.Report{Member: r.name, Zone: r.zone, Incarnation: r.born, Version: r.version, Ready: r.ready, Leaving: r.leaving, Term: said.Term, Seq: said.Seq,
		Counts: r.served, StartupTime: r.startedIn, ResidentBytes: 20 << 20}
	if r.vote {
		_, p.MayHaveForgotten = r.ledger.Record()
	}
	for _, name := range slices.Sorted(maps.Keys(r.drains)) {
		o := rollout.NodeUse{Node: name}
		if w.Now < r.open[name] {
			o.OpenCommands = 1
		}
		p.Nodes = append(p.Nodes, o)
	}
	for _, name := range slices.Sorted(maps.Keys(r.returned)) {
		p.Nodes = append(p.Nodes, rollout.NodeUse{Node: name, Answers: r.returned[name]})
	}
	to := w.routers[r.chief]
	w.send(r, to, func() {
		if w.leading(to) {
			to.leader.HandleReport(w.Now, p)
			w.carry(to)
		}
	})
}

// carry does what a router's parts ask for.
func (w *World) carry(r *router) {
	for _, o := range r.member.TakeActions() {
		w.do(r, o)
	}
	for _, o := range r.leader.TakeActions() {
		w.do(r, o)
	}
	if w.leading(r) {
		if _, rec := r.leader.Leading(); rec != nil && rec != w.told {
			w.kept(rec)
		}
	}
}

func (w *World) do(r *router, o rollout.Out) {
	if w.observe != nil {
		w.observe(r.name, o)
	}
	switch o.Act {
	case rollout.Ask:
		to := w.routers[w.byName[o.To]]
		if w.Planted == ReadsOne && to.index > 0 {
			to = w.routers[0] // every voter's answer is the first one's
		}
		w.send(r, to, func() {
			k, ok := to.ledger.Read(o.Term)
			if w.Planted == ForgetsBlank {
				k.MayHaveForgotten = false
			}
			w.send(to, r, func() {
				if w.leading(r) {
					r.leader.HandleReadAnswer(w.Now, o.To, o.Term, k, ok)
					w.carry(r)
				}
			})
		})
	case rollout.Call:
		to := w.routers[w.byName[o.To]]
		w.send(r, to, func() {
			to.chief = r.index
			w.report(to)
		})
	case rollout.Write:
		to := w.routers[w.byName[o.To]]
		if w.Planted == TellsFirst {
			r.leader.HandleWriteAnswer(w.Now, o.To, o.Record.Term, o.Record.Seq, true)
		}
		w.send(r, to, func() {
			ok := to.ledger.Write(o.Record, o.Born)
			if ok {
				to.kept = o.Record
			}
			w.send(to, r, func() {
				if w.leading(r) {
					r.leader.HandleWriteAnswer(w.Now, o.To, o.Record.Term, o.Record.Seq, ok)
					w.carry(r)
				}
			})
		})
	case rollout.Say:
		to := w.routers[w.byName[o.To]]
		s := *o.Statement
		w.send(r, to, func() { w.hear(to, &s, r.index) })
	case rollout.Seek:
		for _, v := range w.routers[:w.Voters] {
			w.send(r, v, func() {
				if rec, _ := v.ledger.Record(); rec != nil {
					s := rollout.DrainStatement(rec)
					w.send(v, r, func() { w.hear(r, s, -1) })
				}
			})
		}
	case rollout.Go:
		w.goes(r, o)
	case rollout.Drain:
		w.drain(r, o.Nodes)
	case rollout.Yield:
		if w.leading(r) {
			w.trace("%s yields", r.name)
			r.leader.StepDown()
			w.holder = -1
			w.after(50_000, func() {
				if w.holder < 0 {
					if i := w.rng.IntN(len(w.routers)); i != r.index && w.routers[i].ready && w.backed(w.routers[i]) {
						w.lead(i)
					}
				}
			})
		}
	case rollout.Note:
		w.trace("%s: %s %s", r.name, o.Plan, o.Why)
	}
}

// hear hands a statement to a member.
func (w *World) hear(r *router, s *rollout.Statement, from int) {
	if w.Planted == AnyProcess && s.Instruction == rollout.InstructionLeave {
		s.Incarnation = r.born
	}
	if w.Planted == OldStatements {
		if said, heard := r.member.Statement(); heard && (s.Term < said.Term || s.Term == said.Term && s.Seq < said.Seq) {
			s.Term, s.Seq = said.Term, said.Seq+1
		}
	}
	if from >= 0 {
		r.chief = from
	}
	r.member.HandleStatement(w.Now, s)
	w.carry(r)
}

// goes lets a router leave in order, and checks that it may.
func (w *World) goes(r *router, o rollout.Out) {
	w.trace("%s goes out by slot %d/%d for version %d", r.name, o.Slot.Term, o.Slot.Number, o.Want)
	w.note(3, r.index, o.Slot.Number)
	if w.given[r.name] != o.Slot {
		w.broken("%s goes out by slot %v, and a majority keeps %v", r.name, o.Slot, w.given[r.name])
	}
	if meant := w.meant(r.name); meant != r.born {
		w.broken("%s goes out as process %d, and the slot is for process %d", r.name, r.born, meant)
	}
	r.leaving, r.planned, r.ready = true, true, false
	if o.Want > 0 {
		r.next = o.Want
	}
	out := 0
	for _, one := range w.routers {
		if one.planned {
			out++
		}
	}
	w.fig.Most = max(w.fig.Most, out)
	if most := w.most(); out > most {
		w.broken("%d routers are out by plans, and %d may be", out, most)
	}
	born := r.born
	w.after(300_000+w.rng.Int64N(700_000), func() {
		if r.up && r.born == born {
			w.kill(r, 300_000+w.rng.Int64N(2_000_000))
		}
	})
}

// meant is the process of a router that its slot was given to, by what a majority keeps.
func (w *World) meant(name string) uint64 {
	for _, p := range w.told.Plans {
		if i := slices.Index(p.Plan.Units, name); i >= 0 && p.Units[i].Slot == w.given[name] {
			return p.Units[i].Incarnation
		}
	}
	return 0
}

// most is the largest budget of a plan of routers.
func (w *World) most() int {
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
func (w *World) drain(r *router, names []string) {
	for name := range r.drains {
		if !slices.Contains(names, name) {
			delete(r.drains, name)
			r.returned[name] = 0
			w.after(60_000_000, func() { delete(r.returned, name) })
		}
	}
	for _, name := range names {
		delete(r.returned, name)
		if _, known := r.drains[name]; known {
			continue
		}
		r.drains[name], r.open[name] = w.Now, w.Now+w.rng.Int64N(1_500_000)
		if n := w.node[name]; n.primary && !n.stays && !n.handing {
			n.handing = true
			w.after(300_000+w.rng.Int64N(600_000), func() { w.handOver(n) })
		}
	}
}

func (w *World) handOver(n *node) {
	n.handing = false
	for _, o := range w.nodes {
		if o.group == n.group && o != n && o.up && o.near && n.primary && !w.drainedNow(o.name) {
			n.primary, o.primary = false, true
			w.trace("%s hands over to %s", n.name, o.name)
			return
		}
	}
}

func (w *World) drainedNow(name string) bool {
	return slices.ContainsFunc(w.routers, func(r *router) bool { _, is := r.drains[name]; return r.up && is })
}
