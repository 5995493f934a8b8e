package rollout

import (
	"fmt"
	"maps"
	"slices"
)

// How a record is read from voters, recovered, and written to a majority of them. A record is always written as a
// whole. One write is in progress at a time, and is repeated until a majority keeps it; only then are members notified
// and operators answered.

// retryInterval is the time between reads and writes to voters that have not answered, in us. It is well above a round
// trip in any fleet; a lost message makes an operator wait a second longer.
const retryInterval = 1_000_000

// pendingReply is an accepted command whose reply waits until a majority keeps the write with this sequence number.
type pendingReply struct {
	token string
	seq   uint64
}

func (l *Leader) majority() int { return len(l.voters)/2 + 1 }

// tickRecovery repeats the reads that voters have not answered, and requests reports from all members, which isNewFleet
// needs. Then it tries to recover the record.
func (l *Leader) tickRecovery(now int64) {
	if now < l.nextReadAt {
		return
	}
	l.readVoters(now, func(voter string) bool {
		state, answered := l.voterStates[voter]
		return answered && !state.MayHaveForgotten
	})
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		l.emit(RequestReport{name})
	}
	l.recoverRecord(now, false)
}

// readVoters asks the voters that have not answered for the record that they keep.
func (l *Leader) readVoters(now int64, answered func(voter string) bool) {
	l.nextReadAt = now + retryInterval
	for _, voter := range l.voters {
		if !answered(voter) {
			l.emit(ReadVoter{voter, l.term})
		}
	}
}

// HandleReadAnswer handles a voter's answer to ReadVoter. A refusal means that the voter knows of a later leader; this
// instance then steps down.
func (l *Leader) HandleReadAnswer(now int64, voter string, term uint64, state VoterState, accepted bool) {
	if l.term == 0 || term != l.term || !l.isVoter(voter) {
		return
	}
	if !accepted {
		l.logf("", "%s has heard of a later leader", voter)
		l.StepDown()
		return
	}
	l.voterIncarnations[voter] = state.Incarnation
	if l.record != nil {
		return // read only for the incarnation
	}
	l.voterStates[voter] = state
	l.recoverRecord(now, false)
}

// recoverRecord continues from the newest record that voters keep, if there can't be a newer one:
//
//   - a majority of voters answers and has not forgotten, or
//   - all voters have forgotten and the fleet has never had a record, or
//   - an operator vouches for it with the command begin, and a majority answers.
//
// Otherwise notLeadingReason says what is missing. Without this check a leader whose voters had all restarted would
// begin with an empty record, grant slots to more units while others are unavailable, and return drained nodes to
// service.
func (l *Leader) recoverRecord(now int64, forced bool) {
	answers, remembering := len(l.voterStates), 0
	var newest *Record
	for _, state := range l.voterStates {
		if !state.MayHaveForgotten {
			remembering++
		}
		r := state.Record
		if r != nil && (newest == nil || isNewer(r.Term, r.Seq, newest.Term, newest.Seq)) {
			newest = r
		}
	}
	safe := remembering >= l.majority() || forced && answers >= l.majority() || l.isNewFleet(now, answers, remembering)
	if !safe {
		if answers >= l.majority() {
			l.notLeadingReason = fmt.Sprintf("%d of %d voters have forgotten what they kept: wait for the others, or say begin", answers-remembering, len(l.voters))
		} else {
			l.notLeadingReason = fmt.Sprintf("%d of %d voters answer", answers, len(l.voters))
		}
		return
	}
	l.record = &Record{}
	if newest != nil {
		l.record = newest.Clone()
	}
	l.record.Term = l.term
	l.record.Seq = 0
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

// isNewFleet reports whether there has never been a record: no voter remembers one, and every known member is reporting
// and has never received a statement.
func (l *Leader) isNewFleet(now int64, answers, remembering int) bool {
	if answers != len(l.voters) || remembering > 0 || now-l.leadingSince < settleTime {
		return false
	}
	for name, m := range l.members {
		if !l.isReporting(now, name) || m.report.Term != 0 {
			return false
		}
	}
	return true
}

// replicate starts writing the record to voters if it has changed and no write is in progress, and repeats a write in
// progress to the voters that have not acknowledged it.
func (l *Leader) replicate(now int64) {
	if l.record == nil {
		return
	}
	if l.inFlight == nil && l.changed {
		l.record.Seq++
		l.inFlight = l.record.Clone()
		l.changed = false
		l.acknowledged = map[string]bool{}
		l.nextWriteAt = now
	}
	if l.inFlight == nil || now < l.nextWriteAt {
		return
	}
	l.nextWriteAt = now + retryInterval
	for _, voter := range l.voters {
		incarnation, known := l.voterIncarnations[voter]
		if known && !l.acknowledged[voter] {
			l.emit(WriteVoter{voter, incarnation, l.inFlight})
		}
	}
}

// HandleWriteAnswer handles a voter's answer to WriteVoter. Once a majority has accepted the write, the record is
// committed: operators are answered, members are notified, and changes since then are written.
func (l *Leader) HandleWriteAnswer(now int64, voter string, term, seq uint64, accepted bool) {
	if l.inFlight == nil || term != l.term || seq != l.inFlight.Seq || !accepted || !l.isVoter(voter) {
		return
	}
	l.acknowledged[voter] = true
	if len(l.acknowledged) < l.majority() {
		return
	}
	before := l.committed
	l.committed = l.inFlight
	l.inFlight = nil
	if before == nil {
		l.notLeadingReason = ""
		l.leadingSince = now
		l.logf("", "leads under term %d with %d plans", l.term, len(l.committed.Plans))
	}
	l.replyToCommitted()
	l.sendStatements(before)
	l.replicate(now)
}

// replyToCommitted replies to the accepted commands whose write is now committed.
func (l *Leader) replyToCommitted() {
	waiting := l.pendingReplies[:0]
	for _, reply := range l.pendingReplies {
		if reply.seq <= l.committed.Seq {
			l.emit(ReplyToCommand{Token: reply.token})
		} else {
			waiting = append(waiting, reply)
		}
	}
	l.pendingReplies = waiting
}

// restoreVoter writes the committed record to a voter whose report shows a new process or a forgotten record: a later
// leader needs voters that remember it.
func (l *Leader) restoreVoter(r *Report) {
	if l.voterIncarnations[r.Member] != r.Incarnation {
		l.voterIncarnations[r.Member] = r.Incarnation
		delete(l.acknowledged, r.Member)
	}
	if l.committed != nil && l.inFlight == nil {
		l.emit(WriteVoter{r.Member, r.Incarnation, l.committed})
	}
}
