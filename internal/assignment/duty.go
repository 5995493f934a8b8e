// Package assignment decides which instance does a periodic duty, such as probing a node, and what the word of another
// instance counts for. It does no I/O and has no clock: Up, Down, Add, Drop, Hear, Done and Tick are fed with what
// happened and its time in microseconds of any clock that never goes backwards; Tick returns what to run. The same
// calls give the same actions.
//
// A duty has a holder, who runs it, and a term, which grows with each claim. The member that rendezvous hashing
// puts first among those that live and deliver is its target. A claim is made in three cases only:
//
//   - the holder is gone, and this instance is the target;
//   - another one holds it, this instance is the target and has not lately given it up (it is handed back);
//   - nothing was heard of the duty for too long, and this instance's turn has come by its rank (it steps in).
//
// A holder that hears of a greater claim stops. Until then both run it, which is harmless, so none is ever without.
package assignment

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"

	"cairntiller/internal/dense"
)

const (
	overdueIntervals = 1.75       // intervals without a word after which the first in rank steps in: one may be lost or late
	overdueStep      = 0.4        // intervals more for each rank behind it: the first one's word comes in less
	slowShare        = 0.5        // of what a member holds that is overdue when it counts as slow: its peers would do better
	slowLeast        = 3          // duties that it must hold for that: a few say nothing
	slowFor          = 15_000_000 // us in which a slow member is nobody's target: it must not come and go
	yieldFor         = 20_000_000 // us after which a target takes back what another stepped in for
	yieldMost        = 4          // doublings of it while that happens again
	secondGap        = 5_000_000  // us between second opinions on one silent node: a fifth of a probe a second at most
	settleFirst      = 3_000_000  // us of membership before a returned instance works: it must not flap
	settleMost       = 4          // doublings of it for one that came back often
	calmFor          = 300e6      // us without a return after which former ones are forgotten
	startupListen    = 1_000_000  // us after its start in which an instance listens whether others are at work
	lateUp           = 0.25       // of its excess that a word later than usual adds to the usual lateness
	lateDown         = 0.01       // the same for one that is sooner: the upper end counts
	pauseThreshold   = 1_000_000  // us without a tick: ten of them; this instance stood still itself
	catchUp          = 500_000    // us after a standstill in which what is read may have lain as long as it took
	memberMemory     = 600e6      // us for which the greatest number of instances seen is believed, and lost ones are known
	roleFor          = 2_000_000  // us up to which a peer's word on a role is passed on: under the module's own 5 s of doubt
	quietFor         = 2.5        // intervals up to which a peer's word on silence is
	takeBurst        = 1.0        // seconds' worth of takeovers that may come at once
)

// State is what a member is to this instance.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Dead
	Left
)

// Word is what one instance learnt by running a duty.
type Update struct {
	Key          string
	Owner        string // who ran it
	Term         uint64 // its claim; 0 for a second opinion, which claims nothing
	Age          int64  // us since it was learnt
	NodeStarted  int64  // which process of the node it is about, as the node list tells it
	Unresponsive bool   // the node gave no answer
	Position     int64  // position that the node told, 0 for none
	PrimaryHint  int8   // 1 where the node says that it leads, -1 where it says not, 0 for neither
	LoadReport   string // the node's own figures, as they came
}

// Use is what a peer's word may be taken for.
type Evidence struct {
	Position     int64 // a position that is proven, 0 for none
	PrimaryHint  int8  // a hint at a role, never more
	Unresponsive bool  // nothing was heard there lately
	Responsive   bool  // it answered the peer lately
	LearnedAt    int64 // when the peer learnt it, on this instance's clock
}

// Run is a duty that is due at this instance.
type DueRun struct {
	Key           string
	SecondOpinion bool // only a second opinion on a silence
}

// Table is what one instance knows of duties and members.
type Table struct {
	self          int
	interval      int64
	size          int     // instances that there are at the least, as the operator says
	boxLoad       float64 // runs a second of one duty by all instances together, at most, whatever they know of another
	takeRate      float64 // duties a second that this instance takes over at most
	takes         float64
	takesAt       int64
	tickAt        int64
	lateBy        int64 // length of the last standstill
	lateTill      int64
	lag           float64 // age at which words arrive, by its upper end
	heard         bool    // a peer's fresh word has come since the start
	working       bool
	workAt        int64
	returns       int
	backAt        int64
	minority      bool
	most          int // greatest number of members lately
	mostAt        int64
	everyInterval int64 // interval in force
	stale         bool  // targets are to be found anew

	member members
	duty   duties
	taken  int64 // claims made so far
	moved  int64 // times that a duty's target changed
}

// members holds the figures about instances, in parallel arrays under one dense index.
type members struct {
	index    map[string]int
	name     []string
	hash     []uint64
	weight   []float64
	born     []uint64 // its incarnation: greater after each start
	state    []State
	slowTill []int64
	returns  []int
	backAt   []int64
	holds    []int // how many duties it holds
	overdue  []int // of them, without a word for too long; counted anew by each tick
	usable   []bool
	goneAt   []int64 // when it was lost or left
	free     []int   // indexes that stand for nobody
}

// duties holds the figures about duties, the same way.
type duties struct {
	index    map[string]int
	key      []string
	hash     []uint64
	started  []int64
	target   []int32 // first by rendezvous among the usable
	holder   []int32 // who runs it as far as is known, -1 for nobody
	term     []uint64
	freshAt  []int64 // when the newest word was learnt, by whomever
	heard    []bool  // there was such a word
	nextAt   []int64 // own next run
	yield    []int64 // not taken back before
	yields   []uint8 // how often that happened in a row
	secondAt []int64
	check    []bool // a second opinion is due
	free     []int
}

// New makes the table of one instance. interval is in us; size is how many instances the operator runs; boxLoad is
// how often a second all of them together may run one duty, even where they can't hear one another; takeRate is
// how many duties a second one instance takes over.
func New(now int64, self string, weight float64, born uint64, interval int64, size int, boxLoad, takeRate float64) *Table {
	t := &Table{interval: max(interval, 1), size: max(size, 1), boxLoad: boxLoad, takeRate: takeRate,
		takes: takeRate * takeBurst, takesAt: now, tickAt: now, workAt: now + startupListen,
		mostAt: now, stale: true}
	t.member.index, t.duty.index = map[string]int{}, map[string]int{}
	t.self = t.enter(self, weight)
	t.member.born[t.self], t.member.state[t.self] = born, Alive
	t.pace(now)
	return t
}

func (t *Table) enter(name string, weight float64) int {
	s := &t.member
	m := len(s.name)
	if n := len(s.free) - 1; n >= 0 {
		m, s.free = s.free[n], s.free[:n]
	}
	s.index[name] = m
	dense.Put(&s.name, m, name)
	dense.Put(&s.hash, m, xxhash.Sum64String(name))
	dense.Put(&s.weight, m, weight)
	dense.Put(&s.born, m, 0)
	dense.Put(&s.state, m, Dead)
	dense.Put(&s.slowTill, m, 0)
	dense.Put(&s.returns, m, 0)
	dense.Put(&s.backAt, m, 0)
	dense.Put(&s.holds, m, 0)
	dense.Put(&s.overdue, m, 0)
	dense.Put(&s.usable, m, false)
	dense.Put(&s.goneAt, m, 0)
	return m
}

// forget gives back the places of members that have been gone for long, so that names that come and go don't add up.
func (t *Table) forget(now int64) {
	s := &t.member
	for m, name := range s.name {
		if name != "" && s.state[m] != Alive && !s.usable[m] && s.holds[m] == 0 && now-s.goneAt[m] > memberMemory {
			delete(s.index, name)
			s.name[m] = ""
			s.free = append(s.free, m)
		}
	}
}

// Up tells that a member is there, in an incarnation.
func (t *Table) MemberUp(now int64, name string, weight float64, born uint64) {
	s := &t.member
	m, known := s.index[name]
	if !known {
		m = t.enter(name, weight)
	}
	if m == t.self || born < s.born[m] { // an old message about a process that is no more
		return
	}
	back := known && (s.state[m] != Alive || born > s.born[m])
	if back && now-s.backAt[m] > calmFor {
		s.returns[m] = 0
	}
	if back {
		s.returns[m]++
		s.backAt[m], s.slowTill[m] = now, 0
	}
	was := s.state[m] == Alive
	if s.weight[m] != weight { // what it was first for is open again, and so is the rest to it
		for d, at := range t.duty.target {
			if at == int32(m) {
				t.duty.target[d] = -1
			}
		}
		s.usable[m] = false
	}
	t.stale = t.stale || !was || s.weight[m] != weight
	s.born[m], s.state[m], s.weight[m] = born, Alive, weight
	if !was && t.minority { // it was cut off with few others: what the many do goes on, and it comes in like a newcomer
		t.minority = t.few(t.alive())
		t.NoteRejoins(now, t.returns+1)
	}
	t.pace(now)
}

// Down tells that a member is gone, or left in order; a word on an older incarnation counts for nothing.
func (t *Table) MemberDown(now int64, name string, born uint64, left bool) {
	s := &t.member
	m, known := s.index[name]
	if !known || m == t.self || born < s.born[m] || s.state[m] != Alive {
		return
	}
	s.state[m], s.goneAt[m] = Dead, now
	if left {
		s.state[m] = Left
	}
	t.minority = t.few(t.alive())
	t.stale = true
	t.pace(now)
}

// few tells whether so many live instances are the smaller part of those there are.
func (t *Table) few(live int) bool { return 2*live < max(t.most, t.size) }

// Returned tells how often this instance came back lately, as others saw it, once at least; the more often, the longer
// it waits before it works again.
func (t *Table) NoteRejoins(now int64, times int) {
	if now-t.backAt > calmFor {
		t.returns = 0
	}
	t.returns, t.backAt, t.working = max(t.returns, times), now, false
	t.workAt = max(t.workAt, now+settleFirst<<min(t.returns-1, settleMost))
}

// Returns is how often a member came back lately, to be told to it.
func (t *Table) Rejoins(name string) int {
	if m, known := t.member.index[name]; known {
		return t.member.returns[m]
	}
	return 0
}

// Working tells whether this instance claims what it is the target of. One that has just come back does not yet;
// those that hold its duties go on until it claims them.
func (t *Table) ClaimsTasks() bool { return t.working }

func (t *Table) alive() (n int) {
	for _, st := range t.member.state {
		if st == Alive {
			n++
		}
	}
	return n
}

// pace sets the interval in force. However the instances are parted, groups of k of N that run a duty k*boxLoad/N
// times a second at most come to boxLoad together.
func (t *Table) pace(now int64) {
	live := t.alive()
	if live >= t.most || now-t.mostAt > memberMemory {
		t.most, t.mostAt = live, now
	}
	n := max(t.most, t.size, live)
	t.everyInterval = max(t.interval, int64(float64(n)/(float64(live)*t.boxLoad)*1e6))
}

// Every is the interval in force, in us.
func (t *Table) Interval() int64 { return t.everyInterval }

// Add takes a duty on, or a new process of its node.
func (t *Table) AddTask(now int64, key string, started int64) {
	s := &t.duty
	if d, known := s.index[key]; known {
		if s.started[d] != started { // the node is another process: what was known of it is of no use
			s.started[d], s.check[d] = started, false
		}
		return
	}
	d := len(s.key)
	if n := len(s.free) - 1; n >= 0 {
		d, s.free = s.free[n], s.free[:n]
	}
	s.index[key] = d
	dense.Put(&s.key, d, key)
	dense.Put(&s.hash, d, xxhash.Sum64String(key))
	dense.Put(&s.started, d, started)
	dense.Put(&s.target, d, -1)
	dense.Put(&s.holder, d, -1)
	dense.Put(&s.term, d, 0)
	dense.Put(&s.freshAt, d, now) // it is overdue only from here on
	dense.Put(&s.heard, d, false)
	dense.Put(&s.nextAt, d, now)
	dense.Put(&s.yield, d, 0)
	dense.Put(&s.yields, d, 0)
	dense.Put(&s.secondAt, d, 0)
	dense.Put(&s.check, d, false)
	t.aim(d)
}

// phase spreads the first runs of a duty over an interval, otherwise at each instance.
func (t *Table) phase(d int) int64 {
	return int64(mixHashes(t.duty.hash[d], t.member.hash[t.self]) % uint64(t.everyInterval))
}

// Drop forgets a duty.
func (t *Table) RemoveTask(key string) {
	s := &t.duty
	d, known := s.index[key]
	if !known {
		return
	}
	t.give(d, -1)
	delete(s.index, key)
	s.key[d], s.target[d] = "", -1
	s.free = append(s.free, d)
}

// give notes who holds a duty.
func (t *Table) give(d int, m int32) {
	if was := t.duty.holder[d]; was >= 0 {
		t.member.holds[was]--
	}
	if t.duty.holder[d] = m; m >= 0 {
		t.member.holds[m]++
	}
}

// mix joins two hashes; splitmix64's finish makes all bits depend on all.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// score is a member's weight in rendezvous hashing (Thaler and Ravishankar; weighted after Schindelhauer and
// Schomaker): the highest has the duty, and another member's coming or going changes nothing between the rest.
func (t *Table) score(m, d int) float64 {
	u := (float64(mixHashes(t.duty.hash[d], t.member.hash[m])>>11) + 0.5) / (1 << 53)
	return -t.member.weight[m] / math.Log(u)
}

// first is the member with the highest score that a test lets through; -1 for none.
func (t *Table) first(d int, of func(m int) bool) int {
	best, top := -1, 0.0
	for m := range t.member.name {
		if !of(m) {
			continue
		}
		if v := t.score(m, d); best < 0 || v > top || v == top && t.member.name[m] < t.member.name[best] {
			best, top = m, v
		}
	}
	return best
}

func (t *Table) aim(d int) {
	if best := int32(t.first(d, func(m int) bool { return t.member.usable[m] })); best != t.duty.target[d] {
		if t.duty.target[d] >= 0 {
			t.moved++
		}
		t.duty.target[d] = best
	}
}

// able tells whether a member may be a target.
func (t *Table) able(m int, now int64) bool {
	return t.member.state[m] == Alive && now >= t.member.slowTill[m]
}

// retarget finds the targets anew after the usable members changed. One that went moves only what was its own; one
// that came takes only what it is first for.
func (t *Table) retarget(now int64) {
	t.stale = false
	t.forget(now)
	s := &t.member
	var came []int
	went := make([]bool, len(s.name))
	for m := range s.name {
		on := t.able(m, now)
		if on && !s.usable[m] {
			came = append(came, m)
		}
		went[m] = !on && s.usable[m]
		s.usable[m] = on
	}
	for d, key := range t.duty.key {
		if key == "" {
			continue
		}
		if at := t.duty.target[d]; at < 0 || went[at] {
			t.aim(d)
			continue
		}
		for _, m := range came {
			at := int(t.duty.target[d])
			if v, top := t.score(m, d), t.score(at, d); v > top || v == top && s.name[m] < s.name[at] {
				t.duty.target[d] = int32(m)
				t.moved++
			}
		}
	}
}

// rank is how many usable members other than the holder stand before this instance for a duty.
func (t *Table) rank(d int) int {
	own, n := t.score(t.self, d), 0
	for m := range t.member.name {
		if m != t.self && int32(m) != t.duty.holder[d] && t.member.usable[m] && t.score(m, d) > own {
			n++
		}
	}
	return n
}

// greater orders two claims: the later term, and in one term the higher score, then the first name.
func (t *Table) greater(d int, term uint64, m int32) bool {
	s := &t.duty
	if term != s.term[d] || s.holder[d] < 0 {
		return term > s.term[d] || s.holder[d] < 0 && term == s.term[d]
	}
	h := int(s.holder[d])
	return cmp.Or(cmp.Compare(t.score(int(m), d), t.score(h, d)),
		cmp.Compare(t.member.name[h], t.member.name[m])) > 0
}

// Hear takes the word of another instance and tells what it may be used for.
func (t *Table) HandleUpdate(now int64, w Update) (u Evidence) {
	s := &t.duty
	d, known := s.index[w.Key]
	if !known || w.Age < 0 {
		return u
	}
	t.beat(now)
	if now < t.lateTill { // it may have lain unread while this instance stood still
		w.Age += t.lateBy
	}
	u.LearnedAt = now - w.Age
	m, member := t.member.index[w.Owner]
	if member && m == t.self { // an echo, or an earlier life of this instance
		s.term[d] = max(s.term[d], w.Term)
		return Evidence{}
	}
	t.heard = t.heard || w.Age < 2*t.everyInterval
	newest := !s.heard[d] || u.LearnedAt >= s.freshAt[d]
	if newest {
		s.freshAt[d], s.heard[d] = u.LearnedAt, true
		gain := lateDown
		if float64(w.Age) > t.lag {
			gain = lateUp
		}
		t.lag += gain * (min(float64(w.Age), 2*float64(t.everyInterval)) - t.lag)
	}
	switch alive := member && t.member.state[m] == Alive; {
	case !alive: // what is gone claims nothing, but a claim after it must be greater
		s.term[d] = max(s.term[d], w.Term)
	case w.Term > 0 && t.greater(d, w.Term, int32(m)):
		if s.holder[d] == int32(t.self) && s.target[d] == int32(t.self) { // another stepped in for this one
			s.yield[d] = now + yieldFor<<min(s.yields[d], yieldMost)
			s.yields[d] = min(s.yields[d]+1, yieldMost)
		}
		s.term[d] = w.Term
		t.give(d, int32(m))
	}
	if w.NodeStarted != s.started[d] { // of another process than the list names here: it proves nothing
		return Evidence{}
	}
	// A log position never falls within one process, so it stays proven however old the word is.
	u.Position = w.Position
	if newest && now-u.LearnedAt <= roleFor {
		u.PrimaryHint = w.PrimaryHint
	}
	if newest && float64(now-u.LearnedAt) <= quietFor*float64(t.everyInterval) {
		u.Unresponsive, u.Responsive = w.Unresponsive, !w.Unresponsive
	}
	if newest && w.Unresponsive && w.Term > 0 && now-s.secondAt[d] >= secondGap && t.rank(d) == 0 && t.working {
		s.secondAt[d], s.check[d] = now, true
	}
	return u
}

// Done takes what this instance learnt by a run, and returns it as the word for the others.
func (t *Table) RecordRun(now int64, w Update, check bool) Update {
	s := &t.duty
	d, known := s.index[w.Key]
	w.Owner, w.Age = t.member.name[t.self], 0
	if !known {
		return w
	}
	w.NodeStarted = s.started[d]
	s.freshAt[d], s.heard[d] = now, true
	switch {
	case s.holder[d] == int32(t.self):
		w.Term = s.term[d]
		if !w.Unresponsive && now > s.yield[d] {
			s.yields[d] = 0
		}
	case check && !w.Unresponsive: // the holder alone does not reach it
		t.claim(d, now)
		w.Term = s.term[d]
	}
	return w
}

// claim makes this instance the holder, and keeps the duty's rhythm.
func (t *Table) claim(d int, now int64) {
	s := &t.duty
	s.term[d]++
	t.give(d, int32(t.self))
	t.taken++
	if s.heard[d] {
		s.nextAt[d] = max(now, s.freshAt[d]+t.everyInterval)
	} else { // nobody spoke of it: instances that start together must not run all at once
		s.nextAt[d] = now + t.phase(d)
	}
}

// Tick is to be called some ten times a second; it returns what is to be run now, in dst's room.
func (t *Table) Tick(now int64, dst []DueRun) []DueRun {
	dst = dst[:0]
	t.beat(now)
	if !t.working && now >= t.workAt {
		if t.heard && t.returns == 0 { // others are at work: it came back, whoever had counted it
			t.NoteRejoins(now, 1)
		} else {
			t.working = true
		}
	}
	t.takes = min(max(1, t.takeRate*takeBurst), t.takes+t.takeRate*float64(now-t.takesAt)/1e6)
	t.takesAt = now
	t.judge(now)
	if t.stale {
		t.retarget(now)
	}
	s := &t.duty
	for d, key := range s.key {
		if key == "" {
			continue
		}
		if s.holder[d] != int32(t.self) && t.takes >= 1 && t.wants(d, now) {
			t.takes--
			t.claim(d, now)
		}
		switch {
		case s.holder[d] == int32(t.self) && now >= s.nextAt[d]:
			s.nextAt[d] = max(s.nextAt[d]+t.everyInterval, now+t.everyInterval/2)
			s.check[d] = false
			dst = append(dst, DueRun{Key: key})
		case s.check[d]:
			s.check[d] = false
			dst = append(dst, DueRun{Key: key, SecondOpinion: true})
		}
	}
	return dst
}

// wants tells whether this instance is to claim a duty.
func (t *Table) wants(d int, now int64) bool {
	s := &t.duty
	if late := now - s.freshAt[d] - t.overdueAfter(); late >= 0 {
		return late >= int64(overdueStep*float64(t.everyInterval))*int64(t.rank(d))
	}
	if s.target[d] != int32(t.self) || !t.working {
		return false
	}
	if h := s.holder[d]; h >= 0 && t.member.usable[h] {
		return now >= s.yield[d]
	}
	return true
}

// patience is how old the newest word of a duty may be: where words arrive late, more, by up to an interval.
func (t *Table) overdueAfter() int64 {
	return int64(overdueIntervals*float64(t.everyInterval) + min(t.lag, float64(t.everyInterval)))
}

// judge finds members that live and yet do not deliver.
func (t *Table) judge(now int64) {
	s := &t.member
	clear(s.overdue)
	over := t.overdueAfter()
	for d, h := range t.duty.holder {
		if h >= 0 && now-t.duty.freshAt[d] > over {
			s.overdue[h]++
		}
	}
	for m, n := range s.overdue {
		if m != t.self && s.state[m] == Alive && now >= s.slowTill[m] && s.holds[m] >= slowLeast &&
			float64(n) > slowShare*float64(s.holds[m]) {
			s.slowTill[m], t.stale = now+slowFor, true
		}
		if s.slowTill[m] > 0 && now >= s.slowTill[m] {
			s.slowTill[m], t.stale = 0, true
		}
	}
}

// beat finds out whether this instance stood still itself.
func (t *Table) beat(now int64) {
	if gap := now - t.tickAt; gap > pauseThreshold {
		t.wake(now, gap)
	}
	t.tickAt = now
}

// wake is for an instance that stood still: others have taken over, and what it holds is theirs until it hears
// nothing of it for as long as anybody would wait.
func (t *Table) wake(now, gap int64) {
	t.lateBy, t.lateTill = gap, now+catchUp
	if gap < t.overdueAfter() {
		return
	}
	for d, h := range t.duty.holder {
		t.duty.freshAt[d] = max(t.duty.freshAt[d], now-t.everyInterval/2)
		if h == int32(t.self) {
			t.give(d, -1)
		}
	}
	clear(t.member.slowTill)
	t.NoteRejoins(now, max(1, t.returns))
}

// Holds is how many duties this instance runs.
func (t *Table) OwnedTasks() int { return t.member.holds[t.self] }

// Falls is how many duties a member is the target of.
func (t *Table) TargetedTasks(name string) (n int) {
	for d, at := range t.duty.target {
		if t.duty.key[d] != "" && at >= 0 && t.member.name[at] == name {
			n++
		}
	}
	return n
}

// Mine tells whether this instance runs a duty.
func (t *Table) Owns(key string) bool {
	d, known := t.duty.index[key]
	return known && t.duty.holder[d] == int32(t.self)
}

// Holder is who runs a duty as far as is known, its term, and the age of the newest word in us; -1 for none yet.
func (t *Table) Owner(now int64, key string) (name string, term uint64, age int64) {
	d, known := t.duty.index[key]
	if !known {
		return "", 0, -1
	}
	if h := t.duty.holder[d]; h >= 0 {
		name = t.member.name[h]
	}
	if age = -1; t.duty.heard[d] {
		age = now - t.duty.freshAt[d]
	}
	return name, t.duty.term[d], age
}

// Figures are claims made, changes of target, live members and slow ones.
func (t *Table) Figures(now int64) (taken, moved int64, live, slow int) {
	for m, st := range t.member.state {
		if st == Alive && t.member.slowTill[m] > now {
			slow++
		}
	}
	return t.taken, t.moved, t.alive(), slow
}

// Left tells whether another instance runs a duty and is heard of in time, so that nobody else need look there.
func (t *Table) Delegated(now int64, key string) bool {
	d, known := t.duty.index[key]
	if !known || !t.duty.heard[d] {
		return false
	}
	h := t.duty.holder[d]
	return h >= 0 && h != int32(t.self) && t.member.usable[h] && now-t.duty.freshAt[d] < t.overdueAfter()
}
