package rolloutsim

import "cairntiller/internal/rollout"

const (
	leaseLength   = 3_000_000 // us
	detectionTime = 2_000_000 // us until the membership reports a lost router
	leaderTick    = 250_000   // us between a leader's ticks
)

// renewLease models the lease of the fleet's leader. It assumes that leases are correct: there is one holder at a time, and
// terms increase.
func (w *World) renewLease() {
	w.schedule(200_000, w.renewLease)
	if w.holder >= 0 {
		r := w.routers[w.holder]
		if r.up && r.incarnation == w.holderIncarnation && w.reachesMajority(r) {
			w.leaseUntil = w.Now + leaseLength
		}
		if w.Now < w.leaseUntil {
			return
		}
		if r.incarnation == w.holderIncarnation {
			r.leader.StepDown()
		}
		w.holder = -1
	}
	var candidates []int
	for i, r := range w.routers {
		if r.up && r.ready && !r.leaving && w.reachesMajority(r) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) > 0 {
		w.grantLease(candidates[w.rng.IntN(len(candidates))])
	}
}

// reachesMajority reports whether a router and a majority of voters reach each other.
func (w *World) reachesMajority(r *router) bool {
	reached := 0
	for _, voter := range w.routers[:w.Voters] {
		if w.reaches(r, voter) && w.reaches(voter, r) {
			reached++
		}
	}
	return reached > w.Voters/2
}

func (w *World) grantLease(i int) {
	w.term++
	w.result.Leaders++
	r := w.routers[i]
	w.holder = i
	w.holderIncarnation = r.incarnation
	w.leaseUntil = w.Now + leaseLength
	w.trace("%s becomes leader for term %d", r.name, w.term)
	w.addToHash(hashedLeader, i, w.term)
	r.leader.BecomeLeader(w.Now, w.term)
	w.observeFleet(r)
	w.carryOut(r)
	w.tickLeader(r, r.incarnation, w.term)
}

// holdsLease reports whether a router's current process holds the lease.
func (w *World) holdsLease(r *router) bool {
	return w.holder == r.index && w.holderIncarnation == r.incarnation
}

// leaseHolder returns the router whose current process holds the lease, or nil if there is none.
func (w *World) leaseHolder() *router {
	if w.holder < 0 || !w.holdsLease(w.routers[w.holder]) {
		return nil
	}
	return w.routers[w.holder]
}

// observeFleet updates a leader with what its own router and the membership observe.
func (w *World) observeFleet(r *router) {
	for _, other := range w.routers {
		switch {
		case other == r || w.reaches(r, other) && w.reaches(other, r):
			r.leader.MemberUp(other.name)
		case !other.up && w.Now-other.downAt > detectionTime:
			r.leader.MemberGone(other.name)
		}
	}
	for _, n := range w.nodes {
		state := n.state()
		state.Up = n.up || w.Now-n.downAt < detectionTime
		r.leader.SetNode(state)
	}
}

func (w *World) tickLeader(r *router, incarnation, term uint64) {
	if !r.up || r.incarnation != incarnation || !w.holdsLease(r) || w.term != term {
		return
	}
	w.observeFleet(r)
	w.plantMistake(r)
	r.leader.Tick(w.Now)
	w.carryOut(r)
	w.schedule(leaderTick, func() { w.tickLeader(r, incarnation, term) })
}

// transferLeadership gives up the lease. Shortly after, a random other router may acquire it.
func (w *World) transferLeadership(r *router) {
	if !w.holdsLease(r) {
		return
	}
	w.trace("%s gives up leadership", r.name)
	r.leader.StepDown()
	w.holder = -1
	w.schedule(50_000, func() {
		if w.holder >= 0 {
			return
		}
		i := w.rng.IntN(len(w.routers))
		if i != r.index && w.routers[i].ready && w.reachesMajority(w.routers[i]) {
			w.grantLease(i)
		}
	})
}

// readVoter sends a leader's read request to a voter and returns the response.
func (w *World) readVoter(r *router, a rollout.ReadVoter) {
	to := w.routers[w.routerIndex[a.Voter]]
	if w.PlantedMistake == ReadsOneVoter && to.index > 0 {
		to = w.routers[0] // all answers come from the first voter
	}
	w.send(r, to, func() {
		state, accepted := to.voter.Read(a.Term)
		if w.PlantedMistake == HidesForgottenState {
			state.MayHaveForgotten = false
		}
		w.send(to, r, func() {
			if w.holdsLease(r) {
				r.leader.HandleReadAnswer(w.Now, a.Voter, a.Term, state, accepted)
				w.carryOut(r)
			}
		})
	})
}

// writeVoter sends a leader's write request to a voter and returns the response.
func (w *World) writeVoter(r *router, a rollout.WriteVoter) {
	to := w.routers[w.routerIndex[a.Voter]]
	if w.PlantedMistake == AnnouncesBeforeCommit {
		r.leader.HandleWriteAnswer(w.Now, a.Voter, a.Record.Term, a.Record.Seq, true)
	}
	w.send(r, to, func() {
		accepted := to.voter.Write(a.Record, a.Incarnation)
		if accepted {
			to.durableRecord = a.Record
		}
		w.send(to, r, func() {
			if w.holdsLease(r) {
				r.leader.HandleWriteAnswer(w.Now, a.Voter, a.Record.Term, a.Record.Seq, accepted)
				w.carryOut(r)
			}
		})
	})
}
