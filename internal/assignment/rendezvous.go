package assignment

import "math"

// score returns a member's weighted rendezvous hashing score for a task (Thaler and Ravishankar; weights after
// Schindelhauer and Schomaker). The member with the highest score is the target: members that join or leave do not move
// tasks between the others, and a member of twice the weight gets twice the tasks.
func score(m *member, task *task) float64 {
	uniform := (float64(mixHashes(task.hash, m.hash)>>11) + 0.5) / (1 << 53)
	return -m.weight / math.Log(uniform)
}

// mixHashes combines two hashes with the finalizer of splitmix64, so that every output bit depends on all input bits.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// precedes reports whether member a ranks before member b for a task: by higher score, then by smaller name.
func precedes(a, b *member, task *task) bool {
	scoreA, scoreB := score(a, task), score(b, task)
	return scoreA > scoreB || scoreA == scoreB && a.name < b.name
}

// chooseTarget selects a task's target among all eligible members.
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

// updateTargets updates the targets after changes of eligibility. A removed member moves only the tasks that it was the
// target of; an added one takes only those for which it has the highest score.
func (t *Table) updateTargets(now int64) {
	t.targetsStale = false
	t.forgetMembers(now)
	added, removed := t.updateEligible(now)
	for _, task := range t.tasks {
		if task == nil {
			continue
		}
		if task.target == nil || removed[task.target.slot] {
			t.chooseTarget(task)
			continue
		}
		for _, m := range added {
			if precedes(m, task.target, task) {
				task.target = m
				t.targetChanges++
			}
		}
	}
}

// updateEligible updates which members may be targets: those that are alive and not slow. It returns the members that
// became eligible and, by slot, whether a member ceased to be.
func (t *Table) updateEligible(now int64) (added []*member, removed []bool) {
	removed = make([]bool, len(t.members))
	for slot, m := range t.members {
		if m == nil {
			continue
		}
		eligible := m.state == memberAlive && now >= m.slowUntil
		if eligible && !m.eligible {
			added = append(added, m)
		}
		removed[slot] = !eligible && m.eligible
		m.eligible = eligible
	}
	return added, removed
}

// rank returns the number of eligible members, other than the owner, with a higher score for a task than this instance.
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
