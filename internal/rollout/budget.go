package rollout

import "slices"

// The disruption budget: which units may leave service now. Every unavailable unit counts, whether by a plan or
// unplanned, so that a failure in the middle of a rollout leaves fewer slots and never more.

// unavailability counts the units of one sort, routers or nodes, that are unavailable at a moment.
type unavailability struct {
	known       int // units of that sort
	total       int
	byZone      map[string]int
	byGroup     map[int]int     // nodes
	loadByGroup map[int]float64 // share of each group's usual load that its unavailable nodes account for
	voters      int             // voting routers that are unavailable or may have forgotten the record
	holdsSlot   map[string]bool // by unit
}

// countUnavailable counts what is unavailable now: units that hold a slot of any plan, members that are not reporting
// or accept no commands, nodes that are not up.
func (l *Leader) countUnavailable(now int64, nodes bool) *unavailability {
	u := &unavailability{byZone: map[string]int{}, byGroup: map[int]int{}, loadByGroup: map[int]float64{}, holdsSlot: map[string]bool{}}
	known := l.plannedUnits(nodes, u.holdsSlot)
	if nodes {
		for name := range l.nodes {
			known[name] = true
		}
	} else {
		for name := range l.members {
			known[name] = true
		}
	}
	u.known = len(known)
	for name := range known {
		if nodes {
			node := l.nodes[name]
			if u.holdsSlot[name] || node == nil || !node.Up {
				u.add(name, l)
			}
			continue
		}
		unavailable := u.holdsSlot[name] || !l.isReporting(now, name) || !l.members[name].report.Ready
		if unavailable {
			u.add(name, l)
		}
		if l.isVoter(name) && (unavailable || l.members[name].report.MayHaveForgotten) {
			u.voters++
		}
	}
	return u
}

// plannedUnits returns the units of plans in progress, and adds those that hold a slot of any plan to holdsSlot.
func (l *Leader) plannedUnits(nodes bool, holdsSlot map[string]bool) map[string]bool {
	units := map[string]bool{}
	for _, p := range l.record.Plans {
		if nodes != (p.Plan.Kind == KindNodes) {
			continue
		}
		for i, name := range p.Plan.Units {
			if p.Units[i].Phase != PhaseForgotten && !p.State.Ended() {
				units[name] = true
			}
			if p.Units[i].Phase.HoldsSlot() {
				holdsSlot[name] = true
			}
		}
	}
	return units
}

// add counts one more unavailable unit.
func (u *unavailability) add(name string, l *Leader) {
	u.total++
	if node := l.nodes[name]; node != nil {
		u.byZone[node.Zone]++
		u.byGroup[node.Group]++
		u.loadByGroup[node.Group] += node.LoadShare
	} else if member := l.members[name]; member != nil {
		u.byZone[member.report.Zone]++
	}
}

// Limit returns how many of the known units may be unavailable at once: the smaller of MaxUnavailable, if set, and
// MaxShare, but at least one, since otherwise a small fleet could never be restarted.
func (b *Budget) Limit(known int) int {
	limit := max(1, int(b.MaxShare*float64(known)))
	if b.MaxUnavailable > 0 {
		limit = min(limit, b.MaxUnavailable)
	}
	return limit
}

// checkBudget returns why a unit of a plan may not leave service now, or nil. It is called right before each slot is
// granted.
func (l *Leader) checkBudget(now int64, p *Progress, name string, u *unavailability) error {
	b := &p.Plan.Budget
	if limit := b.Limit(u.known); u.total >= limit {
		return refuse(ErrBudgetUsed, "%d of %d are out, planned or not, and %d may be", u.total, u.known, limit)
	}
	if p.Plan.Kind == KindNodes {
		node := l.nodes[name]
		if node == nil || !node.Up {
			return refuse(ErrUnavailable, "%s is out already", name)
		}
		if err := b.checkZone(node.Zone, u); err != nil {
			return err
		}
		return l.checkGroup(b, node, u)
	}
	if !l.isReporting(now, name) {
		return refuse(ErrUnavailable, "%s is not in sight", name)
	}
	if err := b.checkZone(l.members[name].report.Zone, u); err != nil {
		return err
	}
	return l.checkVoters(name, u)
}

func (b *Budget) checkZone(zone string, u *unavailability) error {
	if b.MaxPerZone > 0 && u.byZone[zone] >= b.MaxPerZone {
		return refuse(ErrZoneBudgetUsed, "%d of zone %s are out, and %d may be", u.byZone[zone], zone, b.MaxPerZone)
	}
	return nil
}

// checkVoters returns ErrTooFewVoters if, without this voter, no majority of voters would remember the record. A voter
// that restarts has forgotten it, and counts as unavailable until the record is written to it again. Without this check
// a plan could restart a majority of the voters, and no leader could start until an operator gives the command begin.
// With fewer than three voters none may ever leave by a plan.
func (l *Leader) checkVoters(name string, u *unavailability) error {
	tolerated := (len(l.voters) - 1) / 2
	if l.isVoter(name) && u.voters+1 > tolerated {
		return refuse(ErrTooFewVoters, "%d of %d voters are out or have forgotten", u.voters, len(l.voters))
	}
	return nil
}

// checkGroup returns why a node may not leave its group, or nil. A primary may leave only if a caught-up replica can
// take its place, and MinReplicas of them must remain besides the primary.
func (l *Leader) checkGroup(b *Budget, node *NodeState, u *unavailability) error {
	group := node.Group
	if u.byGroup[group] >= b.MaxPerGroup {
		return refuse(ErrGroupBudgetUsed, "%d of group %d are out, and %d may be", u.byGroup[group], group, b.MaxPerGroup)
	}
	if load := u.loadByGroup[group] + node.LoadShare; b.MaxGroupLoad > 0 && load > b.MaxGroupLoad {
		return refuse(ErrGroupLoad, "group %d would be without %.0f%% of its usual work", group, 100*load)
	}
	hasPrimary := false
	replicas := 0 // caught-up ones
	for _, other := range l.groups[group] {
		if other == node || !other.Up || u.holdsSlot[other.Name] {
			continue
		}
		if other.Primary {
			hasPrimary = true
		} else if other.CaughtUp {
			replicas++
		}
	}
	if node.Primary { // one of these replicas has to take its place
		hasPrimary = replicas > 0
		replicas--
	}
	if !hasPrimary {
		return refuse(ErrNoPrimary, "group %d would have no primary, and none that could become one", group)
	}
	if replicas < b.MinReplicas {
		return refuse(ErrTooFewReplicas, "group %d would have %d replicas near the log's end, and %d must stay", group, replicas, b.MinReplicas)
	}
	return nil
}

// grantSlot grants a slot to a unit. The unit counts as unavailable at once; it is instructed to leave once the record
// is committed.
func (l *Leader) grantSlot(now int64, p *Progress, i int, u *unavailability, why string) {
	name := p.Plan.Units[i]
	unit := &p.Units[i]
	l.record.SlotsGranted++
	unit.Slot = Slot{l.term, l.record.SlotsGranted}
	unit.Attempts++
	unit.Incarnation = 0
	if member := l.members[name]; member != nil {
		unit.Incarnation = member.report.Incarnation
	}
	if !u.holdsSlot[name] {
		u.holdsSlot[name] = true
		u.add(name, l)
		if l.isVoter(name) {
			u.voters++
		}
	}
	l.setPhase(now, p, i, PhaseLeaving, why)
}

func (l *Leader) isVoter(name string) bool { return slices.Contains(l.voters, name) }
