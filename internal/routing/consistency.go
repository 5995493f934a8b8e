package routing

import "github.com/cespare/xxhash/v2"

// Read consistency: which data a read must see, and which nodes are known to hold it.
//
// A node's position is the Unix time, in microseconds, up to which it holds all commits. Only positions reported by
// nodes count. The position of a session's last write is the session's token; reads of the session must go to a node
// that has reached it.

const (
	// maxSessionTokens is the number of sessions remembered in each of two generations, which takes a few MiB at most.
	maxSessionTokens = 50_000
	// maxReplyTransit is the maximum time, in microseconds, that an answer takes from a node to the client. A write in
	// flight for longer may have been answered, and its client may know the result from another source, although the
	// answer was lost on its way to this router.
	maxReplyTransit = 100_000
	// primarySilenceThreshold is the time without an answer of a primary, in microseconds, after which positions are
	// assumed to stand still. Shorter gaps are pauses of the primary or of the traffic.
	primarySilenceThreshold = 250_000
)

// ReportedPosition processes the position in a node's load report.
func (r *Router) ReportedPosition(now int64, name string, position int64) {
	if n := r.nodeByName[name]; n != nil {
		r.observePosition(n, position, now)
	}
}

// observePosition raises a node's position and computes its lag behind the primary. While no primary answers, no
// position advances, so lag is measured against the time of the primary's last answer.
func (r *Router) observePosition(n *node, position, now int64) {
	if position <= 0 {
		return
	}
	n.position = max(n.position, position)
	n.positionAt = now
	newest := now
	if now-n.shard.primarySeenAt > primarySilenceThreshold {
		newest = max(n.shard.primarySeenAt, n.position)
	}
	n.lag = max(0, newest-n.position)
}

// freshEnough reports whether a node is known to hold the data that a request must see, also if the attempt waits for a
// connection.
func (r *Router) freshEnough(n *node, req *request, now int64) bool {
	return n.holds(req, r.requiredPosition(req, now))
}

// holds reports whether a node is known to hold the data of a read that requires the given position: it is the primary,
// or has reached the position.
func (n *node) holds(req *request, required int64) bool {
	if n.role == Primary && req.shard.primary == n {
		return true
	}
	return req.group.Consistency != Latest && n.position >= required
}

// requiredPosition returns the minimum position that a node must have reached to be chosen at the given time for a read;
// 0 if any position suffices.
func (r *Router) requiredPosition(req *request, chosenAt int64) int64 {
	if req.group.Consistency == BoundedStaleness {
		return chosenAt - max(0, req.group.MaxStaleness-r.config.SendDelay)
	}
	if req.possiblyAnsweredWrite {
		return max(req.sessionPosition, chosenAt-maxReplyTransit)
	}
	return req.sessionPosition
}

// requiredPositionToSend returns the minimum position that the node of an attempt must have reached when the read is
// sent, however long it has waited. The session's writes that were answered meanwhile count.
func (r *Router) requiredPositionToSend(a *attempt, now int64) int64 {
	req := a.request
	switch {
	case req.group.Consistency == BoundedStaleness:
		return now - req.group.MaxStaleness
	case r.keepsTokenOf(req):
		return max(a.requiredPosition, r.sessions.position(hashSession(req.session)))
	}
	return a.requiredPosition
}

// keepsTokenOf reports whether a request is a read that must see what this router keeps as its session's token.
func (r *Router) keepsTokenOf(req *request) bool {
	return req.group.Consistency == ReadYourWrites && !r.config.ClientsCarryTokens
}

// lookUpSessionPosition sets the position that a ReadYourWrites read requires now, when the router keeps the session
// tokens. A write of the session that has been in flight for longer than maxReplyTransit may already have been
// answered, so the read then requires data as new as such an answer: a replica that reported its position just now, or
// the primary.
func (r *Router) lookUpSessionPosition(req *request, now int64) {
	session := hashSession(req.session)
	firstStarted := r.sessions.writesInFlight[session].firstStartedAt
	req.sessionPosition = r.sessions.position(session)
	req.possiblyAnsweredWrite = firstStarted > 0 && now-firstStarted > maxReplyTransit
}

// setsToken reports whether a request is a write whose position this router keeps as its session's token.
func (r *Router) setsToken(req *request) bool {
	return req.group.Consistency == Write && !r.config.ClientsCarryTokens && req.session != ""
}

// recordWritePosition is the outcome function that stores a write's position as its session's token. If the answer
// contained no position, because it was cut off or never came, the current time is used: no commit that was answered is
// later. What else is known of the node's position doesn't count, since the write may be later than that.
func (r *Router) recordWritePosition(a *attempt, outcome Outcome, _, now int64) {
	req := a.request
	if !r.setsToken(req) {
		return
	}
	session := hashSession(req.session)
	r.sessions.writeEnded(session)
	if outcome.NotExecuted() {
		return
	}
	position := now
	if outcome == Answered && a.reportedPosition > 0 {
		position = a.reportedPosition
	}
	r.sessions.raise(session, position)
}

// sessionTokens stores the position of each session's last write in two generations. Sessions that aren't found get the
// highest position dropped from the older generation, so their reads may require more than necessary but never less. A
// restart loses all tokens: reads are then guaranteed to see only the session's writes answered since the restart.
//
// Sessions are kept by a hash of their name, which clients may make as long as a message. Two sessions with equal hashes
// share the higher position.
type sessionTokens struct {
	recent, older  map[sessionHash]int64
	floor          int64
	writesInFlight map[sessionHash]pendingWrites
}

type sessionHash uint64

func hashSession(session string) sessionHash { return sessionHash(xxhash.Sum64String(session)) }

// pendingWrites counts a session's writes in flight.
type pendingWrites struct {
	attempts       int
	firstStartedAt int64 // start of the first one since none was in flight
}

// writeStarted records that an attempt of a session's write is in flight.
func (t *sessionTokens) writeStarted(session sessionHash, now int64) {
	if t.writesInFlight == nil {
		t.writesInFlight = make(map[sessionHash]pendingWrites)
	}
	open := t.writesInFlight[session]
	open.attempts++
	if open.firstStartedAt == 0 {
		open.firstStartedAt = now
	}
	t.writesInFlight[session] = open
}

// writeEnded records that an attempt of a session's write has ended.
func (t *sessionTokens) writeEnded(session sessionHash) {
	open := t.writesInFlight[session]
	if open.attempts <= 1 {
		delete(t.writesInFlight, session)
		return
	}
	open.attempts--
	t.writesInFlight[session] = open
}

// raise sets a session's position unless it is already higher.
func (t *sessionTokens) raise(session sessionHash, position int64) {
	if t.recent == nil || len(t.recent) >= maxSessionTokens {
		for _, p := range t.older {
			t.floor = max(t.floor, p)
		}
		t.older = t.recent
		t.recent = make(map[sessionHash]int64)
	}
	t.recent[session] = max(position, t.recent[session])
}

// position returns the position that a session's reads must see; 0 if any.
func (t *sessionTokens) position(session sessionHash) int64 {
	return max(t.floor, t.recent[session], t.older[session])
}
