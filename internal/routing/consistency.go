package routing

// Which data a read must see, and which node is known to hold it.
//
// A node's position is the time, us of Unix time, up to which it holds all commits. Only positions that nodes reported
// count. The position of a session's last write is its token; a read of the session must go where that was reached.

const (
	// maxSessionTokens is how many sessions are remembered in each of two generations: some MiB at the most.
	maxSessionTokens = 50_000
	// answerTransit is the longest time, us, that an answer is on its way. A write in flight for longer may have been
	// answered, and its client told by other means, though the network lost the answer on its way here.
	answerTransit = 100_000
	// primarySilence is the time, us, without an answer of a primary from which positions are taken to stand still: shorter
	// ones are pauses of the primary, or of the traffic.
	primarySilence = 250_000
)

// ReportedPosition takes a node's position from its load report.
func (r *Router) ReportedPosition(now int64, name string, position int64) {
	if n := r.nodeByName[name]; n != nil {
		r.observePosition(n, position, now)
	}
}

// observePosition raises a node's position, and measures its lag behind the primary. While no primary is heard of, all
// positions stand still, and lag is measured against the moment in which the primary last answered.
func (r *Router) observePosition(n *node, position, now int64) {
	if position <= 0 {
		return
	}
	n.position = max(n.position, position)
	n.positionAt = now
	newest := now
	if now-n.shard.primarySeenAt > primarySilence {
		newest = max(n.shard.primarySeenAt, n.position)
	}
	n.lag = max(0, newest-n.position)
}

// freshEnough reports whether a node is known to hold what a request must see.
func (r *Router) freshEnough(n *node, req *request, now int64) bool {
	if n.role == Primary && req.shard.primary == n {
		return true
	}
	return req.group.Consistency != Latest && n.position >= r.requiredPosition(req, now)
}

// requiredPosition is the position that a read sent at a time must find; 0 where any will do.
func (r *Router) requiredPosition(req *request, sentAt int64) int64 {
	if req.group.Consistency == BoundedStaleness {
		return sentAt - req.group.MaxStaleness
	}
	if req.unsureWrite {
		return max(req.sessionPosition, sentAt-answerTransit)
	}
	return req.sessionPosition
}

// recallSession finds the position that a ReadYourWrites read needs now, where the router remembers tokens. While a
// write of its session has been in flight for longer than an answer travels, that write may have been answered, so the
// read needs what is as new as such an answer: a replica heard of just now, or the primary.
func (r *Router) recallSession(req *request, now int64) {
	firstStarted := r.sessions.writing[req.session].firstStartedAt
	req.sessionPosition = r.sessions.position(req.session)
	req.unsureWrite = firstStarted > 0 && now-firstStarted > answerTransit
}

// setsToken reports whether a request is a write whose position this router remembers for its session.
func (r *Router) setsToken(req *request) bool {
	return req.group.Consistency == Write && !r.config.ClientsCarryTokens && req.session != ""
}

// recordWritePosition is the stage that keeps a write's position as its session's token. Where the node reported none,
// because the answer was cut off before it or never came, the present stands for it: no commit that was answered is later.
func (r *Router) recordWritePosition(a *attempt, outcome Outcome, _, now int64) {
	req := a.request
	if !r.setsToken(req) {
		return
	}
	r.sessions.writeEnded(req.session)
	if outcome.NotExecuted() {
		return
	}
	position := now
	if outcome == Answered && a.node.positionAt == now {
		position = a.node.position
	}
	r.sessions.raise(req.session, position)
}

// sessionTokens remembers the position of each session's last write, in two generations. The highest position that fell
// out of the older one stands for all sessions that aren't found: their reads may need more than they must, never less. A
// restart loses all of it; a session's reads need see only writes that were answered since the router started.
type sessionTokens struct {
	recent, older map[string]int64
	floor         int64
	writing       map[string]openWrites // sessions with writes in flight
}

// openWrites are a session's writes in flight.
type openWrites struct {
	attempts       int
	firstStartedAt int64 // start of the first since none was in flight
}

// writeStarted notes that an attempt of a session's write is in flight.
func (t *sessionTokens) writeStarted(session string, now int64) {
	if t.writing == nil {
		t.writing = make(map[string]openWrites)
	}
	open := t.writing[session]
	open.attempts++
	if open.firstStartedAt == 0 {
		open.firstStartedAt = now
	}
	t.writing[session] = open
}

// writeEnded notes that one is in flight no longer.
func (t *sessionTokens) writeEnded(session string) {
	open := t.writing[session]
	if open.attempts <= 1 {
		delete(t.writing, session)
		return
	}
	open.attempts--
	t.writing[session] = open
}

// raise sets a session's position, where it isn't higher already.
func (t *sessionTokens) raise(session string, position int64) {
	if t.recent == nil || len(t.recent) >= maxSessionTokens {
		for _, p := range t.older {
			t.floor = max(t.floor, p)
		}
		t.older = t.recent
		t.recent = make(map[string]int64)
	}
	t.recent[session] = max(position, t.recent[session])
}

// position is the position that a session's reads must see; 0 for any.
func (t *sessionTokens) position(session string) int64 {
	return max(t.floor, t.recent[session], t.older[session])
}
