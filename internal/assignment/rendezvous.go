package assignment

import "math"

// score is a member's weight for a task in rendezvous hashing (Thaler and Ravishankar; weighted after Schindelhauer and
// Schomaker). The member with the highest score is the target: another member's coming or going changes nothing between
// the rest, and a member of twice the weight has twice the tasks.
func score(m *member, task *task) float64 {
	uniform := (float64(mixHashes(task.hash, m.hash)>>11) + 0.5) / (1 << 53)
	return -m.weight / math.Log(uniform)
}

// mixHashes joins two hashes; the finish of splitmix64 makes every bit depend on all.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// precedes reports whether a member comes before another for a task: the higher score, between equal ones the first name.
func precedes(a, b *member, task *task) bool {
	scoreA, scoreB := score(a, task), score(b, task)
	return scoreA > scoreB || scoreA == scoreB && a.name < b.name
}

// chooseTarget finds a task's target among all eligible members.
func (t *Table) chooseTarget(task *task) {
	var best *member
	var highest float64
	for _, m := range t.members {
		if m == nil || !m.eligible {
			continue
		}
		s := score(m, task)
		if best == nil || s > highest || s == highest && m.name < best.name {
			best = m
			highest = s
		}
	}
	if best == task.target {
		return
	}
	if task.target != nil {
		t.targetChanges++
	}
	task.target = best
}

// updateTargets finds the targets after members became eligible or ceased to be. A member that went moves only the tasks
// that it was the target of; one that came takes only those for which it has the highest score.
func (t *Table) updateTargets(now int64) {
	t.targetsStale = false
	t.forgetMembers(now)
	came, went := t.updateEligible(now)
	for _, task := range t.tasks {
		if task == nil {
			continue
		}
		if task.target == nil || went[task.target.slot] {
			t.chooseTarget(task)
			continue
		}
		for _, m := range came {
			if precedes(m, task.target, task) {
				task.target = m
				t.targetChanges++
			}
		}
	}
}

// updateEligible finds the members that may be targets now: those that are alive and not slow. It returns those that
// became eligible, and by slot whether a member ceased to be.
func (t *Table) updateEligible(now int64) (came []*member, went []bool) {
	went = make([]bool, len(t.members))
	for slot, m := range t.members {
		if m == nil {
			continue
		}
		eligible := m.state == memberAlive && now >= m.slowUntil
		if eligible && !m.eligible {
			came = append(came, m)
		}
		went[slot] = !eligible && m.eligible
		m.eligible = eligible
	}
	return came, went
}

// rank is how many eligible members other than the owner have a higher score for a task than this instance.
func (t *Table) rank(task *task) int {
	own := score(t.self, task)
	count := 0
	for _, m := range t.members {
		if m != nil && m != t.self && m != task.owner && m.eligible && score(m, task) > own {
			count++
		}
	}
	return count
}

// firstRunOffset spreads the first runs of tasks over an interval, differently at each instance.
func (t *Table) firstRunOffset(task *task) int64 {
	return int64(mixHashes(task.hash, t.self.hash) % uint64(t.interval))
}
