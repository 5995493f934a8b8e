package assignment

import "github.com/cespare/xxhash/v2"

// memberMemory is how long (us) a lost member is remembered, and for how long after it last held the greatest number of live
// members counts (interval.go says how that ends). An instance that restarts or a network that is mended comes back
// well within it.
const memberMemory = 600_000_000

// memberState is what a member is to this instance.
type memberState uint8

const (
	memberLost memberState = iota // it can't be reached
	memberAlive
	memberLeft // it left in order
)

var memberStateNames = [...]string{"lost", "alive", "left"}

// String names the state.
func (s memberState) String() string { return memberStateNames[s] }

// member is one instance, this one included.
type member struct {
	slot        int
	name        string
	hash        uint64
	weight      float64
	incarnation uint64
	state       memberState
	goneAt      int64 // when it was lost or left
	eligible    bool  // it may be a target: it was alive and not slow when targets were last chosen

	slowUntil int64 // it counts as slow before this time; 0 if it does not
	owned     int   // tasks that it owns
	overdue   int   // of these, tasks whose newest update is too old; counted at each tick

	rejoins    int // how often it came back, counted as noteRejoin says
	rejoinedAt int64
}

// addMember takes a new member in, as lost.
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

// forgetMembers drops members that have been gone for long, so that names that come and go do not add up.
func (t *Table) forgetMembers(now int64) {
	for slot, m := range t.members {
		if m == nil || m.state == memberAlive || m.eligible || m.owned > 0 || now-m.goneAt <= memberMemory {
			continue
		}
		delete(t.memberByName, m.name)
		t.members[slot] = nil
		t.freeMembers = append(t.freeMembers, slot)
	}
}

// MemberUp reports that a member is alive, in an incarnation and with a weight. A report on an older incarnation than the
// newest known counts for nothing.
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
		m.noteRejoin(now)
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

// noteRejoin counts that a member came back. The count starts again if the last rejoin was more than rejoinMemory ago;
// it is not reset in between. The member starts again as one that is not slow.
func (m *member) noteRejoin(now int64) {
	if now-m.rejoinedAt > rejoinMemory {
		m.rejoins = 0
	}
	m.rejoins++
	m.rejoinedAt = now
	m.slowUntil = 0
}

// invalidateTargets undoes the choices that rest on a member's weight, which changes. Tasks that it is the target of are
// assigned anew; it competes for the rest like a new member.
func (t *Table) invalidateTargets(m *member) {
	for _, task := range t.tasks {
		if task != nil && task.target == m {
			task.target = nil
		}
	}
	m.eligible = false
}

// MemberDown reports that a member was lost, or that it left in order. A report on an older incarnation than the newest
// known counts for nothing.
func (t *Table) MemberDown(now int64, name string, incarnation uint64, left bool) {
	m := t.memberByName[name]
	if m == nil || m == t.self || incarnation < m.incarnation || m.state != memberAlive {
		return
	}
	t.noteMembers(now)
	m.goneAt = now
	m.state = memberLost
	if left {
		m.state = memberLeft
	}
	t.rejoin.minority = t.isMinority()
	t.targetsStale = true
	t.updateInterval(now)
}

// Rejoins returns how often a member came back, for the member to be told of. The count covers rejoins that followed one
// another within rejoinMemory. It is reset only at the member's next rejoin, so it may be older than that.
func (t *Table) Rejoins(name string) int {
	if m := t.memberByName[name]; m != nil {
		return m.rejoins
	}
	return 0
}

// liveMembers counts the live members, this instance included.
func (t *Table) liveMembers() int {
	count := 0
	for _, m := range t.members {
		if m != nil && m.state == memberAlive {
			count++
		}
	}
	return count
}
