package membership

// duplicateWindow is the maximum distance between a late message and the newest one of its origin at which it is
// accepted.
const duplicateWindow = 1024

// duplicateFilter remembers which gossip messages of one origin were received. Each message arrives several times,
// since every member relays it to several others.
type duplicateFilter struct {
	incarnation uint64
	highest     uint64                       // number of the newest message
	received    [duplicateWindow / 64]uint64 // one bit per message number up to highest, by number modulo the window
}

// recordIfNew records a message of an origin's process and reports whether it is new. Messages of an earlier process
// are rejected once a later one is known.
func (f *duplicateFilter) recordIfNew(incarnation, number uint64) bool {
	if incarnation < f.incarnation {
		return false
	}
	if incarnation > f.incarnation {
		*f = duplicateFilter{incarnation: incarnation}
	}
	if number > f.highest {
		f.advance(number)
	} else if f.highest-number >= duplicateWindow || f.isReceived(number) {
		return false
	}
	f.received[number%duplicateWindow/64] |= 1 << (number % 64)
	return true
}

func (f *duplicateFilter) isReceived(number uint64) bool {
	return f.received[number%duplicateWindow/64]&(1<<(number%64)) != 0
}

// advance moves the window to a message number; the skipped numbers are marked as not received.
func (f *duplicateFilter) advance(to uint64) {
	for number := f.highest + 1; number < to && number <= f.highest+duplicateWindow; number++ {
		f.received[number%duplicateWindow/64] &^= 1 << (number % 64)
	}
	f.highest = to
}
