package rolloutsim

// reaches reports whether what one router sends can come to another.
func (w *World) reaches(from, to *router) bool {
	return from == to || from.up && to.up && from.partition == to.partition && !from.mute && !to.deaf
}

// send delivers something to another process, perhaps, perhaps twice, perhaps late.
func (w *World) send(from, to *router, deliver func()) {
	w.result.Messages++
	if from == to {
		w.after(1, deliver)
		return
	}
	if !w.reaches(from, to) || w.rng.Float64() < w.loss {
		return
	}
	arrive := func() {
		if to.up {
			deliver()
		}
	}
	w.after(200+w.rng.Int64N(20_000), arrive)
	if w.rng.Float64() < w.duplication {
		late := w.rng.Int64N(50_000)
		if w.rng.IntN(4) == 0 {
			late = w.rng.Int64N(30_000_000)
		}
		w.after(200+late, arrive)
	}
}
