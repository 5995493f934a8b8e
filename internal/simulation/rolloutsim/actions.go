package rolloutsim

import "cairntiller/internal/rollout"

// carryOut executes the actions of a router's member and leader, and checks what the leader commits.
func (w *World) carryOut(r *router) {
	for _, action := range r.member.TakeActions() {
		w.carryOutOne(r, action)
	}
	for _, action := range r.leader.TakeActions() {
		w.carryOutOne(r, action)
	}
	if w.holdsLease(r) {
		if _, record := r.leader.Committed(); record != nil && record != w.committed {
			w.checkCommitted(record)
		}
	}
}

func (w *World) carryOutOne(r *router, action rollout.Action) {
	if w.observe != nil {
		w.observe(r.name, action)
	}
	switch a := action.(type) {
	case rollout.ReadVoter:
		w.readVoter(r, a)
	case rollout.RequestReport:
		to := w.routers[w.routerIndex[a.Member]]
		w.send(r, to, func() {
			to.knownLeader = r.index
			w.report(to)
		})
	case rollout.WriteVoter:
		w.writeVoter(r, a)
	case rollout.SendStatement:
		to := w.routers[w.routerIndex[a.Member]]
		statement := *a.Statement
		w.send(r, to, func() { w.deliverStatement(to, &statement, r.index) })
	case rollout.QueryDrainedNodes:
		w.queryDrainedNodes(r)
	case rollout.LeaveService:
		w.leave(r, a)
	case rollout.DrainNodes:
		w.drainNodes(r, a.Nodes)
	case rollout.TransferLeadership:
		w.transferLeadership(r)
	case rollout.LogEvent:
		w.trace("%s: %s %s", r.name, a.PlanID, a.Text)
	case rollout.ReplyToCommand: // operators check the committed record instead, see sendCommand
	}
}

// queryDrainedNodes asks all voters for the drained nodes on behalf of a member, and delivers their answers.
func (w *World) queryDrainedNodes(r *router) {
	for _, voter := range w.routers[:w.Voters] {
		w.send(r, voter, func() {
			if record, _ := voter.voter.Record(); record != nil {
				statement := rollout.DrainStatement(record)
				w.send(voter, r, func() { w.deliverStatement(r, statement, -1) })
			}
		})
	}
}

// deliverStatement delivers a statement to a member. leader is the index of the sending leader, or -1 for a voter.
func (w *World) deliverStatement(r *router, s *rollout.Statement, leader int) {
	if w.PlantedMistake == IgnoresIncarnation && s.Instruction == rollout.InstructionLeave {
		s.Incarnation = r.incarnation
	}
	if w.PlantedMistake == AcceptsOldStatements {
		newest, hasStatement := r.member.Statement()
		if hasStatement && (s.Term < newest.Term || s.Term == newest.Term && s.Seq < newest.Seq) {
			s.Term = newest.Term
			s.Seq = newest.Seq + 1
		}
	}
	if leader >= 0 {
		r.knownLeader = leader
	}
	r.member.HandleStatement(s)
	w.carryOut(r)
}
