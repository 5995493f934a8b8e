package lease

import (
	"cmp"
	"math"
	"slices"
)

// waiter is a candidate that asked for a lease which another process has.
type waiter struct {
	name     string
	priority int8
	ticket   uint64
	since    int64
	lastSeen int64
}

const (
	// turnTime is how long a free lease is reserved for the first in line, in us: several round trips of a slow network.
	// One that does not come costs the others this time.
	turnTime = 150_000
	// waiterLifetime is how long after its last request a candidate counts as waiting, in us.
	waiterLifetime = 12_000_000
	// maxWaiters is how many wait for one lease at a voter; the others ask again later.
	maxWaiters = 16
)

func removeWaiter(line []waiter, name string) []waiter {
	return slices.DeleteFunc(line, func(w waiter) bool { return w.name == name })
}

// enterLine puts a candidate into a lease's line: by priority, then by ticket, then by rendezvous score. Tickets and not
// the times at which requests came decide, because they are the same at all voters. If each voter had a line of its
// own, each would notify a different candidate first, and their votes would split again and again.
func (v *Voter) enterLine(now int64, g *leaseGrant, by process, wanted WantedLease) {
	if g.granted && g.holder.name == by.name {
		return // a former process of the holder, or the holder itself under another term
	}
	ticket := uint64(math.MaxUint64) // without a ticket: behind all others
	if wanted.Ticket > 0 {
		ticket = wanted.Ticket - 1 // the smallest ticket ranks equal with the 0 of putFirst
	}
	w := waiter{
		name:     by.name,
		priority: wanted.Priority,
		ticket:   ticket,
		since:    now,
		lastSeen: now,
	}
	line := slices.DeleteFunc(g.line, func(other waiter) bool {
		if other.name == by.name {
			w.since = min(w.since, other.since)
			w.priority = max(w.priority, other.priority)
		}
		return other.name == by.name || now-other.lastSeen > waiterLifetime
	})
	index, _ := slices.BinarySearchFunc(line, w, func(other, w waiter) int {
		return cmp.Or(
			cmp.Compare(w.priority, other.priority),
			cmp.Compare(other.ticket, w.ticket),
			cmp.Compare(rendezvousScore(other.name, g.lease), rendezvousScore(w.name, g.lease)),
			-1, // behind its equal
		)
	})
	line = slices.Insert(line, index, w)
	g.line = line[:min(len(line), maxWaiters)]
}

// putFirst puts a member in front of the line because the holder hands the lease over to it.
func (g *leaseGrant) putFirst(now int64, name string) {
	first := waiter{name: name, priority: math.MaxInt8, since: math.MinInt64, lastSeen: now}
	g.line = append([]waiter{first}, removeWaiter(g.line, name)...)
}

// notifyFirst reserves a free lease for the first in line and gives it notice. A candidate that is cooling down is passed
// over: it would be refused, and its turn would keep the others waiting for turnTime.
func (v *Voter) notifyFirst(now int64, g *leaseGrant) {
	g.line = slices.DeleteFunc(g.line, func(w waiter) bool { return now-w.lastSeen > waiterLifetime })
	g.reservedUntil = 0
	index := slices.IndexFunc(g.line, func(w waiter) bool { return v.coolDownLeft(now, w.name) <= 0 })
	if index < 0 {
		return
	}
	next := g.line[index]
	g.line = slices.Insert(slices.Delete(g.line, index, index+1), 0, next)
	g.reservedUntil = now + turnTime
	free := FreeLease{Lease: g.lease, Term: max(g.term, v.termFloor)}
	v.send(next.name, &TurnNotice{Header: v.header(), VoterClock: now, Leases: []FreeLease{free}})
}

// MemberGone removes a member that left or failed from all lines. What it holds runs out as if it were still there.
func (v *Voter) MemberGone(now int64, name string) {
	for _, g := range v.leases {
		if g == nil {
			continue
		}
		wasFirst := len(g.line) > 0 && g.line[0].name == name
		g.line = removeWaiter(g.line, name)
		if wasFirst && now < g.reservedUntil {
			v.notifyFirst(now, g)
		}
	}
}
