package rolloutsim

import "cairntiller/internal/rollout"

// Mistake is a planted mistake. Mistakes in the handling of actions are implemented where the actions are carried out, in
// actions.go and leaders.go. Mistakes in a leader's input are implemented in this file.
type Mistake int

// The planted mistakes.
const (
	None                   Mistake = iota
	FreesSlotByTime                // a slot is freed after a timeout, whether the unit is back or not
	IgnoresUnplannedLosses         // unplanned losses do not count against the budget
	AnnouncesBeforeCommit          // members are told before a majority of voters stored the record
	ReadsOneVoter                  // a new leader reads only one voter
	HidesForgottenState            // a voter that lost its state does not report it
	IgnoresIncarnation             // an instruction for a process also applies to its successor
	AcceptsOldStatements           // members accept outdated statements
	IgnoresOpenCommands            // a node counts as unused before all visible routers reported so
	IgnoresPrimary                 // a drained primary counts as unused before the switchover
	IgnoresGroups                  // nodes of the same group are drained together
	MistakeCount                   // number of mistakes, including None
)

var mistakeNames = [...]string{
	"none", "frees-slot-by-time", "ignores-unplanned-losses", "announces-before-commit", "reads-one-voter", "hides-forgotten-state", "ignores-incarnation",
	"accepts-old-statements", "ignores-open-commands", "ignores-primary", "ignores-groups",
}

// String returns the mistake's name in recordings and reports.
func (m Mistake) String() string { return mistakeNames[m] }

// plantMistake feeds false input to a leader right before its tick.
func (w *World) plantMistake(leader *router) {
	switch w.PlantedMistake {
	case IgnoresUnplannedLosses:
		w.reportLostAsPresent(leader)
	case FreesSlotByTime:
		w.reportUnavailableAsReturned(leader)
	case IgnoresOpenCommands:
		w.reportNoOpenCommands(leader)
	case IgnoresPrimary:
		for _, n := range w.nodes {
			state := n.state()
			state.Primary = n.primary && !w.isDrained(n.name)
			leader.leader.SetNode(state)
		}
	case IgnoresGroups:
		w.reportSeparateGroups(leader)
	}
}

func (w *World) reportLostAsPresent(leader *router) {
	for _, r := range w.routers {
		if !r.up && !r.plannedOutage {
			leader.leader.HandleReport(w.Now, &rollout.Report{Member: r.name, Zone: r.zone, Incarnation: r.incarnation, Version: r.version, Ready: true, Counts: r.counts})
		}
	}
	for _, n := range w.nodes {
		state := n.state()
		state.Up = true
		state.CaughtUp = true
		leader.leader.SetNode(state)
	}
}

func (w *World) reportUnavailableAsReturned(leader *router) {
	for _, r := range w.routers {
		if !r.up && r.plannedOutage && w.Now-r.downAt > 2_000_000 {
			leader.leader.HandleReport(w.Now, &rollout.Report{Member: r.name, Zone: r.zone, Incarnation: r.incarnation + 1, Version: r.nextVersion, Ready: true,
				Counts: rollout.CommandCounts{Commands: 1000}})
		}
	}
}

func (w *World) reportNoOpenCommands(leader *router) {
	_, record := leader.leader.Committed()
	if record == nil {
		return
	}
	for _, r := range w.routers {
		if !r.up {
			continue
		}
		report := &rollout.Report{Member: r.name, Zone: r.zone, Incarnation: r.incarnation, Version: r.version, Ready: r.ready, Counts: r.counts}
		for _, name := range rollout.DrainStatement(record).DrainedNodes {
			report.Nodes = append(report.Nodes, rollout.NodeUse{Node: name})
		}
		leader.leader.HandleReport(w.Now, report)
	}
}

// reportSeparateGroups reports each node in a separate group with a healthy primary and replica.
func (w *World) reportSeparateGroups(leader *router) {
	for i, n := range w.nodes {
		group := 1000 + i
		leader.leader.SetNode(rollout.NodeState{Name: n.name, Zone: n.zone, Group: group, Primary: false, Up: n.up, CaughtUp: n.caughtUp})
		leader.leader.SetNode(rollout.NodeState{Name: n.name + "+", Group: group, Primary: true, Up: true, CaughtUp: true})
		leader.leader.SetNode(rollout.NodeState{Name: n.name + "-", Group: group, Up: true, CaughtUp: true})
	}
}
