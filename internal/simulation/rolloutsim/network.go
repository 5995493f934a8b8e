package rolloutsim

// reaches reports whether messages from one router can reach another.
func (w *World) reaches(from, to *router) bool {
	return from == to || from.up && to.up && from.partition == to.partition && !from.dropsOutgoing && !to.dropsIncoming
}

// send delivers a message to another router. The message may be lost, duplicated or delayed.
func (w *World) send(from, to *router, deliver func()) {
	w.result.Messages++
	if from == to {
		w.schedule(1, deliver)
		return
	}
	if !w.reaches(from, to) || w.rng.Float64() < w.lossRate {
		return
	}
	arrive := func() {
		if to.up {
			deliver()
		}
	}
	w.schedule(200+w.rng.Int64N(20_000), arrive)
	if w.rng.Float64() < w.duplicateRate {
		late := w.rng.Int64N(50_000)
		if w.rng.IntN(4) == 0 {
			late = w.rng.Int64N(30_000_000)
		}
		w.schedule(200+late, arrive)
	}
}
