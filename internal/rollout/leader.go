package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Act is a thing to do.
type Act uint8

// What Take returns, in the order in which to do it.
const (
	Ask   Act = iota + 1 // leader: read the voter To under the term
	Call                 // leader: the member To is to report here
	Write                // leader: write the Record to the process Born of the voter To
	Say                  // leader: tell the member To the Statement
	Reply                // leader: the word with this Token was taken, or refused for Why
	Yield                // leader: let another one lead, for this one is to go out
	Go                   // member: leave in order, and be started with the version Want
	Drain                // member: nothing new to these Nodes, and to no others for this reason
	Seek                 // member: ask voters what is drained
	Note                 // worth a line in the log
)

// Out is one thing to do.
type Out struct {
	Act       Act
	To        string
	Term      uint64
	Born      uint64
	Record    *Record
	Statement *Statement
	Slot      Slot
	Want      uint64
	Nodes     []string
	Token     string
	Plan      string
	Why       string
}

// Verb is what an operator says.
type Verb uint8

// An operator's verbs.
const (
	Start  Verb = iota + 1 // begin a plan
	Halt                   // nobody new goes out
	Resume                 // go on
	Back                   // what it touched goes back
	Forget                 // take a unit out of the plan, with its slot: the operator answers for it
	Return                 // bring a drained node back
	Begin                  // go on from what is left, though voters have forgotten
)

// Word is an operator's. A token that was taken before is taken as the same word.
type Word struct {
	Verb  Verb
	Token string
	Plan  Plan   // Start
	ID    string // of the plan that it is about
	Unit  string // Forget, Return
}

// Box is a node as the leader's own router knows it.
type Box struct {
	Name, Zone string
	Group      int
	Primary    bool
	Up         bool    // listed as up, and not silent
	Near       bool    // its position is proven near the log's end
	Work       float64 // its share of its group's usual work
}

const (
	sayEvery   = 1_000_000  // us between statements to each member
	againEvery = 1_000_000  // us between writes to voters that have not answered
	silent     = 3_500_000  // us after its last report in which a member is in sight: three may be lost
	settle     = 5_000_000  // us after a leader began in which nobody goes out: it has to see who is there
	servedMin  = 20         // commands after its return by which a router proves that it serves
	idleMore   = 4          // watches after which one that had nothing to serve counts as proven
	watchMore  = 8          // watches at most until a wave has been judged on enough commands
	doubtMore  = 16         // the same of a wave whose routers do worse, and not yet surely so
	triesMost  = 2          // times that a unit goes out to go back, before it is stuck
	yieldEvery = 10_000_000 // us between attempts to let another one lead
	sightLeast = 0.5        // share of a plan's units that must be in sight
	nearEnd    = 3_000_000  // us behind the clock at which a position is near the log's end: probes come each second or two
	failsMost  = 0.5        // share of failed commands from which a returned router is not healthy
)

// seen is what a leader knows of one member.
type seen struct {
	r       Report
	at      int64
	backAt  int64 // when its present process was first heard of
	atStart Served
}

// follow is what a leader has in mind of a plan beside its record; a later leader begins it anew.
type follow struct {
	moved   int64 // when a unit last changed
	watch   int64 // since when the wave is watched, 0 for not
	judge   *judge
	refused string // why nobody went out last
	since   []int64
}

// Near tells whether a replica that is so far behind counts as near the log's end, in us.
func Near(behind int64) bool { return behind <= nearEnd }

// Leader is the part of whoever holds the lease.
type Leader struct {
	self   string
	voters []string

	term    uint64 // 0 where it does not lead
	begun   int64
	reads   map[string]Kept
	askAt   int64
	doubt   string // why it can't lead though it has the term
	rec     *Record
	dirty   bool
	told    *Record // a majority keeps it
	flight  *Record // written, not yet kept by a majority
	acks    map[string]bool
	born    map[string]uint64 // of voters' processes
	writeAt int64
	sayAt   int64
	yieldAt int64
	replies []reply

	members map[string]*seen
	boxes   map[string]*Box
	groups  map[int][]*Box
	plans   map[string]*follow
	out     []Out
}

type reply struct {
	token string
	seq   uint64
}

// NewLeader makes one that does not lead yet.
func NewLeader(self string, voters []string) *Leader {
	return &Leader{self: self, voters: voters, members: map[string]*seen{}, boxes: map[string]*Box{}, groups: map[int][]*Box{}}
}

// Take returns what is to be done, in order.
func (l *Leader) Take() []Out {
	out := l.out
	l.out = nil
	return out
}

// Leads tells under which term it leads, with what a majority keeps; 0 and nil where it does not.
func (l *Leader) Leads() (term uint64, r *Record) {
	if l.told == nil {
		return 0, nil
	}
	return l.term, l.told
}

// Doubt is why it holds the lease and does not lead, "" where it does.
func (l *Leader) Doubt() string { return l.doubt }

func (l *Leader) note(plan, format string, args ...any) {
	l.out = append(l.out, Out{Act: Note, Plan: plan, Why: fmt.Sprintf(format, args...)})
}

// Lead begins under a term of the lease.
func (l *Leader) Lead(now int64, term uint64) {
	l.Lost()
	l.term, l.begun = term, now
	l.reads, l.acks, l.born, l.plans = map[string]Kept{}, map[string]bool{}, map[string]uint64{}, map[string]*follow{}
	l.askAt, l.doubt = now, "it reads what voters keep"
	l.Tick(now)
}

// Carried goes on under a later term of the same tenure: nobody else has led in between, so nothing has to be read.
func (l *Leader) Carried(now int64, term uint64) {
	if l.told == nil {
		l.Lead(now, term)
		return
	}
	l.term, l.rec.Term, l.rec.Seq, l.flight, l.dirty = term, term, 0, nil, true
	for i := range l.replies {
		l.replies[i].seq = 1
	}
	l.write(now)
}

// Lost ends its part; members are told nothing, for another one may lead.
func (l *Leader) Lost() {
	l.term, l.told, l.rec, l.flight, l.dirty, l.replies, l.doubt = 0, nil, nil, nil, false, nil, ""
}

func (l *Leader) majority() int { return len(l.voters)/2 + 1 }

// HearRead takes a voter's answer to Ask.
func (l *Leader) HearRead(now int64, voter string, term uint64, k Kept, ok bool) {
	if term != l.term || l.term == 0 || !slices.Contains(l.voters, voter) {
		return
	}
	if !ok {
		l.note("", "%s has heard of a later leader", voter)
		l.Lost()
		return
	}
	l.born[voter] = k.Born
	if l.rec != nil {
		return
	}
	l.reads[voter] = k
	l.begin(now, false)
}

// begin goes on from the newest record that voters keep, where it is sure that none is newer: a majority has not
// forgotten, or all have, and no member ever heard of a record. An operator's word stands for that.
func (l *Leader) begin(now int64, word bool) {
	remember, all := 0, 0
	var newest *Record
	for _, k := range l.reads {
		all++
		if !k.Blank {
			remember++
		}
		if k.Record != nil && (newest == nil || newer(k.Record.Term, k.Record.Seq, newest.Term, newest.Seq)) {
			newest = k.Record
		}
	}
	fresh := all == len(l.voters) && remember == 0 && now-l.begun >= settle
	for name, m := range l.members {
		fresh = fresh && l.sight(now, name) && m.r.Term == 0
	}
	switch {
	case remember >= l.majority() || word && all >= l.majority():
	case fresh:
	case all >= l.majority():
		l.doubt = fmt.Sprintf("%d of %d voters have forgotten what they kept: wait for the others, or say begin", all-remember, len(l.voters))
		return
	default:
		l.doubt = fmt.Sprintf("%d of %d voters answer", all, len(l.voters))
		return
	}
	l.rec = &Record{}
	if newest != nil {
		l.rec = newest.Clone()
	}
	l.rec.Term, l.rec.Seq = l.term, 0
	for _, name := range l.rec.Members {
		l.Up(name)
	}
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		l.enrol(name)
	}
	l.doubt = "it writes to voters"
	l.dirty = true
	l.write(now)
}

// write hands the record to voters, one write after another, and each again until a majority keeps it.
func (l *Leader) write(now int64) {
	if l.rec == nil {
		return
	}
	if l.flight == nil && l.dirty {
		l.rec.Seq++
		l.flight, l.dirty, l.acks, l.writeAt = l.rec.Clone(), false, map[string]bool{}, now
	}
	if l.flight == nil || now < l.writeAt {
		return
	}
	l.writeAt = now + againEvery
	for _, v := range l.voters {
		if born, known := l.born[v]; known && !l.acks[v] {
			l.out = append(l.out, Out{Act: Write, To: v, Born: born, Record: l.flight})
		}
	}
}

// HearWrite takes a voter's answer to Write.
func (l *Leader) HearWrite(now int64, voter string, term, seq uint64, ok bool) {
	if l.flight == nil || term != l.term || seq != l.flight.Seq || !ok || !slices.Contains(l.voters, voter) {
		return
	}
	l.acks[voter] = true
	if len(l.acks) < l.majority() {
		return
	}
	was := l.told
	l.told, l.flight = l.flight, nil
	if was == nil {
		l.doubt = ""
		l.begun = now
		l.note("", "leads under term %d with %d plans", l.term, len(l.told.Plans))
	}
	kept := l.replies[:0]
	for _, r := range l.replies {
		if r.seq <= l.told.Seq {
			l.out = append(l.out, Out{Act: Reply, Token: r.token})
		} else {
			kept = append(kept, r)
		}
	}
	l.replies = kept
	l.say(was)
	l.write(now)
}

// say tells members what a majority keeps: all of them, or, behind a write, those whom it concerns.
func (l *Leader) say(was *Record) {
	some := drains(l.told)
	changed := was == nil || !slices.Equal(some, drains(was))
	leave := map[string]*Statement{}
	for _, p := range l.told.Plans {
		if p.Plan.Kind == Nodes {
			continue
		}
		for i, u := range p.Units {
			if u.Phase == Going {
				leave[p.Plan.Units[i]] = &Statement{Do: Leave, Slot: u.Slot, Born: u.Born, Want: p.target(i)}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		s := leave[name]
		if s == nil && !changed {
			continue
		}
		if s == nil {
			s = &Statement{}
		}
		s.Term, s.Seq, s.Drains = l.told.Term, l.told.Seq, some
		l.out = append(l.out, Out{Act: Say, To: name, Statement: s})
	}
}

// target is the version that a unit is to have on its way.
func (p *Progress) target(i int) uint64 {
	switch {
	case p.Plan.Kind != Version:
		return 0
	case p.Units[i].Back:
		return p.Plan.Was
	}
	return p.Plan.Want
}

// HearReport takes a member's report.
func (l *Leader) HearReport(now int64, r *Report) {
	m := l.members[r.Member]
	if m == nil {
		m = &seen{backAt: now, atStart: r.Served}
		l.members[r.Member] = m
		l.enrol(r.Member)
	} else if m.r.Born != r.Born {
		m.backAt, m.atStart = now, Served{}
	}
	before := *m
	m.r, m.at = *r, now
	if slices.Contains(l.voters, r.Member) && l.term > 0 && (l.born[r.Member] != r.Born || r.Blank) {
		l.heal(r)
	}
	if l.told == nil {
		return
	}
	for _, p := range l.rec.Plans {
		if p.Plan.Kind != Nodes {
			l.evidence(now, p, &before, m)
		}
	}
}

// heal writes what is kept to a voter that has forgotten: the next leader counts on it.
func (l *Leader) heal(r *Report) {
	if l.born[r.Member] != r.Born {
		l.born[r.Member] = r.Born
		delete(l.acks, r.Member)
	}
	if l.told != nil && l.flight == nil {
		l.out = append(l.out, Out{Act: Write, To: r.Member, Born: r.Born, Record: l.told})
	}
}

// evidence counts what a router did since its last report to the side on which it stands.
func (l *Leader) evidence(now int64, p *Progress, was, is *seen) {
	f := l.plans[p.Plan.ID]
	if f == nil || p.State != Running {
		return
	}
	i := slices.Index(p.Plan.Units, is.r.Member)
	s := &f.judge.others
	if i >= 0 && p.Units[i].Phase != Waits {
		if p.Units[i].Phase != Done && p.Units[i].Phase != Returning || p.Units[i].Back || is.r.Born == p.Units[i].Born {
			return
		}
		s = &f.judge.touched
	}
	name := is.r.Member
	switch {
	case was.at == 0:
		return
	case was.r.Born == is.r.Born && is.r.Served.grew(was.r.Served):
		s.by[name] = s.by[name].add(is.r.Served.less(was.r.Served))
		s.span += now - was.at
	case was.r.Born != is.r.Born && (i < 0 || p.Units[i].Phase != Returning || was.r.Born != p.Units[i].Born):
		s.crashed++
	}
	if is.r.StartedIn > 0 {
		s.starts[name] = is.r.StartedIn
	}
	if is.r.Heap > 0 {
		s.heaps[name] = is.r.Heap
	}
}

// Up tells that a member is there, before it has reported.
func (l *Leader) Up(member string) {
	if l.members[member] == nil {
		l.members[member] = &seen{r: Report{Member: member}}
	}
	l.enrol(member)
}

// enrol notes in the record that there is such a member.
func (l *Leader) enrol(member string) {
	if l.rec == nil {
		return
	}
	if i, there := slices.BinarySearch(l.rec.Members, member); !there {
		l.rec.Members = slices.Insert(l.rec.Members, i, member)
		l.dirty = true
	}
}

// strike takes a member out that is not missed any more.
func (l *Leader) strike(member string) {
	delete(l.members, member)
	if i, there := slices.BinarySearch(l.rec.Members, member); there {
		l.rec.Members = slices.Delete(l.rec.Members, i, i+1)
		l.dirty = true
	}
}

// Gone tells that a member is gone. It is missed until it is back or forgotten, also where it left in order: an operator
// who restarts it by hand takes it out as much as a plan does.
func (l *Leader) Gone(member string) {
	if m := l.members[member]; m != nil {
		m.at = 0
	}
}

// SetBox tells of a node; a later call stands for the earlier.
func (l *Leader) SetBox(b Box) {
	if l.boxes[b.Name] == nil {
		l.boxes[b.Name] = &Box{Group: b.Group}
		l.groups[b.Group] = append(l.groups[b.Group], l.boxes[b.Name])
	}
	*l.boxes[b.Name] = b
}

// sight tells whether a member is in sight.
func (l *Leader) sight(now int64, name string) bool {
	m := l.members[name]
	return m != nil && m.at > 0 && now-m.at < silent
}

// tally is what is out at a moment, by sort of unit.
type tally struct {
	known   int // units of that sort
	out     int
	zone    map[string]int
	group   map[int]int
	work    map[int]float64
	voters  int
	planned map[string]bool
}

// count finds what is out now: what holds a slot of any plan, and what is out unplanned.
func (l *Leader) count(now int64, nodes bool) *tally {
	t := &tally{zone: map[string]int{}, group: map[int]int{}, work: map[int]float64{}, planned: map[string]bool{}}
	units := map[string]bool{}
	for _, p := range l.rec.Plans {
		if nodes != (p.Plan.Kind == Nodes) {
			continue
		}
		for i, name := range p.Plan.Units {
			if p.Units[i].Phase != Forgotten && !p.State.Over() {
				units[name] = true
			}
			if p.Units[i].Phase.Holds() {
				t.planned[name] = true
			}
		}
	}
	if nodes {
		for name := range l.boxes {
			units[name] = true
		}
	} else {
		for name := range l.members {
			units[name] = true
		}
	}
	t.known = len(units)
	for name := range units {
		if nodes {
			b := l.boxes[name]
			if t.planned[name] || b == nil || !b.Up {
				t.add(name, l)
			}
			continue
		}
		down := t.planned[name] || !l.sight(now, name) || !l.members[name].r.Ready
		if down {
			t.add(name, l)
		}
		if slices.Contains(l.voters, name) && (down || l.members[name].r.Blank) {
			t.voters++
		}
	}
	return t
}

// add counts one more that is out.
func (t *tally) add(name string, l *Leader) {
	t.out++
	if b := l.boxes[name]; b != nil {
		t.zone[b.Zone]++
		t.group[b.Group]++
		t.work[b.Group] += b.Work
	} else if m := l.members[name]; m != nil {
		t.zone[m.r.Zone]++
	}
}

// Bound is how many of so many may be out at once.
func (b *Budget) Bound(known int) int {
	n := max(1, int(b.Share*float64(known)))
	if b.Most > 0 {
		n = min(n, b.Most)
	}
	return n
}

// room says why a unit may not go out now, "" where it may. It holds already where it has a slot.
func (l *Leader) room(now int64, p *Progress, name string, t *tally) string {
	b := &p.Plan.Budget
	if most := b.Bound(t.known); t.out >= most {
		return fmt.Sprintf("%d of %d are out, planned or not, and %d may be", t.out, t.known, most)
	}
	zone := ""
	box, m := l.boxes[name], l.members[name]
	if p.Plan.Kind == Nodes {
		if box == nil || !box.Up {
			return name + " is out already"
		}
		zone = box.Zone
	} else {
		if !l.sight(now, name) {
			return name + " is not in sight"
		}
		zone = m.r.Zone
	}
	if b.Zone > 0 && t.zone[zone] >= b.Zone {
		return fmt.Sprintf("%d of zone %s are out, and %d may be", t.zone[zone], zone, b.Zone)
	}
	if p.Plan.Kind == Nodes {
		return l.groupRoom(b, box, t)
	}
	if slices.Contains(l.voters, name) && t.voters+1 > (len(l.voters)-1)/2 {
		return fmt.Sprintf("%d of %d voters are out or have forgotten", t.voters, len(l.voters))
	}
	return ""
}

// groupRoom is the part of room that concerns a node's group: who is left, and whether anybody can lead.
func (l *Leader) groupRoom(b *Budget, box *Box, t *tally) string {
	group := box.Group
	if t.group[group] >= b.Group {
		return fmt.Sprintf("%d of group %d are out, and %d may be", t.group[group], group, b.Group)
	}
	if b.Work > 0 && t.work[group]+box.Work > b.Work {
		return fmt.Sprintf("group %d would be without %.0f%% of its usual work", group, 100*(t.work[group]+box.Work))
	}
	leads, near := false, 0
	for _, o := range l.groups[group] {
		if o == box || !o.Up || t.planned[o.Name] {
			continue
		}
		if o.Primary {
			leads = true
		} else if o.Near {
			near++
		}
	}
	if box.Primary { // one of those that are near has to lead in its place
		leads, near = near > 0, near-1
	}
	switch {
	case !leads:
		return fmt.Sprintf("group %d would have no primary, and none that could become one", group)
	case near < b.Replicas:
		return fmt.Sprintf("group %d would have %d replicas near the log's end, and %d must stay", group, near, b.Replicas)
	}
	return ""
}

// set changes a unit's phase.
func (l *Leader) set(now int64, p *Progress, i int, to Phase, why string) {
	f := l.plans[p.Plan.ID]
	p.Units[i].Phase = to
	f.moved, f.since[i] = now, now
	l.dirty = true
	l.note(p.Plan.ID, "%s %v: %s", p.Plan.Units[i], to, why)
}

// turn changes a plan's state.
func (l *Leader) turn(now int64, p *Progress, to State, why string) {
	p.State, p.Why = to, why
	l.plans[p.Plan.ID].moved, l.plans[p.Plan.ID].watch = now, 0
	l.dirty = true
	l.note(p.Plan.ID, "plan %s: %s", to, why)
}

// give gives a unit a slot.
func (l *Leader) give(now int64, p *Progress, i int, t *tally, why string) {
	l.rec.Slots++
	u, name := &p.Units[i], p.Plan.Units[i]
	u.Slot, u.Tries, u.Born = Slot{l.term, l.rec.Slots}, u.Tries+1, 0
	if m := l.members[name]; m != nil {
		u.Born = m.r.Born
	}
	if !t.planned[name] {
		t.planned[name] = true
		t.add(name, l)
		if slices.Contains(l.voters, name) {
			t.voters++
		}
	}
	l.set(now, p, i, Going, why)
}

// ask asks the voters that have not answered what they keep.
func (l *Leader) ask(now int64, answered func(voter string) bool) {
	l.askAt = now + againEvery
	for _, v := range l.voters {
		if !answered(v) {
			l.out = append(l.out, Out{Act: Ask, To: v, Term: l.term})
		}
	}
}

// Tick looks at what is due.
func (l *Leader) Tick(now int64) {
	if l.term == 0 {
		return
	}
	if l.rec == nil {
		if now >= l.askAt {
			l.ask(now, func(v string) bool { k, known := l.reads[v]; return known && !k.Blank })
			for _, name := range slices.Sorted(maps.Keys(l.members)) {
				l.out = append(l.out, Out{Act: Call, To: name})
			}
			l.begin(now, false)
		}
		return
	}
	l.write(now)
	if l.told == nil {
		if now >= l.askAt { // an answer of a voter's former process may have come late, and nobody reports yet
			l.ask(now, func(v string) bool { return l.acks[v] })
		}
		return
	}
	if now >= l.sayAt {
		l.sayAt = now + sayEvery
		l.say(nil)
	}
	tallies := map[bool]*tally{} // of nodes, of routers, where a plan wants them
	for _, p := range l.rec.Plans {
		if p.State.Over() {
			continue
		}
		nodes := p.Plan.Kind == Nodes
		if tallies[nodes] == nil {
			tallies[nodes] = l.count(now, nodes)
		}
		l.step(now, p, tallies[nodes])
	}
	l.write(now)
}

// step takes one plan further.
func (l *Leader) step(now int64, p *Progress, t *tally) {
	f := l.plans[p.Plan.ID]
	if f == nil {
		f = &follow{moved: now, judge: newJudge(), since: make([]int64, len(p.Units))}
		for i := range f.since {
			f.since[i] = now
		}
		l.plans[p.Plan.ID] = f
	}
	for i := range p.Units {
		l.follow(now, p, i)
	}
	switch p.State {
	case Running:
		doubt, why := f.judge.verdict()
		if why != "" {
			l.halt(now, p, why, true)
			return
		}
		l.forward(now, p, t, doubt)
	case Backing:
		l.backward(now, p, t)
	}
	if (p.State == Running || p.State == Backing) && now-f.moved > p.Plan.Patience && f.watch == 0 {
		l.stands(now, p)
	}
}

// halt ends that anybody new goes out; by evidence, it also turns the plan back, where there is something to go back to.
func (l *Leader) halt(now int64, p *Progress, why string, evidence bool) {
	if evidence && !p.Plan.Stay && p.Plan.Kind == Version {
		l.turn(now, p, Backing, why)
		return
	}
	l.turn(now, p, Halted, why)
}

// stands says why a plan makes no progress, and halts it; one that goes back names who can't.
func (l *Leader) stands(now int64, p *Progress) {
	f := l.plans[p.Plan.ID]
	var who []string
	for i, u := range p.Units {
		if u.Phase.Holds() && u.Phase != Stuck && len(who) < 5 {
			who = append(who, fmt.Sprintf("%s is %v (%s)", p.Plan.Units[i], u.Phase, l.lacks(now, p, i)))
		}
	}
	if p.State == Backing {
		for i, u := range p.Units {
			if u.Phase.Holds() && u.Phase != Stuck {
				l.set(now, p, i, Stuck, l.lacks(now, p, i))
			}
		}
		f.moved = now
		return
	}
	why := cmp.Or(f.refused, "nobody may go out")
	if len(who) > 0 {
		why = strings.Join(who, ", ")
	}
	l.halt(now, p, fmt.Sprintf("no progress for %.0f s: %s", float64(p.Plan.Patience)/1e6, why), false)
}

// follow takes a unit that holds a slot from phase to phase, by what members tell.
func (l *Leader) follow(now int64, p *Progress, i int) {
	u, name := &p.Units[i], p.Plan.Units[i]
	if p.Plan.Kind == Nodes {
		l.followNode(now, p, i)
		return
	}
	m, in := l.members[name], l.sight(now, name)
	switch u.Phase {
	case Going:
		if in && m.r.Born != u.Born {
			l.set(now, p, i, Returning, "it is back")
		} else if !in || m.r.Leaving {
			l.set(now, p, i, Away, "it left")
		}
	case Away:
		if in && m.r.Born != u.Born {
			l.set(now, p, i, Returning, "it is back")
		}
	case Returning, Stuck:
		if why := l.lacks(now, p, i); why == "" {
			l.set(now, p, i, Done, "it serves")
		} else if u.Phase == Returning && in && m.r.Ready && m.r.Born != u.Born && p.Plan.Kind == Version && u.Back && m.r.Version != p.Plan.Was {
			l.again(now, p, i)
		}
	}
}

// again sends a unit out once more under the slot that it has, for it came back with what it is to go back from.
func (l *Leader) again(now int64, p *Progress, i int) {
	u := &p.Units[i]
	if u.Tries >= triesMost {
		l.set(now, p, i, Stuck, fmt.Sprintf("it came back with version %d", l.members[p.Plan.Units[i]].r.Version))
		return
	}
	u.Tries++
	u.Born = l.members[p.Plan.Units[i]].r.Born
	l.set(now, p, i, Going, "it came back with the version that it is to go back from")
}

// lacks says what a returned unit still has to prove, "" for nothing.
func (l *Leader) lacks(now int64, p *Progress, i int) string {
	u, name := &p.Units[i], p.Plan.Units[i]
	switch {
	case p.Plan.Kind == Nodes && u.Phase == Going:
		return l.used(now, name)
	case p.Plan.Kind == Nodes:
		return l.nodeLacks(now, name)
	}
	m := l.members[name]
	switch {
	case !l.sight(now, name):
		return "it is not in sight"
	case m.r.Born == u.Born:
		return "it has not left"
	case !m.r.Ready:
		return "it takes no commands yet"
	case p.Plan.Kind == Version && m.r.Version != p.target(i):
		return fmt.Sprintf("it has version %d, not %d", m.r.Version, p.target(i))
	case slices.Contains(l.voters, name) && m.r.Blank:
		return "it votes, and has not been written to yet"
	}
	did := m.r.Served.less(m.atStart)
	switch {
	case did.Commands < servedMin && now-m.backAt < idleMore*p.Plan.Watch:
		return fmt.Sprintf("it has answered %d commands", did.Commands)
	case did.Commands >= servedMin && float64(did.Failed) > failsMost*float64(did.Commands):
		return fmt.Sprintf("%d of its %d commands failed", did.Failed, did.Commands)
	}
	return ""
}

// followNode does the same for a node.
func (l *Leader) followNode(now int64, p *Progress, i int) {
	u, name := &p.Units[i], p.Plan.Units[i]
	switch u.Phase {
	case Going:
		if why := l.used(now, name); why == "" {
			l.set(now, p, i, Away, "no router in sight has anything open there")
		}
	case Away:
		if p.Plan.Rest > 0 && now-l.plans[p.Plan.ID].since[i] >= p.Plan.Rest {
			l.set(now, p, i, Returning, "its time is over")
		}
	case Returning, Stuck:
		if l.nodeLacks(now, name) == "" {
			l.set(now, p, i, Done, "it serves")
		}
	}
}

// used says who may still use a drained node, "" for nobody in sight. One that can't be heard is waited for.
func (l *Leader) used(now int64, name string) string {
	if b := l.boxes[name]; b != nil && b.Primary {
		return "its group has no other primary yet"
	}
	for _, m := range slices.Sorted(maps.Keys(l.members)) {
		s := l.members[m]
		if now-s.at >= silent {
			return m + " is not heard of"
		}
		if !slices.ContainsFunc(s.r.Open, func(o Open) bool { return o.Node == name && o.Commands == 0 }) {
			return m + " still uses it, or has not heard"
		}
	}
	return ""
}

// nodeLacks says what a node that is back still has to prove.
func (l *Leader) nodeLacks(now int64, name string) string {
	b := l.boxes[name]
	if b == nil || !b.Up || !b.Near && !b.Primary {
		return "it is not up, or its log lags"
	}
	answered := uint64(0)
	for _, m := range l.members {
		for _, o := range m.r.Open {
			if o.Node == name {
				answered += o.Answered
			}
		}
	}
	if answered == 0 {
		return "no router has had an answer of it"
	}
	return ""
}

// forward lets units of the present wave go out as the budget allows, and begins the next one when it was watched.
func (l *Leader) forward(now int64, p *Progress, t *tally, doubt bool) {
	f := l.plans[p.Plan.ID]
	left, waiting := 0, false
	for i, u := range p.Units {
		if w := p.Plan.wave(i); w <= p.Wave && u.Phase != Done && u.Phase != Forgotten {
			left++
		}
		waiting = waiting || u.Phase == Waits
	}
	if left == 0 {
		l.watch(now, p, waiting, doubt)
		return
	}
	if now-l.begun < settle {
		return
	}
	seen := 0
	for _, name := range p.Plan.Units {
		if p.Plan.Kind == Nodes || l.sight(now, name) {
			seen++
		}
	}
	if float64(seen) <= sightLeast*float64(len(p.Units)) {
		f.refused = fmt.Sprintf("%d of %d are in sight", seen, len(p.Units))
		return
	}
	for i, name := range p.Plan.Units {
		if p.Units[i].Phase != Waits || p.Plan.wave(i) > p.Wave {
			continue
		}
		if name == l.self && p.Plan.Kind != Nodes {
			l.yield(now, p, left)
			continue
		}
		if why := l.room(now, p, name, t); why != "" {
			f.refused = why
			continue
		}
		l.give(now, p, i, t, fmt.Sprintf("wave %d", p.Wave+1))
	}
}

// yield lets another one lead when this one is the last of its wave.
func (l *Leader) yield(now int64, p *Progress, left int) {
	if left == 1 && now >= l.yieldAt {
		l.yieldAt = now + yieldEvery
		l.out = append(l.out, Out{Act: Yield, Plan: p.Plan.ID})
	}
}

// watch waits behind a wave until it has been judged, then begins the next one or ends the plan.
func (l *Leader) watch(now int64, p *Progress, more, doubt bool) {
	f := l.plans[p.Plan.ID]
	if f.watch == 0 {
		f.watch = now
	}
	span := now - f.watch
	judged := p.Plan.Kind == Nodes || f.judge.enough() && !doubt || !doubt && span >= watchMore*p.Plan.Watch || span >= doubtMore*p.Plan.Watch
	if span < p.Plan.Watch || !judged {
		return
	}
	f.watch = 0
	if !more {
		l.turn(now, p, Finished, fmt.Sprintf("all %d are done", len(p.Units)))
		return
	}
	p.Wave++
	f.judge, f.moved = newJudge(), now
	l.dirty = true
	l.note(p.Plan.ID, "wave %d begins", p.Wave+1)
}

// backward brings what was touched back, newest first.
func (l *Leader) backward(now int64, p *Progress, t *tally) {
	var todo []int
	open := 0
	for i := range p.Units {
		u := &p.Units[i]
		switch {
		case u.Phase == Waits || u.Phase == Forgotten || u.Phase == Stuck:
		case p.Plan.Kind == Nodes && (u.Phase == Going || u.Phase == Away):
			u.Back = true
			l.set(now, p, i, Returning, "it goes back")
			open++
		case p.Plan.Kind == Version && !u.Back && u.Phase != Done: // it holds a slot already
			u.Back, u.Tries = true, 0
			l.set(now, p, i, u.Phase, "it goes back")
			open++
		case p.Plan.Kind == Version && !u.Back:
			todo = append(todo, i)
		case u.Phase != Done:
			open++
		}
	}
	if open == 0 && len(todo) == 0 {
		if !slices.ContainsFunc(p.Units, func(u Unit) bool { return u.Phase == Stuck }) {
			l.turn(now, p, Backed, p.Why)
		}
		return
	}
	slices.SortFunc(todo, func(a, b int) int {
		if p.Units[b].Slot.Less(p.Units[a].Slot) {
			return -1
		}
		return 1
	})
	if now-l.begun < settle {
		return
	}
	for _, i := range todo {
		name := p.Plan.Units[i]
		if name == l.self {
			if open == 0 && len(todo) == 1 {
				l.yield(now, p, 1)
			}
			continue
		}
		if why := l.room(now, p, name, t); why != "" {
			l.plans[p.Plan.ID].refused = why
			continue
		}
		p.Units[i].Back, p.Units[i].Tries = true, 0
		l.give(now, p, i, t, "it goes back")
	}
}

// HearWord takes an operator's word; the reply goes out when a majority keeps it.
func (l *Leader) HearWord(now int64, w *Word) {
	refuse := func(format string, args ...any) {
		l.out = append(l.out, Out{Act: Reply, Token: w.Token, Why: fmt.Sprintf(format, args...)})
	}
	if w.Verb == Begin && l.term > 0 && l.rec == nil {
		if l.begin(now, true); l.rec == nil {
			refuse("%s", l.doubt)
			return
		}
		l.replies = append(l.replies, reply{w.Token, 1})
		return
	}
	if l.told == nil {
		refuse("this router does not lead: %s", cmp.Or(l.doubt, "another one holds the lease, or none does"))
		return
	}
	if slices.Contains(l.told.Tokens, w.Token) {
		l.out = append(l.out, Out{Act: Reply, Token: w.Token})
		return
	}
	if slices.Contains(l.rec.Tokens, w.Token) { // its reply goes out when a majority keeps it
		return
	}
	if why := l.obey(now, w); why != "" {
		refuse("%s", why)
		return
	}
	l.rec.Tokens = append(l.rec.Tokens, w.Token)
	l.rec.Tokens = l.rec.Tokens[max(0, len(l.rec.Tokens)-mostTokens):]
	l.dirty = true
	l.replies = append(l.replies, reply{w.Token, l.rec.Seq + 1})
	l.write(now)
}

// plan finds a plan by its name.
func (r *Record) plan(id string) *Progress {
	for _, p := range r.Plans {
		if p.Plan.ID == id {
			return p
		}
	}
	return nil
}

// obey does what a word says, or says why not.
func (l *Leader) obey(now int64, w *Word) string {
	if w.Verb == Start {
		return l.start(now, w)
	}
	if w.Verb == Forget && w.ID == "" {
		if l.members[w.Unit] == nil || l.sight(now, w.Unit) {
			return fmt.Sprintf("%q is in sight, or no member of that name is missed", w.Unit)
		}
		l.strike(w.Unit)
		return ""
	}
	p := l.rec.plan(w.ID)
	if p == nil {
		return fmt.Sprintf("no plan %q", w.ID)
	}
	if l.plans[p.Plan.ID] == nil {
		return "it has only begun to lead"
	}
	i := slices.Index(p.Plan.Units, w.Unit)
	switch w.Verb {
	case Halt:
		if p.State != Running {
			return fmt.Sprintf("plan %s is %s", w.ID, p.State)
		}
		l.turn(now, p, Halted, "an operator's word")
	case Resume:
		if p.State != Halted {
			return fmt.Sprintf("plan %s is %s", w.ID, p.State)
		}
		l.plans[p.Plan.ID].judge = newJudge()
		l.turn(now, p, Running, "an operator's word")
	case Back:
		if p.State != Running && p.State != Halted && p.State != Finished {
			return fmt.Sprintf("plan %s is %s", w.ID, p.State)
		}
		l.turn(now, p, Backing, "an operator's word")
	case Forget:
		if i < 0 || p.Units[i].Phase == Forgotten {
			return fmt.Sprintf("plan %s has no unit %q, or forgot it", w.ID, w.Unit)
		}
		l.set(now, p, i, Forgotten, "an operator's word")
	case Return:
		if i < 0 || p.Plan.Kind != Nodes || p.Units[i].Phase != Away && p.Units[i].Phase != Going {
			return fmt.Sprintf("plan %s has no drained node %q", w.ID, w.Unit)
		}
		l.set(now, p, i, Returning, "an operator's word")
	default:
		return "an unknown word"
	}
	return ""
}

// start takes a plan, if none under way has one of its units.
func (l *Leader) start(now int64, w *Word) string {
	p := w.Plan
	p.Fill()
	if why := p.Wrong(); why != "" {
		return why
	}
	if l.rec.plan(p.ID) != nil {
		return fmt.Sprintf("a plan %s was started before", p.ID)
	}
	under := 0
	for _, o := range l.rec.Plans {
		if o.State.Over() {
			continue
		}
		under++
		if (o.Plan.Kind == Nodes) != (p.Kind == Nodes) {
			continue
		}
		for i, name := range o.Plan.Units {
			if o.Units[i].Phase != Done && o.Units[i].Phase != Forgotten && slices.Contains(p.Units, name) {
				return fmt.Sprintf("%s belongs to plan %s, which is %s", name, o.Plan.ID, o.State)
			}
		}
	}
	if under >= MostPlans {
		return fmt.Sprintf("%d plans are under way", under)
	}
	for _, name := range p.Units {
		if p.Kind == Nodes && l.boxes[name] == nil {
			return fmt.Sprintf("no node %q", name)
		}
		if p.Kind != Nodes && l.members[name] == nil {
			return fmt.Sprintf("no member %q was ever in sight", name)
		}
	}
	for over := 0; over < len(l.rec.Plans); { // of finished ones the newest are kept
		if o := l.rec.Plans[over]; o.State.Over() && len(l.rec.Plans)-under >= MostPlans {
			l.rec.Plans = slices.Delete(l.rec.Plans, over, over+1)
			continue
		}
		over++
	}
	l.rec.Plans = append(l.rec.Plans, &Progress{Plan: p, State: Running, Why: "it was started", Units: make([]Unit, len(p.Units))})
	l.note(p.ID, "plan %s of %d units begins", p.Kind, len(p.Units))
	return ""
}

// Waves tells how a plan would go: the units of each wave, and the greatest number out at once.
func Waves(p Plan, known int) (waves [][]string, most int) {
	p.Fill()
	for i, name := range p.Units {
		for w := p.wave(i); len(waves) <= w; {
			waves = append(waves, nil)
		}
		waves[p.wave(i)] = append(waves[p.wave(i)], name)
	}
	return waves, p.Budget.Bound(max(known, len(p.Units)))
}
