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
type CommandType uint8

// An operator's verbs.
const (
	CommandStart    CommandType = iota + 1 // begin a plan
	CommandHalt                            // nobody new goes out
	CommandResume                          // go on
	CommandRollBack                        // what it touched goes back
	CommandForget                          // take a unit out of the plan, with its slot: the operator answers for it
	CommandReturn                          // bring a drained node back
	CommandBegin                           // go on from what is left, though voters have forgotten
)

// Word is an operator's. A token that was taken before is taken as the same word.
type Command struct {
	Type   CommandType
	Token  string
	Plan   Plan   // Start
	PlanID string // of the plan that it is about
	Unit   string // Forget, Return
}

// Box is a node as the leader's own router knows it.
type NodeState struct {
	Name, Zone string
	Group      int
	Primary    bool
	Up         bool    // listed as up, and not silent
	NearLogEnd bool    // its position is proven near the log's end
	WorkShare  float64 // its share of its group's usual work
}

const (
	statementInterval = 1_000_000  // us between statements to each member
	retryInterval     = 1_000_000  // us between writes to voters that have not answered
	reportTimeout     = 3_500_000  // us after its last report in which a member is in sight: three may be lost
	settleTime        = 5_000_000  // us after a leader began in which nobody goes out: it has to see who is there
	minCommandsServed = 20         // commands after its return by which a router proves that it serves
	idleWatches       = 4          // watches after which one that had nothing to serve counts as proven
	maxWatches        = 8          // watches at most until a wave has been judged on enough commands
	maxWatchesInDoubt = 16         // the same of a wave whose routers do worse, and not yet surely so
	maxAttempts       = 2          // times that a unit goes out to go back, before it is stuck
	handOverInterval  = 10_000_000 // us between attempts to let another one lead
	minShareInSight   = 0.5        // share of a plan's units that must be in sight
	maxNearLag        = 3_000_000  // us behind the clock at which a position is near the log's end: probes come each second or two
	maxFailedShare    = 0.5        // share of failed commands from which a returned router is not healthy
)

// seen is what a leader knows of one member.
type memberState struct {
	report         Report
	reportedAt     int64
	returnedAt     int64 // when its present process was first heard of
	countsAtReturn CommandCounts
}

// follow is what a leader has in mind of a plan beside its record; a later leader begins it anew.
type planTracker struct {
	lastProgressAt int64 // when a unit last changed
	watchedSince   int64 // since when the wave is watched, 0 for not
	canary         *canaryAnalysis
	blockedBy      string // why nobody went out last
	phaseSince     []int64
}

// Near tells whether a replica that is so far behind counts as near the log's end, in us.
func IsNearLogEnd(behind int64) bool { return behind <= maxNearLag }

// Leader is the part of whoever holds the lease.
type Leader struct {
	self   string
	voters []string

	term              uint64 // 0 where it does not lead
	leadingSince      int64
	voterStates       map[string]VoterState
	nextReadAt        int64
	notLeadingReason  string // why it can't lead though it has the term
	record            *Record
	changed           bool
	committed         *Record // a majority keeps it
	inFlight          *Record // written, not yet kept by a majority
	acknowledged      map[string]bool
	voterIncarnations map[string]uint64 // of voters' processes
	nextWriteAt       int64
	nextStatementAt   int64
	nextHandOverAt    int64
	pendingReplies    []pendingReply

	members  map[string]*memberState
	nodes    map[string]*NodeState
	groups   map[int][]*NodeState
	trackers map[string]*planTracker
	actions  []Out
}

type pendingReply struct {
	token string
	seq   uint64
}

// NewLeader makes one that does not lead yet.
func NewLeader(self string, voters []string) *Leader {
	return &Leader{self: self, voters: voters, members: map[string]*memberState{}, nodes: map[string]*NodeState{}, groups: map[int][]*NodeState{}}
}

// Take returns what is to be done, in order.
func (l *Leader) TakeActions() []Out {
	out := l.actions
	l.actions = nil
	return out
}

// Leads tells under which term it leads, with what a majority keeps; 0 and nil where it does not.
func (l *Leader) Leading() (term uint64, r *Record) {
	if l.committed == nil {
		return 0, nil
	}
	return l.term, l.committed
}

// Doubt is why it holds the lease and does not lead, "" where it does.
func (l *Leader) NotLeadingReason() string { return l.notLeadingReason }

func (l *Leader) log(plan, format string, args ...any) {
	l.actions = append(l.actions, Out{Act: Note, Plan: plan, Why: fmt.Sprintf(format, args...)})
}

// Lead begins under a term of the lease.
func (l *Leader) BecomeLeader(now int64, term uint64) {
	l.StepDown()
	l.term, l.leadingSince = term, now
	l.voterStates, l.acknowledged, l.voterIncarnations, l.trackers = map[string]VoterState{}, map[string]bool{}, map[string]uint64{}, map[string]*planTracker{}
	l.nextReadAt, l.notLeadingReason = now, "it reads what voters keep"
	l.Tick(now)
}

// Carried goes on under a later term of the same tenure: nobody else has led in between, so nothing has to be read.
func (l *Leader) ExtendTerm(now int64, term uint64) {
	if l.committed == nil {
		l.BecomeLeader(now, term)
		return
	}
	l.term, l.record.Term, l.record.Seq, l.inFlight, l.changed = term, term, 0, nil, true
	for i := range l.pendingReplies {
		l.pendingReplies[i].seq = 1
	}
	l.replicate(now)
}

// Lost ends its part; members are told nothing, for another one may lead.
func (l *Leader) StepDown() {
	l.term, l.committed, l.record, l.inFlight, l.changed, l.pendingReplies, l.notLeadingReason = 0, nil, nil, nil, false, nil, ""
}

func (l *Leader) majority() int { return len(l.voters)/2 + 1 }

// HearRead takes a voter's answer to Ask.
func (l *Leader) HandleReadAnswer(now int64, voter string, term uint64, k VoterState, ok bool) {
	if term != l.term || l.term == 0 || !slices.Contains(l.voters, voter) {
		return
	}
	if !ok {
		l.log("", "%s has heard of a later leader", voter)
		l.StepDown()
		return
	}
	l.voterIncarnations[voter] = k.Incarnation
	if l.record != nil {
		return
	}
	l.voterStates[voter] = k
	l.recoverRecord(now, false)
}

// begin goes on from the newest record that voters keep, where it is sure that none is newer: a majority has not
// forgotten, or all have, and no member ever heard of a record. An operator's word stands for that.
func (l *Leader) recoverRecord(now int64, word bool) {
	remember, all := 0, 0
	var newest *Record
	for _, k := range l.voterStates {
		all++
		if !k.MayHaveForgotten {
			remember++
		}
		if k.Record != nil && (newest == nil || isNewer(k.Record.Term, k.Record.Seq, newest.Term, newest.Seq)) {
			newest = k.Record
		}
	}
	fresh := all == len(l.voters) && remember == 0 && now-l.leadingSince >= settleTime
	for name, m := range l.members {
		fresh = fresh && l.inSight(now, name) && m.report.Term == 0
	}
	switch {
	case remember >= l.majority() || word && all >= l.majority():
	case fresh:
	case all >= l.majority():
		l.notLeadingReason = fmt.Sprintf("%d of %d voters have forgotten what they kept: wait for the others, or say begin", all-remember, len(l.voters))
		return
	default:
		l.notLeadingReason = fmt.Sprintf("%d of %d voters answer", all, len(l.voters))
		return
	}
	l.record = &Record{}
	if newest != nil {
		l.record = newest.Clone()
	}
	l.record.Term, l.record.Seq = l.term, 0
	for _, name := range l.record.Members {
		l.MemberUp(name)
	}
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		l.addMember(name)
	}
	l.notLeadingReason = "it writes to voters"
	l.changed = true
	l.replicate(now)
}

// write hands the record to voters, one write after another, and each again until a majority keeps it.
func (l *Leader) replicate(now int64) {
	if l.record == nil {
		return
	}
	if l.inFlight == nil && l.changed {
		l.record.Seq++
		l.inFlight, l.changed, l.acknowledged, l.nextWriteAt = l.record.Clone(), false, map[string]bool{}, now
	}
	if l.inFlight == nil || now < l.nextWriteAt {
		return
	}
	l.nextWriteAt = now + retryInterval
	for _, v := range l.voters {
		if born, known := l.voterIncarnations[v]; known && !l.acknowledged[v] {
			l.actions = append(l.actions, Out{Act: Write, To: v, Born: born, Record: l.inFlight})
		}
	}
}

// HearWrite takes a voter's answer to Write.
func (l *Leader) HandleWriteAnswer(now int64, voter string, term, seq uint64, ok bool) {
	if l.inFlight == nil || term != l.term || seq != l.inFlight.Seq || !ok || !slices.Contains(l.voters, voter) {
		return
	}
	l.acknowledged[voter] = true
	if len(l.acknowledged) < l.majority() {
		return
	}
	was := l.committed
	l.committed, l.inFlight = l.inFlight, nil
	if was == nil {
		l.notLeadingReason = ""
		l.leadingSince = now
		l.log("", "leads under term %d with %d plans", l.term, len(l.committed.Plans))
	}
	kept := l.pendingReplies[:0]
	for _, r := range l.pendingReplies {
		if r.seq <= l.committed.Seq {
			l.actions = append(l.actions, Out{Act: Reply, Token: r.token})
		} else {
			kept = append(kept, r)
		}
	}
	l.pendingReplies = kept
	l.sendStatements(was)
	l.replicate(now)
}

// say tells members what a majority keeps: all of them, or, behind a write, those whom it concerns.
func (l *Leader) sendStatements(was *Record) {
	some := drainedNodes(l.committed)
	changed := was == nil || !slices.Equal(some, drainedNodes(was))
	leave := map[string]*Statement{}
	for _, p := range l.committed.Plans {
		if p.Plan.Kind == KindNodes {
			continue
		}
		for i, u := range p.Units {
			if u.Phase == PhaseLeaving {
				leave[p.Plan.Units[i]] = &Statement{Instruction: InstructionLeave, Slot: u.Slot, Incarnation: u.Incarnation, TargetVersion: p.targetVersion(i)}
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
		s.Term, s.Seq, s.DrainedNodes = l.committed.Term, l.committed.Seq, some
		l.actions = append(l.actions, Out{Act: Say, To: name, Statement: s})
	}
}

// target is the version that a unit is to have on its way.
func (p *Progress) targetVersion(i int) uint64 {
	switch {
	case p.Plan.Kind != KindVersion:
		return 0
	case p.Units[i].RollingBack:
		return p.Plan.PreviousVersion
	}
	return p.Plan.TargetVersion
}

// HearReport takes a member's report.
func (l *Leader) HandleReport(now int64, r *Report) {
	m := l.members[r.Member]
	if m == nil {
		m = &memberState{returnedAt: now, countsAtReturn: r.Counts}
		l.members[r.Member] = m
		l.addMember(r.Member)
	} else if m.report.Incarnation != r.Incarnation {
		m.returnedAt, m.countsAtReturn = now, CommandCounts{}
	}
	before := *m
	m.report, m.reportedAt = *r, now
	if slices.Contains(l.voters, r.Member) && l.term > 0 && (l.voterIncarnations[r.Member] != r.Incarnation || r.MayHaveForgotten) {
		l.restoreVoter(r)
	}
	if l.committed == nil {
		return
	}
	for _, p := range l.record.Plans {
		if p.Plan.Kind != KindNodes {
			l.recordEvidence(now, p, &before, m)
		}
	}
}

// heal writes what is kept to a voter that has forgotten: the next leader counts on it.
func (l *Leader) restoreVoter(r *Report) {
	if l.voterIncarnations[r.Member] != r.Incarnation {
		l.voterIncarnations[r.Member] = r.Incarnation
		delete(l.acknowledged, r.Member)
	}
	if l.committed != nil && l.inFlight == nil {
		l.actions = append(l.actions, Out{Act: Write, To: r.Member, Born: r.Incarnation, Record: l.committed})
	}
}

// evidence counts what a router did since its last report to the side on which it stands.
func (l *Leader) recordEvidence(now int64, p *Progress, was, is *memberState) {
	f := l.trackers[p.Plan.ID]
	if f == nil || p.State != StateRunning {
		return
	}
	i := slices.Index(p.Plan.Units, is.report.Member)
	s := &f.canary.untouched
	if i >= 0 && p.Units[i].Phase != PhaseWaiting {
		if p.Units[i].Phase != PhaseDone && p.Units[i].Phase != PhaseReturning || p.Units[i].RollingBack || is.report.Incarnation == p.Units[i].Incarnation {
			return
		}
		s = &f.canary.touched
	}
	name := is.report.Member
	switch {
	case was.reportedAt == 0:
		return
	case was.report.Incarnation == is.report.Incarnation && is.report.Counts.continues(was.report.Counts):
		s.counts[name] = s.counts[name].plus(is.report.Counts.minus(was.report.Counts))
		s.observedTime += now - was.reportedAt
	case was.report.Incarnation != is.report.Incarnation && (i < 0 || p.Units[i].Phase != PhaseReturning || was.report.Incarnation != p.Units[i].Incarnation):
		s.crashes++
	}
	if is.report.StartupTime > 0 {
		s.startupTimes[name] = is.report.StartupTime
	}
	if is.report.ResidentBytes > 0 {
		s.residentBytes[name] = is.report.ResidentBytes
	}
}

// Up tells that a member is there, before it has reported.
func (l *Leader) MemberUp(member string) {
	if l.members[member] == nil {
		l.members[member] = &memberState{report: Report{Member: member}}
	}
	l.addMember(member)
}

// enrol notes in the record that there is such a member.
func (l *Leader) addMember(member string) {
	if l.record == nil {
		return
	}
	if i, there := slices.BinarySearch(l.record.Members, member); !there {
		l.record.Members = slices.Insert(l.record.Members, i, member)
		l.changed = true
	}
}

// strike takes a member out that is not missed any more.
func (l *Leader) removeMember(member string) {
	delete(l.members, member)
	if i, there := slices.BinarySearch(l.record.Members, member); there {
		l.record.Members = slices.Delete(l.record.Members, i, i+1)
		l.changed = true
	}
}

// Gone tells that a member is gone. It is missed until it is back or forgotten, also where it left in order: an operator
// who restarts it by hand takes it out as much as a plan does.
func (l *Leader) MemberGone(member string) {
	if m := l.members[member]; m != nil {
		m.reportedAt = 0
	}
}

// SetBox tells of a node; a later call stands for the earlier.
func (l *Leader) SetNode(b NodeState) {
	if l.nodes[b.Name] == nil {
		l.nodes[b.Name] = &NodeState{Group: b.Group}
		l.groups[b.Group] = append(l.groups[b.Group], l.nodes[b.Name])
	}
	*l.nodes[b.Name] = b
}

// sight tells whether a member is in sight.
func (l *Leader) inSight(now int64, name string) bool {
	m := l.members[name]
	return m != nil && m.reportedAt > 0 && now-m.reportedAt < reportTimeout
}

// tally is what is out at a moment, by sort of unit.
type unavailability struct {
	known       int // units of that sort
	total       int
	byZone      map[string]int
	byGroup     map[int]int
	workByGroup map[int]float64
	voters      int
	holdsSlot   map[string]bool
}

// count finds what is out now: what holds a slot of any plan, and what is out unplanned.
func (l *Leader) countUnavailable(now int64, nodes bool) *unavailability {
	t := &unavailability{byZone: map[string]int{}, byGroup: map[int]int{}, workByGroup: map[int]float64{}, holdsSlot: map[string]bool{}}
	units := map[string]bool{}
	for _, p := range l.record.Plans {
		if nodes != (p.Plan.Kind == KindNodes) {
			continue
		}
		for i, name := range p.Plan.Units {
			if p.Units[i].Phase != PhaseForgotten && !p.State.Ended() {
				units[name] = true
			}
			if p.Units[i].Phase.HoldsSlot() {
				t.holdsSlot[name] = true
			}
		}
	}
	if nodes {
		for name := range l.nodes {
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
			b := l.nodes[name]
			if t.holdsSlot[name] || b == nil || !b.Up {
				t.add(name, l)
			}
			continue
		}
		down := t.holdsSlot[name] || !l.inSight(now, name) || !l.members[name].report.Ready
		if down {
			t.add(name, l)
		}
		if slices.Contains(l.voters, name) && (down || l.members[name].report.MayHaveForgotten) {
			t.voters++
		}
	}
	return t
}

// add counts one more that is out.
func (t *unavailability) add(name string, l *Leader) {
	t.total++
	if b := l.nodes[name]; b != nil {
		t.byZone[b.Zone]++
		t.byGroup[b.Group]++
		t.workByGroup[b.Group] += b.WorkShare
	} else if m := l.members[name]; m != nil {
		t.byZone[m.report.Zone]++
	}
}

// Bound is how many of so many may be out at once.
func (b *Budget) Limit(known int) int {
	n := max(1, int(b.MaxShare*float64(known)))
	if b.MaxUnavailable > 0 {
		n = min(n, b.MaxUnavailable)
	}
	return n
}

// room says why a unit may not go out now, "" where it may. It holds already where it has a slot.
func (l *Leader) checkBudget(now int64, p *Progress, name string, t *unavailability) string {
	b := &p.Plan.Budget
	if most := b.Limit(t.known); t.total >= most {
		return fmt.Sprintf("%d of %d are out, planned or not, and %d may be", t.total, t.known, most)
	}
	zone := ""
	box, m := l.nodes[name], l.members[name]
	if p.Plan.Kind == KindNodes {
		if box == nil || !box.Up {
			return name + " is out already"
		}
		zone = box.Zone
	} else {
		if !l.inSight(now, name) {
			return name + " is not in sight"
		}
		zone = m.report.Zone
	}
	if b.MaxPerZone > 0 && t.byZone[zone] >= b.MaxPerZone {
		return fmt.Sprintf("%d of zone %s are out, and %d may be", t.byZone[zone], zone, b.MaxPerZone)
	}
	if p.Plan.Kind == KindNodes {
		return l.checkGroup(b, box, t)
	}
	if slices.Contains(l.voters, name) && t.voters+1 > (len(l.voters)-1)/2 {
		return fmt.Sprintf("%d of %d voters are out or have forgotten", t.voters, len(l.voters))
	}
	return ""
}

// groupRoom is the part of room that concerns a node's group: who is left, and whether anybody can lead.
func (l *Leader) checkGroup(b *Budget, box *NodeState, t *unavailability) string {
	group := box.Group
	if t.byGroup[group] >= b.MaxPerGroup {
		return fmt.Sprintf("%d of group %d are out, and %d may be", t.byGroup[group], group, b.MaxPerGroup)
	}
	if b.MaxGroupWork > 0 && t.workByGroup[group]+box.WorkShare > b.MaxGroupWork {
		return fmt.Sprintf("group %d would be without %.0f%% of its usual work", group, 100*(t.workByGroup[group]+box.WorkShare))
	}
	leads, near := false, 0
	for _, o := range l.groups[group] {
		if o == box || !o.Up || t.holdsSlot[o.Name] {
			continue
		}
		if o.Primary {
			leads = true
		} else if o.NearLogEnd {
			near++
		}
	}
	if box.Primary { // one of those that are near has to lead in its place
		leads, near = near > 0, near-1
	}
	switch {
	case !leads:
		return fmt.Sprintf("group %d would have no primary, and none that could become one", group)
	case near < b.MinReplicas:
		return fmt.Sprintf("group %d would have %d replicas near the log's end, and %d must stay", group, near, b.MinReplicas)
	}
	return ""
}

// set changes a unit's phase.
func (l *Leader) setPhase(now int64, p *Progress, i int, to Phase, why string) {
	f := l.trackers[p.Plan.ID]
	p.Units[i].Phase = to
	f.lastProgressAt, f.phaseSince[i] = now, now
	l.changed = true
	l.log(p.Plan.ID, "%s %v: %s", p.Plan.Units[i], to, why)
}

// turn changes a plan's state.
func (l *Leader) setState(now int64, p *Progress, to State, why string) {
	p.State, p.Reason = to, why
	l.trackers[p.Plan.ID].lastProgressAt, l.trackers[p.Plan.ID].watchedSince = now, 0
	l.changed = true
	l.log(p.Plan.ID, "plan %s: %s", to, why)
}

// give gives a unit a slot.
func (l *Leader) grantSlot(now int64, p *Progress, i int, t *unavailability, why string) {
	l.record.SlotsGranted++
	u, name := &p.Units[i], p.Plan.Units[i]
	u.Slot, u.Attempts, u.Incarnation = Slot{l.term, l.record.SlotsGranted}, u.Attempts+1, 0
	if m := l.members[name]; m != nil {
		u.Incarnation = m.report.Incarnation
	}
	if !t.holdsSlot[name] {
		t.holdsSlot[name] = true
		t.add(name, l)
		if slices.Contains(l.voters, name) {
			t.voters++
		}
	}
	l.setPhase(now, p, i, PhaseLeaving, why)
}

// ask asks the voters that have not answered what they keep.
func (l *Leader) readVoters(now int64, answered func(voter string) bool) {
	l.nextReadAt = now + retryInterval
	for _, v := range l.voters {
		if !answered(v) {
			l.actions = append(l.actions, Out{Act: Ask, To: v, Term: l.term})
		}
	}
}

// Tick looks at what is due.
func (l *Leader) Tick(now int64) {
	if l.term == 0 {
		return
	}
	if l.record == nil {
		if now >= l.nextReadAt {
			l.readVoters(now, func(v string) bool { k, known := l.voterStates[v]; return known && !k.MayHaveForgotten })
			for _, name := range slices.Sorted(maps.Keys(l.members)) {
				l.actions = append(l.actions, Out{Act: Call, To: name})
			}
			l.recoverRecord(now, false)
		}
		return
	}
	l.replicate(now)
	if l.committed == nil {
		if now >= l.nextReadAt { // an answer of a voter's former process may have come late, and nobody reports yet
			l.readVoters(now, func(v string) bool { return l.acknowledged[v] })
		}
		return
	}
	if now >= l.nextStatementAt {
		l.nextStatementAt = now + statementInterval
		l.sendStatements(nil)
	}
	tallies := map[bool]*unavailability{} // of nodes, of routers, where a plan wants them
	for _, p := range l.record.Plans {
		if p.State.Ended() {
			continue
		}
		nodes := p.Plan.Kind == KindNodes
		if tallies[nodes] == nil {
			tallies[nodes] = l.countUnavailable(now, nodes)
		}
		l.advancePlan(now, p, tallies[nodes])
	}
	l.replicate(now)
}

// step takes one plan further.
func (l *Leader) advancePlan(now int64, p *Progress, t *unavailability) {
	f := l.trackers[p.Plan.ID]
	if f == nil {
		f = &planTracker{lastProgressAt: now, canary: newCanaryAnalysis(), phaseSince: make([]int64, len(p.Units))}
		for i := range f.phaseSince {
			f.phaseSince[i] = now
		}
		l.trackers[p.Plan.ID] = f
	}
	for i := range p.Units {
		l.advanceUnit(now, p, i)
	}
	switch p.State {
	case StateRunning:
		doubt, why := f.canary.evaluate()
		if why != "" {
			l.halt(now, p, why, true)
			return
		}
		l.advanceWave(now, p, t, doubt)
	case StateRollingBack:
		l.advanceRollback(now, p, t)
	}
	if (p.State == StateRunning || p.State == StateRollingBack) && now-f.lastProgressAt > p.Plan.ProgressTimeout && f.watchedSince == 0 {
		l.haltWithoutProgress(now, p)
	}
}

// halt ends that anybody new goes out; by evidence, it also turns the plan back, where there is something to go back to.
func (l *Leader) halt(now int64, p *Progress, why string, evidence bool) {
	if evidence && !p.Plan.NoRollback && p.Plan.Kind == KindVersion {
		l.setState(now, p, StateRollingBack, why)
		return
	}
	l.setState(now, p, StateHalted, why)
}

// stands says why a plan makes no progress, and halts it; one that goes back names who can't.
func (l *Leader) haltWithoutProgress(now int64, p *Progress) {
	f := l.trackers[p.Plan.ID]
	var who []string
	for i, u := range p.Units {
		if u.Phase.HoldsSlot() && u.Phase != PhaseStuck && len(who) < 5 {
			who = append(who, fmt.Sprintf("%s is %v (%s)", p.Plan.Units[i], u.Phase, l.missingProof(now, p, i)))
		}
	}
	if p.State == StateRollingBack {
		for i, u := range p.Units {
			if u.Phase.HoldsSlot() && u.Phase != PhaseStuck {
				l.setPhase(now, p, i, PhaseStuck, l.missingProof(now, p, i))
			}
		}
		f.lastProgressAt = now
		return
	}
	why := cmp.Or(f.blockedBy, "nobody may go out")
	if len(who) > 0 {
		why = strings.Join(who, ", ")
	}
	l.halt(now, p, fmt.Sprintf("no progress for %.0f s: %s", float64(p.Plan.ProgressTimeout)/1e6, why), false)
}

// follow takes a unit that holds a slot from phase to phase, by what members tell.
func (l *Leader) advanceUnit(now int64, p *Progress, i int) {
	u, name := &p.Units[i], p.Plan.Units[i]
	if p.Plan.Kind == KindNodes {
		l.advanceNode(now, p, i)
		return
	}
	m, in := l.members[name], l.inSight(now, name)
	switch u.Phase {
	case PhaseLeaving:
		if in && m.report.Incarnation != u.Incarnation {
			l.setPhase(now, p, i, PhaseReturning, "it is back")
		} else if !in || m.report.Leaving {
			l.setPhase(now, p, i, PhaseUnavailable, "it left")
		}
	case PhaseUnavailable:
		if in && m.report.Incarnation != u.Incarnation {
			l.setPhase(now, p, i, PhaseReturning, "it is back")
		}
	case PhaseReturning, PhaseStuck:
		if why := l.missingProof(now, p, i); why == "" {
			l.setPhase(now, p, i, PhaseDone, "it serves")
		} else if u.Phase == PhaseReturning && in && m.report.Ready && m.report.Incarnation != u.Incarnation && p.Plan.Kind == KindVersion && u.RollingBack && m.report.Version != p.Plan.PreviousVersion {
			l.sendAgain(now, p, i)
		}
	}
}

// again sends a unit out once more under the slot that it has, for it came back with what it is to go back from.
func (l *Leader) sendAgain(now int64, p *Progress, i int) {
	u := &p.Units[i]
	if u.Attempts >= maxAttempts {
		l.setPhase(now, p, i, PhaseStuck, fmt.Sprintf("it came back with version %d", l.members[p.Plan.Units[i]].report.Version))
		return
	}
	u.Attempts++
	u.Incarnation = l.members[p.Plan.Units[i]].report.Incarnation
	l.setPhase(now, p, i, PhaseLeaving, "it came back with the version that it is to go back from")
}

// lacks says what a returned unit still has to prove, "" for nothing.
func (l *Leader) missingProof(now int64, p *Progress, i int) string {
	u, name := &p.Units[i], p.Plan.Units[i]
	switch {
	case p.Plan.Kind == KindNodes && u.Phase == PhaseLeaving:
		return l.stillUsedBy(now, name)
	case p.Plan.Kind == KindNodes:
		return l.missingNodeProof(now, name)
	}
	m := l.members[name]
	switch {
	case !l.inSight(now, name):
		return "it is not in sight"
	case m.report.Incarnation == u.Incarnation:
		return "it has not left"
	case !m.report.Ready:
		return "it takes no commands yet"
	case p.Plan.Kind == KindVersion && m.report.Version != p.targetVersion(i):
		return fmt.Sprintf("it has version %d, not %d", m.report.Version, p.targetVersion(i))
	case slices.Contains(l.voters, name) && m.report.MayHaveForgotten:
		return "it votes, and has not been written to yet"
	}
	did := m.report.Counts.minus(m.countsAtReturn)
	switch {
	case did.Commands < minCommandsServed && now-m.returnedAt < idleWatches*p.Plan.WatchTime:
		return fmt.Sprintf("it has answered %d commands", did.Commands)
	case did.Commands >= minCommandsServed && float64(did.Failed) > maxFailedShare*float64(did.Commands):
		return fmt.Sprintf("%d of its %d commands failed", did.Failed, did.Commands)
	}
	return ""
}

// followNode does the same for a node.
func (l *Leader) advanceNode(now int64, p *Progress, i int) {
	u, name := &p.Units[i], p.Plan.Units[i]
	switch u.Phase {
	case PhaseLeaving:
		if why := l.stillUsedBy(now, name); why == "" {
			l.setPhase(now, p, i, PhaseUnavailable, "no router in sight has anything open there")
		}
	case PhaseUnavailable:
		if p.Plan.DrainTime > 0 && now-l.trackers[p.Plan.ID].phaseSince[i] >= p.Plan.DrainTime {
			l.setPhase(now, p, i, PhaseReturning, "its time is over")
		}
	case PhaseReturning, PhaseStuck:
		if l.missingNodeProof(now, name) == "" {
			l.setPhase(now, p, i, PhaseDone, "it serves")
		}
	}
}

// used says who may still use a drained node, "" for nobody in sight. One that can't be heard is waited for.
func (l *Leader) stillUsedBy(now int64, name string) string {
	if b := l.nodes[name]; b != nil && b.Primary {
		return "its group has no other primary yet"
	}
	for _, m := range slices.Sorted(maps.Keys(l.members)) {
		s := l.members[m]
		if now-s.reportedAt >= reportTimeout {
			return m + " is not heard of"
		}
		if !slices.ContainsFunc(s.report.Nodes, func(o NodeUse) bool { return o.Node == name && o.OpenCommands == 0 }) {
			return m + " still uses it, or has not heard"
		}
	}
	return ""
}

// nodeLacks says what a node that is back still has to prove.
func (l *Leader) missingNodeProof(now int64, name string) string {
	b := l.nodes[name]
	if b == nil || !b.Up || !b.NearLogEnd && !b.Primary {
		return "it is not up, or its log lags"
	}
	answered := uint64(0)
	for _, m := range l.members {
		for _, o := range m.report.Nodes {
			if o.Node == name {
				answered += o.Answers
			}
		}
	}
	if answered == 0 {
		return "no router has had an answer of it"
	}
	return ""
}

// forward lets units of the present wave go out as the budget allows, and begins the next one when it was watched.
func (l *Leader) advanceWave(now int64, p *Progress, t *unavailability, doubt bool) {
	f := l.trackers[p.Plan.ID]
	left, waiting := 0, false
	for i, u := range p.Units {
		if w := p.Plan.waveOf(i); w <= p.Wave && u.Phase != PhaseDone && u.Phase != PhaseForgotten {
			left++
		}
		waiting = waiting || u.Phase == PhaseWaiting
	}
	if left == 0 {
		l.watchWave(now, p, waiting, doubt)
		return
	}
	if now-l.leadingSince < settleTime {
		return
	}
	seen := 0
	for _, name := range p.Plan.Units {
		if p.Plan.Kind == KindNodes || l.inSight(now, name) {
			seen++
		}
	}
	if float64(seen) <= minShareInSight*float64(len(p.Units)) {
		f.blockedBy = fmt.Sprintf("%d of %d are in sight", seen, len(p.Units))
		return
	}
	for i, name := range p.Plan.Units {
		if p.Units[i].Phase != PhaseWaiting || p.Plan.waveOf(i) > p.Wave {
			continue
		}
		if name == l.self && p.Plan.Kind != KindNodes {
			l.handOver(now, p, left)
			continue
		}
		if why := l.checkBudget(now, p, name, t); why != "" {
			f.blockedBy = why
			continue
		}
		l.grantSlot(now, p, i, t, fmt.Sprintf("wave %d", p.Wave+1))
	}
}

// yield lets another one lead when this one is the last of its wave.
func (l *Leader) handOver(now int64, p *Progress, left int) {
	if left == 1 && now >= l.nextHandOverAt {
		l.nextHandOverAt = now + handOverInterval
		l.actions = append(l.actions, Out{Act: Yield, Plan: p.Plan.ID})
	}
}

// watch waits behind a wave until it has been judged, then begins the next one or ends the plan.
func (l *Leader) watchWave(now int64, p *Progress, more, doubt bool) {
	f := l.trackers[p.Plan.ID]
	if f.watchedSince == 0 {
		f.watchedSince = now
	}
	span := now - f.watchedSince
	judged := p.Plan.Kind == KindNodes || f.canary.hasEnoughCommands() && !doubt || !doubt && span >= maxWatches*p.Plan.WatchTime || span >= maxWatchesInDoubt*p.Plan.WatchTime
	if span < p.Plan.WatchTime || !judged {
		return
	}
	f.watchedSince = 0
	if !more {
		l.setState(now, p, StateFinished, fmt.Sprintf("all %d are done", len(p.Units)))
		return
	}
	p.Wave++
	f.canary, f.lastProgressAt = newCanaryAnalysis(), now
	l.changed = true
	l.log(p.Plan.ID, "wave %d begins", p.Wave+1)
}

// backward brings what was touched back, newest first.
func (l *Leader) advanceRollback(now int64, p *Progress, t *unavailability) {
	var todo []int
	open := 0
	for i := range p.Units {
		u := &p.Units[i]
		switch {
		case u.Phase == PhaseWaiting || u.Phase == PhaseForgotten || u.Phase == PhaseStuck:
		case p.Plan.Kind == KindNodes && (u.Phase == PhaseLeaving || u.Phase == PhaseUnavailable):
			u.RollingBack = true
			l.setPhase(now, p, i, PhaseReturning, "it goes back")
			open++
		case p.Plan.Kind == KindVersion && !u.RollingBack && u.Phase != PhaseDone: // it holds a slot already
			u.RollingBack, u.Attempts = true, 0
			l.setPhase(now, p, i, u.Phase, "it goes back")
			open++
		case p.Plan.Kind == KindVersion && !u.RollingBack:
			todo = append(todo, i)
		case u.Phase != PhaseDone:
			open++
		}
	}
	if open == 0 && len(todo) == 0 {
		if !slices.ContainsFunc(p.Units, func(u Unit) bool { return u.Phase == PhaseStuck }) {
			l.setState(now, p, StateRolledBack, p.Reason)
		}
		return
	}
	slices.SortFunc(todo, func(a, b int) int {
		if p.Units[b].Slot.Less(p.Units[a].Slot) {
			return -1
		}
		return 1
	})
	if now-l.leadingSince < settleTime {
		return
	}
	for _, i := range todo {
		name := p.Plan.Units[i]
		if name == l.self {
			if open == 0 && len(todo) == 1 {
				l.handOver(now, p, 1)
			}
			continue
		}
		if why := l.checkBudget(now, p, name, t); why != "" {
			l.trackers[p.Plan.ID].blockedBy = why
			continue
		}
		p.Units[i].RollingBack, p.Units[i].Attempts = true, 0
		l.grantSlot(now, p, i, t, "it goes back")
	}
}

// HearWord takes an operator's word; the reply goes out when a majority keeps it.
func (l *Leader) HandleCommand(now int64, w *Command) {
	refuse := func(format string, args ...any) {
		l.actions = append(l.actions, Out{Act: Reply, Token: w.Token, Why: fmt.Sprintf(format, args...)})
	}
	if w.Type == CommandBegin && l.term > 0 && l.record == nil {
		if l.recoverRecord(now, true); l.record == nil {
			refuse("%s", l.notLeadingReason)
			return
		}
		l.pendingReplies = append(l.pendingReplies, pendingReply{w.Token, 1})
		return
	}
	if l.committed == nil {
		refuse("this router does not lead: %s", cmp.Or(l.notLeadingReason, "another one holds the lease, or none does"))
		return
	}
	if slices.Contains(l.committed.Tokens, w.Token) {
		l.actions = append(l.actions, Out{Act: Reply, Token: w.Token})
		return
	}
	if slices.Contains(l.record.Tokens, w.Token) { // its reply goes out when a majority keeps it
		return
	}
	if why := l.applyCommand(now, w); why != "" {
		refuse("%s", why)
		return
	}
	l.record.Tokens = append(l.record.Tokens, w.Token)
	l.record.Tokens = l.record.Tokens[max(0, len(l.record.Tokens)-maxTokens):]
	l.changed = true
	l.pendingReplies = append(l.pendingReplies, pendingReply{w.Token, l.record.Seq + 1})
	l.replicate(now)
}

// plan finds a plan by its name.
func (r *Record) progress(id string) *Progress {
	for _, p := range r.Plans {
		if p.Plan.ID == id {
			return p
		}
	}
	return nil
}

// obey does what a word says, or says why not.
func (l *Leader) applyCommand(now int64, w *Command) string {
	if w.Type == CommandStart {
		return l.startPlan(now, w)
	}
	if w.Type == CommandForget && w.PlanID == "" {
		if l.members[w.Unit] == nil || l.inSight(now, w.Unit) {
			return fmt.Sprintf("%q is in sight, or no member of that name is missed", w.Unit)
		}
		l.removeMember(w.Unit)
		return ""
	}
	p := l.record.progress(w.PlanID)
	if p == nil {
		return fmt.Sprintf("no plan %q", w.PlanID)
	}
	if l.trackers[p.Plan.ID] == nil {
		return "it has only begun to lead"
	}
	i := slices.Index(p.Plan.Units, w.Unit)
	switch w.Type {
	case CommandHalt:
		if p.State != StateRunning {
			return fmt.Sprintf("plan %s is %s", w.PlanID, p.State)
		}
		l.setState(now, p, StateHalted, "an operator's word")
	case CommandResume:
		if p.State != StateHalted {
			return fmt.Sprintf("plan %s is %s", w.PlanID, p.State)
		}
		l.trackers[p.Plan.ID].canary = newCanaryAnalysis()
		l.setState(now, p, StateRunning, "an operator's word")
	case CommandRollBack:
		if p.State != StateRunning && p.State != StateHalted && p.State != StateFinished {
			return fmt.Sprintf("plan %s is %s", w.PlanID, p.State)
		}
		l.setState(now, p, StateRollingBack, "an operator's word")
	case CommandForget:
		if i < 0 || p.Units[i].Phase == PhaseForgotten {
			return fmt.Sprintf("plan %s has no unit %q, or forgot it", w.PlanID, w.Unit)
		}
		l.setPhase(now, p, i, PhaseForgotten, "an operator's word")
	case CommandReturn:
		if i < 0 || p.Plan.Kind != KindNodes || p.Units[i].Phase != PhaseUnavailable && p.Units[i].Phase != PhaseLeaving {
			return fmt.Sprintf("plan %s has no drained node %q", w.PlanID, w.Unit)
		}
		l.setPhase(now, p, i, PhaseReturning, "an operator's word")
	default:
		return "an unknown word"
	}
	return ""
}

// start takes a plan, if none under way has one of its units.
func (l *Leader) startPlan(now int64, w *Command) string {
	p := w.Plan
	p.SetDefaults()
	if why := p.Wrong(); why != "" {
		return why
	}
	if l.record.progress(p.ID) != nil {
		return fmt.Sprintf("a plan %s was started before", p.ID)
	}
	under := 0
	for _, o := range l.record.Plans {
		if o.State.Ended() {
			continue
		}
		under++
		if (o.Plan.Kind == KindNodes) != (p.Kind == KindNodes) {
			continue
		}
		for i, name := range o.Plan.Units {
			if o.Units[i].Phase != PhaseDone && o.Units[i].Phase != PhaseForgotten && slices.Contains(p.Units, name) {
				return fmt.Sprintf("%s belongs to plan %s, which is %s", name, o.Plan.ID, o.State)
			}
		}
	}
	if under >= MaxPlans {
		return fmt.Sprintf("%d plans are under way", under)
	}
	for _, name := range p.Units {
		if p.Kind == KindNodes && l.nodes[name] == nil {
			return fmt.Sprintf("no node %q", name)
		}
		if p.Kind != KindNodes && l.members[name] == nil {
			return fmt.Sprintf("no member %q was ever in sight", name)
		}
	}
	for over := 0; over < len(l.record.Plans); { // of finished ones the newest are kept
		if o := l.record.Plans[over]; o.State.Ended() && len(l.record.Plans)-under >= MaxPlans {
			l.record.Plans = slices.Delete(l.record.Plans, over, over+1)
			continue
		}
		over++
	}
	l.record.Plans = append(l.record.Plans, &Progress{Plan: p, State: StateRunning, Reason: "it was started", Units: make([]Unit, len(p.Units))})
	l.log(p.ID, "plan %s of %d units begins", p.Kind, len(p.Units))
	return ""
}

// Waves tells how a plan would go: the units of each wave, and the greatest number out at once.
func PreviewWaves(p Plan, known int) (waves [][]string, most int) {
	p.SetDefaults()
	for i, name := range p.Units {
		for w := p.waveOf(i); len(waves) <= w; {
			waves = append(waves, nil)
		}
		waves[p.waveOf(i)] = append(waves[p.waveOf(i)], name)
	}
	return waves, p.Budget.Limit(max(known, len(p.Units)))
}
