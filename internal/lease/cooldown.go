package lease

// lapseHistory is how often a holder let leases run out at a voter.
type lapseHistory struct {
	count         int
	lastAt        int64
	coolDownUntil int64
}

const (
	// lapseMemory is the time without a lapse after which all former lapses are forgotten, in us. It is not a window: lapses
	// that follow one another within this time add up however long ago the first one was.
	lapseMemory = 120_000_000
	// freeLapses is how many lapses cost a holder nothing: a pause of its machine, a cut link.
	freeLapses = 2
	// maxCoolDownDoublings bounds the cool-down: while others wait it doubles with each lapse over freeLapses, from two lengths
	// to 32; if nobody waits it is one length.
	maxCoolDownDoublings = 5
)

// noteLapse notes that a holder let a lease run out. A holder that does so again and again gets no lease for a while, and
// for longer each time if others wait, because each of its lapses leaves the lease without a holder for a length. Many
// leases that run out together are one lapse.
func (v *Voter) noteLapse(now int64, holder string, length int64, othersWait bool) {
	h := v.lapses[holder]
	if h == nil || now-h.lastAt > lapseMemory {
		h = &lapseHistory{}
		v.lapses[holder] = h
	}
	if h.count == 0 || now-h.lastAt >= length {
		h.count++
		h.lastAt = now
	}
	excess := h.count - freeLapses
	if excess <= 0 {
		return
	}
	coolDown := length
	if othersWait {
		coolDown = length << min(excess, maxCoolDownDoublings)
	}
	h.coolDownUntil = now + coolDown
}

// coolDownLeft returns for how long a member gets no lease here, in us; 0 or less if it is not cooling down.
func (v *Voter) coolDownLeft(now int64, name string) int64 {
	h := v.lapses[name]
	if h == nil {
		return 0
	}
	return h.coolDownUntil - now
}

// forgetLapses drops histories whose lapses and cool-down are over.
func (v *Voter) forgetLapses(now int64) {
	for name, h := range v.lapses {
		if now-h.lastAt > lapseMemory && now > h.coolDownUntil {
			delete(v.lapses, name)
		}
	}
}
