package rollout

import (
	"fmt"
	"maps"
	"slices"
)

// How a record is read from voters, recovered, and written to a majority of them. A record is written complete. One write
// is under way at a time, and is repeated until a majority keeps it; only then are members notified and operators answered.

// retryInterval is the time between reads and writes to voters that have not answered, in us. It is well above a round trip
// in any fleet; a lost message makes an operator wait a second longer.
const retryInterval = 1_000_000

// pendingReply is an accepted command whose reply waits until a majority keeps the write with this number.
type pendingReply struct {
	token string
	seq   uint64
}

func (l *Leader) majority() int { return len(l.voters)/2 + 1 }

// tickRecovery repeats the reads that voters have not answered, and asks all members to report: isNewFleet needs their
// reports. Then it tries to recover the record.
func (l *Leader) tickRecovery(now int64) {
	if now < l.nextReadAt {
		return
	}
	l.readVoters(now, func(voter string) bool {
		state, answered := l.voterStates[voter]
		return answered && !state.MayHaveForgotten
	})
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		l.act(RequestReport{name})
	}
	l.recoverRecord(now, false)
}

// readVoters asks the voters that have not answered which record they keep.
func (l *Leader) readVoters(now int64, answered func(voter string) bool) {
	l.nextReadAt = now + retryInterval
	for _, voter := range l.voters {
		if !answered(voter) {
			l.act(ReadVoter{voter, l.term})
		}
	}
}

// HandleReadAnswer handles a voter's answer to ReadVoter. A refusal means that the voter has heard of a later leader, and
// ends this lead.
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
		return // it was read for the incarnation alone
	}
	l.voterStates[voter] = state
	l.recoverRecord(now, false)
}

// recoverRecord continues from the newest record that voters keep, if it is sure that there is no newer one:
//
//   - a majority of voters answers and has not forgotten, or
//   - all voters have forgotten and the fleet has never had a record, or
//   - an operator vouches for it with the command begin, and a majority answers.
//
// Else notLeadingReason says what is missing. Without this guard a leader whose voters had all restarted would begin with
// an empty record, grant slots to more units while others are out, and bring drained nodes back.
func (l *Leader) recoverRecord(now int64, byCommand bool) {
	answers, remember := len(l.voterStates), 0
	var newest *Record
	for _, state := range l.voterStates {
		if !state.MayHaveForgotten {
			remember++
		}
		r := state.Record
		if r != nil && (newest == nil || isNewer(r.Term, r.Seq, newest.Term, newest.Seq)) {
			newest = r
		}
	}
	sure := remember >= l.majority() || byCommand && answers >= l.majority() || l.isNewFleet(now, answers, remember)
	if !sure {
		if answers >= l.majority() {
			l.notLeadingReason = fmt.Sprintf("%d of %d voters have forgotten what they kept: wait for the others, or say begin", answers-remember, len(l.voters))
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

// isNewFleet reports whether there has never been a record: no voter remembers one, and every known member is in sight
// and has never heard of one.
func (l *Leader) isNewFleet(now int64, answers, remember int) bool {
	if answers != len(l.voters) || remember > 0 || now-l.leadingSince < settleTime {
		return false
	}
	for name, m := range l.members {
		if !l.inSight(now, name) || m.report.Term != 0 {
			return false
		}
	}
	return true
}

// replicate begins to write the record to voters if it has changed and no write is under way, and repeats a write that is
// under way to the voters that have not acknowledged it.
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
			l.act(WriteVoter{voter, incarnation, l.inFlight})
		}
	}
}

// HandleWriteAnswer handles a voter's answer to WriteVoter. With a majority the record is committed: operators are answered,
// members notified, and what has changed since is written.
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

// replyToCommitted replies to the accepted commands whose write a majority of voters keeps now.
func (l *Leader) replyToCommitted() {
	waiting := l.pendingReplies[:0]
	for _, reply := range l.pendingReplies {
		if reply.seq <= l.committed.Seq {
			l.act(ReplyToCommand{Token: reply.token})
		} else {
			waiting = append(waiting, reply)
		}
	}
	l.pendingReplies = waiting
}

// restoreVoter writes the committed record to a voter whose report shows a new process or a forgotten record: a later
// leader needs voters that remember.
func (l *Leader) restoreVoter(r *Report) {
	if l.voterIncarnations[r.Member] != r.Incarnation {
		l.voterIncarnations[r.Member] = r.Incarnation
		delete(l.acknowledged, r.Member)
	}
	if l.committed != nil && l.inFlight == nil {
		l.act(WriteVoter{r.Member, r.Incarnation, l.committed})
	}
}
