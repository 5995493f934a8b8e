package membership

// duplicateWindow is by how many messages of one origin an older one may come late and still be taken.
const duplicateWindow = 1024

// duplicateFilter remembers which gossip messages of one origin were taken. Each message comes several times, since
// members send it on to several others.
type duplicateFilter struct {
	incarnation uint64
	highest     uint64                       // number of the latest message
	taken       [duplicateWindow / 64]uint64 // a bit for each number up to highest, by number modulo the window
}

// isNew reports whether a message of an origin's process was not taken before, and notes it as taken. What a former process
// said counts for nothing once a later one was heard.
func (f *duplicateFilter) isNew(incarnation, number uint64) bool {
	if incarnation < f.incarnation {
		return false
	}
	if incarnation > f.incarnation {
		*f = duplicateFilter{incarnation: incarnation}
	}
	if number > f.highest {
		f.advance(number)
	} else if f.highest-number >= duplicateWindow || f.isTaken(number) {
		return false
	}
	f.taken[number%duplicateWindow/64] |= 1 << (number % 64)
	return true
}

func (f *duplicateFilter) isTaken(number uint64) bool {
	return f.taken[number%duplicateWindow/64]&(1<<(number%64)) != 0
}

// advance moves the window on to a number; those that it skips have not been taken.
func (f *duplicateFilter) advance(to uint64) {
	for number := f.highest + 1; number < to && number <= f.highest+duplicateWindow; number++ {
		f.taken[number%duplicateWindow/64] &^= 1 << (number % 64)
	}
	f.highest = to
}
