package assignment

import "github.com/cespare/xxhash/v2"

// memberRetention is the time (us) for which a lost member is remembered, and for which the peak number of live members
// counts after it was last observed (interval.go describes the exception). A restart or a healed network partition
// takes much less.
const memberRetention = 600_000_000

// memberState is the state of a member in the view of this instance.
type memberState uint8

const (
	memberLost memberState = iota // unreachable
	memberAlive
	memberLeft // left gracefully
)

var memberStateNames = [...]string{"lost", "alive", "left"}

// String implements fmt.Stringer.
func (s memberState) String() string { return memberStateNames[s] }

// member is one instance; the table's own instance is one too.
type member struct {
	slot        int
	name        string
	hash        uint64
	weight      float64
	incarnation uint64
	state       memberState
	downSince   int64 // when it was lost or left
	eligible    bool  // it may be a target: alive and not slow when targets were last selected

	slowUntil int64 // end of the period in which it counts as slow; 0 if it is not slow
	owned     int   // number of tasks that it owns
	overdue   int   // owned tasks whose newest update is overdue; updated at each tick

	rejoins    int // number of rejoins, as counted by recordRejoin
	rejoinedAt int64
}

// addMember adds a member in state memberLost.
func (t *Table) addMember(name string, weight float64) *member {
	added := &member{name: name, hash: xxhash.Sum64String(name), weight: weight}
	if last := len(t.freeMembers) - 1; last >= 0 {
		added.slot = t.freeMembers[last]
		t.freeMembers = t.freeMembers[:last]
		t.members[added.slot] = added
	} else {
		added.slot = len(t.members)
		t.members = append(t.members, added)
	}
	t.memberByName[name] = added
	return added
}

// forgetMembers drops members that have been down for long, so that short-lived names do not accumulate.
func (t *Table) forgetMembers(now int64) {
	for slot, m := range t.members {
		if m == nil || m.state == memberAlive || m.eligible || m.owned > 0 || now-m.downSince <= memberRetention {
			continue
		}
		delete(t.memberByName, m.name)
		t.members[slot] = nil
		t.freeMembers = append(t.freeMembers, slot)
	}
}

// MemberUp reports that a member is alive, with its weight and incarnation. Reports about an incarnation older than the
// newest known one are ignored.
func (t *Table) MemberUp(now int64, name string, weight float64, incarnation uint64) {
	m := t.memberByName[name]
	known := m != nil
	if !known {
		m = t.addMember(name, weight)
	}
	if m == t.self || incarnation < m.incarnation {
		return
	}
	wasAlive := m.state == memberAlive
	if known && (!wasAlive || incarnation > m.incarnation) {
		m.recordRejoin(now)
	}
	if m.weight != weight {
		t.invalidateTargets(m)
	}
	t.targetsStale = t.targetsStale || !wasAlive || m.weight != weight
	m.incarnation = incarnation
	m.state = memberAlive
	m.weight = weight
	if !wasAlive {
		t.maybeLeaveMinority(now)
	}
	t.updateInterval(now)
}

// recordRejoin counts a rejoin of the member and clears its slow state. The count restarts if the previous rejoin was
// more than rejoinResetTime ago; it does not expire in between.
func (m *member) recordRejoin(now int64) {
	if now-m.rejoinedAt > rejoinResetTime {
		m.rejoins = 0
	}
	m.rejoins++
	m.rejoinedAt = now
	m.slowUntil = 0
}

// invalidateTargets prepares a change of a member's weight. It clears the target of each task that targets the member,
// so that it is selected again; for all other tasks the member competes like a new one.
func (t *Table) invalidateTargets(m *member) {
	for _, task := range t.tasks {
		if task != nil && task.target == m {
			task.target = nil
		}
	}
	m.eligible = false
}

// MemberDown reports that a member was lost, or that it left gracefully. Reports about an incarnation older than the
// newest known one are ignored.
func (t *Table) MemberDown(now int64, name string, incarnation uint64, left bool) {
	m := t.memberByName[name]
	if m == nil || m == t.self || incarnation < m.incarnation || m.state != memberAlive {
		return
	}
	t.updatePeakMembers(now)
	m.downSince = now
	m.state = memberLost
	if left {
		m.state = memberLeft
	}
	t.rejoin.minority = t.isMinority()
	t.targetsStale = true
	t.updateInterval(now)
}

// Rejoins returns the number of recent rejoins of a member, which is reported to the member. It counts rejoins at most
// rejoinResetTime apart and is reset only at the member's next rejoin, so it may cover an older series.
func (t *Table) Rejoins(name string) int {
	if m := t.memberByName[name]; m != nil {
		return m.rejoins
	}
	return 0
}

// liveMembers returns the number of live members, including this instance.
func (t *Table) liveMembers() int {
	count := 0
	for _, m := range t.members {
		if m != nil && m.state == memberAlive {
			count++
		}
	}
	return count
}
