package rolloutsim

import (
	"slices"
	"strings"

	"cairntiller/internal/rollout"
)

// The rules that each run is checked against, by the actual state of the simulated fleet.

const (
	lossDetectionLimit = 8_000_000  // us within which an unplanned loss must be detected
	downDetectionGrace = 6_000_000  // us for which a router may be down although its return was just confirmed
	startGrace         = 5_000_000  // us after a router's start in which it may not know the drained nodes yet
	slotFreeTimeout    = 60_000_000 // us after a router's return within which its slot must be freed
)

// checkCommitted checks a record that a leader knows to be stored by a majority of voters: no plan or slot is lost, new
// slots are within the budget, and slots were freed only on proof that the router is back.
func (w *World) checkCommitted(record *rollout.Record) {
	previousRecord := w.committed
	w.committed = record
	if previousRecord != nil && !w.recoveryForced {
		w.checkNothingLost(previousRecord, record)
	}
	w.recoveryForced = false
	holders := w.checkSlotOrder(record)
	for _, p := range record.Plans {
		previous := previousRecord.FindPlan(p.Plan.ID)
		w.measureProgress(previous, p)
		w.checkNewlyUnused(previous, p)
		w.checkNewSlots(previous, p, holders)
	}
	for _, p := range record.Plans {
		if previous := previousRecord.FindPlan(p.Plan.ID); previous != nil && p.Plan.Kind != rollout.KindNodes {
			w.checkFreedSlots(previous, p)
		}
	}
}

// checkNothingLost checks that no active plan and no slot is missing from a new record.
func (w *World) checkNothingLost(previousRecord, record *rollout.Record) {
	for _, p := range previousRecord.Plans {
		now := record.FindPlan(p.Plan.ID)
		if now == nil {
			if !p.State.Ended() {
				w.reportViolation("plan %s is lost", p.Plan.ID)
			}
			continue
		}
		for i, unit := range p.Units {
			if now.Units[i].Slot.Less(unit.Slot) {
				w.reportViolation("slot %v of %s is lost", unit.Slot, p.Plan.Units[i])
			}
		}
	}
}

// holder identifies a unit that holds a slot of a plan of the given kind.
type holder struct {
	kind rollout.Kind
	name string
}

// checkSlotOrder checks that no router's slot is older than a previous one of it, and returns the slot holders.
func (w *World) checkSlotOrder(record *rollout.Record) map[holder]bool {
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
				w.reportViolation("slot %v of %s is older than its previous slot %v", unit.Slot, name, granted)
			}
			w.grantedSlots[name] = unit.Slot
		}
	}
	return holders
}

// measureProgress records the progress of a plan. old is nil for a new plan.
func (w *World) measureProgress(previous, p *rollout.Progress) {
	id := p.Plan.ID
	if previous != nil && previous.State != p.State {
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

// checkNewlyUnused checks the nodes that count as unavailable since this record.
func (w *World) checkNewlyUnused(previous, p *rollout.Progress) {
	if p.Plan.Kind != rollout.KindNodes {
		return
	}
	for i, unit := range p.Units {
		if unit.Phase == rollout.PhaseUnavailable && (previous == nil || previous.Units[i].Phase != rollout.PhaseUnavailable) {
			w.checkUnused(p.Plan.Units[i])
		}
	}
}

// checkUnused checks that no running router uses a node that counts as unavailable. A router that has just started is
// exempt for startGrace.
func (w *World) checkUnused(name string) {
	for _, r := range w.routers {
		if !r.up || w.Now-r.upAt < startGrace {
			continue
		}
		if _, drained := r.drainedSince[name]; !drained || w.Now < r.openUntil[name] {
			w.reportViolation("%s counts as unavailable, but %s uses it", name, r.name)
		}
	}
	if w.nodeByName[name].primary {
		w.reportViolation("%s counts as unavailable, but is the primary of its group", name)
	}
}

// checkNewSlots checks that the slots that are new in a record are within the budget. Slots granted by a former leader are
// not checked, because they may precede the current losses.
func (w *World) checkNewSlots(previous, p *rollout.Progress, holders map[holder]bool) {
	newUnit := ""
	for i, unit := range p.Units {
		isNew := previous == nil || !previous.Units[i].Phase.HoldsSlot()
		if unit.Phase.HoldsSlot() && isNew && unit.Slot.Term == w.committed.Term {
			newUnit = p.Plan.Units[i]
		}
	}
	if newUnit == "" {
		return
	}
	if p.Plan.Kind == rollout.KindNodes {
		w.checkNodeBudget(newUnit, &p.Plan.Budget, holders)
	} else {
		w.checkRouterBudget(newUnit, &p.Plan.Budget, holders)
	}
}

func (w *World) checkNodeBudget(newUnit string, b *rollout.Budget, holders map[holder]bool) {
	unavailable := 0
	drainedByGroup := map[int]int{}
	for _, n := range w.nodes {
		holdsSlot := holders[holder{rollout.KindNodes, n.name}]
		if holdsSlot || !n.up && w.Now-n.downAt > lossDetectionLimit {
			unavailable++
		}
		if holdsSlot {
			drainedByGroup[n.group]++
		}
	}
	for group, drained := range drainedByGroup {
		if drained > max(1, b.MaxPerGroup) {
			w.reportViolation("%d nodes of group %d are drained at the same time", drained, group)
		}
	}
	if limit := b.Limit(len(w.nodes)); unavailable > limit && w.lossRate == 0 {
		w.reportViolation("%s leaves service, with %d nodes unavailable of at most %d", newUnit, unavailable, limit)
	}
}

func (w *World) checkRouterBudget(newUnit string, b *rollout.Budget, holders map[holder]bool) {
	unavailable := 0
	for _, r := range w.routers {
		holdsSlot := holders[holder{rollout.KindRestart, r.name}] || holders[holder{rollout.KindVersion, r.name}]
		if holdsSlot || !r.up && w.Now-r.downAt > lossDetectionLimit {
			unavailable++
		}
	}
	if limit := b.Limit(len(w.routers)); unavailable > limit {
		w.reportViolation("%s leaves service, with %d routers unavailable of at most %d", newUnit, unavailable, limit)
	}
}

// checkFreedSlots checks that no slot was freed while its router is down.
func (w *World) checkFreedSlots(previous, p *rollout.Progress) {
	for i, unit := range p.Units {
		if !previous.Units[i].Phase.HoldsSlot() || unit.Phase != rollout.PhaseDone {
			continue
		}
		r := w.routers[w.routerIndex[p.Plan.Units[i]]]
		if !r.ready && w.Now-r.downAt > downDetectionGrace && r.downAt > r.upAt {
			w.reportViolation("the slot of %s was freed, but it has been down for %d us", r.name, w.Now-r.downAt)
		}
	}
}

// checkSlot checks that a router leaves service with the slot that a majority of voters stores for its current process.
func (w *World) checkSlot(r *router, slot rollout.Slot) {
	if w.grantedSlots[r.name] != slot {
		w.reportViolation("%s leaves service with slot %v, but the majority stores %v", r.name, slot, w.grantedSlots[r.name])
	}
	if incarnation := w.slotIncarnation(r.name); incarnation != r.incarnation {
		w.reportViolation("%s goes out as process %d, and the slot is for process %d", r.name, r.incarnation, incarnation)
	}
}

// slotIncarnation returns the incarnation that a router's slot was granted to, by the record that a majority stores.
func (w *World) slotIncarnation(name string) uint64 {
	for _, p := range w.committed.Plans {
		if i := slices.Index(p.Plan.Units, name); i >= 0 && p.Units[i].Slot == w.grantedSlots[name] {
			return p.Units[i].Incarnation
		}
	}
	return 0
}

// checkPlanned checks that no more routers are out of service by plans than the largest budget allows.
func (w *World) checkPlannedOutages() {
	plannedOutage := 0
	for _, r := range w.routers {
		if r.plannedOutage {
			plannedOutage++
		}
	}
	w.result.MaxUnavailable = max(w.result.MaxUnavailable, plannedOutage)
	if limit := w.maxUnavailable(); plannedOutage > limit {
		w.reportViolation("%d routers are out of service by plans, at most %d may be", plannedOutage, limit)
	}
}

// maxUnavailable returns the largest budget of all plans for routers.
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

// checkEnd checks that every plan has ended or reports why it is stuck, and that no slot is left behind.
func (w *World) checkEnd() {
	if w.committed == nil {
		w.reportViolation("there is no leader at the end")
		return
	}
	for _, p := range w.committed.Plans {
		underWay := p.State == rollout.StateRunning || p.State == rollout.StateRollingBack
		isStuck := func(unit rollout.Unit) bool { return unit.Phase == rollout.PhaseStuck }
		if underWay && !slices.ContainsFunc(p.Units, isStuck) {
			w.reportViolation("plan %s is %s at the end (%s), but has no stuck unit", p.Plan.ID, p.State, p.Reason)
		}
		if p.Plan.Kind == rollout.KindNodes || p.State == rollout.StateHalted && p.Plan.Kind == rollout.KindVersion {
			continue
		}
		w.checkSlotsFreed(p)
	}
}

// checkSlotsFreed checks that no router still holds a slot when slotFreeTimeout has passed since its return.
func (w *World) checkSlotsFreed(p *rollout.Progress) {
	for i, unit := range p.Units {
		if !unit.Phase.HoldsSlot() || unit.Phase == rollout.PhaseStuck {
			continue
		}
		r := w.routers[w.routerIndex[p.Plan.Units[i]]]
		if r.ready && r.incarnation != unit.Incarnation && w.Now-r.upAt > slotFreeTimeout {
			w.reportViolation("the slot of %s was never freed, its phase is %v", r.name, unit.Phase)
		}
	}
}

// AttemptedRouters returns the number of routers that the first plan has changed or tried to change.
func (w *World) AttemptedRouters() int {
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
