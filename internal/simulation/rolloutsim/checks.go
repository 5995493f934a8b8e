package rolloutsim

import (
	"slices"
	"strings"

	"cairntiller/internal/rollout"
)

// The rules that a run is checked against, by the truth that the world knows.

const (
	lossKnownAfter   = 8_000_000  // us after which an unplanned loss must have been seen
	downUnnoticed    = 6_000_000  // us for which a router may be down that has just proven that it is back
	startGrace       = 5_000_000  // us in which a router that has just started may not have heard what is drained
	slotForgottenAge = 60_000_000 // us after a router's return in which its slot must have been freed
)

// checkCommitted checks a record that a leader knows to be kept by a majority of voters: nothing is forgotten, new
// slots are within the budget, and freed ones were proven.
func (w *World) checkCommitted(record *rollout.Record) {
	before := w.committed
	w.committed = record
	if before != nil && !w.recoveredByCommand {
		w.checkNothingForgotten(before, record)
	}
	w.recoveredByCommand = false
	holders := w.checkSlotsGrow(record)
	for _, p := range record.Plans {
		old := before.FindPlan(p.Plan.ID)
		w.measureProgress(old, p)
		w.checkNewlyUnused(old, p)
		w.checkNewSlots(old, p, holders)
	}
	for _, p := range record.Plans {
		if old := before.FindPlan(p.Plan.ID); old != nil && p.Plan.Kind != rollout.KindNodes {
			w.checkFreedSlots(old, p)
		}
	}
}

// checkNothingForgotten checks that each plan under way and each slot is still known.
func (w *World) checkNothingForgotten(before, record *rollout.Record) {
	for _, p := range before.Plans {
		now := record.FindPlan(p.Plan.ID)
		if now == nil {
			if !p.State.Ended() {
				w.violated("plan %s is forgotten", p.Plan.ID)
			}
			continue
		}
		for i, unit := range p.Units {
			if now.Units[i].Slot.Less(unit.Slot) {
				w.violated("slot %v of %s is forgotten", unit.Slot, p.Plan.Units[i])
			}
		}
	}
}

// holder is a unit that holds a slot of a plan of this kind.
type holder struct {
	kind rollout.Kind
	name string
}

// checkSlotsGrow checks that no router's slot is older than one that it had, and returns who holds one.
func (w *World) checkSlotsGrow(record *rollout.Record) map[holder]bool {
	holders := map[holder]bool{}
	for _, p := range record.Plans {
		for i, unit := range p.Units {
			if !unit.Phase.HoldsSlot() {
				continue
			}
			name := p.Plan.Units[i]
			holders[holder{p.Plan.Kind, name}] = true
			if p.Plan.Kind == rollout.KindNodes {
				continue
			}
			if granted, had := w.grantedSlots[name]; had && unit.Slot.Less(granted) {
				w.violated("slot %v of %s is kept behind %v", unit.Slot, name, granted)
			}
			w.grantedSlots[name] = unit.Slot
		}
	}
	return holders
}

// measureProgress notes how a plan has gone on; old is nil for a new plan.
func (w *World) measureProgress(old, p *rollout.Progress) {
	id := p.Plan.ID
	if old != nil && old.State != p.State {
		w.trace("plan %s is %s: %s", id, p.State, p.Reason)
		w.addToHash(hashedState, int(p.State), 0)
	}
	if p.State.Ended() && w.planStartedAt[id] > 0 {
		w.result.PlanDurations = append(w.result.PlanDurations, w.Now-w.planStartedAt[id])
		w.planStartedAt[id] = 0
	}
	stopped := p.State == rollout.StateRollingBack || p.State == rollout.StateHalted
	if stopped && !w.haltsCounted[id] && strings.HasSuffix(p.Reason, "same time") {
		w.haltsCounted[id] = true
		w.result.HaltsByEvidence++
	}
}

// checkNewlyUnused checks nodes that count as out of use from this record on.
func (w *World) checkNewlyUnused(old, p *rollout.Progress) {
	if p.Plan.Kind != rollout.KindNodes {
		return
	}
	for i, unit := range p.Units {
		if unit.Phase == rollout.PhaseUnavailable && (old == nil || old.Units[i].Phase != rollout.PhaseUnavailable) {
			w.checkUnused(p.Plan.Units[i])
		}
	}
}

// checkUnused checks that no router that is up uses a node that counts as out of use; one that has only just started has
// its first seconds to hear of it.
func (w *World) checkUnused(name string) {
	for _, r := range w.routers {
		if !r.up || w.Now-r.upAt < startGrace {
			continue
		}
		if _, drained := r.drainedSince[name]; !drained || w.Now < r.openUntil[name] {
			w.violated("%s counts as out of use, and %s uses it", name, r.name)
		}
	}
	if w.nodeByName[name].primary {
		w.violated("%s counts as out of use, and leads its group", name)
	}
}

// checkNewSlots checks that the slots that are new in a record are within the budget. A former leader's are older than
// what is missed now and are not held against it.
func (w *World) checkNewSlots(old, p *rollout.Progress, holders map[holder]bool) {
	fresh := ""
	for i, unit := range p.Units {
		isNew := old == nil || !old.Units[i].Phase.HoldsSlot()
		if unit.Phase.HoldsSlot() && isNew && unit.Slot.Term == w.committed.Term {
			fresh = p.Plan.Units[i]
		}
	}
	if fresh == "" {
		return
	}
	if p.Plan.Kind == rollout.KindNodes {
		w.checkNodeBudget(fresh, &p.Plan.Budget, holders)
	} else {
		w.checkRouterBudget(fresh, &p.Plan.Budget, holders)
	}
}

func (w *World) checkNodeBudget(fresh string, b *rollout.Budget, holders map[holder]bool) {
	unavailable := 0
	drainedByGroup := map[int]int{}
	for _, n := range w.nodes {
		holdsSlot := holders[holder{rollout.KindNodes, n.name}]
		if holdsSlot || !n.up && w.Now-n.downAt > lossKnownAfter {
			unavailable++
		}
		if holdsSlot {
			drainedByGroup[n.group]++
		}
	}
	for group, drained := range drainedByGroup {
		if drained > max(1, b.MaxPerGroup) {
			w.violated("%d nodes of group %d are drained", drained, group)
		}
	}
	if limit := b.Limit(len(w.nodes)); unavailable > limit && w.loss == 0 {
		w.violated("%s goes out, the %d. node of %d that may be", fresh, unavailable, limit)
	}
}

func (w *World) checkRouterBudget(fresh string, b *rollout.Budget, holders map[holder]bool) {
	unavailable := 0
	for _, r := range w.routers {
		holdsSlot := holders[holder{rollout.KindRestart, r.name}] || holders[holder{rollout.KindVersion, r.name}]
		if holdsSlot || !r.up && w.Now-r.downAt > lossKnownAfter {
			unavailable++
		}
	}
	if limit := b.Limit(len(w.routers)); unavailable > limit {
		w.violated("%s goes out, the %d. router of %d that may be", fresh, unavailable, limit)
	}
}

// checkFreedSlots checks that a router's slot is freed only by what it has proven: it is not down.
func (w *World) checkFreedSlots(old, p *rollout.Progress) {
	for i, unit := range p.Units {
		if !old.Units[i].Phase.HoldsSlot() || unit.Phase != rollout.PhaseDone {
			continue
		}
		r := w.routers[w.routerIndex[p.Plan.Units[i]]]
		if !r.ready && w.Now-r.downAt > downUnnoticed && r.downAt > r.upAt {
			w.violated("the slot of %s is free, and it has been down for %d us", r.name, w.Now-r.downAt)
		}
	}
}

// checkSlot checks that a router leaves by the slot that a majority keeps for its present process.
func (w *World) checkSlot(r *router, slot rollout.Slot) {
	if w.grantedSlots[r.name] != slot {
		w.violated("%s goes out by slot %v, and a majority keeps %v", r.name, slot, w.grantedSlots[r.name])
	}
	if incarnation := w.slotIncarnation(r.name); incarnation != r.incarnation {
		w.violated("%s goes out as process %d, and the slot is for process %d", r.name, r.incarnation, incarnation)
	}
}

// slotIncarnation is the process of a router that its slot was granted to, by what a majority keeps.
func (w *World) slotIncarnation(name string) uint64 {
	for _, p := range w.committed.Plans {
		if i := slices.Index(p.Plan.Units, name); i >= 0 && p.Units[i].Slot == w.grantedSlots[name] {
			return p.Units[i].Incarnation
		}
	}
	return 0
}

// checkPlanned checks that no more routers are out by plans than the largest budget allows.
func (w *World) checkPlanned() {
	planned := 0
	for _, r := range w.routers {
		if r.planned {
			planned++
		}
	}
	w.result.MaxUnavailable = max(w.result.MaxUnavailable, planned)
	if limit := w.maxUnavailable(); planned > limit {
		w.violated("%d routers are out by plans, and %d may be", planned, limit)
	}
}

// maxUnavailable is the largest budget of a plan of routers.
func (w *World) maxUnavailable() int {
	largest := 0
	for _, plan := range w.Plans {
		plan.SetDefaults()
		if plan.Kind != rollout.KindNodes {
			largest = max(largest, plan.Budget.Limit(w.Routers))
		}
	}
	return largest
}

// checkEnd checks that every plan has ended or says why it stands, and that no slot is forgotten.
func (w *World) checkEnd() {
	if w.committed == nil {
		w.violated("nobody leads at the end")
		return
	}
	for _, p := range w.committed.Plans {
		underWay := p.State == rollout.StateRunning || p.State == rollout.StateRollingBack
		isStuck := func(unit rollout.Unit) bool { return unit.Phase == rollout.PhaseStuck }
		if underWay && !slices.ContainsFunc(p.Units, isStuck) {
			w.violated("plan %s is %s at the end (%s), with no reason", p.Plan.ID, p.State, p.Reason)
		}
		if p.Plan.Kind == rollout.KindNodes || p.State == rollout.StateHalted && p.Plan.Kind == rollout.KindVersion {
			continue
		}
		w.checkSlotsFreed(p)
	}
}

// checkSlotsFreed checks that no router that has been back for long still holds a slot.
func (w *World) checkSlotsFreed(p *rollout.Progress) {
	for i, unit := range p.Units {
		if !unit.Phase.HoldsSlot() || unit.Phase == rollout.PhaseStuck {
			continue
		}
		r := w.routers[w.routerIndex[p.Plan.Units[i]]]
		if r.ready && r.incarnation != unit.Incarnation && w.Now-r.upAt > slotForgottenAge {
			w.violated("the slot of %s is forgotten: it is %v", r.name, unit.Phase)
		}
	}
}

// TouchedRouters counts the routers that the first plan has reached.
func (w *World) TouchedRouters() int {
	if w.committed == nil {
		return 0
	}
	touched := 0
	for _, unit := range w.committed.Plans[0].Units {
		if unit.Attempts > 0 {
			touched++
		}
	}
	return touched
}
