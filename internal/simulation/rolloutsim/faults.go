package rolloutsim

import "cairntiller/internal/rollout"

// injectFault injects a random fault and schedules the next one.
func (w *World) injectFault() {
	if w.faultsOver {
		return
	}
	w.schedule(w.rng.Int64N(8_000_000), w.injectFault)
	r := w.routers[w.rng.IntN(len(w.routers))]
	span := 1 + w.rng.Int64N(10_000_000)
	switch w.rng.IntN(14) {
	case 0: // an unplanned crash
		w.kill(r, 3*span)
	case 1: // up to three routers crash at the same time
		for range 3 {
			w.kill(w.routers[w.rng.IntN(len(w.routers))], w.rng.Int64N(30_000_000))
		}
	case 2, 3: // the leader crashes, at any step
		if w.holder >= 0 {
			w.kill(w.routers[w.holder], span)
		}
	case 4:
		w.killLeaving(span)
	case 5: // a network partition in two halves
		for _, other := range w.routers[:len(w.routers)/2] {
			other.partition = 1
		}
		w.schedule(span, w.healPartitions)
	case 6: // an isolated zone
		for _, other := range w.routers {
			if other.zone == r.zone {
				other.partition = 2
			}
		}
		w.schedule(span, w.healPartitions)
	case 7:
		w.cutOneWay(r, span)
	case 8: // one voter crashes, or up to three do
		for range 1 + 2*w.rng.IntN(2) {
			w.kill(w.routers[w.rng.IntN(w.Voters)], w.rng.Int64N(3_000_000))
		}
	case 9:
		w.lossRate = w.rng.Float64() * 0.3
		w.duplicateRate = w.rng.Float64() * 0.4
	case 10:
		w.lossRate = 0
		w.duplicateRate = 0
	case 11, 12:
		w.injectNodeFault(span)
	case 13:
		w.sendTwoCommands()
	}
}

// killLeaving kills a router that leaves service by a plan. It may then restart with its old version a few times.
func (w *World) killLeaving(span int64) {
	for _, r := range w.routers {
		if !r.plannedOutage || !r.leaving {
			continue
		}
		w.kill(r, span)
		if w.rng.IntN(2) == 0 {
			r.wrongVersionStarts = 1 + w.rng.IntN(3)
		}
		return
	}
}

// cutOneWay drops either all outgoing or all incoming messages of a router.
func (w *World) cutOneWay(r *router, span int64) {
	if w.rng.IntN(2) == 0 {
		r.dropsOutgoing = true
	} else {
		r.dropsIncoming = true
	}
	w.schedule(span, func() {
		r.dropsOutgoing = false
		r.dropsIncoming = false
	})
}

// injectNodeFault takes a node down, makes it lag in the log, or keeps it from switching over.
func (w *World) injectNodeFault(span int64) {
	if len(w.nodes) == 0 {
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(3) {
	case 0:
		n.up = false
		n.caughtUp = false
		n.downAt = w.Now
		if n.primary {
			w.schedule(2_000_000, func() { w.switchOver(n) })
		}
		w.schedule(span, func() { n.up = true })
		w.schedule(span+5_000_000, func() { n.caughtUp = n.up })
	case 1:
		n.caughtUp = false
		w.schedule(span, func() { n.caughtUp = n.up })
	default:
		n.refusesSwitchover = true
		w.schedule(3*span, func() {
			n.refusesSwitchover = false
			w.switchOver(n)
		})
	}
}

// sendTwoCommands sends two operator commands at the same time.
func (w *World) sendTwoCommands() {
	if len(w.Plans) == 0 {
		return
	}
	id := w.Plans[w.rng.IntN(len(w.Plans))].ID
	types := []rollout.CommandType{rollout.CommandHalt, rollout.CommandResume, rollout.CommandHalt, rollout.CommandResume, rollout.CommandRollBack}
	for range 2 {
		w.sendCommand(rollout.Command{Type: types[w.rng.IntN(len(types))], PlanID: id}, maxTries-10)
	}
}

func (w *World) healPartitions() {
	for _, r := range w.routers {
		r.partition = 0
	}
}

// endFaults ends all faults. From 20 s later on, an operator recovers the record if voters lost their state.
func (w *World) endFaults() {
	w.faultsOver = true
	w.schedule(20_000_000, w.recoverRecord)
	w.lossRate = 0
	w.duplicateRate = 0
	w.healPartitions()
	for _, r := range w.routers {
		r.dropsOutgoing = false
		r.dropsIncoming = false
	}
	for _, n := range w.nodes {
		n.up = true
		n.caughtUp = true
		n.refusesSwitchover = false
	}
}
