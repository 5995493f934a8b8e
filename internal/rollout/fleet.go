package rollout

import "slices"

// What a leader knows of the fleet: members from their reports and from the membership, nodes from its own router.

// reportTimeout is the time after its last report for which a member counts as reporting, in us. Reports come each
// second, so two in a row may be lost; a machine that loses power counts as unavailable after that time.
const reportTimeout = 3_500_000

// maxCaughtUpLag is how far behind the clock, in us, a replica's last confirmed position may be for the replica to
// count as caught up. Routers probe every second or two, so the position of an idle, up-to-date replica appears at most
// that far behind.
const maxCaughtUpLag = 3_000_000

// NodeState is a node as the leader's own router knows it.
type NodeState struct {
	Name, Zone string
	Group      int
	Primary    bool
	Up         bool    // discovery lists it as up, and it is not silent
	CaughtUp   bool    // IsCaughtUp of its position
	LoadShare  float64 // its share of its group's usual load; only the simulation and tests set it, the router leaves it 0
}

// IsCaughtUp reports whether a replica whose position is this many microseconds behind the clock could take its
// primary's place.
func IsCaughtUp(behind int64) bool { return behind <= maxCaughtUpLag }

// memberState is what a leader knows of one member.
type memberState struct {
	report         Report        // the newest
	reportedAt     int64         // 0 if never, or since the membership lost it
	returnedAt     int64         // when its present incarnation first reported
	countsAtReturn CommandCounts // its counts at that time
}

// HandleReport handles a member's report. A voter that has forgotten the record is sent it again.
func (l *Leader) HandleReport(now int64, r *Report) {
	m := l.members[r.Member]
	if m == nil {
		m = &memberState{returnedAt: now, countsAtReturn: r.Counts}
		l.members[r.Member] = m
		l.addMember(r.Member)
	} else if m.report.Incarnation != r.Incarnation {
		m.returnedAt = now
		m.countsAtReturn = CommandCounts{}
	}
	before := *m
	m.report = *r
	m.reportedAt = now
	if l.term > 0 && l.isVoter(r.Member) && (l.voterIncarnations[r.Member] != r.Incarnation || r.MayHaveForgotten) {
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

// MemberUp handles a membership event: the member is present. It may not have reported yet.
func (l *Leader) MemberUp(member string) {
	if l.members[member] == nil {
		l.members[member] = &memberState{report: Report{Member: member}}
	}
	l.addMember(member)
}

// MemberGone handles a membership event: the member is gone. It counts as unavailable until it is back or forgotten,
// even after an orderly shutdown: an operator who restarts it by hand takes it out of service just as a plan does.
func (l *Leader) MemberGone(member string) {
	if m := l.members[member]; m != nil {
		m.reportedAt = 0
	}
}

// SetNode replaces the state of a node.
func (l *Leader) SetNode(n NodeState) {
	if l.nodes[n.Name] == nil {
		l.nodes[n.Name] = &NodeState{Group: n.Group}
		l.groups[n.Group] = append(l.groups[n.Group], l.nodes[n.Name])
	}
	*l.nodes[n.Name] = n
}

// isReporting reports whether the leader has received a report of a member within reportTimeout.
func (l *Leader) isReporting(now int64, member string) bool {
	m := l.members[member]
	return m != nil && m.reportedAt > 0 && now-m.reportedAt < reportTimeout
}

// addMember adds a member to the record, so that a later leader that has no report of it counts it as unavailable.
func (l *Leader) addMember(member string) {
	if l.record == nil {
		return
	}
	if i, known := slices.BinarySearch(l.record.Members, member); !known {
		l.record.Members = slices.Insert(l.record.Members, i, member)
		l.changed = true
	}
}

// removeMember removes a member permanently: it does not count as unavailable any more.
func (l *Leader) removeMember(member string) {
	delete(l.members, member)
	if i, known := slices.BinarySearch(l.record.Members, member); known {
		l.record.Members = slices.Delete(l.record.Members, i, i+1)
		l.changed = true
	}
}
