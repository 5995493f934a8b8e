package rolloutsim

import "cairntiller/internal/rollout"

const (
	leaseLength   = 3_000_000 // us
	detectionTime = 2_000_000 // us after which membership tells of a loss
	leaderTick    = 250_000   // us between a leader's ticks
)

// renewLease is the fleet's lease, taken as proven: one holder at a time, under terms that grow.
func (w *World) renewLease() {
	w.after(200_000, w.renewLease)
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

// reachesMajority reports whether a router reaches a majority of voters, both ways.
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
	w.trace("%s leads under term %d", r.name, w.term)
	w.addToHash(hashedLeader, i, w.term)
	r.leader.BecomeLeader(w.Now, w.term)
	w.observeFleet(r)
	w.carryOut(r)
	w.tickLeader(r, r.incarnation, w.term)
}

// holdsLease reports whether a router's present process holds the lease.
func (w *World) holdsLease(r *router) bool {
	return w.holder == r.index && w.holderIncarnation == r.incarnation
}

// leaseHolder is the router whose present process holds the lease, nil for none.
func (w *World) leaseHolder() *router {
	if w.holder < 0 || !w.holdsLease(w.routers[w.holder]) {
		return nil
	}
	return w.routers[w.holder]
}

// observeFleet tells a leader what its own router and the membership show.
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
	w.after(leaderTick, func() { w.tickLeader(r, incarnation, term) })
}

// handOverLead gives the lease up; soon after some other router may get it.
func (w *World) handOverLead(r *router) {
	if !w.holdsLease(r) {
		return
	}
	w.trace("%s yields", r.name)
	r.leader.StepDown()
	w.holder = -1
	w.after(50_000, func() {
		if w.holder >= 0 {
			return
		}
		i := w.rng.IntN(len(w.routers))
		if i != r.index && w.routers[i].ready && w.reachesMajority(w.routers[i]) {
			w.grantLease(i)
		}
	})
}

// readVoter carries a leader's question to a voter and the answer back.
func (w *World) readVoter(r *router, a rollout.ReadVoter) {
	to := w.routers[w.routerIndex[a.Voter]]
	if w.Planted == ReadsOneVoter && to.index > 0 {
		to = w.routers[0] // every voter's answer is the first one's
	}
	w.send(r, to, func() {
		state, accepted := to.voter.Read(a.Term)
		if w.Planted == HidesForgottenState {
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

// writeVoter carries a leader's write to a voter and the answer back.
func (w *World) writeVoter(r *router, a rollout.WriteVoter) {
	to := w.routers[w.routerIndex[a.Voter]]
	if w.Planted == AnnouncesBeforeCommit {
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
