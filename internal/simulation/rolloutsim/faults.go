package rolloutsim

import "cairntiller/internal/rollout"

// injectFault draws the next thing that goes wrong.
func (w *World) injectFault() {
	if w.faultsOver {
		return
	}
	w.after(w.rng.Int64N(8_000_000), w.injectFault)
	r := w.routers[w.rng.IntN(len(w.routers))]
	span := 1 + w.rng.Int64N(10_000_000)
	switch w.rng.IntN(14) {
	case 0: // an unplanned loss
		w.kill(r, 3*span)
	case 1: // three at once
		for range 3 {
			w.kill(w.routers[w.rng.IntN(len(w.routers))], w.rng.Int64N(30_000_000))
		}
	case 2, 3: // the leader, at whatever step it is
		if w.holder >= 0 {
			w.kill(w.routers[w.holder], span)
		}
	case 4:
		w.killLeaving(span)
	case 5: // the fleet parted in two
		for _, other := range w.routers[:len(w.routers)/2] {
			other.partition = 1
		}
		w.after(span, w.healPartitions)
	case 6: // a zone cut off
		for _, other := range w.routers {
			if other.zone == r.zone {
				other.partition = 2
			}
		}
		w.after(span, w.healPartitions)
	case 7:
		w.cutOneWay(r, span)
	case 8: // a voter, or most of them
		for range 1 + 2*w.rng.IntN(2) {
			w.kill(w.routers[w.rng.IntN(w.Voters)], w.rng.Int64N(3_000_000))
		}
	case 9:
		w.loss = w.rng.Float64() * 0.3
		w.duplication = w.rng.Float64() * 0.4
	case 10:
		w.loss = 0
		w.duplication = 0
	case 11, 12:
		w.injectNodeFault(span)
	case 13:
		w.sendTwoCommands()
	}
}

// killLeaving kills one that is out by a plan: it stays away for longer, or is started with the version it had.
func (w *World) killLeaving(span int64) {
	for _, r := range w.routers {
		if !r.planned || !r.leaving {
			continue
		}
		w.kill(r, span)
		if w.rng.IntN(2) == 0 {
			r.wrongVersionStarts = 1 + w.rng.IntN(3)
		}
		return
	}
}

// cutOneWay lets a router hear nobody, or nobody hear it.
func (w *World) cutOneWay(r *router, span int64) {
	if w.rng.IntN(2) == 0 {
		r.mute = true
	} else {
		r.deaf = true
	}
	w.after(span, func() {
		r.mute = false
		r.deaf = false
	})
}

// injectNodeFault takes a node down, lets its log lag, or keeps it from handing over.
func (w *World) injectNodeFault(span int64) {
	if len(w.nodes) == 0 {
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(3) {
	case 0:
		n.up = false
		n.nearLogEnd = false
		n.downAt = w.Now
		if n.primary {
			w.after(2_000_000, func() { w.handOver(n) })
		}
		w.after(span, func() { n.up = true })
		w.after(span+5_000_000, func() { n.nearLogEnd = n.up })
	case 1:
		n.nearLogEnd = false
		w.after(span, func() { n.nearLogEnd = n.up })
	default:
		n.keepsPrimary = true
		w.after(3*span, func() {
			n.keepsPrimary = false
			w.handOver(n)
		})
	}
}

// sendTwoCommands has an operator, or two of them, give two commands at once.
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

// endFaults mends all that went wrong; from a while later on an operator looks after voters that have forgotten.
func (w *World) endFaults() {
	w.faultsOver = true
	w.after(20_000_000, w.recoverRecord)
	w.loss = 0
	w.duplication = 0
	w.healPartitions()
	for _, r := range w.routers {
		r.mute = false
		r.deaf = false
	}
	for _, n := range w.nodes {
		n.up = true
		n.nearLogEnd = true
		n.keepsPrimary = false
	}
}
