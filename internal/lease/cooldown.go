package lease

// lapseHistory counts how often a holder let leases lapse at a voter.
type lapseHistory struct {
	count         int
	lastLapseAt   int64
	coolDownUntil int64
}

const (
	// lapseExpiry is the time without a lapse after which earlier lapses are forgotten, in us. It is not a sliding
	// window: lapses less than this apart add up, however long ago the first one was.
	lapseExpiry = 120_000_000
	// toleratedLapses is how many lapses have no consequence, so that a paused machine or a cut link costs a holder
	// nothing.
	toleratedLapses = 2
	// maxCoolDownDoublings limits the cool-down. While other candidates wait it doubles with each lapse over
	// toleratedLapses, from two lease lengths to 32; otherwise it is one length.
	maxCoolDownDoublings = 5
)

// recordLapse records that a holder let a lease run out. A holder that does so repeatedly is granted no lease for a
// while, and for longer each time if others wait, because each lapse leaves the lease without a holder for one lease
// length. Leases that run out together count as one lapse.
func (v *Voter) recordLapse(now int64, holder string, length int64, othersWait bool) {
	h := v.lapses[holder]
	if h == nil || now-h.lastLapseAt > lapseExpiry {
		h = &lapseHistory{}
		v.lapses[holder] = h
	}
	if h.count == 0 || now-h.lastLapseAt >= length {
		h.count++
		h.lastLapseAt = now
	}
	excess := h.count - toleratedLapses
	if excess <= 0 {
		return
	}
	coolDown := length
	if othersWait {
		coolDown = length << min(excess, maxCoolDownDoublings)
	}
	h.coolDownUntil = now + coolDown
}

// remainingCoolDown returns how long a member is granted no leases, in us; 0 or less if it is not cooling down.
func (v *Voter) remainingCoolDown(now int64, name string) int64 {
	h := v.lapses[name]
	if h == nil {
		return 0
	}
	return h.coolDownUntil - now
}

// deleteExpiredLapses deletes histories whose lapses have expired and whose cool-down is over.
func (v *Voter) deleteExpiredLapses(now int64) {
	for name, h := range v.lapses {
		if now-h.lastLapseAt > lapseExpiry && now > h.coolDownUntil {
			delete(v.lapses, name)
		}
	}
}
