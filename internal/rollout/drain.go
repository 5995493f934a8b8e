package rollout

import (
	"maps"
	"slices"
)

// How a node that holds a slot is drained and returned, and which nodes get no new commands.

// advanceNode moves a node that holds a slot from phase to phase.
func (l *Leader) advanceNode(now int64, p *Progress, i int) {
	name := p.Plan.Units[i]
	switch p.Units[i].Phase {
	case PhaseLeaving:
		if l.drainBlocker(now, name) == "" {
			l.setPhase(now, p, i, PhaseUnavailable, "no router in sight has anything open there")
		}
	case PhaseUnavailable:
		outFor := now - l.trackers[p.Plan.ID].phaseSince[i]
		if p.Plan.DrainTime > 0 && outFor >= p.Plan.DrainTime {
			l.setPhase(now, p, i, PhaseReturning, "its time is over")
		}
	case PhaseReturning, PhaseStuck:
		if l.unmetNodeCondition(name) == "" {
			l.setPhase(now, p, i, PhaseDone, "it serves")
		}
	}
}

// drainBlocker returns why a drained node may still be in use, "" if it is not. A router that does not report blocks
// the drain: it may send commands there without having received the drain, and an operator who then stops the node
// would break them.
func (l *Leader) drainBlocker(now int64, name string) string {
	if node := l.nodes[name]; node != nil && node.Primary {
		return "its group has no other primary yet"
	}
	for _, member := range slices.Sorted(maps.Keys(l.members)) {
		m := l.members[member]
		if now-m.reportedAt >= reportTimeout {
			return member + " is not heard of"
		}
		isUnused := func(use NodeUse) bool { return use.Node == name && use.OpenCommands == 0 }
		if !slices.ContainsFunc(m.report.Nodes, isUnused) {
			return member + " still uses it, or has not heard"
		}
	}
	return ""
}

// unmetNodeCondition returns the condition that a returned node has yet to meet to count as done, "" for none.
func (l *Leader) unmetNodeCondition(name string) string {
	node := l.nodes[name]
	if node == nil || !node.Up || !node.CaughtUp && !node.Primary {
		return "it is not up, or its log lags"
	}
	answers := uint64(0)
	for _, m := range l.members {
		for _, use := range m.report.Nodes {
			if use.Node == name {
				answers += use.Answers
			}
		}
	}
	if answers == 0 {
		return "no router has had an answer of it"
	}
	return ""
}

// DrainStatement returns the statement with which a voter answers a member's query for drained nodes. It carries no
// instruction.
func DrainStatement(r *Record) *Statement {
	return &Statement{Term: r.Term, Seq: r.Seq, DrainedNodes: drainedNodes(r)}
}

// drainedNodes returns, sorted, the nodes to which no router may send new commands. They include stuck nodes: routers
// then report no answers of such a node, unmetNodeCondition keeps waiting for one, and as a rule it stays stuck until
// an operator forgets it.
func drainedNodes(r *Record) []string {
	var names []string
	for _, p := range r.Plans {
		if p.Plan.Kind != KindNodes {
			continue
		}
		for i, unit := range p.Units {
			if unit.Phase == PhaseLeaving || unit.Phase == PhaseUnavailable || unit.Phase == PhaseStuck {
				names = append(names, p.Plan.Units[i])
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
