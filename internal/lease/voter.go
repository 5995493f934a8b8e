package lease

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"cairntiller/internal/dense"
)

// Voter is one voter's part: what it granted to whom until when.
type Voter struct {
	self    string
	born    uint64
	longest int64
	most    int
	start   int64
	till    int64 // it abstains before
	floor   uint64
	set     set
	before  []string // the set before, where this process began with the present one and has not seen it in force
	next    *set     // waits until the one in force is so at a majority for long enough
	peers   map[string]peer
	standAt int64
	grant   grants
	process map[claim]*session
	ended   uint64 // grants that ended here, of all processes
	lapse   map[string]*lapses
	out     []Out
}

// claim is a process that may hold a lease; another of the same name is another claim.
type claim struct {
	name string
	born uint64
}

// session is what a process has been granted.
type session struct {
	lost   uint64 // how many grants had ended here when one of its own last did
	leases []int
	at     int64 // when it last asked
}

// lapses is how often a holder let a lease run out.
type lapses struct {
	times    int
	at, till int64 // of the last, and the end of the rest after it
}

// peer is what another voter last said.
type peer struct {
	number uint64
	since  int64 // when it took to its set, on this voter's clock
	at     int64
}

// waiter is somebody who asked for a lease that another one has.
type waiter struct {
	name     string
	born     uint64
	priority int8
	ticket   uint64
	since    int64
	seen     int64
}

// grants holds the figures about leases, in parallel arrays under one dense index.
type grants struct {
	index    map[string]int
	name     []string
	term     []uint64
	by       []claim // who has it, or had it last
	live     []bool
	released []bool // given up by its holder: that term is over
	until    []int64
	length   []int64
	full     []bool
	gen      []uint64 // under which it was last asked for in full
	priority []int8
	place    []int // in its session's list
	queue    [][]waiter
	turnTill []int64
	endAt    []int64
	free     []int
}

// Kept is what a lasting place holds of one lease.
type GrantRecord struct {
	Lease, Holder     string
	Term, Incarnation uint64
}

// NewVoter makes a voter that has just started. born is its process; longest is the longest lease, in us; most is how
// many leases it keeps. No term up to floor is ever granted anew: the wall clock's microseconds when it will have
// abstained, or what was kept if that is more.
func NewVoter(now int64, self string, born uint64, longest int64, most int, floor uint64, by VoterSet, kept []GrantRecord) *Voter {
	v := &Voter{self: self, born: born, longest: longest, most: most, start: now, till: now + longest, floor: floor,
		set: set{by.Number, slices.Clone(by.Names), now}, before: slices.Clone(by.Previous), peers: map[string]peer{},
		standAt: now, process: map[claim]*session{}, lapse: map[string]*lapses{}}
	v.grant.index = map[string]int{}
	for _, k := range kept {
		v.floor = max(v.floor, k.Term) // also where there is no room for it
		if l, ok := v.enter(now, k.Lease); ok {
			v.grant.term[l], v.grant.by[l] = k.Term, claim{k.Holder, k.Incarnation}
		}
	}
	v.out = append(v.out, Out{Act: KeepSet, Term: by.Number})
	return v
}

// Take returns what is to be done, in order.
func (v *Voter) TakeActions() []Out {
	out := v.out
	v.out = nil
	return out
}

// Abstains tells for how long it still abstains, in us.
func (v *Voter) AbstainsFor(now int64) int64 { return max(0, v.till-now) }

// Votes tells whether it belongs to the set that it goes by.
func (v *Voter) IsMember() bool { return v.set.has(v.self) }

// Set is the number of its set of voters, and their names.
func (v *Voter) CurrentSet() (number uint64, names []string) { return v.set.number, v.set.names }

// Floor is the term up to which nothing is granted anew.
func (v *Voter) TermFloor() uint64 {
	top := v.floor
	for _, t := range v.grant.term {
		top = max(top, t)
	}
	return top
}

// State is what a voter knows of one lease.
type LeaseState struct {
	Lease, Holder string
	Term          uint64
	Remaining     int64 // us
	Waiting       int
}

// States lists the leases that are granted or waited for.
func (v *Voter) LeaseStates(now int64) (all []LeaseState) {
	g := &v.grant
	for l, name := range g.name {
		if name != "" && (g.live[l] || len(g.queue[l]) > 0) {
			s := LeaseState{Lease: name, Term: g.term[l], Waiting: len(g.queue[l])}
			if g.live[l] {
				s.Holder, s.Remaining = g.by[l].name, max(0, g.until[l]-now)
			}
			all = append(all, s)
		}
	}
	return all
}

// enter finds a lease's place, or makes one where there is room.
func (v *Voter) enter(now int64, name string) (l int, ok bool) {
	g := &v.grant
	if l, ok = g.index[name]; ok {
		return l, true
	}
	if len(g.index) >= v.most && !v.forget(now, now) {
		return 0, false
	}
	l = len(g.name)
	if n := len(g.free) - 1; n >= 0 {
		l, g.free = g.free[n], g.free[:n]
	}
	g.index[name] = l
	dense.Put(&g.name, l, name)
	dense.Put(&g.term, l, 0)
	dense.Put(&g.by, l, claim{})
	dense.Put(&g.live, l, false)
	dense.Put(&g.released, l, false)
	dense.Put(&g.until, l, 0)
	dense.Put(&g.length, l, 0)
	dense.Put(&g.full, l, false)
	dense.Put(&g.gen, l, 0)
	dense.Put(&g.priority, l, 0)
	dense.Put(&g.place, l, 0)
	dense.Put(&g.queue, l, nil)
	dense.Put(&g.turnTill, l, 0)
	dense.Put(&g.endAt, l, now)
	return l, true
}

// forget drops leases that ended before a time; the floor stands for their terms from then on.
func (v *Voter) forget(now, before int64) (some bool) {
	g := &v.grant
	for l, name := range g.name {
		if name != "" && !g.live[l] && g.endAt[l] < before && len(g.queue[l]) == 0 && now >= v.till {
			v.floor = max(v.floor, g.term[l])
			v.out = append(v.out, Out{Act: Unkeep, Lease: name})
			delete(g.index, name)
			g.name[l], g.term[l] = "", 0
			g.free = append(g.free, l)
			some = true
		}
	}
	return some
}

// Hear takes a message.
func (v *Voter) Receive(now int64, m *Message) {
	switch m.Kind {
	case KindGrantRequest:
		v.ask(now, m)
	case KindRenewRequest:
		v.renew(now, m)
	case KindRelease:
		v.give(now, m)
	case KindVoterStatus:
		v.hearStanding(now, m)
	}
}

func (v *Voter) send(to string, m *Message) {
	m.From, m.Incarnation, m.SetNumber = v.self, v.born, v.set.number
	v.out = append(v.out, Out{Act: Send, To: to, Message: m})
}

// session is that of a process; it is made where the process is new.
func (v *Voter) session(now int64, c claim) *session {
	s := v.process[c]
	if s == nil {
		s = &session{lost: v.ended} // never a count that a former session of the process had
		v.process[c] = s
	}
	s.at = now
	return s
}

// ask answers each lease that is asked for.
func (v *Voter) ask(now int64, m *Message) {
	by := claim{m.From, m.Incarnation}
	answer := &Message{Kind: KindGrantResponse, Requester: m.Incarnation, RequestID: m.RequestID, Generation: m.Generation, VoterClock: now}
	if m.SetNumber != v.set.number || !v.IsMember() {
		answer.SetNames = v.set.names
	}
	for _, it := range m.Items {
		if m.SetNumber != v.set.number || !v.IsMember() {
			it.Verdict = OtherVoterSet
		} else {
			it = v.decide(now, by, m.Generation, it)
		}
		answer.Items = append(answer.Items, it)
	}
	if s := v.process[by]; s != nil {
		answer.EndedGrants = s.lost
	}
	v.send(m.From, answer)
}

// decide grants, extends or refuses one lease. Every way to Granted leads past each of the refusals.
func (v *Voter) decide(now int64, by claim, gen uint64, it Item) Item {
	refuse := func(why Verdict, wait int64) Item {
		it.Verdict, it.Wait = why, max(0, wait)
		return it
	}
	switch {
	case now < v.till: // what a former process granted may still run
		return refuse(Abstaining, v.till-now)
	case len(v.before) > 0: // who goes by the set before the former one may still vote
		return refuse(Abstaining, standEvery)
	case it.Length <= 0 || it.Length > v.longest || it.Lease == "" || len(it.Lease) > MaxNameLength:
		return refuse(OutOfBounds, 0)
	}
	l, ok := v.enter(now, it.Lease)
	if !ok {
		return refuse(NoCapacity, 0)
	}
	g := &v.grant
	v.expire(now, l)
	if g.live[l] {
		if g.by[l] == by && g.term[l] == it.Term {
			return v.extend(now, l, gen, it)
		}
		if g.by[l] == by && it.CarryOver { // nobody else had it here in between
			if top := max(g.term[l], v.floor); it.Term <= top {
				it.Term = top
				return refuse(TermTooLow, 0)
			}
			v.mark(l, by, it.Term)
			return v.extend(now, l, gen, it)
		}
		it.Holder, it.Term = g.by[l].name, g.term[l]
		v.wait(now, l, by, it)
		return refuse(HeldByOther, g.until[l]-now)
	}
	if again := it.Term == g.term[l] && g.by[l] == by && !g.released[l]; !again && it.Term <= max(g.term[l], v.floor) {
		it.Term = max(g.term[l], v.floor)
		return refuse(TermTooLow, 0)
	}
	if rest := v.lapse[by.name]; rest != nil && now < rest.till {
		return refuse(CoolingDown, rest.till-now)
	}
	if q := g.queue[l]; now < g.turnTill[l] && len(q) > 0 && q[0].name != by.name && !it.CarryOver {
		v.wait(now, l, by, it)
		return refuse(OtherGoesFirst, g.turnTill[l]-now)
	}
	return v.begin(now, l, by, gen, it)
}

// begin grants a lease that nobody has, under a term that nobody else had here.
func (v *Voter) begin(now int64, l int, by claim, gen uint64, it Item) Item {
	g, s := &v.grant, v.session(now, by)
	v.mark(l, by, it.Term)
	g.live[l], g.released[l] = true, false
	g.until[l], g.full[l], g.gen[l], g.turnTill[l] = 0, false, 0, 0
	g.place[l] = len(s.leases)
	s.leases = append(s.leases, l)
	g.queue[l] = slices.DeleteFunc(g.queue[l], func(w waiter) bool { return w.name == by.name })
	return v.extend(now, l, gen, it)
}

// mark notes under which term who has a lease, and lets it be kept.
func (v *Voter) mark(l int, by claim, term uint64) {
	g := &v.grant
	if g.term[l] != term || g.by[l] != by {
		v.out = append(v.out, Out{Act: Keep, Lease: g.name[l], Term: term, Who: by.name, Born: by.born})
	}
	g.term[l], g.by[l] = term, by
}

// extend lets a grant last. Its length is settled by the first full ask of the term, since a Renew names none.
func (v *Voter) extend(now int64, l int, gen uint64, it Item) Item {
	g := &v.grant
	if it.Full && !g.full[l] {
		g.full[l], g.length[l] = true, it.Length
	}
	if it.Full { // a generation never falls: an ask that comes late must not part what the asker takes for one
		it.Length, g.gen[l] = g.length[l], max(g.gen[l], gen)
	}
	g.until[l], g.priority[l] = max(g.until[l], now+it.Length), it.Priority
	it.Verdict = Granted
	return it
}

// renew extends all that a process has in full under the generation that it goes by: what it was granted before and
// holds no more, for a word of it was lost, runs out.
func (v *Voter) renew(now int64, m *Message) {
	answer := &Message{Kind: KindRenewResponse, Requester: m.Incarnation, RequestID: m.RequestID, Generation: m.Generation, VoterClock: now, EndedGrants: math.MaxUint64}
	s := v.process[claim{m.From, m.Incarnation}]
	if m.SetNumber != v.set.number || !v.IsMember() {
		answer.SetNames, s = v.set.names, nil
	}
	if s != nil && now >= v.till && len(v.before) == 0 {
		g := &v.grant
		for i := len(s.leases) - 1; i >= 0; i-- { // from the end: one that has run out leaves the list
			l := s.leases[i]
			if v.expire(now, l); !g.live[l] || !g.full[l] || g.gen[l] != m.Generation {
				continue
			}
			answer.RenewedCount++
			g.until[l] = max(g.until[l], now+g.length[l])
			if q := g.queue[l]; len(q) > 0 && len(answer.Items) < wantedMost {
				answer.Items = append(answer.Items, Item{Lease: g.name[l], Term: g.term[l], Holder: q[0].name,
					Priority: q[0].priority, Wait: now - q[0].since})
			}
		}
		s.at, answer.EndedGrants = now, s.lost
	}
	v.send(m.From, answer)
}

// give takes back what its holder gives up; who is to have it next goes first.
func (v *Voter) give(now int64, m *Message) {
	g, by := &v.grant, claim{m.From, m.Incarnation}
	for _, it := range m.Items {
		l, known := g.index[it.Lease]
		if !known || g.by[l] != by || g.term[l] != it.Term {
			continue
		}
		g.released[l] = true
		if it.Holder != "" {
			first := waiter{name: it.Holder, priority: math.MaxInt8, since: math.MinInt64, seen: now}
			g.queue[l] = append([]waiter{first}, slices.DeleteFunc(g.queue[l], func(w waiter) bool { return w.name == it.Holder })...)
		}
		if g.live[l] {
			v.vacate(now, l)
		}
	}
}

// expire ends a grant whose time is over. Its holder let it lapse.
func (v *Voter) expire(now int64, l int) {
	g := &v.grant
	if !g.live[l] || now < g.until[l] {
		return
	}
	if g.full[l] { // a vote that only split is no lapse
		v.lapsed(now, g.by[l].name, g.length[l], len(g.queue[l]) > 0)
	}
	v.vacate(now, l)
}

// lapsed notes that a holder let a lease run out: one that does so again and again rests, longer where others wait.
func (v *Voter) lapsed(now int64, name string, length int64, wanted bool) {
	p := v.lapse[name]
	if p == nil || now-p.at > lapseSpan {
		p = &lapses{}
		v.lapse[name] = p
	}
	if p.times == 0 || now-p.at >= length { // many leases that run out together are one lapse
		p.times, p.at = p.times+1, now
	}
	if over := p.times - lapseFree; over > 0 && wanted {
		p.till = now + length<<min(over, restMost)
	} else if over > 0 {
		p.till = now + length
	}
}

// vacate ends a grant and tells who waits first.
func (v *Voter) vacate(now int64, l int) {
	g := &v.grant
	s := v.process[g.by[l]]
	v.ended++
	s.lost = v.ended
	last := s.leases[len(s.leases)-1]
	s.leases[g.place[l]], g.place[last] = last, g.place[l]
	s.leases = s.leases[:len(s.leases)-1]
	g.live[l], g.endAt[l] = false, now
	v.call(now, l)
}

// call tells who waits first that it is its turn; while it has time to come nobody else gets the lease here.
func (v *Voter) call(now int64, l int) {
	g := &v.grant
	g.queue[l] = slices.DeleteFunc(g.queue[l], func(w waiter) bool { return now-w.seen > waiterKept })
	g.turnTill[l] = 0
	first := slices.IndexFunc(g.queue[l], func(w waiter) bool { return v.lapse[w.name] == nil || now >= v.lapse[w.name].till })
	if first < 0 { // who rests would only be refused
		return
	}
	w := g.queue[l][first]
	g.queue[l] = slices.Insert(slices.Delete(g.queue[l], first, first+1), 0, w)
	g.turnTill[l] = now + turnSpan
	v.send(g.queue[l][0].name, &Message{Kind: KindTurnNotice, VoterClock: now,
		Items: []Item{{Lease: g.name[l], Term: max(g.term[l], v.floor)}}})
}

// Gone tells that a member is gone: it waits for nothing any more. What it holds runs out as if it lived.
func (v *Voter) MemberGone(now int64, name string) {
	g := &v.grant
	for l, q := range g.queue {
		first := len(q) > 0 && q[0].name == name
		g.queue[l] = slices.DeleteFunc(q, func(w waiter) bool { return w.name == name })
		if first && now < g.turnTill[l] {
			v.call(now, l)
		}
	}
}

// wait puts somebody in a lease's line: by priority, then by who came first. That is told by tickets and not by when an
// ask came, so that all voters have the same line: where each calls another one first, their votes split for ever.
func (v *Voter) wait(now int64, l int, by claim, it Item) {
	g := &v.grant
	if g.live[l] && g.by[l].name == by.name { // a former process of the holder, or it itself under another term
		return
	}
	w := waiter{name: by.name, born: by.born, priority: it.Priority, ticket: it.Ticket - 1, since: now, seen: now} // none is the last
	q := slices.DeleteFunc(g.queue[l], func(o waiter) bool {
		if o.name == by.name {
			w.since, w.priority = min(w.since, o.since), max(w.priority, o.priority)
		}
		return o.name == by.name || now-o.seen > waiterKept
	})
	i, _ := slices.BinarySearchFunc(q, w, func(o, w waiter) int {
		return cmp.Or(cmp.Compare(w.priority, o.priority), cmp.Compare(o.ticket, w.ticket),
			cmp.Compare(score(o.name, g.name[l]), score(w.name, g.name[l])), -1)
	})
	q = slices.Insert(q, i, w)
	g.queue[l] = q[:min(len(q), waitersMost)]
}

// SetVoters tells of the set of voters that the operator's file names. The next one in number is taken to as soon as
// the one in force is so at a majority of its voters for as long as the longest lease: votes under the one before are
// over by then. It returns what can't be done, "" for nothing.
func (v *Voter) SetVoters(now int64, by VoterSet) string {
	switch {
	case by.Number == v.set.number:
		if !slices.Equal(sorted(by.Names), sorted(v.set.names)) {
			return fmt.Sprintf("other voters under number %d, which is in force", by.Number)
		}
		if len(by.Previous) == 0 {
			v.before = nil // the operator's word that nobody goes by a former set any more
		}
	case by.Number < v.set.number:
		return fmt.Sprintf("voters number %d, and number %d is in force", by.Number, v.set.number)
	case by.Number > v.set.number+1:
		return fmt.Sprintf("voters number %d, and number %d is in force: one change after another", by.Number, v.set.number)
	case !ValidSuccessor(v.set.names, by.Names):
		return fmt.Sprintf("voters number %d differ from number %d by more than one", by.Number, v.set.number)
	default:
		v.next = &set{by.Number, slices.Clone(by.Names), now}
		v.adopt(now)
	}
	return ""
}

func sorted(names []string) []string {
	all := slices.Clone(names)
	slices.Sort(all)
	return all
}

// adopt takes to the next set where that is safe, and finds whether the present one is in force.
func (v *Voter) adopt(now int64) {
	if len(v.before) > 0 && v.settled(now, v.before, v.set.number-1) {
		v.before = nil
	}
	if v.next == nil || len(v.before) > 0 || !v.settled(now, v.set.names, v.set.number) {
		return
	}
	v.set, v.next = *v.next, nil
	v.set.at = now
	v.out = append(v.out, Out{Act: KeepSet, Term: v.set.number},
		Out{Act: Note, Why: fmt.Sprintf("voters number %d in force here", v.set.number)})
	v.standAt = now
}

// settled tells whether a majority of a set has gone by a number, or by later ones, for the longest lease: no vote
// under a lower number is good any more, and no majority of one can come together.
func (v *Voter) settled(now int64, names []string, number uint64) bool {
	sure := 0
	for _, name := range names {
		p, known := v.peers[name]
		if name == v.self {
			p, known = peer{number: v.set.number, since: v.set.at, at: now}, true
		}
		if known && now-p.at <= standFresh && p.number >= number && now-p.since >= v.longest {
			sure++
		}
	}
	return 2*sure > len(names)
}

// hearStanding takes another voter's word of itself.
func (v *Voter) hearStanding(now int64, m *Message) {
	p, known := v.peers[m.From]
	if m.From == v.self || !known && len(v.peers) >= peersMost {
		return
	}
	if !known || now-p.at > standFresh { // it may not know of this voter
		v.stand(now, m.From)
	}
	if m.SetNumber != p.number && m.SetNumber != v.set.number {
		v.out = append(v.out, Out{Act: Note, Who: m.From, Why: fmt.Sprintf("goes by voters number %d, this one by %d", m.SetNumber, v.set.number)})
	}
	p.number, p.since, p.at = m.SetNumber, now-m.SetAge, now
	// What it does not know any more it learns while it abstains, of those alone whose votes it may have to go with: a floor
	// is above its teller's wall clock, and what is learned of anybody may not be heard again after the next start.
	if now < v.till && (v.set.has(m.From) || slices.Contains(v.before, m.From)) {
		v.floor = max(v.floor, m.TermFloor)
		v.till = max(v.till, v.start+m.LongestLease)
	}
	v.peers[m.From] = p
}

// Tick ends what has run out, calls who waits, and tells the other voters how this one stands.
func (v *Voter) Tick(now int64) {
	g := &v.grant
	for l := range g.name {
		switch {
		case g.name[l] == "":
		case g.live[l]:
			v.expire(now, l)
		case g.turnTill[l] > 0 && now >= g.turnTill[l] && len(g.queue[l]) > 0: // it did not come
			g.queue[l] = g.queue[l][1:]
			v.call(now, l)
		}
	}
	v.adopt(now)
	if now < v.standAt {
		return
	}
	v.standAt = now + standEvery
	v.forget(now, now-forgetAfter)
	for c, s := range v.process {
		if len(s.leases) == 0 && now-s.at > forgetAfter {
			delete(v.process, c)
		}
	}
	for name, p := range v.lapse {
		if now-p.at > lapseSpan && now > p.till {
			delete(v.lapse, name)
		}
	}
	others := slices.Concat(v.set.names, v.before)
	if v.next != nil {
		others = append(others, v.next.names...)
	}
	slices.Sort(others)
	if !slices.Contains(others, v.self) { // it has no say
		return
	}
	for _, name := range slices.Compact(others) {
		if name != v.self {
			v.stand(now, name)
		}
	}
}

// stand tells another voter how this one stands.
func (v *Voter) stand(now int64, to string) {
	v.send(to, &Message{Kind: KindVoterStatus, VoterClock: now, TermFloor: v.TermFloor(), LongestLease: v.longest, SetAge: now - v.set.at, SetNames: v.set.names})
}
