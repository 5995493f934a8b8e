package lease

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"

	"cairntiller/internal/dense"
)

// Claimant is one process's part: the leases that it wants or holds.
type Candidate struct {
	self  string
	born  uint64
	drift int64 // parts of a million by which a clock's rate may be off
	seed  uint64
	draw  uint64

	sets    []set // known ones, at most two, the newest last
	voter   voters
	round   uint64
	sent    map[uint64]int64 // when each question went out
	oldest  uint64           // of them
	seen    uint64           // highest term told by anyone
	renewAt int64
	gen     uint64 // of its grants; voters let run out what was not asked for in full since it last changed
	lease   wishes
	frees   []freeing
	out     []Out
}

// Wish is a lease that a process wants.
type Request struct {
	Lease      string
	Length     int64 // us
	YieldAfter int64 // us after which it yields to others of its priority who wait, 0 for never
	Priority   int8
}

// freeing is a lease given up that voters are still to be told of.
type freeing struct {
	item  Item
	times int
	at    int64
}

// voters holds the figures about voters, in parallel arrays; they stay in their place when the set changes.
type voters struct {
	index  map[string]int
	name   []string
	number []uint64 // of the set that it goes by, as far as is known
	clock  []reading
	off    []bool // its clock's rate was told to be off
	stray  []int  // renewals in a row at which it extended more than is known
	queue  [][]Item
}

// reading is one comparison of a voter's clock with the own one.
type reading struct{ sent, got, clock int64 }

// vote is a voter's grant of one lease.
type vote struct {
	term   uint64
	set    uint64
	born   uint64 // the voter's process
	until  int64  // what it is good for, on the own clock
	length int64
	full   bool
	lost   uint64 // the voter's count of ended grants when it granted
	gen    uint64 // under which it was asked for
	at     int64  // when its answer came
	again  int64  // when to ask it anew
	wait   int64  // until when it said that another one has the lease
}

// phase is how far a wish has come.
type phase uint8

const (
	nothing phase = iota // an empty place
	waits
	asks
	holds
)

// wishes holds the figures about wanted leases, in parallel arrays under one dense index.
type wishes struct {
	index    map[string]int
	name     []string
	length   []int64
	turn     []int64
	priority []int8
	phase    []phase
	term     []uint64
	next     []uint64 // later term to which it is being carried over while it is held, 0 for none
	askAt    []int64  // when it is asked for next
	giveUp   []int64  // when this try is over
	ticket   []uint64
	tries    []int // that came to nothing in a row
	until    []int64
	since    []int64 // when it came to hold it
	yields   []bool  // it was told to yield
	votes    [][]vote
	free     []int
}

// NewClaimant makes a process's part. born is a number that no other process of its name has; drift is in parts of a
// million; number and names are the set of voters that it goes by.
func NewCandidate(self string, born uint64, drift int64, number uint64, names []string) *Candidate {
	c := &Candidate{self: self, born: born, drift: drift, seed: born, sent: map[uint64]int64{}, oldest: 1}
	c.voter.index, c.lease.index = map[string]int{}, map[string]int{}
	c.know(number, names)
	return c
}

// Take returns what is to be done, in order.
func (c *Candidate) TakeActions() []Out {
	out := c.out
	c.out = nil
	return out
}

// chance draws a number below n.
func (c *Candidate) chance(n int64) int64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], c.seed)
	binary.LittleEndian.PutUint64(b[8:], c.draw)
	c.draw++
	return int64(crc32.ChecksumIEEE(b[:])) % max(n, 1)
}

// know takes in a set of voters; the two newest are kept, for a change takes a while to reach all.
func (c *Candidate) know(number uint64, names []string) {
	if len(names) == 0 || len(names) > MaxVoters {
		return
	}
	for i := range c.sets {
		if c.sets[i].number == number {
			return
		}
	}
	if len(c.sets) == 2 && number < c.sets[0].number {
		return
	}
	c.sets = append(c.sets, set{number: number, names: slices.Clone(names)})
	slices.SortFunc(c.sets, func(a, b set) int { return int(int64(a.number - b.number)) })
	if len(c.sets) > 2 {
		c.sets = c.sets[len(c.sets)-2:]
	}
	for _, name := range names {
		if _, known := c.voter.index[name]; !known {
			i := len(c.voter.name)
			c.voter.index[name] = i
			c.voter.name = append(c.voter.name, name)
			c.voter.number = append(c.voter.number, number)
			c.voter.clock = append(c.voter.clock, reading{})
			c.voter.off = append(c.voter.off, false)
			c.voter.stray = append(c.voter.stray, 0)
			c.voter.queue = append(c.voter.queue, nil)
			for l := range c.lease.votes {
				c.lease.votes[l] = append(c.lease.votes[l], vote{})
			}
		}
	}
}

// SetVoters tells of the set of voters that the operator's file names.
func (c *Candidate) SetVoters(number uint64, names []string) { c.know(number, names) }

// asked tells whether a voter belongs to a set that is known.
func (c *Candidate) asked(i int) bool {
	for _, s := range c.sets {
		if s.has(c.voter.name[i]) {
			return true
		}
	}
	return false
}

// Want begins to ask for a lease; a wish for one that is wanted already changes nothing but its priority and turn.
func (c *Candidate) RequestLease(now int64, w Request) {
	s := &c.lease
	if l, known := s.index[w.Lease]; known {
		s.priority[l], s.turn[l] = w.Priority, w.YieldAfter
		return
	}
	l := len(s.name)
	if n := len(s.free) - 1; n >= 0 {
		l, s.free = s.free[n], s.free[:n]
	}
	s.index[w.Lease] = l
	dense.Put(&s.name, l, w.Lease)
	dense.Put(&s.length, l, w.Length)
	dense.Put(&s.turn, l, w.YieldAfter)
	dense.Put(&s.priority, l, w.Priority)
	dense.Put(&s.phase, l, waits)
	dense.Put(&s.term, l, 0)
	dense.Put(&s.next, l, 0)
	dense.Put(&s.askAt, l, now)
	dense.Put(&s.giveUp, l, 0)
	dense.Put(&s.ticket, l, c.seen)
	dense.Put(&s.tries, l, 0)
	dense.Put(&s.until, l, 0)
	dense.Put(&s.since, l, 0)
	dense.Put(&s.yields, l, false)
	dense.Put(&s.votes, l, make([]vote, len(c.voter.name)))
}

// Drop ends a wish; what is held is given up. Its acts must have ended.
func (c *Candidate) Withdraw(now int64, lease string) {
	s := &c.lease
	l, known := s.index[lease]
	if !known {
		return
	}
	c.leave(now, l, "")
	delete(s.index, lease)
	s.name[l], s.phase[l] = "", nothing
	s.free = append(s.free, l)
}

// Abandon ends a wish without a word: what is held runs out at the voters, for its acts may not have ended.
func (c *Candidate) Abandon(now int64, lease string) {
	s := &c.lease
	if l, known := s.index[lease]; known {
		if s.phase[l] == holds || s.phase[l] == asks {
			c.anew(now)
		}
		s.phase[l] = waits
		c.Withdraw(now, lease)
	}
}

// VoterNames are the voters that are asked.
func (c *Candidate) VoterNames() (all []string) {
	for i, name := range c.voter.name {
		if c.asked(i) {
			all = append(all, name)
		}
	}
	return all
}

// Release gives a lease up to who is next, "" for whoever comes. Its acts must have ended. The wish stays, behind the
// others.
func (c *Candidate) Release(now int64, lease, next string) {
	s := &c.lease
	if l, known := s.index[lease]; known {
		c.leave(now, l, next)
		s.phase[l], s.askAt[l], s.tries[l], s.ticket[l] = waits, now+2*turnSpan+c.chance(turnSpan), 0, c.seen
	}
}

// leave tells the voters that a term is over here.
func (c *Candidate) leave(now int64, l int, next string) {
	s := &c.lease
	if s.phase[l] != asks && s.phase[l] != holds {
		return
	}
	s.until[l] = 0
	if !slices.ContainsFunc(s.votes[l], func(v vote) bool { return v.term == s.term[l] }) && s.phase[l] == asks {
		return // nobody is known to have voted; who has all the same, keeps a short vote for a moment
	}
	c.frees = append(c.frees, freeing{Item{Lease: s.name[l], Term: s.term[l], Holder: next}, 0, now})
	if s.next[l] > 0 {
		c.frees = append(c.frees, freeing{Item{Lease: s.name[l], Term: s.next[l], Holder: next}, 0, now})
	}
	s.next[l] = 0
	c.tell(now)
}

// Term is under which term a lease is held, and until when; 0 where it is not.
func (c *Candidate) HeldTerm(lease string) (term uint64, until int64) {
	s := &c.lease
	if l, known := s.index[lease]; known && s.phase[l] == holds {
		return s.term[l], s.until[l]
	}
	return 0, 0
}

// Tick asks, extends and gives up what is due.
func (c *Candidate) Tick(now int64) {
	for c.oldest <= c.round && now-c.sent[c.oldest] > mostAnswer {
		delete(c.sent, c.oldest) // a later answer counts for nothing
		c.oldest++
	}
	s := &c.lease
	least, held := int64(0), false
	trying := 0
	for l := range s.phase {
		if s.phase[l] == asks {
			trying++
		}
	}
	for l := range s.name {
		switch s.phase[l] {
		case waits:
			if now >= s.askAt[l] && trying < triesMost {
				c.begin(now, l)
				trying++
			}
		case asks:
			if now >= s.giveUp[l] {
				c.fail(now, l)
			}
		case holds:
			if now >= s.until[l] {
				c.lose(now, l, "it ran out before enough votes came")
				break
			}
			if !held || s.length[l] < least {
				least, held = s.length[l], true
			}
		}
		if s.phase[l] == asks || s.phase[l] == holds {
			c.chase(now, l)
		}
	}
	if held && now >= c.renewAt {
		c.renewAt = now + least/renewPart
		for i := range c.voter.name {
			if c.asked(i) {
				c.send(now, i, &Message{Kind: KindRenewRequest})
			}
		}
	}
	c.flush(now)
	c.tell(now)
}

const mostAnswer = 60_000_000 // us after which an answer counts for nothing: no lease is longer

// begin starts a try: a short vote, so that one which splits blocks nobody for long.
func (c *Candidate) begin(now int64, l int) {
	s := &c.lease
	s.phase[l], s.term[l], s.next[l], s.until[l], s.yields[l] = asks, c.seen+termsSlack, 0, 0, false
	c.seen = s.term[l]
	s.giveUp[l] = now + c.trial(l)
	for i := range s.votes[l] {
		s.votes[l][i] = vote{again: now}
	}
}

func (c *Candidate) trial(l int) int64 {
	return min(max(c.lease.length[l]/renewPart, leastTrial), mostTrial)
}

// chase asks the voters whose votes are missing, or can't be extended together with all others.
func (c *Candidate) chase(now int64, l int) {
	s := &c.lease
	full := s.phase[l] == holds || s.until[l] > now
	for i := range s.votes[l] {
		v := &s.votes[l][i]
		term := max(s.term[l], s.next[l])
		if good := v.term == term && v.until > now && (v.full || !full); good || now < v.again || !c.asked(i) {
			continue
		}
		v.again = now + askAgain
		it := Item{Lease: s.name[l], Term: term, CarryOver: s.next[l] > 0, Length: s.length[l], Full: full, Priority: s.priority[l], Ticket: s.ticket[l]}
		if s.phase[l] == holds {
			v.again = now + s.length[l]/renewPart
		}
		if !full {
			it.Length = c.trial(l)
		}
		c.voter.queue[i] = append(c.voter.queue[i], it)
	}
}

// flush sends what is queued, as many messages as one tick may send.
func (c *Candidate) flush(now int64) {
	for i, q := range c.voter.queue {
		if len(q) == 0 {
			continue
		}
		parts := split(q)
		for _, part := range parts[:min(len(parts), messagesMax)] {
			c.send(now, i, &Message{Kind: KindGrantRequest, Items: part})
		}
		c.voter.queue[i] = nil
		for _, part := range parts[min(len(parts), messagesMax):] { // asked with the next tick
			for _, it := range part {
				if l, known := c.lease.index[it.Lease]; known {
					c.lease.votes[l][i].again = now
				}
			}
		}
	}
}

// send gives a question its number and the set of voters that the voter goes by.
func (c *Candidate) send(now int64, i int, m *Message) {
	c.round++
	c.sent[c.round] = now
	m.From, m.Incarnation, m.SetNumber, m.RequestID, m.Generation = c.self, c.born, c.voter.number[i], c.round, c.gen
	c.out = append(c.out, Out{Act: Send, To: c.voter.name[i], Message: m})
}

// tell sends the word of what was given up, several times, for nobody answers it.
func (c *Candidate) tell(now int64) {
	var items []Item
	kept := c.frees[:0]
	for _, f := range c.frees {
		if now >= f.at {
			items = append(items, f.item)
			f.times, f.at = f.times+1, now+freeGap
		}
		if f.times < freeTimes {
			kept = append(kept, f)
		}
	}
	c.frees = kept
	if len(items) == 0 {
		return
	}
	for i := range c.voter.name {
		if c.asked(i) {
			for _, part := range split(items) {
				c.send(now, i, &Message{Kind: KindRelease, Items: part})
			}
		}
	}
}

// fail ends a try that brought no majority; it waits for who has the lease, or for chance to part the askers.
func (c *Candidate) fail(now int64, l int) {
	c.leave(now, l, "")
	s := &c.lease
	s.phase[l], s.tries[l] = waits, s.tries[l]+1
	wait := int64(backFirst) << min(s.tries[l], backMost)
	s.askAt[l] = now + wait/2 + c.chance(wait)
	if at := c.vacant(l); at > now { // together with others that wait: a message takes many
		at = min(at, now+askMost)
		s.askAt[l], s.tries[l] = at-at%askTogether+askTogether+c.chance(backFirst)/2, 0
	}
}

// vacant is when a majority of the voters that answered may have the lease free, as they told; 0 where too few spoke
// of another holder.
func (c *Candidate) vacant(l int) int64 {
	newest := c.sets[len(c.sets)-1]
	var all []int64
	for _, name := range newest.names {
		if at := c.lease.votes[l][c.voter.index[name]].wait; at > 0 {
			all = append(all, at)
		}
	}
	if len(newest.names)-len(all) >= newest.majority() { // enough are left without them
		return 0
	}
	slices.Sort(all)
	return all[newest.majority()-(len(newest.names)-len(all))-1]
}

// lose ends a lease that could not be extended. The voters are not told: they keep to their votes, so that an act which
// outlasts its bound is over before another holder begins, as far as a lease can see to that.
func (c *Candidate) lose(now int64, l int, why string) {
	s := &c.lease
	c.out = append(c.out, Out{Act: Lose, Lease: s.name[l], Term: s.term[l], Why: why})
	c.anew(now)
	s.phase[l], s.until[l], s.askAt[l], s.ticket[l] = waits, 0, now+backFirst+c.chance(backFirst), c.seen
}

// anew begins another generation: what voters granted so far runs out, but for what is asked for once more. So a grant
// that is held no more, or given up by a word that was lost, is not extended together with all others.
func (c *Candidate) anew(now int64) {
	c.gen++
	s := &c.lease
	for l := range s.name {
		if s.phase[l] != asks && s.phase[l] != holds {
			continue
		}
		for i := range s.votes[l] {
			if v := &s.votes[l][i]; v.full {
				v.full, v.again = false, min(v.again, now)
			}
		}
	}
}

// strays finds that a voter extends more than is known to be granted there, again and again: it did not hear that
// something was given up.
func (c *Candidate) strays(now int64, i int, m *Message) {
	known := 0
	for l := range c.lease.name {
		if v := &c.lease.votes[l][i]; (c.lease.phase[l] == asks || c.lease.phase[l] == holds) && c.mine(l, v.term) && v.full {
			known++
		}
	}
	if m.Generation != c.gen || m.RenewedCount <= known {
		c.voter.stray[i] = 0
	} else if c.voter.stray[i]++; c.voter.stray[i] >= strayTimes {
		c.voter.stray[i] = 0
		c.out = append(c.out, Out{Act: Note, Who: c.voter.name[i], Why: fmt.Sprintf("it extends %d grants where %d are known: all are asked for anew", m.RenewedCount, known)})
		c.anew(now)
	}
}

// Hear takes a voter's message.
func (c *Candidate) Receive(now int64, m *Message) {
	i, known := c.voter.index[m.From]
	if !known || (m.Kind == KindGrantResponse || m.Kind == KindRenewResponse) && m.Requester != c.born {
		return
	}
	if len(m.SetNames) > 0 && m.Kind != KindVoterStatus {
		c.know(m.SetNumber, m.SetNames)
	}
	c.voter.number[i] = m.SetNumber
	switch m.Kind {
	case KindGrantResponse, KindRenewResponse:
		sentAt, open := c.sent[m.RequestID]
		if !open {
			return
		}
		c.compare(i, reading{sentAt, now, m.VoterClock})
		if m.Kind == KindGrantResponse {
			for _, it := range m.Items {
				c.answered(now, i, sentAt, m, it)
			}
		} else {
			c.strays(now, i, m)
			c.renewed(now, i, sentAt, m)
		}
	case KindTurnNotice:
		for _, it := range m.Items {
			c.seen = max(c.seen, it.Term)
			l, wanted := c.lease.index[it.Lease]
			if !wanted || c.lease.phase[l] != waits {
				continue
			}
			c.lease.votes[l][i].wait = 0
			if c.vacant(l) <= now { // one voter that has come back and knows of no holder calls in vain
				c.lease.askAt[l] = now
			}
		}
	}
}

// answered takes a voter's verdict on one lease.
func (c *Candidate) answered(now int64, i int, sentAt int64, m *Message, it Item) {
	s := &c.lease
	c.seen = max(c.seen, it.Term)
	l, wanted := s.index[it.Lease]
	if !wanted || s.phase[l] != asks && s.phase[l] != holds {
		return
	}
	if s.ticket[l] == 0 {
		s.ticket[l] = c.seen
	}
	v := &s.votes[l][i]
	switch it.Verdict {
	case Granted:
		if !c.mine(l, it.Term) {
			return
		}
		until := sentAt + UsableLength(it.Length, c.drift)
		if c.mine(l, v.term) {
			until = max(until, v.until)
		}
		*v = vote{term: it.Term, set: m.SetNumber, born: m.Incarnation, until: until, length: it.Length, full: it.Full && m.Generation == c.gen,
			lost: m.EndedGrants, gen: m.Generation, at: now}
		c.count(now, l)
	case TermTooLow:
		if s.phase[l] == asks && it.Term >= s.term[l] { // what it was given under that term is of no use
			c.leave(now, l, "")
			c.begin(now, l)
		} else if s.phase[l] == holds && it.Term >= max(s.term[l], s.next[l]) && v.term != it.Term {
			c.carryOver(now, l)
		}
	case HeldByOther, OtherGoesFirst:
		v.wait, v.again = now+it.Wait, now+max(it.Wait, askAgain)
	case Abstaining, CoolingDown:
		v.again = now + max(it.Wait, askAgain)
	case OtherVoterSet:
		v.again = now + askAgain
		if !c.votesIn(m.SetNumber, m.From) {
			v.again = now + askMost
		}
	}
}

// votesIn tells whether a set of voters is known, and a voter belongs to it.
func (c *Candidate) votesIn(number uint64, name string) bool {
	return slices.ContainsFunc(c.sets, func(s set) bool { return s.number == number && s.has(name) })
}

// renewed takes a voter's word that all it granted in full is extended. What it granted is still granted if no grant
// of this process has ended there since, and if its answer to the grant had come before the question went out.
func (c *Candidate) renewed(now int64, i int, sentAt int64, m *Message) {
	s := &c.lease
	for l := range s.name {
		if s.phase[l] != asks && s.phase[l] != holds {
			continue
		}
		switch v := &s.votes[l][i]; {
		case !c.mine(l, v.term) || !v.full:
		case v.gen != m.Generation: // a question of before
		case v.born != m.Incarnation || v.lost != m.EndedGrants || v.set != m.SetNumber:
			v.full, v.again = false, min(v.again, now) // asked for by itself
		case v.at <= sentAt:
			v.until = max(v.until, sentAt+UsableLength(v.length, c.drift))
			c.count(now, l)
		}
	}
	for _, it := range m.Items {
		l, known := s.index[it.Lease]
		if !known || s.phase[l] != holds || s.term[l] != it.Term || s.yields[l] {
			continue
		}
		why := ""
		if it.Priority > s.priority[l] {
			why = "somebody of a higher priority waits"
		} else if s.turn[l] > 0 && now-s.since[l] >= s.turn[l] {
			why = "it had its turn"
		}
		if why != "" {
			s.yields[l] = true
			c.out = append(c.out, Out{Act: Yield, Lease: it.Lease, Term: it.Term, Who: it.Holder, Why: why})
		}
	}
}

// count finds until when a majority's votes are good. What was earned once stays: the voters keep to it.
func (c *Candidate) count(now int64, l int) {
	s := &c.lease
	best := s.until[l]
	var all [MaxVoters]int64
	for _, set := range c.sets {
		n := 0
		for _, name := range set.names {
			if v := s.votes[l][c.voter.index[name]]; c.mine(l, v.term) && v.set == set.number {
				all[n] = v.until
				n++
			}
		}
		if need := set.majority(); n >= need {
			slices.Sort(all[:n])
			best = max(best, all[n-need])
		}
	}
	carried := c.carried(now, l)
	if best <= s.until[l] && !carried {
		return
	}
	s.until[l] = best
	switch {
	case s.phase[l] == holds:
		c.out = append(c.out, Out{Act: Extended, Lease: s.name[l], Term: s.term[l], Until: best})
	case best-now >= s.length[l]/2: // the trial is won and the full vote too
		s.phase[l], s.since[l], s.tries[l] = holds, now, 0
		c.out = append(c.out, Out{Act: Hold, Lease: s.name[l], Term: s.term[l], Until: best})
	case best > now: // the trial is won: all are asked for the whole length at once
		s.giveUp[l] = now + c.trial(l)
		for i := range s.votes[l] {
			if !s.votes[l][i].full {
				s.votes[l][i].again = min(s.votes[l][i].again, now)
			}
		}
	}
}

// mine tells whether a term is the one of this try or tenure, or the one that it is being carried over to. What a voter
// granted under either binds it to this process alone.
func (c *Candidate) mine(l int, term uint64) bool {
	return term > 0 && (term == c.lease.term[l] || term == c.lease.next[l])
}

// carryOver asks all voters to go on under a later term: one that came back, or voted for another one in vain, can't
// vote for the present one any more, and the next one that comes back would cost the lease.
func (c *Candidate) carryOver(now int64, l int) {
	s := &c.lease
	c.seen += termsSlack
	s.next[l] = c.seen
	for i := range s.votes[l] {
		s.votes[l][i].again = min(s.votes[l][i].again, now)
	}
}

// carried goes over to the later term once a majority votes for it.
func (c *Candidate) carried(now int64, l int) bool {
	s := &c.lease
	if s.next[l] == 0 || s.phase[l] != holds || now >= s.until[l] {
		return false
	}
	for _, set := range c.sets {
		n := 0
		for _, name := range set.names {
			if v := s.votes[l][c.voter.index[name]]; v.term == s.next[l] && v.set == set.number && v.until > now {
				n++
			}
		}
		if n >= set.majority() {
			s.term[l], s.next[l] = s.next[l], 0
			return true
		}
	}
	return false
}

// compare looks at how fast a voter's clock goes against the own one. Both may be off by the bound; a difference of
// more than clockDoubt times it is told, once.
func (c *Candidate) compare(i int, r reading) {
	first := c.voter.clock[i]
	if first.clock > 0 && r.sent < first.got { // an answer that comes late tells nothing new
		return
	}
	if first.clock == 0 || r.clock < first.clock {
		if first.clock > 0 {
			c.out = append(c.out, Out{Act: Note, Who: c.voter.name[i], Why: "its clock went back: its machine has started anew"})
		}
		c.voter.clock[i] = r
		return
	}
	if r.sent-first.got < clockSpan {
		return
	}
	most, least := r.got-first.sent, r.sent-first.got
	by := r.clock - first.clock
	slack := int64(clockDoubt * float64(c.drift) * float64(most) / million)
	if off := by > most+slack || by < least-slack; off != c.voter.off[i] {
		c.voter.off[i] = off
		if off {
			c.out = append(c.out, Out{Act: Drifts, Who: c.voter.name[i], Why: fmt.Sprintf("its clock went %d us while this one went %d to %d: one is outside the bound on drift", by, least, most)})
		}
	}
	c.voter.clock[i] = r
}

// Round is the number of the newest question.
func (c *Candidate) LastRequestID() uint64 { return c.round }
