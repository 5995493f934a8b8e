// Package routing decides what becomes of every command.
// A protocol makes an instance with New, hands each part its values (state.go), calls Start, and
// then calls one method here for each thing that happens: BeginEndpointList/UpdateEndpoint/EndEndpointList,
// RequestArrived, ObserveReply, Reported..., AttemptEnded, HealthChecked, ClientGone, TimerFired. It acts through Actions (iface.go) alone. A command passes
// Router.chain downwards, what comes back upwards. DESIGN rules; each exception states its condition.
package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	sweepEvery    = 20_000  // us; the module's own beat: far under any response target
	rotationLag   = 2e6     // us; the design's bound past which a replica leaves rotation
	holdShare     = 0.25    // of a command group's timeout; the design's "small part" of a read's time
	writeShare    = 0.45    // of its time that a write waits unsent: under half, for its client to come again
	lagEqual      = 250_000 // us; replicas whose lags differ by less are equally likely to be fresh
	probeGap      = 30_000  // us between probes for held reads; the design's "few tens of milliseconds"
	askGap        = 50_000  // us between asks for an unknown primary: one at a time, yet soon through a group
	rejoinGap     = 250_000 // us between probes of a node that is silent or lags: about a connect time-out
	extraShare    = 0.3     // probes, and second copies, a command taken: more cost over what they bring
	extraStore    = 10.0    // of each, saved up at most and at the start: a look at a small fleet
	extraSpare    = 5.0     // of the probes, what those for no command in hand leave
	scarceFor     = 10e6    // us after a live node refused a connection in which none is kept idle
	silenceTimes  = 4.0     // times a usual response; exponential work stays under it in 98 of 100 cases
	lostTimes     = 8.0     // times a usual response; under one in 200 of the widest work outlives it
	gateGroup     = 0.06    // of its gate that a group gains by an answer in time at a node seldom used
	gateFleet     = 0.02    // the same for all other groups
	gateLate      = 4.0     // times as much is lost by an answer past its target: one in five may be late
	gateLeast     = 0.05    // of the reads always let in, for they show when it is over
	standstill    = 100_000 // us without a beat: five of them
	silenceLeast  = 250_000 // us; shorter silences are pauses that end before a move would help
	firstVotes    = 50      // tries that another time must outnumber before it counts as that of first ones
	holdUsual     = 3.0     // usual responses to leave before the target: nineteen in twenty then end in time
	holdLeast     = 0.1     // of the target: the wait that a read gets even where responses are slow
	usualPart     = 0.25    // of the target: response time supposed before any is seen
	usualGain     = 0.02    // smoothing of a group's usual response, ~50 answers
	usualClip     = 10.0    // times the usual response that one answer counts at most
	firstSamples  = 4.0     // answers that the response supposed at first weighs as much as
	nodeGain      = 0.1     // smoothing of a node's figures, ~10 answers
	fullRest      = 50_000  // us in which a node that turned work away gets none: some of its commands end
	fullCut       = 0.7     // of its limit that is left to a node that turned work away
	errGain       = 0.15    // smoothing of a node's error share, ~7 answers
	fadeSpan      = 10e6    // us in which what is known of a node's pace and errors fades by two thirds
	firstLimit    = 8.0     // commands in flight at a node not yet known: a few for each core of a small machine
	leastLimit    = 1.0     // commands in flight at a node that all routers together keep at the least
	fillLeast     = 3.0     // the same that are taken to be no crowd: one for each core of a small machine
	restSpan      = 2e5     // us of rest before an answer in time that let a limit under one double
	limitGrow     = 0.1     // limit gained by an answer in time, while the limit is in use
	limitUsed     = 0.7     // of a limit in flight: it is in use, and an answer in time speaks for more
	limitCut      = 0.6     // limit lost by a late answer: six to one lets about one in seven be late
	lateAt        = 0.8     // of the target: a response past it counts as late for the limit
	longTimes     = 5.0     // times the shortest usual response: such a read holds up a replica's applying
	zoneSlack     = 1.5     // own zone is kept up to this many times the best expected response
	lagSlack      = 1000.0  // the same for a replica out of rotation: always over one in it
	equalSlack    = 1.15    // expected responses within 15% count as equal
	shareBurst    = 3.0     // commands that a tenant may save up: its part at one router may be a fraction
	spareShare    = 0.5     // of a node's limit is open to commands worth little
	coldPart      = 0.45    // of the multiple that pushes a cold node over: chance and work sizes take the rest
	coldMore      = 0.3     // of it more by the time it is warm: the more it can do, the less chance weighs
	coldBurst     = 1.5     // usual commands of a kind that a cold node may be owed at once by one router
	coldUnknown   = 50_000  // us of work a second to a cold node with no warm peer to go by: 1/20 core
	rateSpan      = 2e6     // us over which a node's answered work is averaged
	listDoubt     = 5e6     // us for which an answer's role outweighs a late list
	goneKept      = 3e6     // us for which a node that left the list is remembered: a list may err
	followGap     = 1e6     // us before a list that failed is asked for again: it may be overloaded
	tokenMost     = 50_000  // sessions remembered in each of two generations
	answerLag     = 100_000 // us that an answer is on its way at most, as clients may count on
	deadlineGuard = 40_000  // us before the client timeout at which a held command is answered: two beats
)

// Start begins the instance's work.
func (r *Router) Start(now int64) {
	r.chain = []stage{
		{r.expire, r.settle},
		{r.admit, r.weigh},
		{r.lead, r.remember},
		{r.pick, r.judge},
		{r.send, r.land},
	}
	for g := range r.group.usual {
		r.group.usual[g] = usualPart * float64(r.group.targets[g])
	}
	r.probesLeft = extraStore
	r.act.SetTimer(1 + int64(r.chance(sweepEvery))) // routers that start at once do not beat at once
}

// BeginEndpointList starts a list; a full one drops the nodes that it does not name.
func (r *Router) BeginEndpointList(_ int64, full bool) {
	r.full = full
	r.listNo++
}

// UpdateEndpoint takes one entry of a list.
func (r *Router) UpdateEndpoint(now int64, e Endpoint) {
	s, id, wire, state, lead, started := &r.node, e.Name, e.Shard, e.State, e.Primary, e.StartedAt
	n, known := s.index[id]
	if !known {
		n = s.add(id, r.shard.of(wire, r.chance))
		s.limit[n] = firstLimit
		r.shard.members[s.shard[n]] = append(r.shard.members[s.shard[n]], n)
	}
	if sh := r.shard.of(wire, r.chance); sh != s.shard[n] {
		r.move(n, sh)
	}
	if started != s.started[n] {
		s.started[n], s.creditAt[n] = started, now
		s.credit[n] = float64(r.chance(max(1, int(r.group.shortest())))) // else many routers all save for long
		s.suspect[n], s.errs[n], s.limit[n] = false, 0, firstLimit
		if known && s.role[n] == Primary {
			r.told(n, Replica, now) // a process that started anew leads nothing it led before
		}
	}
	if s.goneAt[n] = 0; state == Removed {
		if s.goneAt[n] = now; s.state[n] == Draining {
			state = Draining // what drained stays bound when it is gone
		}
	}
	fresh, was := lead && !(known && s.lead[n]), known && r.listed(n)
	s.zone[n], s.kind[n], s.state[n], s.listed[n], s.lead[n] = e.Zone, e.MachineKind, state, r.listNo, lead
	r.bar(n, was)
	if fresh { // the list's mark counts at the start and when it changes
		r.hint(n, now)
	}
}

func (r *Router) EndEndpointList(now int64) {
	for n := range r.node.id {
		if r.full && r.node.listed[n] != r.listNo {
			was := r.listed(n)
			if r.node.goneAt[n] = cmp.Or(r.node.goneAt[n], now); r.node.state[n] != Draining {
				r.node.state[n] = Removed
			}
			r.bar(n, was)
		}
	}
	for sh := range r.shard.members {
		r.pump(sh, now)
	}
}

// bar keeps what has not begun at a node that may not be used any more from beginning there. Guards against a
// dispatch that waits for its connection while its node starts to drain.
func (r *Router) bar(n int, was bool) {
	if was && !r.listed(n) {
		r.act.StopNewAttempts(r.node.id[n])
	}
}

// EndpointListFailed tells that the list is no longer followed; the old one holds, and is asked for again soon.
func (r *Router) EndpointListFailed(now int64) { r.followAt = now + followGap }

// ObserveReply takes a node's role and position in an answer; 0 for a position that it does not tell. A primary's role
// proves none: one that hung may answer as a primary when it goes on, from data that stood still meanwhile.
func (r *Router) ObserveReply(now int64, id string, role Role, pos int64) {
	n, known := r.node.index[id]
	if !known || role == RoleUnknown {
		return
	}
	r.told(n, role, now)
	r.proven(n, pos, now)
}

// ReportedPosition is a position from a node's report, as old as the report.
func (r *Router) ReportedPosition(now int64, id string, pos int64) {
	if n, known := r.node.index[id]; known {
		r.proven(n, pos, now)
	}
}

// GossipReceived takes what a peer learnt of a node at a time: a position, whether it leads (1, -1, 0 for not known), and
// whether it was silent or alive. A position stays true of the process that told it; the caller passes on no
// other's. A role is a hint, and none where an answer spoke of it since. Silence only puts the node behind
// others; what makes this router hold it silent, or trust it again, is what it sees itself.
func (r *Router) GossipReceived(now int64, u GossipUpdate) {
	s, at, pos := &r.node, u.LearntAt, u.Position
	n, known := s.index[u.Node]
	if !known {
		return
	}
	if at > s.posAt[n] {
		r.proven(n, pos, at)
	} else {
		s.pos[n] = max(s.pos[n], pos)
	}
	if p := &r.shard.primary[s.shard[n]]; at > s.roleAt[n] && u.Role == Primary {
		r.hint(n, now)
	} else if at > s.roleAt[n] && u.Role == Replica && *p == n && now-s.roleAt[n] > listDoubt {
		*p = -1
	}
	switch {
	case u.Silent:
		s.quietAt[n] = max(s.quietAt[n], at)
	case u.Alive && at > s.quietAt[n]:
		s.quietAt[n] = 0
		if s.suspect[n] && now-s.probedAt[n] > rejoinGap { // a peer reaches it: this router may as well by now
			r.probe(n, now, extraSpare)
		}
	}
	r.pump(s.shard[n], now)
}

// SetCheckedByPeer tells whether a peer looks after a node that is silent or lags, so that this router need not.
func (r *Router) SetCheckedByPeer(id string, to bool) {
	if n, known := r.node.index[id]; known {
		r.node.left[n] = to
	}
}

// ReportedRole is a role from a node's report. It proves a primary only where no answer spoke of the role.
func (r *Router) ReportedRole(now int64, id string, lead bool) {
	n, known := r.node.index[id]
	switch {
	case !known:
	case lead:
		if r.node.role[n] == RoleUnknown {
			r.node.role[n] = Primary
		}
		r.hint(n, now)
	case r.shard.primary[r.node.shard[n]] == n && now-r.node.roleAt[n] > listDoubt:
		r.shard.primary[r.node.shard[n]] = -1
	}
}

// hint takes a late word that a node leads: it counts where no answer has spoken lately. Guards against
// lists and reports that lag behind a change or stand still; a true one may be passed over as long.
func (r *Router) hint(n int, now int64) {
	s, p := &r.node, r.shard.primary[r.node.shard[n]]
	if (s.role[n] != Replica || now-s.roleAt[n] >= listDoubt) &&
		(p < 0 || s.roleAt[p] == 0 || now-s.roleAt[p] > listDoubt || s.suspect[p]) {
		r.shard.primary[s.shard[n]] = n
	}
}

// told moves the belief in a group's primary.
func (r *Router) told(n int, role Role, now int64) {
	s, sh := &r.node, r.node.shard[n]
	s.role[n], s.roleAt[n] = role, now
	switch {
	case role == Primary:
		r.shard.headAt[sh] = now
		if p := r.shard.primary[sh]; p != n {
			r.shard.primary[sh], s.lag[n] = n, 0
			if p >= 0 {
				s.role[p] = Replica
				r.recall(p)
			}
		}
	case r.shard.primary[sh] == n:
		r.shard.primary[sh] = -1
	}
}

// proven raises a node's position and measures its lag behind the primary, while there is one.
func (r *Router) proven(n int, pos, now int64) {
	s := &r.node
	if pos <= 0 {
		return
	}
	s.pos[n], s.posAt[n] = max(s.pos[n], pos), now
	head := now
	if sh := s.shard[n]; now-r.shard.headAt[sh] > silenceLeast {
		head = max(r.shard.headAt[sh], s.pos[n]) // no primary heard of: positions stand still, none lags
	}
	s.lag[n] = max(0, head-s.pos[n])
}

// RequestArrived takes a command; the router owes it one final answer from here on.
func (r *Router) RequestArrived(now int64, q Request) {
	g, group, left, sinceWrite := &r.group, q.Group, q.TimeLeft, q.SinceWrite
	c := &cmd{id: q.ID, group: group, tenant: q.Tenant, shard: r.shard.of(q.Shard, r.chance), session: q.Session,
		arrived: now, deadline: now + left}
	if g.level[group] == ReadYourWrites && r.carried && sinceWrite > 0 {
		c.need = now - sinceWrite
	}
	target := now + g.targets[group]
	if !r.first(group, left) {
		target -= max(0, g.timeout[group]-left) // a later try of a client: all its tries share one target
	}
	// Sent later than two usual responses before a limit, most answers would come after it.
	need, least := int64(holdUsual*g.usual[group]), int64(holdLeast*float64(g.targets[group]))
	c.prime, c.holdUntil = max(now+least, target-need), max(now+least, c.deadline-need)
	hold := int64(writeShare * float64(left)) // a write's client can still use the rest for another try
	if g.level[group] != Write {
		hold = min(c.prime-now, int64(holdShare*float64(g.timeout[group])))
	}
	c.holdUntil = min(c.holdUntil, now+hold, c.deadline-deadlineGuard)
	r.cmds[q.ID] = c
	r.copiesLeft = min(extraStore, r.copiesLeft+extraShare)
	r.probesLeft = min(extraStore, r.probesLeft+extraShare)
	r.down(c, now)
}

// first tells whether a try is a client's first: a later one leaves another time than most tries do, which is
// kept by the vote of Boyer and Moore. First ones may leave less than the timeout, last ones what is left.
func (r *Router) first(group int, left int64) bool {
	g := &r.group
	same := max(left-g.firstLeft[group], g.firstLeft[group]-left) <= 2*r.tick
	switch {
	case same:
		g.firstLead[group] = min(g.firstLead[group]+1, firstVotes)
	case g.firstLead[group] > 0:
		g.firstLead[group]--
	default:
		g.firstLeft[group], g.firstLead[group], same = left, 1, true
	}
	return same
}

// down takes a command through the chain; a kept one waits, in order of value and age.
func (r *Router) down(c *cmd, now int64) {
	for _, st := range r.chain {
		v := st.down(c, now)
		if v == keep {
			c.held = true
			w := &r.shard.waiting[c.shard]
			i, _ := slices.BinarySearchFunc(*w, c, func(o, c *cmd) int {
				return cmp.Or(cmp.Compare(c.value, o.value), cmp.Compare(c.arrived, o.arrived), -1)
			})
			*w = slices.Insert(*w, i, c)
		}
		if v != pass {
			return
		}
	}
}

// pump tries the waiting commands of a group again, in their order.
func (r *Router) pump(sh int, now int64) {
	w := r.shard.waiting[sh]
	r.shard.waiting[sh] = nil
	for _, c := range w {
		c.held = false
		if !c.done {
			r.down(c, now)
		}
	}
}

// finish closes a command; dispatches still out are called off.
func (r *Router) finish(c *cmd) {
	c.done = true
	for n := range c.tries {
		r.callOff(c, n)
	}
	if c.open == 0 {
		delete(r.cmds, c.id)
	}
}

func (r *Router) callOff(c *cmd, n int) {
	if t := &c.tries[n]; r.withdraws && !t.ended && !t.withdrawn {
		t.withdrawn = true
		r.act.CancelAttempt(c.id, n)
	}
}

// giveUp answers finally: throttled where a repeat does no harm, failed otherwise.
func (r *Router) giveUp(c *cmd) {
	if len(c.tries) == 0 && c.share {
		r.tenant.left[c.tenant]++ // it took nothing; the client's next try may have it
	}
	effect, ran := r.group.effect[c.group], c.mayHaveRun || c.open > 0
	if !ran || effect == Idempotent || effect == IdempotentWithKey && r.group.everywhere[c.group] {
		r.act.RejectWithRetry(c.id, 0)
	} else {
		r.act.Fail(c.id)
	}
	r.finish(c)
}

// expire ends a command that can no longer be answered in time, or has waited its share.
func (r *Router) expire(c *cmd, now int64) verdict {
	if now > c.prime && !c.late { // its value fell: it goes behind those that can still be in time
		c.late = true
		c.value *= r.group.lateWorth[c.group]
	}
	if c.open > 0 && now >= min(c.prime, c.tries[0].sent+r.group.window[c.group]-r.tick) { // no second copy now
		return end
	}
	if now >= c.holdUntil && !c.mayHaveRun && c.open == 0 || now >= c.deadline-deadlineGuard ||
		len(c.tries) >= r.maxDispatches || r.group.effect[c.group] == IdempotentWithKey && c.mayHaveRun &&
		now-c.firstRun >= r.group.window[c.group]-r.tick {
		r.giveUp(c)
		return end
	}
	return pass
}

// settle decides, after a dispatch ended without an answer, whether there is another.
func (r *Router) settle(c *cmd, n int, o Outcome, _, now int64) {
	if c.done { // Result finishes it
		return
	}
	if !o.NotExecuted() {
		c.firstRun = min(c.tries[n].sent, cmp.Or(c.firstRun, c.tries[n].sent))
		c.mayHaveRun = true
	}
	switch {
	case c.open > 0 || c.held:
	case c.mayHaveRun && r.group.effect[c.group] == NotIdempotent, now >= c.deadline-deadlineGuard:
		r.giveUp(c)
	default:
		r.down(c, now)
	}
}

// admit sets, once, a command's value: what lies over its tenant's share waits behind the rest. Guards
// against floods; harms a tenant spread unevenly. It lets in what the group's gate allows of reads:
// against overload that one of many routers cannot see at any node.
func (r *Router) admit(c *cmd, now int64) verdict {
	if c.admitted {
		return pass
	}
	c.admitted = true
	t := &r.tenant
	c.value = r.group.benefit[c.group]
	if c.tenant >= 0 && c.tenant < len(t.quota) && t.quota[c.tenant] > 0 {
		q := t.quota[c.tenant] / float64(r.siblings)
		t.left[c.tenant] = min(max(q, shareBurst), t.left[c.tenant]+q*float64(now-t.leftAt[c.tenant])/1e6)
		t.leftAt[c.tenant] = now
		if t.left[c.tenant] < 1 {
			c.value *= t.overWorth
		} else {
			t.left[c.tenant]--
			c.share = true
		}
	}
	if lv, sh := r.group.level[c.group], &r.shard; lv != Write && lv != Latest {
		if sh.credit[c.shard] += sh.gate[c.shard]; sh.credit[c.shard] < 1 {
			r.giveUp(c)
			return end
		}
		sh.credit[c.shard]--
	}
	return pass
}

// tokened tells whether a command is a write whose position this router remembers for its session.
func (r *Router) tokened(c *cmd) bool {
	return r.group.level[c.group] == Write && !r.carried && c.session != ""
}

// remember keeps a write's position as its session's token. Where none was told, for the answer was cut
// before it or did not come, the present stands for it, which no commit that was answered is later than.
func (r *Router) remember(c *cmd, n int, o Outcome, _, now int64) {
	if !r.tokened(c) {
		return
	}
	r.token.ended(c.session)
	if at, pos := c.tries[n].node, now; !o.NotExecuted() {
		if o == Answered && r.node.posAt[at] == now {
			pos = r.node.pos[at]
		}
		r.token.put(c.session, pos, tokenMost)
	}
}

// recollect finds the position that a session read needs now. A write that is still out may have been
// answered since long: then it needs what is as new as such an answer. Guards against answers that the
// network swallows; a session whose write hangs reads where positions were proven just now, the primary
// where none keeps up.
func (r *Router) recollect(c *cmd, now int64) {
	sent := r.token.out[c.session].first
	c.need, c.doubt = r.token.get(c.session), sent > 0 && now-sent > answerLag
}

// serves tells whether a node may be sent anything now.
func (r *Router) serves(n int, now int64) bool {
	return r.listed(n) && !r.node.suspect[n] && now >= r.node.restTill[n]
}

// listed tells whether the list lets a node be used.
func (r *Router) listed(n int) bool {
	return r.node.state[n] == Up || r.node.state[n] == Removed && r.droppedOpen
}

// roomy tells whether a node may take one more: its limit, and what a cold one may be sent.
func (r *Router) roomy(n int, share float64, g int, now int64) bool {
	s := &r.node
	if float64(s.out[n])+1 > max(1, s.limit[n]*share) {
		return false
	}
	if warmth := r.warmth(n, now); warmth < 1 {
		r.refill(n, g, warmth, now)
		return s.credit[n] >= r.group.usual[g]
	}
	return true
}

// warmth is the share of its capacity that a node has at least.
func (r *Router) warmth(n int, now int64) float64 {
	if s := r.node.started[n]; s > 0 && r.coldFor > 0 && now < s+r.coldFor {
		return r.coldFrom + (1-r.coldFrom)*float64(max(0, now-s))/float64(r.coldFor)
	}
	return 1
}

// refill gives a cold node the part of what nodes of its kind did when warm that its warmth allows. Guards
// rule four against any mix of routers, for each sends a part of what it alone had answered. What was seen is
// kept, for a whole group may start cold; a router that has seen nothing warm sends next to none. What it
// saves up unused lapses in time: all of it may come at once, on top of what the fleet goes on to be allowed.
func (r *Router) refill(n, g int, warmth float64, now int64) {
	s := &r.node
	rate, peers := 0.0, 0
	for m := range s.id {
		if s.kind[m] == s.kind[n] && s.warmRate[m] > 0 {
			rate += s.warmRate[m]
			peers++
		}
	}
	part, usual := coldPart+coldMore*warmth, r.group.usual[g]
	allowed := max(coldUnknown/float64(r.siblings), part*r.fallMultiple*warmth*rate/float64(max(peers, 1)))
	s.credit[n] += allowed * float64(now-s.creditAt[n]) / 1e6
	s.creditAt[n] = now
	if keeps := allowed * r.fallWindow / 1e6 * (1/part - 1); keeps >= usual || r.fallWindow == 0 {
		s.credit[n] = min(coldBurst*usual, s.credit[n])
	} else if over := s.credit[n] - usual - keeps; over >= 0 {
		s.credit[n] = keeps + math.Mod(over, usual)
	}
}

// lead sends writes and reads that must be current to the believed primary, or keeps them for one. While
// none is known a write itself asks, with up to half its dispatches, for a miss leaves it untouched. One that
// only rests is known all the same: to ask for it again would cost probes and bring nothing.
func (r *Router) lead(c *cmd, now int64) verdict {
	lv, p := r.group.level[c.group], r.shard.primary[c.shard]
	if lv != Write && lv != Latest {
		return pass
	}
	c.to = p
	if s := &r.node; p < 0 || !r.serves(p, now) && (!r.listed(p) || s.suspect[p] || s.refused[p] > 0) {
		c.to = r.ask(c.shard, now)
		if c.to < 0 || lv != Write || 2*len(c.tries) >= r.maxDispatches || !r.serves(c.to, now) ||
			now-r.node.answered[c.to] > listDoubt {
			return keep
		}
	}
	if lv == Latest && r.node.role[c.to] != Primary || !r.serves(c.to, now) || !r.roomy(c.to, 1, c.group, now) {
		return keep
	}
	return pass
}

// ask takes the next turn at asking a group's members for the primary: it probes, or names the one to ask.
func (r *Router) ask(sh int, now int64) int {
	if now-r.shard.askedAt[sh] < askGap {
		return -1
	}
	m := slices.DeleteFunc(slices.Clone(r.shard.members[sh]), func(n int) bool { return !r.listed(n) })
	if len(m) == 0 {
		return -1
	}
	r.shard.askedAt[sh], r.shard.turn[sh] = now, r.shard.turn[sh]+1
	n := m[r.shard.turn[sh]%len(m)]
	if !r.probeRole {
		return n
	}
	r.probe(n, now, 1)
	return -1
}

// probe asks a node for its report, as far as the commands taken pay for it and at least so much is left.
func (r *Router) probe(n int, now int64, left float64) {
	if s := &r.node; r.probes && !s.probing[n] && r.listed(n) && r.probesLeft >= left {
		r.probesLeft--
		s.probing[n], s.probedAt[n] = true, now
		r.act.CheckHealth(s.id[n])
	}
}

// fresh tells whether a node's proven position will do for a command.
func (r *Router) fresh(n int, c *cmd, now int64) bool {
	s := &r.node
	if s.role[n] == Primary && r.shard.primary[c.shard] == n {
		return true
	}
	return r.group.level[c.group] != Latest && s.pos[n] >= r.needs(c, now)
}

// needs is the position that a read sent at a time must find; 0 where any will do.
func (r *Router) needs(c *cmd, at int64) int64 {
	switch {
	case r.group.level[c.group] == BoundedStaleness:
		return at - r.group.bound[c.group]
	case c.doubt:
		return max(c.need, at-answerLag)
	}
	return c.need
}

// weigh moves the gates: the own group's most, all others a little, for what strikes one group mostly strikes
// the fleet, and one group shows itself too seldom. Only where nodes are seldom used; else limits do it.
func (r *Router) weigh(c *cmd, n int, o Outcome, took, now int64) {
	_, seldom := r.used(c.tries[n].node, c.group, now)
	late := o == Canceled && c.left || (o == Answered || o == TimedOut) && took > r.group.targets[c.group]
	if r.group.level[c.group] == Write || !late && o != Answered || !seldom {
		return
	}
	for sh := range r.shard.gate {
		gain := gateFleet
		if sh == c.shard {
			gain = gateGroup
		}
		if late {
			gain *= -gateLate * r.shard.gate[sh]
		}
		r.shard.gate[sh] = min(1, max(gateLeast, r.shard.gate[sh]+gain))
	}
}

// pick chooses a read's member: a proven replica in rotation, own zone first, rotating among equals. Else,
// where none has room or can be proven in its time, the primary takes it, with room for one write left.
func (r *Router) pick(c *cmd, now int64) verdict {
	if lv := r.group.level[c.group]; lv == Write || lv == Latest {
		return pass
	}
	if r.group.level[c.group] == ReadYourWrites && !r.carried {
		r.recollect(c, now)
	}
	s, m, p, share := &r.node, r.shard.members[c.shard], r.shard.primary[c.shard], 1.0
	r.shard.turn[c.shard]++
	if c.value < r.group.benefit[c.group] {
		share = spareShare // worth little: it must not fill the room that others will want
	}
	best, cost, proven, long := -1, 0.0, false, r.group.level[c.group] == Eventual && r.long(c.group)
	for i := range m {
		n := m[(r.shard.turn[c.shard]+i)%len(m)]
		if n == p || !r.serves(n, now) || !r.fresh(n, c, now) || c.at(n) {
			continue
		}
		proven = proven || s.lag[n] <= rotationLag
		if long { // all routers choose alike
			if best < 0 || s.id[n] < s.id[best] {
				best = n
			}
			continue
		} else if !r.roomy(n, share, c.group, now) {
			continue
		}
		v := s.slow[n] * float64(1+s.out[n]) / (1 - s.errs[n])
		if s.zone[n] != r.zone {
			v *= zoneSlack
		}
		if s.quietAt[n] > s.answered[n] { // a peer alone had no answer: only where the rest has no room
			v *= lagSlack
		}
		if s.lag[n] > rotationLag { // out of rotation: only where that has no room
			v *= lagSlack
		}
		if best < 0 || v*equalSlack < cost {
			best, cost = n, v
		}
	}
	if long && best >= 0 && !r.roomy(best, 1, c.group, now) {
		return keep
	}
	if best < 0 && p >= 0 && r.serves(p, now) && r.fresh(p, c, now) && !c.at(p) &&
		r.roomy(p, 1-1/s.limit[p], c.group, now) && (proven || now >= c.holdUntil-2*sweepEvery || r.pointless(c)) {
		best = p
	}
	if c.to = best; best >= 0 {
		return pass
	} else if !proven && r.probePos {
		r.seek(c, now)
	}
	return keep
}

// long tells whether a command group runs many times longer than the shortest. Exception to rotating: long
// reads keep to one replica, for they may stop it from applying the log, and the others stay fresh.
func (r *Router) long(g int) bool { return r.group.usual[g] > longTimes*r.group.shortest() }

// pointless tells whether no replica can be expected at the position in the read's holding time.
func (r *Router) pointless(c *cmd) bool {
	for _, n := range r.shard.members[c.shard] {
		if r.node.state[n] == Up && !r.node.suspect[n] && n != r.shard.primary[c.shard] &&
			r.needs(c, c.holdUntil)+r.node.lag[n] < c.holdUntil {
			return false
		}
	}
	return true
}

// seek probes the likeliest replica for a held read.
func (r *Router) seek(c *cmd, now int64) {
	s, best, need := &r.node, -1, r.needs(c, now)
	m := r.shard.members[c.shard]
	for i := range m {
		n := m[(r.shard.turn[c.shard]+i)%len(m)]
		if n == r.shard.primary[c.shard] || !r.serves(n, now) || now-s.probedAt[n] < probeGap || s.probing[n] {
			continue
		}
		if short := need + s.lag[n] - now; short > 0 && 2*short > now-s.posAt[n] { // cannot be there yet
			continue
		}
		if best < 0 || s.lag[n]+lagEqual < s.lag[best] {
			best = n
		}
	}
	if best >= 0 {
		r.probe(best, now, 1)
	}
}

func (r *Router) send(c *cmd, now int64) verdict {
	s, n := &r.node, c.to
	within := r.within(c, now)
	s.begin(c, n, now)
	if r.tokened(c) {
		r.token.began(c.session, now)
	}
	if r.warmth(n, now) < 1 {
		s.credit[n] -= r.group.usual[c.group]
	}
	r.act.StartAttempt(c.id, s.id[n], 0, within)
	return pass
}

// within is how soon a repeat must begin, for its node group forgets; 0 for no bound. Guards against one that
// was decided inside its window and waits for a connection until that has passed.
func (r *Router) within(c *cmd, now int64) int64 {
	if r.group.effect[c.group] != IdempotentWithKey || !c.mayHaveRun && c.open == 0 {
		return 0
	}
	first := cmp.Or(c.firstRun, now)
	for _, t := range c.tries {
		if !t.ended {
			first = min(first, t.sent)
		}
	}
	return max(1, first+r.group.window[c.group]-r.tick-now)
}

// land closes a dispatch at its node. While connections are scarce none is kept for later: routers that hold
// idle ones shut the others out. Guards against nodes that take few; costs a handshake a command.
func (r *Router) land(c *cmd, n int, _ Outcome, _, now int64) {
	r.node.close(c, n)
	if now < r.scarceTill {
		r.act.CloseIdleConnections(r.node.id[c.tries[n].node])
	}
}

// judge learns a node's pace, errors and limit from how a dispatch ended.
func (r *Router) judge(c *cmd, n int, o Outcome, took, now int64) {
	s, g, at := &r.node, &r.group, c.tries[n].node
	target, fill := g.targets[c.group], fillLeast/float64(r.siblings)
	if !r.long(c.group) {
		target = slices.Min(g.targets) // all short commands stand in the same lines: the tightest rules
	}
	used, _ := r.used(at, c.group, now)
	late := float64(took) > lateAt*float64(target) // a client that left sooner says nothing of the node
	if o == Answered || o == Errored || o == NotPrimary || o == Rejected {
		s.answered[at], s.refused[at], s.suspect[at] = now, 0, false
	}
	switch o {
	case Answered:
		g.samples[c.group]++
		least := min(float64(took), usualClip*g.usual[c.group]) // a few huge commands do not make a usual one
		g.usual[c.group] += max(usualGain, 1/(g.samples[c.group]+firstSamples)) * (least - g.usual[c.group])
		s.slow[at] += nodeGain * (min(usualClip, float64(took)/g.usual[c.group]) - s.slow[at])
		s.errs[at] -= errGain * s.errs[at]
		s.rate[at] = s.rateAt(at, now, rateSpan) + g.usual[c.group]*1e6/rateSpan
		if rest := r.rest(at, c.group); !late && rest > 0 { // the longer the rest, the more an answer in time says
			s.limit[at] *= 1 + limitGrow + rest/restSpan
		} else if !late && max(float64(s.out[at]+1), fill) > min(limitUsed*s.limit[at], max(1, s.limit[at]-1)) {
			s.limit[at] += limitGrow
		}
	case NotPrimary: // untouched: a node that leads misses nothing
		r.told(at, Replica, now)
	case Errored, ConnectionLost:
		s.errs[at] += errGain * (1 - s.errs[at])
	case Rejected: // a full line or a drain not yet listed: asking again at once only costs
		s.limit[at], s.restTill[at] = used*fullCut, now+fullRest
	case ConnectFailed: // dead, cut off, or out of places: a probe tells which
		s.again[at], s.refused[at] = s.refused[at] > 0, cmp.Or(s.refused[at], now)
		s.restTill[at] = now + fullRest/2 + int64(r.chance(fullRest)) + (now-s.refused[at])/2
		r.probe(at, now, 1)
	}
	if o == Canceled && c.left || late && !c.tries[n].lost && (o == Answered || o == TimedOut) {
		if used < 1 {
			s.limit[at] = used * lateAt * float64(target) / float64(max(took, target))
		} else {
			s.limit[at] = max(1, used-limitCut)
		}
	}
	s.limit[at] = max(r.least(), s.limit[at])
	s.restTill[at] = max(s.restTill[at], now+int64(r.rest(at, c.group))) // other routers use the node too
}

func (r *Router) least() float64 { return min(0.5, leastLimit/float64(r.siblings)) } // this router's part

// rest is the time that a node with a limit under one is left alone after each answer.
func (r *Router) rest(n, g int) float64 { return max(0, r.group.usual[g]*(1/r.node.limit[n]-1)) }

// used is what a bad answer must tell on: a limit, or what is used of it where the node is seldom used.
func (r *Router) used(n, g int, now int64) (of float64, seldom bool) {
	of = max(r.node.rateAt(n, now, rateSpan)/1e6, r.group.usual[g]/rateSpan, firstLimit/float64(r.siblings))
	if of < 1 {
		return min(r.node.limit[n], of), true
	}
	return r.node.limit[n], false
}

// AttemptEnded tells how a dispatch ended; it runs through the chain upwards.
func (r *Router) AttemptEnded(now int64, result AttemptResult) {
	n, o, took := result.Attempt, result.Outcome, result.Took
	c := r.cmds[result.RequestID]
	if c == nil || n < 0 || n >= len(c.tries) || c.tries[n].ended {
		return
	}
	c.done = c.done || result.RequestDone
	if r.stalled == now || now-r.beatAt > standstill { // the router stood still: how long it took is not known
		took = min(took, int64(r.group.usual[c.group]))
	}
	for i := len(r.chain) - 1; i >= 0; i-- {
		r.chain[i].up(c, n, o, took, now)
	}
	if c.done {
		r.finish(c)
	}
	r.pump(c.shard, now)
}

// ClientGone ends a command whose client left.
func (r *Router) ClientGone(_ int64, id string) {
	if c := r.cmds[id]; c != nil && !c.done {
		c.left = true // what it waited for was too late for it, whatever the target says
		r.finish(c)
	}
}

// Shutdown ends what is still owed, for the process will be killed before it could be answered; by id.
func (r *Router) Shutdown() {
	for _, id := range slices.Sorted(maps.Keys(r.cmds)) {
		if c := r.cmds[id]; !c.done {
			r.giveUp(c)
		}
	}
}

func (r *Router) HealthChecked(now int64, id string, o Outcome) {
	n, known := r.node.index[id]
	if !known {
		return
	}
	s := &r.node
	s.probing[n] = false
	switch refused := s.refused[n] > 0; {
	case o != Answered: // dead or cut off: that it is there again later does not mean that it was out of places
		s.suspect[n], s.refused[n] = s.suspect[n] || refused, 0
	case refused && s.again[n]: // it lives and yet took no connection; one alone may be reset by chance
		for m := 0; now >= r.scarceTill && m < len(s.id); m++ {
			r.act.CloseIdleConnections(s.id[m])
		}
		s.refused[n], r.scarceTill = 0, now+scarceFor
	case s.suspect[n]: // it may have lost one answer, or be crowded: it gets as long again, and less
		s.suspect[n], s.answered[n] = false, now
		if used, seldom := r.used(n, 0, now); seldom {
			s.limit[n] = max(r.least(), used*fullCut)
		}
	}
	r.pump(r.node.shard[n], now)
}

// TimerFired is the module's beat: silence, waiting commands, probes.
func (r *Router) TimerFired(now int64) {
	if now-r.beatAt > standstill { // the router stood still itself: no node was silent for that
		r.stalled = now
	}
	r.beatAt, r.beat = now, r.beat+1
	s := &r.node
	for i := range s.id {
		n := (i + r.beat) % len(s.id)
		if at := s.goneAt[n]; at > 0 && now-at > goneKept && len(s.open[n]) == 0 && !s.probing[n] && !r.listed(n) {
			r.forget(n) // else all that is kept by node grows with each new name
		}
		r.listen(n, now)
		s.errs[n] -= s.errs[n] * sweepEvery / fadeSpan // what is known of a node fades with its age
		s.slow[n] -= (s.slow[n] - 1) * sweepEvery / fadeSpan
		if s.state[n] == Up && !s.suspect[n] && r.warmth(n, now) == 1 {
			s.warmRate[n] += sweepEvery / rateSpan * (s.rateAt(n, now, rateSpan) - s.warmRate[n])
		}
	}
	for sh := range r.shard.members {
		r.pump(sh, now)
	}
	if r.followAt > 0 && now >= r.followAt {
		r.followAt = 0
		r.act.WatchEndpoints()
	}
	r.act.SetTimer(sweepEvery)
}

// listen watches one node. Silence: nothing back for several usual responses. Guards against hangs, deaths,
// cuts and long pauses; a node that is merely slow loses its reads for nothing. Loss: one dispatch outlives
// many usual responses. It counts as an error, holds no room, and is called off where it may be sent again.
// Guards against networks and nodes that swallow a part; a rare giant command is cut and starts anew.
func (r *Router) listen(n int, now int64) {
	s := &r.node
	for i, o := range s.open[n] {
		t, usual := &o.c.tries[o.n], r.group.usual[o.c.group]*max(1, s.slow[n])
		times := max(silenceTimes, lostTimes-silenceTimes/2*float64(len(s.open[n])-1)) // one may be slow by chance
		if float64(now-max(t.sent, r.stalled)) > silenceTimes*usual {
			r.copy(o.c, now)
			t = &o.c.tries[o.n] // a second dispatch may have moved the command's list of them
		}
		if since := max(t.sent, s.answered[n], r.stalled); i == 0 && !s.suspect[n] &&
			float64(now-since) > max(silenceLeast, times*usual) {
			s.suspect[n] = true
			r.recall(n)
		}
		if !s.suspect[n] && !t.lost && float64(now-max(t.sent, r.stalled)) > max(silenceLeast, lostTimes*usual) {
			t.lost = true
			s.out[n]--
			s.errs[n] += errGain * (1 - s.errs[n])
			if r.group.effect[o.c.group] != NotIdempotent {
				r.callOff(o.c, o.n)
			}
		}
	}
	if (s.suspect[n] || s.lag[n] > rotationLag && r.probePos) && now-s.probedAt[n] > rejoinGap && !s.left[n] {
		r.probe(n, now, extraSpare)
	}
}

// copy sends a late command once more beside its first dispatch. Guards against lost answers and silent
// nodes; it would crowd a crowded group, so only while nothing waits there, and for a part of all commands.
func (r *Router) copy(c *cmd, now int64) {
	if r.copies && r.copiesLeft >= 1 && c.open == 1 && !c.held && !c.done && now < c.prime &&
		r.group.effect[c.group] != NotIdempotent && r.shard.gate[c.shard] == 1 &&
		len(r.shard.waiting[c.shard]) == 0 {
		r.copiesLeft--
		r.down(c, now)
	}
}

// recall calls off what may be repeated from a node that is silent or leads no longer.
func (r *Router) recall(n int) {
	for _, o := range r.node.open[n] {
		if r.group.effect[o.c.group] == Idempotent && r.node.suspect[n] ||
			r.group.effect[o.c.group] == IdempotentWithKey && r.shard.primary[o.c.shard] != n {
			r.callOff(o.c, o.n)
		}
	}
}
