package rolloutsim

import "cairntiller/internal/rollout"

// Mistake is a planted one. Those that lie in what is done with a leader's actions are planted where that is done, see
// actions.go and World.deliverStatement; those that lie in what a leader is told, here.
type Mistake int

// The planted mistakes.
const (
	None                   Mistake = iota
	FreesSlotByTime                // a slot is free after a while, whether the unit is back or not
	IgnoresUnplannedLosses         // what is out unplanned does not count
	AnnouncesBeforeCommit          // members are told before voters keep it
	ReadsOneVoter                  // a new leader reads one voter
	HidesForgottenState            // a voter that forgot answers as if nothing had ever been
	IgnoresIncarnation             // what a member is told counts for its next process too
	AcceptsOldStatements           // members heed statements that come late
	IgnoresOpenCommands            // a node counts as unused before all routers in sight have said so
	IgnoresPrimary                 // a drained primary counts as unused before another one leads
	IgnoresGroups                  // nodes of one group go out together
	Mistakes                       // how many there are, None among them
)

var mistakeNames = [...]string{
	"none", "frees-slot-by-time", "ignores-unplanned-losses", "announces-before-commit", "reads-one-voter", "hides-forgotten-state", "ignores-incarnation",
	"accepts-old-statements", "ignores-open-commands", "ignores-primary", "ignores-groups",
}

// String returns the name by which proofs print the mistake.
func (m Mistake) String() string { return mistakeNames[m] }

// plantMistake tells a leader something that is not so, right before it ticks.
func (w *World) plantMistake(leader *router) {
	switch w.Planted {
	case IgnoresUnplannedLosses:
		w.reportLostAsPresent(leader)
	case FreesSlotByTime:
		w.reportAwayAsBack(leader)
	case IgnoresOpenCommands:
		w.reportNothingOpen(leader)
	case IgnoresPrimary:
		for _, n := range w.nodes {
			state := n.state()
			state.Primary = n.primary && !w.isDrained(n.name)
			leader.leader.SetNode(state)
		}
	case IgnoresGroups:
		w.reportGroupsOfTheirOwn(leader)
	}
}

func (w *World) reportLostAsPresent(leader *router) {
	for _, r := range w.routers {
		if !r.up && !r.planned {
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

func (w *World) reportAwayAsBack(leader *router) {
	for _, r := range w.routers {
		if !r.up && r.planned && w.Now-r.downAt > 2_000_000 {
			leader.leader.HandleReport(w.Now, &rollout.Report{Member: r.name, Zone: r.zone, Incarnation: r.incarnation + 1, Version: r.nextVersion, Ready: true,
				Counts: rollout.CommandCounts{Commands: 1000}})
		}
	}
}

func (w *World) reportNothingOpen(leader *router) {
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

// reportGroupsOfTheirOwn gives each node a group of its own with a primary and a replica that are well.
func (w *World) reportGroupsOfTheirOwn(leader *router) {
	for i, n := range w.nodes {
		group := 1000 + i
		leader.leader.SetNode(rollout.NodeState{Name: n.name, Zone: n.zone, Group: group, Primary: false, Up: n.up, CaughtUp: n.nearLogEnd})
		leader.leader.SetNode(rollout.NodeState{Name: n.name + "+", Group: group, Primary: true, Up: true, CaughtUp: true})
		leader.leader.SetNode(rollout.NodeState{Name: n.name + "-", Group: group, Up: true, CaughtUp: true})
	}
}
