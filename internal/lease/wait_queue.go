package lease

import (
	"cmp"
	"math"
	"slices"
)

// waiter is a candidate that requested a lease while it was not available.
type waiter struct {
	name          string
	priority      int8
	ticket        uint64
	waitingSince  int64
	lastRequestAt int64
}

const (
	// reservationLength is how long a free lease is reserved for the first in the queue, in us: several round trips on
	// a slow network. If that candidate does not request it, the others lose this time.
	reservationLength = 150_000
	// waiterTimeout is how long after its last request a candidate counts as waiting, in us.
	waiterTimeout = 12_000_000
	// maxWaiters limits the candidates queued for one lease at a voter; the others retry later.
	maxWaiters = 16
)

func removeWaiter(line []waiter, name string) []waiter {
	return slices.DeleteFunc(line, func(w waiter) bool { return w.name == name })
}

// enqueueWaiter adds a candidate to a lease's queue, ordered by priority, then by ticket, then by rendezvous score.
// Tickets decide instead of arrival times because they are the same at all voters. If each voter had an order of its
// own, each would notify a different candidate first, and their votes would split again and again.
func (v *Voter) enqueueWaiter(now int64, g *leaseGrant, requester process, wanted WantedLease) {
	if g.granted && g.holder.name == requester.name {
		return // an earlier process of the holder, or the holder itself under another term
	}
	ticket := uint64(math.MaxUint64) // no ticket: behind all others
	if wanted.Ticket > 0 {
		ticket = wanted.Ticket - 1 // the lowest ticket ranks equal with the 0 of enqueueFirst
	}
	w := waiter{
		name:          requester.name,
		priority:      wanted.Priority,
		ticket:        ticket,
		waitingSince:  now,
		lastRequestAt: now,
	}
	line := slices.DeleteFunc(g.queue, func(other waiter) bool {
		if other.name == requester.name {
			w.waitingSince = min(w.waitingSince, other.waitingSince)
			w.priority = max(w.priority, other.priority)
		}
		return other.name == requester.name || now-other.lastRequestAt > waiterTimeout
	})
	index, _ := slices.BinarySearchFunc(line, w, func(other, w waiter) int {
		return cmp.Or(
			cmp.Compare(w.priority, other.priority),
			cmp.Compare(other.ticket, w.ticket),
			cmp.Compare(rendezvousScore(other.name, g.lease), rendezvousScore(w.name, g.lease)),
			-1, // behind its equals
		)
	})
	line = slices.Insert(line, index, w)
	g.queue = line[:min(len(line), maxWaiters)]
}

// enqueueFirst puts a member at the front of the queue, because the holder hands the lease over to it.
func (g *leaseGrant) enqueueFirst(now int64, name string) {
	first := waiter{name: name, priority: math.MaxInt8, waitingSince: math.MinInt64, lastRequestAt: now}
	g.queue = append([]waiter{first}, removeWaiter(g.queue, name)...)
}

// notifyFirstWaiter reserves a free lease for the first in the queue and notifies it. A candidate that is cooling down
// is skipped: it would be refused, and its reservation would delay the others by reservationLength.
func (v *Voter) notifyFirstWaiter(now int64, g *leaseGrant) {
	g.queue = slices.DeleteFunc(g.queue, func(w waiter) bool { return now-w.lastRequestAt > waiterTimeout })
	g.reservedUntil = 0
	index := slices.IndexFunc(g.queue, func(w waiter) bool { return v.remainingCoolDown(now, w.name) <= 0 })
	if index < 0 {
		return
	}
	next := g.queue[index]
	g.queue = slices.Insert(slices.Delete(g.queue, index, index+1), 0, next)
	g.reservedUntil = now + reservationLength
	free := FreeLease{Lease: g.lease, Term: max(g.term, v.termFloor)}
	v.send(next.name, &ReservationNotice{Header: v.header(), VoterClock: now, Leases: []FreeLease{free}})
}

// MemberGone removes a member that left or failed from all queues. Its own grants expire as usual.
func (v *Voter) MemberGone(now int64, name string) {
	for _, g := range v.leases {
		if g == nil {
			continue
		}
		wasFirst := len(g.queue) > 0 && g.queue[0].name == name
		g.queue = removeWaiter(g.queue, name)
		if wasFirst && now < g.reservedUntil {
			v.notifyFirstWaiter(now, g)
		}
	}
}
